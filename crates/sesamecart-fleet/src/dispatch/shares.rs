//! The shares of customers in the tokens that a pool serves.
//!
//! The load is that of one customer whose callers send many times their usual tokens, so that requests of all
//! customers are refused. While requests are refused, the tokens that the pool serves are divided by max-min
//! fairness, weighted by what each customer usually gets: whoever asks for less than its part gets all of it. Only
//! customers that ask for more than twice their usual tokens are limited. A pool that has lost endpoints is short of
//! room for all alike, and its slots would stay free if each customer left some to the others.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use crate::decay::DecayingRate;

/// The time constant of the current rates.
const RECENT_WINDOW: Duration = Duration::from_millis(500);

/// The time constant of the usual rate. It grows only while no request is refused.
const USUAL_WINDOW: Duration = Duration::from_secs(20);

/// The time from which on usual rates are known. Before it, a decaying rate is too low.
const USUAL_WARMUP: Duration = Duration::from_secs(4);

/// The time for which a refusal says that the pool is short.
const SHORT_FOR: Duration = Duration::from_secs(1);

/// The multiple of its usual rate from which a customer leaves room for the others before any request is refused.
/// Requests hold their places for seconds, so that a surge would otherwise cost the others those seconds.
const MAX_SURGE: f64 = 2.0;

/// The multiple of its usual rate up to which a customer is never over its share.
const MIN_LEVEL: f64 = 1.25;

/// The multiple of the square root of a customer's usual requests per second by which they exceed it by chance.
const CHANCE_DEVIATIONS: f64 = 3.0;

/// How often the level is calculated.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);

/// The time after which a customer without requests is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(80);

#[derive(Clone, Copy, Debug)]
struct Share {
    asked: DecayingRate,
    served: DecayingRate,
    usual: DecayingRate,
    asked_at: Timestamp,
    debt: f64,
    debt_at: Timestamp,
}

/// What a customer asks for and its weight.
#[derive(Clone, Copy, Debug)]
struct Claim {
    asked: f64,
    weight: f64,
}

/// The shares of all customers. Callers without a key count as one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    customers: IndexMap<Option<CustomerId>, Share>,
    first_asked_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
    /// The served tokens per second and unit of weight from which a customer has its share.
    level: f64,
    level_at: Timestamp,
    /// What all customers ask for, and what they usually get, in tokens per second.
    asked: f64,
    usual: f64,
}

impl Shares {
    /// Records a new request.
    pub(super) fn record_asked(
        &mut self,
        now: Timestamp,
        customer: &Option<CustomerId>,
        tokens: f64,
    ) {
        self.first_asked_at.get_or_insert(now);
        if !self.customers.contains_key(customer) {
            let share = Share {
                asked: DecayingRate::new(RECENT_WINDOW),
                served: DecayingRate::new(RECENT_WINDOW),
                usual: DecayingRate::new(USUAL_WINDOW),
                asked_at: now,
                debt: 0.0,
                debt_at: now,
            };
            self.customers.insert(customer.clone(), share);
        }
        let share = &mut self.customers[customer];
        share.asked.record(now, tokens);
        share.asked_at = now;
        self.update_level(now);
    }

    /// Records a request that is sent to an endpoint.
    pub(super) fn record_served(
        &mut self,
        now: Timestamp,
        customer: &Option<CustomerId>,
        tokens: f64,
    ) {
        let is_short = self.is_short(now);
        let debt = self
            .customers
            .get(customer)
            .map_or(0.0, |share| self.debt(now, customer, share));
        if let Some(share) = self.customers.get_mut(customer) {
            share.debt = debt + tokens;
            share.debt_at = now;
            share.served.record(now, tokens);
            if !is_short {
                share.usual.record(now, tokens);
            }
        }
    }

    /// Records that a request was refused for want of room.
    pub(super) fn record_refused(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
    }

    /// Returns whether the customer has its share, so that others go before it. `mean_tokens` is the size of a mean
    /// request.
    pub(super) fn is_over(
        &self,
        now: Timestamp,
        customer: &Option<CustomerId>,
        mean_tokens: f64,
    ) -> bool {
        let Some(share) = self
            .customers
            .get(customer)
            .filter(|_| self.customers.len() > 1 && self.knows_usual(now))
        else {
            return false;
        };
        let requests_per_s = (self.weight(now, share) / mean_tokens.max(1.0)).max(1.0);
        let burst = CHANCE_DEVIATIONS * requests_per_s.sqrt() * mean_tokens;
        let usual = self.growth_of_others(now, customer) * self.weight(now, share);
        let is_surging = share.asked.per_s(now) > MAX_SURGE * usual + burst;
        is_surging && self.debt(now, customer, share) > burst
    }

    /// Returns the tokens that the customer was served beyond its share.
    fn debt(&self, now: Timestamp, customer: &Option<CustomerId>, share: &Share) -> f64 {
        let surge_level = MAX_SURGE * self.growth_of_others(now, customer);
        let level = if self.is_short(now) {
            self.level.clamp(MIN_LEVEL, surge_level)
        } else {
            surge_level
        };
        let repaid = now.since(share.debt_at).as_secs_f64() * level * self.weight(now, share);
        (share.debt - repaid).max(0.0)
    }

    /// Returns the tokens that the customer was served lately relative to its weight.
    pub(super) fn served_per_weight(&self, now: Timestamp, customer: &Option<CustomerId>) -> f64 {
        let share = self.customers.get(customer);
        share.map_or(0.0, |share| {
            share.served.per_s(now) / self.weight(now, share)
        })
    }

    fn knows_usual(&self, now: Timestamp) -> bool {
        self.first_asked_at
            .is_some_and(|at| now.since(at) >= USUAL_WARMUP)
    }

    fn is_short(&self, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SHORT_FOR)
    }

    /// Returns how many times their usual tokens the other customers ask for, at least 1. If all of them ask for
    /// more, none is over its share by that alone.
    fn growth_of_others(&self, now: Timestamp, customer: &Option<CustomerId>) -> f64 {
        let own = self.customers.get(customer);
        let asked = self.asked - own.map_or(0.0, |share| share.asked.per_s(now));
        let usual = self.usual - own.map_or(0.0, |share| share.usual.per_s(now));
        if usual > 0.0 {
            (asked / usual).max(1.0)
        } else {
            1.0
        }
    }

    fn mean_usual(&self) -> f64 {
        self.usual / self.customers.len().max(1) as f64
    }

    fn weight(&self, now: Timestamp, share: &Share) -> f64 {
        share.usual.per_s(now).max(self.mean_usual()).max(1.0)
    }

    fn update_level(&mut self, now: Timestamp) {
        if now.since(self.level_at) < LEVEL_INTERVAL {
            return;
        }
        self.level_at = now;
        self.customers
            .retain(|_, share| now.since(share.asked_at) < FORGET_AFTER);
        let shares = self.customers.values();
        self.usual = shares.clone().map(|share| share.usual.per_s(now)).sum();
        self.asked = shares.map(|share| share.asked.per_s(now)).sum();
        let served = self
            .customers
            .values()
            .map(|share| share.served.per_s(now))
            .sum();
        let claims = self.customers.values().map(|share| Claim {
            asked: share.asked.per_s(now),
            weight: self.weight(now, share),
        });
        self.level = max_min_level(served, claims.collect());
    }
}

/// Returns the rate per unit of weight at which claims are limited so that their sum is `served`.
fn max_min_level(served: f64, mut claims: Vec<Claim>) -> f64 {
    claims.sort_by(|a, b| (a.asked / a.weight).total_cmp(&(b.asked / b.weight)));
    let mut left = served;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = left / weight;
        if claim.asked / claim.weight >= level {
            return level;
        }
        left -= claim.asked;
        weight -= claim.weight;
    }
    f64::INFINITY
}
