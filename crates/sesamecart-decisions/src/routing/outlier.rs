//! Outlier detection: temporary ejection of endpoints that are slow or fail.

use sesamecart_vocabulary::Timestamp;

use crate::settings::RoutingSettings;

/// The weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// The minimum number of samples before an endpoint is checked for high latency.
const MIN_SAMPLES: u32 = 5;

/// The maximum number of consecutive ejections that extend the ejection time.
const MAX_EJECTION_FACTOR: u32 = 6;

/// Latencies and failures of a node's endpoints, and the endpoints that it has ejected.
#[derive(Clone, Debug)]
pub struct Outliers {
    cfg: RoutingSettings,
    endpoints: Vec<EndpointStats>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointStats {
    latency: f64,
    samples: u32,
    failures: u32,
    consecutive_ejections: u32,
    ejected_until: Timestamp,
}

impl Outliers {
    /// Creates the outlier detection for `endpoints` endpoints.
    #[must_use]
    pub fn new(endpoints: usize, cfg: RoutingSettings) -> Self {
        Self {
            cfg,
            endpoints: vec![EndpointStats::default(); endpoints],
        }
    }

    /// Returns whether an endpoint is ejected at this time.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp, endpoint: usize) -> bool {
        now < self.endpoints[endpoint].ejected_until
    }

    /// Records the latency of a successful request, in any unit that is the same for all endpoints of
    /// the pool.
    pub fn record_success(&mut self, now: Timestamp, endpoint: usize, latency: f64) {
        let stats = &mut self.endpoints[endpoint];
        stats.failures = 0;
        stats.samples = stats.samples.saturating_add(1);
        if stats.samples == 1 {
            stats.latency = latency;
        } else {
            stats.latency += LATENCY_SAMPLE_WEIGHT * (latency - stats.latency);
        }
        if stats.samples < MIN_SAMPLES {
            return;
        }
        let average = stats.latency;
        if average > self.cfg.eject_latency * self.median() {
            self.eject(now, endpoint);
        } else {
            self.endpoints[endpoint].consecutive_ejections = 0;
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Timestamp, endpoint: usize) {
        let stats = &mut self.endpoints[endpoint];
        stats.failures += 1;
        if stats.failures >= self.cfg.eject_failures {
            self.eject(now, endpoint);
        }
    }

    /// Resets the state of an endpoint that has restarted.
    pub fn reset(&mut self, endpoint: usize) {
        self.endpoints[endpoint] = EndpointStats::default();
    }

    fn median(&self) -> f64 {
        let sampled = self
            .endpoints
            .iter()
            .filter(|stats| stats.samples >= MIN_SAMPLES);
        let mut latencies: Vec<f64> = sampled.map(|stats| stats.latency).collect();
        let middle = latencies.len() / 2;
        if latencies.is_empty() {
            return f64::INFINITY;
        }
        *latencies.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    fn eject(&mut self, now: Timestamp, endpoint: usize) {
        if self.is_ejected(now, endpoint) {
            return;
        }
        let ejected = self
            .endpoints
            .iter()
            .filter(|stats| now < stats.ejected_until);
        let max_ejected_count = (self.cfg.max_ejected * self.endpoints.len() as f64) as usize;
        if ejected.count() >= max_ejected_count {
            return;
        }
        let stats = &mut self.endpoints[endpoint];
        stats.consecutive_ejections = (stats.consecutive_ejections + 1).min(MAX_EJECTION_FACTOR);
        stats.ejected_until = now + self.cfg.ejection_duration() * stats.consecutive_ejections;
        stats.samples = 0;
        stats.failures = 0;
    }
}
