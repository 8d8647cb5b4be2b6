//! Thresholds of all decisions, with validated ranges and defaults that fit both deployments.
//!
//! docs/policy.md gives the measurement behind each threshold.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

mod check;
#[cfg(test)]
mod tests;

/// A threshold outside its valid range.
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
    /// Admission and queueing of requests.
    pub admission: AdmissionSettings,
    /// The concurrency limit of an endpoint and how it is shared between nodes.
    pub allowance: AllowanceSettings,
    /// Choice of an endpoint for each request.
    pub routing: RoutingSettings,
    /// Retries of failed attempts.
    pub retry: RetrySettings,
}

/// Thresholds of admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The maximum number of requests that wait in one pool's queue.
    pub max_waiting: usize,
    /// The maximum total size, in bytes, of the request bodies that wait in one pool's queue.
    pub max_waiting_bytes: u64,
    /// Factor by which a request's expected duration delays it among its customer's requests: a
    /// request of expected duration `d` is ordered as if it had arrived `stretch * d` later.
    pub stretch: f64,
    /// The number of requests of one customer to try when the first one doesn't fit.
    pub lookahead: usize,
    /// How often a request that doesn't fit may be bypassed before capacity is reserved for it.
    pub max_bypasses: u32,
    /// Length of a drain rate sample, in milliseconds during which the queue is busy.
    pub drain_window_ms: u64,
    /// The minimum `Retry-After`, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The maximum `Retry-After`, in milliseconds.
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
    /// How long a slice is valid, in milliseconds.
    pub slice_ms: u64,
    /// Milliseconds between a node's renewals. At most half of `slice_ms`, so that a node keeps its
    /// permits when one message is lost.
    pub renew_ms: u64,
    /// Minimum interval, in milliseconds, between a node's requests for additional permits.
    pub borrow_gap_ms: u64,
    /// Milliseconds after a failure during which an owner lends nothing and waits for a second failure.
    pub suspect_ms: u64,
    /// Liveness timeout in milliseconds. A node that has received nothing from an endpoint for this
    /// long runs at most one request there.
    pub sign_ms: u64,
    /// Timeout of a demand, in milliseconds. An owner counts an expired slice for this much longer,
    /// since a demand in flight may describe an earlier state of the node.
    pub borrow_timeout_ms: u64,
    /// Milliseconds for which an unresponsive node's permits count as in use after its slice expired.
    pub linger_ms: u64,
    /// Clock drift, as a fraction of the slice duration, that a new owner adds to its waiting time.
    pub drift: f64,
    /// Milliseconds between two changes of a limit. Must not be shorter than the lag of load reports.
    pub step_ms: u64,
    /// The factor by which a limit grows in each step while the endpoint warms up.
    pub growth: f64,
    /// The factor by which a limit shrinks when latency is above the acceptable latency.
    pub decrease: f64,
    /// Acceptable latency as a multiple of the lowest latency observed.
    pub tolerance: f64,
    /// Time between two tokens of an engine, in milliseconds, that is always acceptable.
    pub token_gap_ms: u64,
    /// Request latency of a plain service, in milliseconds, that is always acceptable.
    pub service_latency_ms: u64,
    /// The multiple of the acceptable latency above which an endpoint is treated as cold.
    pub cold_latency: f64,
    /// The fraction of a limit that must be in use before the limit grows.
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
    /// Approximate number of nodes that share one endpoint; determines the size of a node's subset.
    pub nodes_per_endpoint: usize,
    /// The minimum number of endpoints that a node uses.
    pub min_subset: usize,
    /// The maximum number of endpoints that a node uses.
    pub max_subset: usize,
    /// The maximum number of prefixes that a node tracks.
    pub max_prefixes: usize,
    /// The multiple of the mean load up to which an endpoint is chosen for a prefix that it caches.
    pub affinity_bound: f64,
    /// The fraction of free permits in the node's own failure domain below which work spills to others.
    pub spill_below: f64,
    /// The multiple of the median latency at which an endpoint is ejected.
    pub eject_latency: f64,
    /// The number of consecutive failures at which an endpoint is ejected.
    pub eject_failures: u32,
    /// Duration of the first ejection in milliseconds; each consecutive one is longer by the same amount.
    pub eject_ms: u64,
    /// The maximum fraction of a subset that may be ejected at the same time.
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
    /// Retries as a fraction of first attempts.
    pub budget: f64,
    /// The maximum number of unused retries that accumulate.
    pub max_saved: f64,
    /// The maximum number of attempts per request.
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
    /// Returns the length of a drain rate sample.
    #[must_use]
    pub const fn drain_window(&self) -> Duration {
        Duration::from_millis(self.drain_window_ms)
    }

    /// Returns the minimum `Retry-After`.
    #[must_use]
    pub const fn min_retry_after(&self) -> Duration {
        Duration::from_millis(self.min_retry_after_ms)
    }

    /// Returns the maximum `Retry-After`.
    #[must_use]
    pub const fn max_retry_after(&self) -> Duration {
        Duration::from_millis(self.max_retry_after_ms)
    }
}

impl AllowanceSettings {
    /// Returns how long a slice is valid.
    #[must_use]
    pub const fn slice_duration(&self) -> Duration {
        Duration::from_millis(self.slice_ms)
    }

    /// Returns the interval between two renewals.
    #[must_use]
    pub const fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.renew_ms)
    }

    /// Returns the minimum interval between a node's requests for additional permits.
    #[must_use]
    pub const fn min_borrow_interval(&self) -> Duration {
        Duration::from_millis(self.borrow_gap_ms)
    }

    /// Returns how long an owner lends nothing after a failure.
    #[must_use]
    pub const fn suspect_duration(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }

    /// Returns how long an endpoint counts as alive after a response.
    #[must_use]
    pub const fn liveness_timeout(&self) -> Duration {
        Duration::from_millis(self.sign_ms)
    }

    /// Returns how long a node waits for the answer to a demand.
    #[must_use]
    pub const fn borrow_timeout(&self) -> Duration {
        Duration::from_millis(self.borrow_timeout_ms)
    }

    /// Returns how long an unresponsive node's permits count as in use after its slice expired.
    #[must_use]
    pub const fn linger_duration(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Returns the minimum interval between two changes of a limit.
    #[must_use]
    pub const fn step_interval(&self) -> Duration {
        Duration::from_millis(self.step_ms)
    }

    /// Returns how long a new owner waits until its predecessor's slices have expired.
    #[must_use]
    pub fn takeover_wait(&self) -> Duration {
        self.slice_duration().mul_f64(1.0 + self.drift)
    }
}

impl RoutingSettings {
    /// Returns the duration of the first ejection.
    #[must_use]
    pub const fn ejection_duration(&self) -> Duration {
        Duration::from_millis(self.eject_ms)
    }

    /// Returns how many of `endpoints` endpoints each of `nodes` nodes uses.
    #[must_use]
    pub fn subset_size(&self, endpoints: usize, nodes: usize) -> usize {
        let even_share = (self.nodes_per_endpoint * endpoints).div_ceil(nodes.max(1));
        even_share
            .clamp(self.min_subset, self.max_subset)
            .min(endpoints)
    }
}
