//! Fair sharing of endpoints between customers.
//!
//! If the callers of one customer send many times their usual load, its requests fill the endpoints, and
//! the callers of all other customers are refused too. While the endpoints have much free capacity, every
//! customer is served. Above that load, a customer is limited to a multiple of its baseline, its usual
//! request rate. The limit rises if all other customers also send more than usual. Only placed requests
//! count towards the baseline, so refused load doesn't raise it.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use crate::decay::DecayingRate;

#[cfg(test)]
mod tests;

/// The load up to which all customers are served in any case, in requests per slot.
const UNRESTRICTED_LOAD: f64 = 0.6;

/// The multiple of its baseline that a customer gets when others may need the capacity.
const MAX_SURGE: f64 = 2.0;

/// The time constant of the baseline, a customer's usual request rate.
const BASELINE_WINDOW: Duration = Duration::from_secs(60);

/// The time constant of a customer's current request rate.
const RECENT_WINDOW: Duration = Duration::from_secs(4);

/// The minimum observation time before a baseline is used.
const BASELINE_WARMUP: Duration = Duration::from_secs(10);

/// The multiple of the current baseline up to which requests count towards the next one. It lets a customer
/// grow within minutes.
const MAX_GROWTH: f64 = 1.2;

/// The time whose worth of requests a customer may send at once.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// The number of additional requests of a customer that may coincide by chance.
const MIN_BURST: f64 = 6.0;

/// The request rates and the token bucket of one customer.
#[derive(Clone, Debug)]
struct Share {
    baseline: DecayingRate,
    recent: DecayingRate,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Share {
    fn new(now: Timestamp) -> Self {
        Self {
            baseline: DecayingRate::new(BASELINE_WINDOW),
            recent: DecayingRate::new(RECENT_WINDOW),
            tokens: MIN_BURST,
            refilled_at: now,
        }
    }

    fn tokens(&self, now: Timestamp, per_s: f64) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let burst = MIN_BURST + per_s * BURST_WINDOW.as_secs_f64();
        (self.tokens + elapsed * per_s).min(burst)
    }
}

/// The rates at which one node places requests of each customer of a model or service.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    customers: IndexMap<CustomerId, Share>,
    first_placed_at: Option<Timestamp>,
}

impl FairShare {
    /// Records a placed request.
    pub fn record_placed(&mut self, now: Timestamp, customer: &CustomerId) {
        self.first_placed_at.get_or_insert(now);
        let baseline_per_s = self.baseline_per_s(now, customer);
        let has_baseline = self.has_baseline(now);
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.clone(), Share::new(now));
        }
        let share = &mut self.customers[customer];
        share.tokens = (share.tokens(now, MAX_SURGE * baseline_per_s) - 1.0).max(0.0);
        share.refilled_at = now;
        share.recent.record(now, 1.0);
        let counted = if has_baseline {
            (MAX_GROWTH * baseline_per_s / share.recent.per_s(now)).min(1.0)
        } else {
            1.0
        };
        share.baseline.record(now, counted);
    }

    /// Returns whether a customer has used its share while others are likely to need the capacity. `load`
    /// is the load of the endpoint that would take the request, in requests per slot.
    #[must_use]
    pub fn is_over_share(&self, now: Timestamp, customer: &CustomerId, load: f64) -> bool {
        let share = self.customers.get(customer);
        let Some(share) = share.filter(|_| self.has_baseline(now)) else {
            return false;
        };
        let per_s = MAX_SURGE * self.baseline_per_s(now, customer);
        load >= self.unrestricted_load(now, customer) && share.tokens(now, per_s) < 1.0
    }

    /// Returns the load up to which a customer is served in any case: it may also use the capacity that the
    /// others don't usually use.
    fn unrestricted_load(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let baseline = |(_, share): (&CustomerId, &Share)| share.baseline.per_s(now);
        let all: f64 = self.customers.iter().map(baseline).sum();
        let own = self.customers.get_key_value(customer).map_or(0.0, baseline);
        if own < all {
            (own / all).max(UNRESTRICTED_LOAD)
        } else {
            f64::INFINITY
        }
    }

    fn has_baseline(&self, now: Timestamp) -> bool {
        let first_placed_at = self.first_placed_at;
        first_placed_at.is_some_and(|first_placed_at| now.since(first_placed_at) >= BASELINE_WARMUP)
    }

    /// Removes customers without recent requests.
    pub fn prune(&mut self, now: Timestamp) {
        self.customers
            .retain(|_, share| now.since(share.refilled_at) < BASELINE_WINDOW * 4);
    }

    /// Returns a customer's usual request rate, or the mean of all customers if that is higher. It is
    /// scaled by the growth of the other customers.
    fn baseline_per_s(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let baseline = |share: &Share| share.baseline.per_s(now);
        let own = self.customers.get(customer).map_or(0.0, baseline);
        let all: f64 = self.customers.values().map(baseline).sum();
        let mean = all / self.customers.len().max(1) as f64;
        own.max(mean) * self.growth_of_other_customers(now, customer)
    }

    /// Returns the ratio of the other customers' current rate to their baseline, at least 1.
    fn growth_of_other_customers(&self, now: Timestamp, customer: &CustomerId) -> f64 {
        let mut baseline = 0.0;
        let mut recent = 0.0;
        for (id, share) in &self.customers {
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
