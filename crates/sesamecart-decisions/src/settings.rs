//! Thresholds of all decisions, with checked ranges and defaults that fit both deployments.
//!
//! docs/policy.md names for each threshold the figure that set it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

mod check;
#[cfg(test)]
mod tests;

/// Why a threshold can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{field}: {value} must be from {low} to {high}")]
pub struct ThresholdError {
    field: &'static str,
    value: f64,
    low: f64,
    high: f64,
}

/// The thresholds of all decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Who is let in and who waits.
    pub admission: AdmissionSettings,
    /// What an endpoint bears and how it is lent.
    pub allowance: AllowanceSettings,
    /// Where work goes.
    pub routing: RoutingSettings,
    /// How often work is sent again.
    pub retry: RetrySettings,
}

/// Thresholds of admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The most requests that wait in one pool's queue.
    pub max_waiting: usize,
    /// The most bytes of bodies that wait in one pool's queue.
    pub max_waiting_bytes: u64,
    /// How far a request's own length sets it back among its customer's requests: a request of
    /// expected length `d` is ordered as if it had arrived `stretch * d` later.
    pub stretch: f64,
    /// How many requests of one customer are tried when the first doesn't fit.
    pub lookahead: usize,
    /// How often a request that doesn't fit may be passed over before room is kept for it.
    pub max_bypasses: u32,
    /// Milliseconds of a busy queue over which its drain rate is sampled.
    pub drain_window_ms: u64,
    /// The shortest Retry-After in milliseconds.
    pub min_retry_after_ms: u64,
    /// The longest Retry-After in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_waiting: 512,
            max_waiting_bytes: 64 << 20,
            stretch: 1.0,
            lookahead: 8,
            max_bypasses: 64,
            drain_window_ms: 250,
            min_retry_after_ms: 1_000,
            max_retry_after_ms: 30_000,
        }
    }
}

/// Thresholds of the endpoints' allowances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AllowanceSettings {
    /// Milliseconds that a slice is valid.
    pub slice_ms: u64,
    /// Milliseconds between a node's renewals; under half of `slice_ms`, so that one lost message
    /// costs no permit.
    pub renew_ms: u64,
    /// The shortest time in milliseconds between two extra borrows of one node.
    pub borrow_gap_ms: u64,
    /// Milliseconds after a failure for which an owner lends nothing and waits for a second one.
    pub suspect_ms: u64,
    /// Milliseconds for which a sign of life from an endpoint counts; without one a node starts no
    /// more than one request there.
    pub sign_ms: u64,
    /// Milliseconds after which a node gives up a borrow; an owner keeps an ended slice in its sum
    /// for as long, since a demand that is on its way may tell of an earlier time.
    pub borrow_timeout_ms: u64,
    /// Milliseconds for which a silent node's permits count as in use after its slice ended.
    pub linger_ms: u64,
    /// The share of clock drift by which a new owner waits longer than a slice is valid.
    pub drift: f64,
    /// Milliseconds between two changes of a limit; not shorter than the lag of load reports.
    pub step_ms: u64,
    /// Growth of a limit per step while the endpoint warms up.
    pub growth: f64,
    /// The factor by which a limit falls when latency is above the bearable one.
    pub decrease: f64,
    /// Bearable latency as a multiple of the lowest seen.
    pub tolerance: f64,
    /// Bearable time in milliseconds between two tokens of an engine, whatever the lowest seen.
    pub token_gap_ms: u64,
    /// Bearable latency in milliseconds of a plain service's request, whatever the lowest seen.
    pub service_latency_ms: u64,
    /// The multiple of the bearable latency at which an endpoint counts as turned cold.
    pub cold_latency: f64,
    /// The share of a limit in use from which it may grow.
    pub growth_use: f64,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            slice_ms: 1_000,
            renew_ms: 400,
            borrow_gap_ms: 50,
            suspect_ms: 50,
            sign_ms: 300,
            borrow_timeout_ms: 200,
            linger_ms: 30_000,
            drift: 0.05,
            step_ms: 1_000,
            growth: 1.15,
            decrease: 0.8,
            tolerance: 2.0,
            token_gap_ms: 30,
            service_latency_ms: 50,
            cold_latency: 4.0,
            growth_use: 0.75,
        }
    }
}

/// Thresholds of routing.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// About how many nodes share one endpoint; a node's subset follows from it.
    pub nodes_per_endpoint: usize,
    /// The smallest subset of endpoints that a node uses.
    pub min_subset: usize,
    /// The largest subset of endpoints that a node uses.
    pub max_subset: usize,
    /// The most prefixes that a node remembers.
    pub max_prefixes: usize,
    /// How far above the mean an endpoint may be loaded and still be chosen for its prefix.
    pub affinity_bound: f64,
    /// The share of free permits in the own failure domain below which work spills to others.
    pub spill_below: f64,
    /// The multiple of the median latency at which an endpoint is ejected.
    pub eject_latency: f64,
    /// The number of failures in a row at which an endpoint is ejected.
    pub eject_failures: u32,
    /// Milliseconds of the first ejection; each further one is longer by as much.
    pub eject_ms: u64,
    /// The largest share of a subset that may be ejected at once.
    pub max_ejected: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            nodes_per_endpoint: 3,
            min_subset: 8,
            max_subset: 64,
            max_prefixes: 4_096,
            affinity_bound: 1.25,
            spill_below: 0.1,
            eject_latency: 3.0,
            eject_failures: 3,
            eject_ms: 5_000,
            max_ejected: 0.3,
        }
    }
}

/// Thresholds of retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries as a share of first attempts.
    pub budget: f64,
    /// The most retries that may be saved up.
    pub max_saved: f64,
    /// The most attempts of one request.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget: 0.1,
            max_saved: 50.0,
            max_attempts: 3,
        }
    }
}

impl AdmissionSettings {
    /// Returns the window over which the drain rate is sampled.
    #[must_use]
    pub const fn drain_window(&self) -> Duration {
        Duration::from_millis(self.drain_window_ms)
    }

    /// Returns the shortest Retry-After.
    #[must_use]
    pub const fn min_retry_after(&self) -> Duration {
        Duration::from_millis(self.min_retry_after_ms)
    }

    /// Returns the longest Retry-After.
    #[must_use]
    pub const fn max_retry_after(&self) -> Duration {
        Duration::from_millis(self.max_retry_after_ms)
    }
}

impl AllowanceSettings {
    /// Returns how long a slice is valid.
    #[must_use]
    pub const fn slice(&self) -> Duration {
        Duration::from_millis(self.slice_ms)
    }

    /// Returns the time between two renewals.
    #[must_use]
    pub const fn renew(&self) -> Duration {
        Duration::from_millis(self.renew_ms)
    }

    /// Returns the shortest time between two extra borrows.
    #[must_use]
    pub const fn borrow_gap(&self) -> Duration {
        Duration::from_millis(self.borrow_gap_ms)
    }

    /// Returns how long an owner waits for a second failure.
    #[must_use]
    pub const fn suspect(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }

    /// Returns how long a sign of life from an endpoint counts.
    #[must_use]
    pub const fn sign(&self) -> Duration {
        Duration::from_millis(self.sign_ms)
    }

    /// Returns how long a node waits for the answer to a borrow.
    #[must_use]
    pub const fn borrow_timeout(&self) -> Duration {
        Duration::from_millis(self.borrow_timeout_ms)
    }

    /// Returns how long a silent node's permits count as in use.
    #[must_use]
    pub const fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Returns the time between two changes of a limit.
    #[must_use]
    pub const fn step(&self) -> Duration {
        Duration::from_millis(self.step_ms)
    }

    /// Returns how long a new owner waits until its predecessor's slices have ended.
    #[must_use]
    pub fn takeover_wait(&self) -> Duration {
        self.slice().mul_f64(1.0 + self.drift)
    }
}

impl RoutingSettings {
    /// Returns the length of the first ejection.
    #[must_use]
    pub const fn eject(&self) -> Duration {
        Duration::from_millis(self.eject_ms)
    }

    /// Returns the number of endpoints that each of `nodes` nodes uses out of `endpoints`.
    #[must_use]
    pub fn subset(&self, endpoints: usize, nodes: usize) -> usize {
        let even = (self.nodes_per_endpoint * endpoints).div_ceil(nodes.max(1));
        even.clamp(self.min_subset, self.max_subset).min(endpoints)
    }
}
