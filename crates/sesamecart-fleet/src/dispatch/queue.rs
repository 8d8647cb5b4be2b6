//! Requests that wait for a place.

use std::time::Duration;

use sesamecart_vocabulary::{NodeId, Timestamp};

use super::classes::{Class, Precedence};
use super::message::{DispatchRequest, TicketKey};
use super::returns::Standing;

/// The number of requests that wait at most.
const MAX_WAITING: usize = 256;

/// The time that a request waits at most.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// The fraction of its latency target that a request waits at most.
const MAX_TARGET_FRACTION: u32 = 4;

/// A request with the time at which it was offered.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) req: DispatchRequest,
    pub(super) standing: Standing,
    pub(super) offered_at: Timestamp,
}

impl Offer {
    pub(super) fn class(&self) -> Class {
        Class {
            urgency: self.req.urgency,
            target: self.req.latency_target,
        }
    }

    /// Returns the tokens that it takes at most.
    pub(super) fn tokens(&self) -> f64 {
        self.req.tokens.prompt + self.req.tokens.answer
    }

    /// Returns when it stops waiting.
    pub(super) fn waits_until(&self) -> Timestamp {
        self.offered_at + MAX_WAIT.min(self.req.latency_target / MAX_TARGET_FRACTION)
    }

    /// Returns the request as it would be offered now.
    pub(super) fn at(&self, now: Timestamp) -> DispatchRequest {
        let elapsed = now.since(self.offered_at);
        DispatchRequest {
            waited: self.req.waited + elapsed,
            time_left: self.req.time_left.saturating_sub(elapsed),
            ..self.req.clone()
        }
    }
}

/// The place of a request among those that wait. The least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) precedence: Precedence,
    /// Whether its customer has its share.
    pub(super) is_over_share: bool,
    /// Whether it was late when it was offered.
    pub(super) is_late: bool,
    pub(super) standing: Standing,
    /// What its customer was served lately.
    pub(super) served_tokens: u64,
    /// When its first event is late.
    pub(super) late_at: Timestamp,
}

impl Rank {
    /// Returns whether requests of both ranks have to leave the same room to others.
    pub(super) fn has_limits_of(&self, other: &Self) -> bool {
        self.precedence == other.precedence
            && self.is_over_share == other.is_over_share
            && self.is_late == other.is_late
    }
}

/// The requests that wait, with their ranks when they were last looked at.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue(Vec<(Rank, Offer)>);

impl Queue {
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_WAITING
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn push(&mut self, rank: Rank, offer: Offer) {
        self.0.push((rank, offer));
    }

    /// Returns the prompt tokens of each request that goes before those of a rank.
    pub(super) fn prompts_before(&self, rank: Rank) -> impl Iterator<Item = f64> {
        let before = self.0.iter().filter(move |(other, _)| *other < rank);
        before.map(|(_, offer)| offer.req.tokens.prompt)
    }

    pub(super) fn remove_node(&mut self, node: &NodeId) {
        self.0.retain(|(_, offer)| offer.req.key.node != *node);
    }

    pub(super) fn remove(&mut self, key: &TicketKey) {
        self.0.retain(|(_, offer)| offer.req.key != *key);
    }

    /// Takes all requests in the order of their ranks, which are those that `rank` returns from now on.
    pub(super) fn take_sorted(&mut self, rank: impl Fn(&Offer) -> Rank) -> Vec<(Rank, Offer)> {
        let offers = std::mem::take(&mut self.0).into_iter();
        let mut offers: Vec<(Rank, Offer)> =
            offers.map(|(_, offer)| (rank(&offer), offer)).collect();
        offers.sort_by_key(|(rank, _)| *rank);
        offers
    }
}
