//! The rate limit on one node's appends to the log.
//!
//! With many concurrent keyed requests, a node would append as fast as the log answers. The log accepts
//! several hundred appends per second from all nodes together and refuses the rest, so each node stays within
//! its share, and items that arrive in the meantime are batched into one larger append. Short bursts aren't
//! limited, so that a single request waits only for the log.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// A rate limiter that permits one append per interval, plus a burst after an idle period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    interval: Duration,
    burst: u32,
    /// When the next append would be due without a burst: the theoretical arrival time of GCRA.
    theoretical_arrival: Timestamp,
}

impl RateLimiter {
    pub(crate) const fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst,
            theoretical_arrival: Timestamp::ZERO,
        }
    }

    /// Returns the earliest time at which the next append may be sent.
    pub(crate) fn next_allowed(&self, now: Timestamp) -> Timestamp {
        let burst_tolerance = self.interval * self.burst.saturating_sub(1);
        let burst_tolerance = u64::try_from(burst_tolerance.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.theoretical_arrival.0.saturating_sub(burst_tolerance)).max(now)
    }

    /// Counts an append sent at `now`.
    pub(crate) fn record_append(&mut self, now: Timestamp) {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
    }
}
