//! Estimates how fast a queue drains.

use std::time::Duration;

use sesamecart_vocabulary::{Timestamp, Tokens};

/// Estimates a queue's drain rate, in tokens per second, while the queue is busy.
///
/// While no request waits, requests start as they arrive, so the rate shows the demand rather than
/// the capacity. Sampling it would underestimate the capacity and wrongly refuse the first requests of
/// a burst. Only busy time is therefore sampled, and the rate is reset when the queue becomes empty.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    window: Duration,
    sample_start: Option<Timestamp>,
    sampled_tokens: u64,
    rate: Option<f64>,
}

/// The weight of a new sample in the moving average of the rate.
const RATE_SAMPLE_WEIGHT: f64 = 0.4;

impl DrainRate {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            sample_start: None,
            sampled_tokens: 0,
            rate: None,
        }
    }

    /// Records that a request with `cost` left the queue to start.
    pub(super) const fn record_start(&mut self, cost: Tokens) {
        self.sampled_tokens += cost.0;
    }

    /// Updates the rate; `busy` is whether any request waits.
    pub(super) fn update(&mut self, now: Timestamp, busy: bool) {
        if !busy {
            self.sample_start = None;
            self.sampled_tokens = 0;
            self.rate = None;
            return;
        }
        let sample_start = *self.sample_start.get_or_insert(now);
        let elapsed = now - sample_start;
        if elapsed < self.window {
            return;
        }
        let sample = self.sampled_tokens as f64 / elapsed.as_secs_f64();
        self.rate = Some(match self.rate {
            Some(rate) => rate + RATE_SAMPLE_WEIGHT * (sample - rate),
            None => sample,
        });
        self.sample_start = Some(now);
        self.sampled_tokens = 0;
    }

    /// Returns how long `tokens` tokens take to drain, or `None` while the rate is unknown.
    pub(super) fn time_to_drain(&self, tokens: f64) -> Option<Duration> {
        /// Upper bound of the estimate; longer waits need not be told apart.
        const MAX_DRAIN_SECONDS: f64 = 3_600.0;
        let rate = self.rate?;
        let seconds = if rate > 0.0 {
            tokens / rate
        } else {
            MAX_DRAIN_SECONDS
        };
        Some(Duration::from_secs_f64(seconds.min(MAX_DRAIN_SECONDS)))
    }
}
