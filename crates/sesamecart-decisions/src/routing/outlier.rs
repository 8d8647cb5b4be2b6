//! Which endpoints are left out for a while because they are slow or fail.

use sesamecart_vocabulary::Timestamp;

use crate::settings::RoutingSettings;

/// The weight of a new latency sample against the older ones.
const NEW_SAMPLE: f64 = 0.2;

/// The fewest samples by which an endpoint is judged slow.
const MIN_SAMPLES: u32 = 5;

/// The most ejections in a row by which the time of one grows.
const MAX_STREAK: u32 = 6;

/// What one node saw of its endpoints, and which of them it leaves out.
#[derive(Clone, Debug)]
pub struct Outliers {
    cfg: RoutingSettings,
    seen: Vec<Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    latency: f64,
    samples: u32,
    failures: u32,
    streak: u32,
    ejected_until: Timestamp,
}

impl Outliers {
    /// Makes the record of `endpoints` endpoints.
    #[must_use]
    pub fn new(endpoints: usize, cfg: RoutingSettings) -> Self {
        Self {
            cfg,
            seen: vec![Seen::default(); endpoints],
        }
    }

    /// Returns whether an endpoint is left out now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp, endpoint: usize) -> bool {
        now < self.seen[endpoint].ejected_until
    }

    /// Notes a latency, in any unit that is the same for all endpoints of the pool.
    pub fn succeeded(&mut self, now: Timestamp, endpoint: usize, latency: f64) {
        let seen = &mut self.seen[endpoint];
        seen.failures = 0;
        seen.samples = seen.samples.saturating_add(1);
        if seen.samples == 1 {
            seen.latency = latency;
        } else {
            seen.latency += NEW_SAMPLE * (latency - seen.latency);
        }
        if seen.samples < MIN_SAMPLES {
            return;
        }
        let slow = seen.latency;
        if slow > self.cfg.eject_latency * self.median() {
            self.eject(now, endpoint);
        } else {
            self.seen[endpoint].streak = 0;
        }
    }

    /// Notes a failed request.
    pub fn failed(&mut self, now: Timestamp, endpoint: usize) {
        let seen = &mut self.seen[endpoint];
        seen.failures += 1;
        if seen.failures >= self.cfg.eject_failures {
            self.eject(now, endpoint);
        }
    }

    /// Forgets what was seen of an endpoint that has started anew.
    pub fn forget(&mut self, endpoint: usize) {
        self.seen[endpoint] = Seen::default();
    }

    fn median(&self) -> f64 {
        let judged = self.seen.iter().filter(|seen| seen.samples >= MIN_SAMPLES);
        let mut latencies: Vec<f64> = judged.map(|seen| seen.latency).collect();
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
        let others = self.seen.iter().filter(|seen| now < seen.ejected_until);
        let allowed = (self.cfg.max_ejected * self.seen.len() as f64) as usize;
        if others.count() >= allowed {
            return;
        }
        let seen = &mut self.seen[endpoint];
        seen.streak = (seen.streak + 1).min(MAX_STREAK);
        seen.ejected_until = now + self.cfg.eject() * seen.streak;
        seen.samples = 0;
        seen.failures = 0;
    }
}
