//! Whether a customer may use places that others are likely to need.
//!
//! It answers one customer whose callers come many times as often as they usually do. Its requests would fill
//! the endpoints, and the callers of all others would be turned away with its own. While endpoints have much
//! room everybody is served; beyond that a customer gets so many times what it usually gets, more where all
//! others ask for more too. What is usual is learnt from what was placed, so that a load that was turned away
//! doesn't become usual.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use crate::fading::FadingRate;

#[cfg(test)]
mod tests;

/// The least load of endpoints, in requests for each slot, up to which all customers are served.
const OPEN_LOAD: f64 = 0.6;

/// How many times what is usual a customer gets where others may need the places.
const MAX_SURGE: f64 = 2.0;

/// Over which time it is taken what customers usually get.
const USUAL_OVER: Duration = Duration::from_secs(60);

/// Over which time it is taken what customers get now.
const RECENT_OVER: Duration = Duration::from_secs(4);

/// How long requests have to come before they show what is usual.
const LEARNT_AFTER: Duration = Duration::from_secs(10);

/// How many times what is usual counts as usual later on: a customer that grows is let grow within minutes.
const MAX_GROWTH: f64 = 1.2;

/// Over which time a customer may get at once what it gets.
const BURST_OVER: Duration = Duration::from_secs(1);

/// Requests of a customer that come together by chance, beyond those.
const MIN_BURST: f64 = 6.0;

/// What one customer got.
#[derive(Clone, Debug)]
struct Share {
    usual: FadingRate,
    recent: FadingRate,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Share {
    fn new(now: Timestamp) -> Self {
        Self {
            usual: FadingRate::new(USUAL_OVER),
            recent: FadingRate::new(RECENT_OVER),
            tokens: MIN_BURST,
            refilled_at: now,
        }
    }

    fn tokens(&self, now: Timestamp, per_s: f64) -> f64 {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let burst = MIN_BURST + per_s * BURST_OVER.as_secs_f64();
        (self.tokens + passed * per_s).min(burst)
    }
}

/// What the customers of one model or service got at one node.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    shares: IndexMap<CustomerId, Share>,
    first_at: Option<Timestamp>,
}

impl FairShare {
    /// Notes a request that was placed.
    pub fn note_placed(&mut self, now: Timestamp, customer: &CustomerId) {
        self.first_at.get_or_insert(now);
        let usual_per_s = self.usual_per_s(now, customer);
        let is_learnt = self.is_learnt(now);
        if !self.shares.contains_key(customer) {
            self.shares.insert(customer.clone(), Share::new(now));
        }
        let share = &mut self.shares[customer];
        share.tokens = (share.tokens(now, MAX_SURGE * usual_per_s) - 1.0).max(0.0);
        share.refilled_at = now;
        share.recent.note(now, 1.0);
        let learnt = if is_learnt {
            (MAX_GROWTH * usual_per_s / share.recent.per_s(now)).min(1.0)
        } else {
            1.0
        };
        share.usual.note(now, learnt);
    }

    /// Returns whether a customer has got what it may where others are likely to need the places; `load` is that of
    /// the endpoint that would take its request, in requests for each slot.
    #[must_use]
    pub fn is_over_share(&self, now: Timestamp, customer: &CustomerId, load: f64) -> bool {
        let share = self.shares.get(customer);
        let Some(share) = share.filter(|_| self.is_learnt(now)) else {
            return false;
        };
        let per_s = MAX_SURGE * self.usual_per_s(now, customer);
        load >= self.open_load(now, customer) && share.tokens(now, per_s) < 1.0
    }

    /// Returns the load up to which a customer is served: the places that the others don't usually take are its own.
    fn open_load(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let usual = |(_, share): (&CustomerId, &Share)| share.usual.per_s(now);
        let all: f64 = self.shares.iter().map(usual).sum();
        let own = self.shares.get_key_value(customer).map_or(0.0, usual);
        if own < all {
            (own / all).max(OPEN_LOAD)
        } else {
            f64::INFINITY
        }
    }

    fn is_learnt(&self, now: Timestamp) -> bool {
        let first_at = self.first_at;
        first_at.is_some_and(|first_at| now.since(first_at) >= LEARNT_AFTER)
    }

    /// Forgets customers that have asked nothing for long.
    pub fn tidy(&mut self, now: Timestamp) {
        self.shares
            .retain(|_, share| now.since(share.refilled_at) < USUAL_OVER * 4);
    }

    /// Returns the requests a second that a customer usually gets, or a mean one if that is more, as far as
    /// the others get what they usually get; with them it grows.
    fn usual_per_s(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let usual = |share: &Share| share.usual.per_s(now);
        let own = self.shares.get(customer).map_or(0.0, usual);
        let all: f64 = self.shares.values().map(usual).sum();
        let mean = all / self.shares.len().max(1) as f64;
        own.max(mean) * self.growth_of_others(now, customer)
    }

    /// Returns how many times what they usually get the other customers get now; at least once.
    fn growth_of_others(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let mut usual = 0.0;
        let mut recent = 0.0;
        for (id, share) in &self.shares {
            if id != customer {
                usual += share.usual.per_s(now);
                recent += share.recent.per_s(now);
            }
        }
        if usual > 0.0 {
            (recent / usual).max(1.0)
        } else {
            1.0
        }
    }
}
