//! One customer's waiting requests of one class.

use std::collections::BTreeMap;

use sesamecart_vocabulary::{Timestamp, Tokens, Weight};

use super::request::{Request, Ticket};

/// The place of a request among its customer's: by arrival, set back by its own length.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    pub(super) due: Timestamp,
    pub(super) ticket: Ticket,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    /// How often it didn't fit and another went first.
    pub(super) bypasses: u32,
}

/// One customer's queue in one class, with its virtual start tag.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) waiting: BTreeMap<Place, Waiting>,
    pub(super) backlog: Tokens,
    /// Virtual time at which the flow's next request starts: tokens by weight.
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
    pub(super) fn share(&self) -> f64 {
        f64::from(self.weight.0.max(1))
    }

    /// Charges work that starts, and returns the virtual time at which it does.
    pub(super) fn charge(&mut self, virtual_now: f64, cost: Tokens) -> f64 {
        let start = self.tag.max(virtual_now);
        self.tag = start + cost.0 as f64 / self.share();
        start
    }

    pub(super) fn insert(&mut self, place: Place, request: Request) {
        self.backlog += request.cost;
        let waiting = Waiting {
            request,
            bypasses: 0,
        };
        self.waiting.insert(place, waiting);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Request> {
        let request = self.waiting.remove(&place)?.request;
        self.backlog -= request.cost;
        Some(request)
    }

    /// Returns the work that goes before `place`.
    pub(super) fn ahead_of(&self, place: Place) -> Tokens {
        let ahead = self.waiting.range(..place);
        ahead.map(|(_, waiting)| waiting.request.cost).sum()
    }
}
