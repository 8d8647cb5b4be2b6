//! The adaptive concurrency limit of one endpoint.

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Incarnation, Permits, Timestamp, Tokens};

use crate::settings::AllowanceSettings;

/// The kind of an endpoint, which determines the acceptable latency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointWork {
    /// An inference engine, whose latency is the time between two tokens.
    Engine,
    /// A plain service, whose latency is that of a request.
    Service,
}

/// The configured limits of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLimits {
    /// The maximum number of concurrent requests right after a start.
    pub cold: Concurrency,
    /// The maximum number of concurrent requests when warm.
    pub warm: Concurrency,
    /// The capacity of its KV memory; zero if memory is not limited.
    pub kv_tokens: Tokens,
    /// The kind of the endpoint.
    pub kind: EndpointWork,
}

impl EndpointLimits {
    /// Returns the KV memory per permit; zero if memory is not limited.
    #[must_use]
    pub fn kv_per_permit(&self) -> Tokens {
        Tokens(self.kv_tokens.0 / u64::from(self.warm.0.max(1)))
    }
}

/// What a node measured at an endpoint since its last demand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// The number of requests that completed.
    pub finished: u32,
    /// The number of requests that failed.
    pub failed: u32,
    /// The sum of the inter-token times, or of a plain service's request latencies.
    pub latency_sum: Duration,
    /// The number of tokens, or of a plain service's requests, in the sum `latency_sum`.
    pub tokens: Tokens,
}

impl Sample {
    /// Adds another sample to this one.
    pub fn add(&mut self, other: &Self) {
        self.finished += other.finished;
        self.failed += other.failed;
        self.latency_sum += other.latency_sum;
        self.tokens += other.tokens;
    }

    fn mean_latency(&self) -> Option<f64> {
        let tokens = self.tokens.0;
        (tokens > 0).then(|| self.latency_sum.as_secs_f64() / tokens as f64)
    }
}

/// The load that an endpoint reports about itself, with a delay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// The number of running requests.
    pub running: Concurrency,
    /// Whether the endpoint accepts requests.
    pub ready: bool,
}

/// An endpoint's concurrency limit, which adapts to the endpoint's latency and failures.
///
/// The limit grows by a factor while it is in use and latency is acceptable (additive growth would
/// take a minute from cold to warm), and shrinks by a factor while latency is too high. It drops to
/// the cold limit at once on a new incarnation, on failures, or when latency is far too high. It is
/// adapted at most once per `step_ms`, since reports lag: a faster loop would react twice to the
/// same measurement and oscillate.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: AllowanceSettings,
    limits: EndpointLimits,
    value: f64,
    min_latency: Option<f64>,
    sample_sum: Sample,
    next_step: Timestamp,
    ignore_samples_until: Timestamp,
    recent_failures: u32,
    suspect_until: Timestamp,
    incarnation: Option<Incarnation>,
    ready: bool,
}

/// The factor by which the lowest observed latency rises in each step, so that the limit adapts to
/// a change of model or load mix within minutes.
const MIN_LATENCY_RISE_PER_STEP: f64 = 1.002;

/// The number of failures in close succession after which an endpoint is treated as cold.
const MIN_FAILURES_FOR_COLD: u32 = 2;

impl AdaptiveLimit {
    /// Creates the limit of an endpoint that may be cold.
    #[must_use]
    pub fn new(now: Timestamp, limits: EndpointLimits, cfg: AllowanceSettings) -> Self {
        Self {
            value: f64::from(limits.cold.0.min(limits.warm.0)),
            limits,
            min_latency: None,
            sample_sum: Sample::default(),
            next_step: now + cfg.step_interval(),
            ignore_samples_until: now,
            recent_failures: 0,
            suspect_until: now,
            incarnation: None,
            ready: true,
            cfg,
        }
    }

    /// Returns the limit, as the total number of permits that may be lent.
    #[must_use]
    pub fn permits(&self) -> Permits {
        if !self.ready {
            return Permits(0);
        }
        Permits(self.value as u32)
    }

    /// Returns the configured limits.
    #[must_use]
    pub const fn configured_limits(&self) -> EndpointLimits {
        self.limits
    }

    /// Sets new configured limits and keeps the adapted state.
    pub fn set_configured_limits(&mut self, limits: EndpointLimits) {
        self.limits = limits;
        self.value = self.value.min(f64::from(limits.warm.0));
    }

    /// Raises the limit to the warm limit, for an endpoint that is known to be warm.
    pub fn assume_warm(&mut self) {
        self.value = f64::from(self.limits.warm.0);
    }

    /// Drops to the cold limit, because the endpoint has restarted or behaves as if it had.
    pub fn reset_to_cold(&mut self, now: Timestamp) {
        self.value = self.value.min(f64::from(self.limits.cold.0));
        self.sample_sum = Sample::default();
        self.next_step = now + self.cfg.step_interval();
        self.ignore_samples_until = now + self.cfg.slice_duration();
    }

    /// Applies a load report of the endpoint.
    pub fn report(&mut self, now: Timestamp, report: &LoadReport) {
        self.ready = report.ready;
        let is_restarted = self
            .incarnation
            .is_some_and(|known| known != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if is_restarted {
            self.reset_to_cold(now);
        }
    }

    /// Sets whether the endpoint accepts requests, when no load report is available.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Adds a node's sample.
    ///
    /// Samples from before the endpoint became cold arrive up to one slice duration later. They are
    /// ignored, since they would make the cold endpoint look fast.
    pub fn observe(&mut self, now: Timestamp, sample: &Sample) {
        if sample.failed > 0 {
            self.record_failures(now, sample.failed);
            return;
        }
        if now >= self.ignore_samples_until {
            self.sample_sum.add(sample);
        }
    }

    /// Returns whether the last failure is so recent that reports of further ones may be in flight.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }

    /// Counts failures in close succession.
    ///
    /// A single failure may be caused by the network. After a restart, however, all nodes see
    /// failures at the same time, and each would start a first request under the warm limit before
    /// the second failure reaches the owner. Nothing is lent meanwhile.
    fn record_failures(&mut self, now: Timestamp, failed: u32) {
        if !self.is_suspect(now) {
            self.recent_failures = 0;
        }
        self.recent_failures += failed;
        self.suspect_until = now + self.cfg.suspect_duration();
        if self.recent_failures >= MIN_FAILURES_FOR_COLD {
            self.reset_to_cold(now);
        }
    }

    /// Adapts the limit if a step is due. `used` is the number of permits in use.
    pub fn step(&mut self, now: Timestamp, used: Permits) {
        if now < self.next_step {
            return;
        }
        self.next_step = now + self.cfg.step_interval();
        let sample = std::mem::take(&mut self.sample_sum);
        let Some(latency) = sample.mean_latency() else {
            return;
        };
        let min_latency = self.min_latency.map_or(latency, |min| {
            (min * MIN_LATENCY_RISE_PER_STEP).min(latency)
        });
        self.min_latency = Some(min_latency);
        let acceptable = self.acceptable_latency(min_latency);
        if latency > self.cfg.cold_latency * acceptable {
            self.reset_to_cold(now);
            self.shrink();
        } else if latency > acceptable {
            self.shrink();
        } else if f64::from(used.0) >= self.cfg.growth_use * self.value.floor() {
            self.grow();
        }
    }

    fn acceptable_latency(&self, min_latency: f64) -> f64 {
        let always_acceptable_ms = match self.limits.kind {
            EndpointWork::Engine => self.cfg.token_gap_ms,
            EndpointWork::Service => self.cfg.service_latency_ms,
        };
        let always_acceptable = Duration::from_millis(always_acceptable_ms).as_secs_f64();
        always_acceptable.max(min_latency * self.cfg.tolerance)
    }

    fn shrink(&mut self) {
        self.value = (self.value * self.cfg.decrease).max(1.0);
    }

    fn grow(&mut self) {
        let warm = f64::from(self.limits.warm.0);
        self.value = (self.value * self.cfg.growth).min(warm);
    }
}
