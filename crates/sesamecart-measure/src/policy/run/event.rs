//! The events of a run, in order of time.

use sesamecart_decisions::allowance::LoadReport;
use sesamecart_vocabulary::Timestamp;

use crate::policy::endpoint::CacheEvent;
use crate::policy::ours::{Borrow, Lend};
use crate::policy::play::Fault;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrive(usize),
    Endpoint {
        endpoint: usize,
        version: u64,
    },
    Leave(usize),
    Tick(usize),
    Expire(usize),
    Borrow(Borrow),
    Lend(Lend),
    Report,
    Reported(Vec<LoadReport>),
    Cached(Vec<Vec<CacheEvent>>),
    Fault(Fault),
    Drained {
        endpoints: Vec<usize>,
        drained: bool,
    },
}

/// An event in order of time, then of its making.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) at: Timestamp,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
