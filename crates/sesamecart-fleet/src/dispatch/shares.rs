//! The shares of customers in the tokens that a pool serves.
//!
//! The load is that of one customer whose callers send many times their usual tokens, so that requests of all
//! customers are refused. While requests are refused, the tokens that the pool serves are divided by max-min
//! fairness, weighted by what each customer usually gets: whoever asks for less than its part gets all of it.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use crate::decay::DecayingRate;

/// The time constant of the current rates.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// The time constant of the usual rate. It grows only while no request is refused.
const USUAL_WINDOW: Duration = Duration::from_secs(60);

/// The time for which a refusal says that the pool is short.
const SHORT_FOR: Duration = Duration::from_secs(1);

/// How often the level is calculated.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);

/// The time after which a customer without requests is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(240);

#[derive(Clone, Copy, Debug)]
struct Share {
    asked: DecayingRate,
    served: DecayingRate,
    usual: DecayingRate,
    asked_at: Timestamp,
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
    refused_at: Option<Timestamp>,
    /// The served tokens per second and unit of weight from which a customer has its share.
    level: f64,
    level_at: Timestamp,
    mean_usual: f64,
}

impl Shares {
    /// Records a new request.
    pub(super) fn record_asked(
        &mut self,
        now: Timestamp,
        customer: &Option<CustomerId>,
        tokens: f64,
    ) {
        if !self.customers.contains_key(customer) {
            let share = Share {
                asked: DecayingRate::new(RECENT_WINDOW),
                served: DecayingRate::new(RECENT_WINDOW),
                usual: DecayingRate::new(USUAL_WINDOW),
                asked_at: now,
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
        if let Some(share) = self.customers.get_mut(customer) {
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

    /// Returns whether the customer has its share while requests of others are refused.
    pub(super) fn is_over(&self, now: Timestamp, customer: &Option<CustomerId>) -> bool {
        self.is_short(now) && self.served_per_weight(now, customer) > self.level
    }

    /// Returns the tokens that the customer was served lately relative to its weight.
    pub(super) fn served_per_weight(&self, now: Timestamp, customer: &Option<CustomerId>) -> f64 {
        let share = self.customers.get(customer);
        share.map_or(0.0, |share| {
            share.served.per_s(now) / self.weight(now, share)
        })
    }

    fn is_short(&self, now: Timestamp) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < SHORT_FOR)
    }

    fn weight(&self, now: Timestamp, share: &Share) -> f64 {
        share.usual.per_s(now).max(self.mean_usual).max(1.0)
    }

    fn update_level(&mut self, now: Timestamp) {
        if now.since(self.level_at) < LEVEL_INTERVAL {
            return;
        }
        self.level_at = now;
        self.customers
            .retain(|_, share| now.since(share.asked_at) < FORGET_AFTER);
        let usual: f64 = self
            .customers
            .values()
            .map(|share| share.usual.per_s(now))
            .sum();
        self.mean_usual = usual / self.customers.len().max(1) as f64;
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
