//! The order in which requests to a limited endpoint are admitted.
//!
//! Nobody waits for a token, so there is no queue to sort. Instead, a request leaves the next token to callers
//! that were denied one shortly before, if they are more urgent, or as urgent and of a customer that got less.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use super::token_bucket::Demand;
use crate::decay::DecayingSum;

/// How long a denied caller is expected to come back for a token.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// The time constant with which admitted requests of a customer decay.
const ADMITTED_DECAY_TIME: Duration = Duration::from_secs(10);

/// The number of requests by which a customer may be ahead of others.
const ADMITTED_TOLERANCE: f64 = 0.5;

/// The maximum number of remembered claimants. The one that was denied longest ago is forgotten first.
const MAX_CLAIMANTS: usize = 64;

/// The requests of one customer with the same priority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Claimant {
    /// The customer, if the route needs a key.
    pub(super) customer: Option<CustomerId>,
    /// The priority; 0 is the most urgent.
    pub(super) priority: u8,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    admitted: DecayingSum,
    denied_at: Option<Timestamp>,
    changed_at: Timestamp,
}

/// The recent claims on the tokens of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention(IndexMap<Claimant, Claim>);

impl Contention {
    /// Returns whether a request may take the next token, or has to leave it to others.
    pub(super) fn demand(&self, now: Timestamp, claimant: &Claimant) -> Demand {
        let own = self.admitted(now, claimant);
        let goes_first = |(other, claim): (&Claimant, &Claim)| {
            let is_expected = claim
                .denied_at
                .is_some_and(|at| now.since(at) < RETURN_TIME);
            let has_less = claim.admitted.at(now) + ADMITTED_TOLERANCE < own;
            is_expected
                && (other.priority < claimant.priority
                    || (other.priority == claimant.priority && has_less))
        };
        if self.0.iter().any(goes_first) {
            Demand::Surplus
        } else {
            Demand::Next
        }
    }

    fn admitted(&self, now: Timestamp, claimant: &Claimant) -> f64 {
        self.0
            .get(claimant)
            .map_or(0.0, |claim| claim.admitted.at(now))
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn record_admitted(&mut self, now: Timestamp, claimant: Claimant) {
        let claim = self.claim(now, claimant);
        claim.admitted.add(now, 1.0);
        claim.denied_at = None;
    }

    pub(super) fn record_denied(&mut self, now: Timestamp, claimant: Claimant) {
        self.claim(now, claimant).denied_at = Some(now);
    }

    fn claim(&mut self, now: Timestamp, claimant: Claimant) -> &mut Claim {
        if !self.0.contains_key(&claimant) && self.0.len() >= MAX_CLAIMANTS {
            let oldest = self.0.iter().min_by_key(|(_, claim)| claim.changed_at);
            if let Some(oldest) = oldest.map(|(claimant, _)| claimant.clone()) {
                self.0.swap_remove(&oldest);
            }
        }
        let claim = self.0.entry(claimant).or_insert_with(|| Claim {
            admitted: DecayingSum::new(ADMITTED_DECAY_TIME),
            denied_at: None,
            changed_at: now,
        });
        claim.changed_at = now;
        claim
    }
}
