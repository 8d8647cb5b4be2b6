//! One customer's waiting requests of one class.

use std::collections::BTreeMap;

use sesamecart_vocabulary::{Timestamp, Tokens, Weight};

use super::request::{Request, Ticket};

/// Orders the requests of one customer by arrival, delayed by each request's expected duration.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    pub(super) effective_arrival: Timestamp,
    pub(super) ticket: Ticket,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// How often the request didn't fit and another one started instead.
    pub(super) bypasses: u32,
}

/// One customer's queue in one class, with its start tag for fair queueing.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) waiting: BTreeMap<QueueKey, Waiting>,
    pub(super) backlog: Tokens,
    /// The virtual time at which the flow's next request starts, in tokens divided by weight.
    pub(super) tag: f64,
    pub(super) weight: Weight,
}

impl Flow {
    pub(super) const fn new(weight: Weight) -> Self {
        Self {
            waiting: BTreeMap::new(),
            backlog: Tokens(0),
            tag: 0.0,
            weight,
        }
    }

    /// Returns the weight as a divisor; a weight of zero counts as one.
    pub(super) fn divisor(&self) -> f64 {
        f64::from(self.weight.0.max(1))
    }

    /// Charges the flow for a request that starts, and returns the virtual start time.
    pub(super) fn charge(&mut self, virtual_now: f64, cost: Tokens) -> f64 {
        let start = self.tag.max(virtual_now);
        self.tag = start + cost.0 as f64 / self.divisor();
        start
    }

    pub(super) fn insert(&mut self, key: QueueKey, request: Request) {
        self.backlog += request.cost;
        let waiting = Waiting {
            request,
            bypasses: 0,
        };
        self.waiting.insert(key, waiting);
    }

    pub(super) fn remove(&mut self, key: QueueKey) -> Option<Request> {
        let request = self.waiting.remove(&key)?.request;
        self.backlog -= request.cost;
        Some(request)
    }

    /// Returns the total cost of the waiting requests ordered before `key`.
    pub(super) fn cost_before(&self, key: QueueKey) -> Tokens {
        let before = self.waiting.range(..key);
        before.map(|(_, waiting)| waiting.request.cost).sum()
    }
}
