//! Requests that wait for a place.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::classes::Class;
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
    /// The number of urgencies that go before it.
    pub(super) level: u8,
    pub(super) standing: Standing,
    /// What its customer was served lately.
    pub(super) served_tokens: u64,
    pub(super) offered_at: Timestamp,
}

/// The requests that wait, in the order in which they were offered.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue(Vec<Offer>);

impl Queue {
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_WAITING
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn push(&mut self, offer: Offer) {
        self.0.push(offer);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Offer> {
        self.0.iter()
    }

    pub(super) fn retain(&mut self, keep: impl FnMut(&Offer) -> bool) {
        self.0.retain(keep);
    }

    pub(super) fn remove(&mut self, key: &TicketKey) {
        self.0.retain(|offer| offer.req.key != *key);
    }

    /// Takes all requests in the order of their ranks.
    pub(super) fn take_sorted(&mut self, rank: impl Fn(&Offer) -> Rank) -> Vec<Offer> {
        let mut offers = std::mem::take(&mut self.0);
        offers.sort_by_cached_key(rank);
        offers
    }
}
