//! Scheduling of retries by callers whose requests were refused by a full service.
//!
//! If all refused callers return before any slot is free, they are refused again, together with new
//! callers, and the load consists mostly of retries. So each refused caller gets a time slot of its own, at
//! the rate at which the service frees its slots. The more callers retry, the later each of them returns.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use crate::decay::DecayingRate;

#[cfg(test)]
mod tests;

/// The minimum delay: about the time until a slot becomes free.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The maximum delay. After a longer one, little of the caller's deadline would be left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// The time constant of the measured rate of placed requests.
const PLACED_WINDOW: Duration = Duration::from_secs(3);

/// The fraction of freed slots that is assigned to retries; the rest is for new callers.
const RETRY_FRACTION: f64 = 0.5;

/// The retry times of the callers that one node refused because a service was full.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    placed: DecayingRate,
    /// The earliest retry time of the next refused caller.
    next_at: Timestamp,
}

impl Default for RetrySchedule {
    fn default() -> Self {
        Self {
            placed: DecayingRate::new(PLACED_WINDOW),
            next_at: Timestamp::ZERO,
        }
    }
}

impl RetrySchedule {
    /// Records a placed request.
    pub fn record_placed(&mut self, now: Timestamp) {
        self.placed.record(now, 1.0);
    }

    /// Returns the delay after which a caller may retry. `draw` is a random number between 0 and 1, which
    /// keeps nodes from assigning the same times.
    pub fn schedule(&mut self, now: Timestamp, draw: f64) -> Duration {
        let per_s = self.placed.per_s(now) * RETRY_FRACTION;
        let interval = if per_s > 0.0 {
            Duration::from_secs_f64(1.0 / per_s).min(MAX_RETRY_AFTER)
        } else {
            MAX_RETRY_AFTER
        };
        let latest = now + MAX_RETRY_AFTER;
        let start = self.next_at.max(now + MIN_RETRY_AFTER);
        self.next_at = (start + interval).min(latest);
        if start + interval > latest {
            // The schedule is full up to the maximum delay, so these callers are spread over its second
            // half.
            return MAX_RETRY_AFTER.mul_f64(f64::midpoint(draw, 1.0));
        }
        start.since(now) + interval.mul_f64(draw)
    }
}
