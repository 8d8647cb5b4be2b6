//! The limit of one endpoint, adapted to what it bears.

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Incarnation, Permits, Timestamp, Tokens};

use crate::settings::AllowanceSettings;

/// What an endpoint does, which sets the latency that it may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointWork {
    /// An engine: latency is the time between two tokens.
    Engine,
    /// A plain service: latency is a request's.
    Service,
}

/// What configuration says that an endpoint bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLimits {
    /// Requests at once right after a start.
    pub cold: Concurrency,
    /// Requests at once when warm.
    pub warm: Concurrency,
    /// Tokens that its KV memory holds; zero if that is no limit.
    pub kv_tokens: Tokens,
    /// What it does.
    pub work: EndpointWork,
}

impl EndpointLimits {
    /// Returns the KV memory that comes with each permit; zero if memory is no limit.
    #[must_use]
    pub fn kv_per_permit(&self) -> Tokens {
        Tokens(self.kv_tokens.0 / u64::from(self.warm.0.max(1)))
    }
}

/// What nodes saw of an endpoint since their last message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Requests that finished.
    pub finished: u32,
    /// Requests that failed.
    pub failed: u32,
    /// The sum of the times between tokens, or of a plain service's request times.
    pub latency: Duration,
    /// The tokens, or a plain service's requests, over which `latency` was summed.
    pub tokens: Tokens,
}

impl Sample {
    /// Adds what another sample saw.
    pub fn add(&mut self, other: &Self) {
        self.finished += other.finished;
        self.failed += other.failed;
        self.latency += other.latency;
        self.tokens += other.tokens;
    }

    fn per_token(&self) -> Option<f64> {
        let tokens = self.tokens.0;
        (tokens > 0).then(|| self.latency.as_secs_f64() / tokens as f64)
    }
}

/// What an endpoint reports about itself; it lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The life of the endpoint's process.
    pub incarnation: Incarnation,
    /// Requests that run.
    pub running: Concurrency,
    /// Whether it takes requests.
    pub ready: bool,
}

/// An endpoint's limit, which rises and falls with what the endpoint bears.
///
/// It rises by a factor while the endpoint is used and its latency is bearable, falls by a factor
/// when it isn't (additive growth would take a minute from cold to warm), and drops to the cold
/// limit at once on a new incarnation, on failures, or on latency far above the bearable one. It
/// changes at most once in `step_ms`, since reports lag: a faster loop would answer the same
/// sign twice and swing.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    cfg: AllowanceSettings,
    limits: EndpointLimits,
    value: f64,
    lowest: Option<f64>,
    window: Sample,
    next_step: Timestamp,
    cold_until: Timestamp,
    failures: u32,
    suspect_until: Timestamp,
    incarnation: Option<Incarnation>,
    ready: bool,
}

/// How far the lowest latency seen is forgotten in each step, so that a change of model or load
/// mix is learnt within minutes.
const FORGET: f64 = 1.002;

/// The fewest failures that count as a sign of an endpoint that turned cold.
const COLD_FAILURES: u32 = 2;

impl AdaptiveLimit {
    /// Makes the limit of an endpoint that may be cold.
    #[must_use]
    pub fn new(now: Timestamp, limits: EndpointLimits, cfg: AllowanceSettings) -> Self {
        Self {
            value: f64::from(limits.cold.0.min(limits.warm.0)),
            limits,
            lowest: None,
            window: Sample::default(),
            next_step: now + cfg.step(),
            cold_until: now,
            failures: 0,
            suspect_until: now,
            incarnation: None,
            ready: true,
            cfg,
        }
    }

    /// Returns the limit: how many permits may be lent in all.
    #[must_use]
    pub fn permits(&self) -> Permits {
        if !self.ready {
            return Permits(0);
        }
        Permits(self.value as u32)
    }

    /// Returns the limits that configuration gives.
    #[must_use]
    pub const fn configured(&self) -> EndpointLimits {
        self.limits
    }

    /// Takes new limits from configuration, keeping what was learnt.
    pub fn set_configured(&mut self, limits: EndpointLimits) {
        self.limits = limits;
        self.value = self.value.min(f64::from(limits.warm.0));
    }

    /// Lets an endpoint that is known to be warm start at its warm limit.
    pub fn assume_warm(&mut self) {
        self.value = f64::from(self.limits.warm.0);
    }

    /// Drops to the cold limit, because the endpoint has started anew or behaves as if it had.
    pub fn turn_cold(&mut self, now: Timestamp) {
        self.value = self.value.min(f64::from(self.limits.cold.0));
        self.window = Sample::default();
        self.next_step = now + self.cfg.step();
        self.cold_until = now + self.cfg.slice();
    }

    /// Takes the endpoint's own report.
    pub fn report(&mut self, now: Timestamp, report: &LoadReport) {
        self.ready = report.ready;
        let restarted = self
            .incarnation
            .is_some_and(|known| known != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            self.turn_cold(now);
        }
    }

    /// Notes whether the endpoint may have work, without a report of its own.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Takes what a node saw.
    ///
    /// What nodes still saw of the time before the endpoint turned cold arrives up to a slice
    /// later and is ignored: it would say that the cold endpoint is fast.
    pub fn observe(&mut self, now: Timestamp, sample: &Sample) {
        if sample.failed > 0 {
            self.suspect(now, sample.failed);
            return;
        }
        if now >= self.cold_until {
            self.window.add(sample);
        }
    }

    /// Returns whether failures are so recent that more may be on their way.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }

    /// Counts failures that come close together.
    ///
    /// One may be the network's. But nodes hear of a restart at the same time, and each would start
    /// a first request under the warm limit before the owner has heard of the second failure, so
    /// nothing is lent meanwhile.
    fn suspect(&mut self, now: Timestamp, failed: u32) {
        if !self.is_suspect(now) {
            self.failures = 0;
        }
        self.failures += failed;
        self.suspect_until = now + self.cfg.suspect();
        if self.failures >= COLD_FAILURES {
            self.turn_cold(now);
        }
    }

    /// Adapts the limit if it is time to; `used` are the permits in use.
    pub fn step(&mut self, now: Timestamp, used: Permits) {
        if now < self.next_step {
            return;
        }
        self.next_step = now + self.cfg.step();
        let window = std::mem::take(&mut self.window);
        let Some(latency) = window.per_token() else {
            return;
        };
        let lowest = self
            .lowest
            .map_or(latency, |low| (low * FORGET).min(latency));
        self.lowest = Some(lowest);
        let bearable = self.bearable(lowest);
        if latency > self.cfg.cold_latency * bearable {
            self.turn_cold(now);
            self.shrink();
        } else if latency > bearable {
            self.shrink();
        } else if f64::from(used.0) >= self.cfg.growth_use * self.value.floor() {
            self.grow();
        }
    }

    fn bearable(&self, lowest: f64) -> f64 {
        let floor_ms = match self.limits.work {
            EndpointWork::Engine => self.cfg.token_gap_ms,
            EndpointWork::Service => self.cfg.service_latency_ms,
        };
        let floor = Duration::from_millis(floor_ms).as_secs_f64();
        floor.max(lowest * self.cfg.tolerance)
    }

    fn shrink(&mut self) {
        self.value = (self.value * self.cfg.decrease).max(1.0);
    }

    fn grow(&mut self) {
        let warm = f64::from(self.limits.warm.0);
        self.value = (self.value * self.cfg.growth).min(warm);
    }
}
