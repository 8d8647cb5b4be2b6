//! How much slower than predicted one endpoint is.
//!
//! The load is that of a pool with a slow, grey or flapping endpoint: it gets what it can do in time, and its share
//! returns within 3 s after it has recovered.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::message::AttemptEnd;

/// The weight of a new start in the factor.
const LEARNING_RATE: f64 = 0.4;

/// The factor from which an endpoint counts as slow. Below it lie the differences between sound endpoints.
const SLOW_FACTOR: f64 = 1.6;

/// The maximum factor. The first start of an endpoint that stood still is no measure of those that follow.
const MAX_FACTOR: f64 = 10.0;

/// The time constant with which a factor returns to 1. The maximum factor is below [`SLOW_FACTOR`] after 2.4 s.
const RECOVERY_TIME: Duration = Duration::from_millis(700);

/// The time after which a factor is too old to send more than one request at a time by it.
const FRESH_FOR: Duration = Duration::from_millis(500);

/// The time that a start takes at most to be reported.
const REPORT_DELAY_MS: f64 = 80.0;

/// The factor that stands for a request that ended without a start before one was due.
const FAILURE_FACTOR: f64 = 4.0;

/// The learned factor of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowness {
    factor: f64,
    observed_at: Timestamp,
}

impl Slowness {
    pub(super) const fn new() -> Self {
        Self {
            factor: 1.0,
            observed_at: Timestamp::ZERO,
        }
    }

    /// Records a start.
    pub(super) fn record_start(&mut self, now: Timestamp, observed_ms: f64, predicted_ms: f64) {
        self.record(now, observed_ms / predicted_ms.max(1.0));
    }

    /// Records a request that ended without a start. One that finished before its start was due is a failure; a later
    /// end says at least how late it was.
    pub(super) fn record_end_without_start(
        &mut self,
        now: Timestamp,
        end: AttemptEnd,
        age_ms: f64,
        predicted_ms: f64,
    ) {
        let overdue = overdue_factor(age_ms, predicted_ms);
        if age_ms < predicted_ms {
            if end == AttemptEnd::Finished {
                self.record(now, FAILURE_FACTOR);
            }
        } else if overdue > SLOW_FACTOR {
            self.record(now, overdue);
        }
    }

    /// Returns the factor. `overdue` is that of the request that waits longest for its start.
    pub(super) fn factor(self, now: Timestamp, overdue: f64) -> f64 {
        let decay = (-self.age(now).as_secs_f64() / RECOVERY_TIME.as_secs_f64()).exp();
        let factor = (1.0 + (self.factor - 1.0) * decay).max(overdue);
        if factor < SLOW_FACTOR { 1.0 } else { factor }
    }

    /// Returns whether one request at a time has to show how fast the endpoint is now.
    pub(super) fn needs_probe(self, now: Timestamp) -> bool {
        self.factor >= SLOW_FACTOR && self.age(now) > FRESH_FOR
    }

    fn age(self, now: Timestamp) -> Duration {
        now.since(self.observed_at)
    }

    fn record(&mut self, now: Timestamp, factor: f64) {
        let known = self.factor(now, 1.0);
        let factor = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        self.factor = known + LEARNING_RATE * (factor - known);
        self.observed_at = now;
    }
}

/// Returns the least factor of an endpoint that hasn't started a request after `age_ms`.
pub(super) fn overdue_factor(age_ms: f64, predicted_ms: f64) -> f64 {
    ((age_ms - REPORT_DELAY_MS) / predicted_ms.max(1.0)).clamp(1.0, MAX_FACTOR)
}
