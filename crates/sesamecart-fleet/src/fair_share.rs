//! Whether a customer may use places that others are likely to need.
//!
//! It answers one customer whose callers come many times as often as they usually do. Its requests would fill
//! the endpoints, and the callers of all others would be turned away with its own. While endpoints have much
//! room everybody is served; beyond that a customer gets so many times what it usually gets, more where all
//! others ask for more too. The baseline comes from what was placed, so that a load that was turned away doesn't
//! raise it.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use crate::fading::FadingRate;

#[cfg(test)]
mod tests;

/// The least load of endpoints, in requests for each slot, up to which all customers are served.
const OPEN_LOAD: f64 = 0.6;

/// How many times its baseline a customer gets where others may need the places.
const MAX_SURGE: f64 = 2.0;

/// The time over which a customer's baseline is taken: what it usually gets.
const BASELINE_WINDOW: Duration = Duration::from_secs(60);

/// The time over which it is taken what customers get now.
const RECENT_WINDOW: Duration = Duration::from_secs(4);

/// How long requests have to come before they make a baseline.
const BASELINE_WARMUP: Duration = Duration::from_secs(10);

/// How many times its baseline counts towards the next one: a customer that grows is let grow within minutes.
const MAX_GROWTH: f64 = 1.2;

/// The time whose requests a customer may send at once.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Requests of a customer that may come together by chance, beyond those.
const MIN_BURST: f64 = 6.0;

/// What one customer got.
#[derive(Clone, Debug)]
struct Share {
    baseline: FadingRate,
    recent: FadingRate,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Share {
    fn new(now: Timestamp) -> Self {
        Self {
            baseline: FadingRate::new(BASELINE_WINDOW),
            recent: FadingRate::new(RECENT_WINDOW),
            tokens: MIN_BURST,
            refilled_at: now,
        }
    }

    fn tokens(&self, now: Timestamp, per_s: f64) -> f64 {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let burst = MIN_BURST + per_s * BURST_WINDOW.as_secs_f64();
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
        let baseline_per_s = self.baseline_per_s(now, customer);
        let has_baseline = self.has_baseline(now);
        if !self.shares.contains_key(customer) {
            self.shares.insert(customer.clone(), Share::new(now));
        }
        let share = &mut self.shares[customer];
        share.tokens = (share.tokens(now, MAX_SURGE * baseline_per_s) - 1.0).max(0.0);
        share.refilled_at = now;
        share.recent.note(now, 1.0);
        let learnt = if has_baseline {
            (MAX_GROWTH * baseline_per_s / share.recent.per_s(now)).min(1.0)
        } else {
            1.0
        };
        share.baseline.note(now, learnt);
    }

    /// Returns whether a customer has got what it may where others are likely to need the places; `load` is that of
    /// the endpoint that would take its request, in requests for each slot.
    #[must_use]
    pub fn is_over_share(&self, now: Timestamp, customer: &CustomerId, load: f64) -> bool {
        let share = self.shares.get(customer);
        let Some(share) = share.filter(|_| self.has_baseline(now)) else {
            return false;
        };
        let per_s = MAX_SURGE * self.baseline_per_s(now, customer);
        load >= self.open_load(now, customer) && share.tokens(now, per_s) < 1.0
    }

    /// Returns the load up to which a customer is served: the places that the others don't usually take are its own.
    fn open_load(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let baseline = |(_, share): (&CustomerId, &Share)| share.baseline.per_s(now);
        let all: f64 = self.shares.iter().map(baseline).sum();
        let own = self.shares.get_key_value(customer).map_or(0.0, baseline);
        if own < all {
            (own / all).max(OPEN_LOAD)
        } else {
            f64::INFINITY
        }
    }

    fn has_baseline(&self, now: Timestamp) -> bool {
        let first_at = self.first_at;
        first_at.is_some_and(|first_at| now.since(first_at) >= BASELINE_WARMUP)
    }

    /// Forgets customers that have asked nothing for long.
    pub fn tidy(&mut self, now: Timestamp) {
        self.shares
            .retain(|_, share| now.since(share.refilled_at) < BASELINE_WINDOW * 4);
    }

    /// Returns the requests a second that a customer usually gets, or a mean one if that is more, as far as
    /// the others get what they usually get; with them it grows.
    fn baseline_per_s(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let baseline = |share: &Share| share.baseline.per_s(now);
        let own = self.shares.get(customer).map_or(0.0, baseline);
        let all: f64 = self.shares.values().map(baseline).sum();
        let mean = all / self.shares.len().max(1) as f64;
        own.max(mean) * self.growth_of_others(now, customer)
    }

    /// Returns how many times what they usually get the other customers get now; at least once.
    fn growth_of_others(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let mut baseline = 0.0;
        let mut recent = 0.0;
        for (id, share) in &self.shares {
            if id != customer {
                baseline += share.baseline.per_s(now);
                recent += share.recent.per_s(now);
            }
        }
        if baseline > 0.0 {
            (recent / baseline).max(1.0)
        } else {
            1.0
        }
    }
}
