//! When a caller who was turned away by a full service may come back.
//!
//! It answers a load that has turned into repeats: callers who all come back before places have become free
//! are turned away again, beside those who come for the first time. Each gets a time of its own, one after
//! the other at the pace at which places become free, so the more come back the longer it takes.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use crate::fading::FadingRate;

#[cfg(test)]
mod tests;

/// The shortest time: a place becomes free about as soon.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The longest time; who waits longer has little of its deadline left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// The time over which it is taken how fast places become free.
const SERVED_WINDOW: Duration = Duration::from_secs(3);

/// The part of the places that become free which those who come back may get; the others are for new callers.
const RETRIES_PART: f64 = 0.5;

/// When the callers that one node turned away from a full service come back.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    served: FadingRate,
    /// When the caller who is turned away next may come back, if nobody else has come back by then.
    next_at: Timestamp,
}

impl Default for RetrySchedule {
    fn default() -> Self {
        Self {
            served: FadingRate::new(SERVED_WINDOW),
            next_at: Timestamp::ZERO,
        }
    }
}

impl RetrySchedule {
    /// Notes a request that was placed.
    pub fn note_placed(&mut self, now: Timestamp) {
        self.served.note(now, 1.0);
    }

    /// Returns when a caller may come back; `draw` from 0 to 1 keeps nodes from giving the same times.
    pub fn schedule(&mut self, now: Timestamp, draw: f64) -> Duration {
        let per_s = self.served.per_s(now) * RETRIES_PART;
        let pause = if per_s > 0.0 {
            Duration::from_secs_f64(1.0 / per_s).min(MAX_RETRY_AFTER)
        } else {
            MAX_RETRY_AFTER
        };
        let last = now + MAX_RETRY_AFTER;
        let from = self.next_at.max(now + MIN_RETRY_AFTER);
        self.next_at = (from + pause).min(last);
        if from + pause > last {
            // There is no later time, so these callers are spread over the last ones.
            return MAX_RETRY_AFTER.mul_f64(f64::midpoint(draw, 1.0));
        }
        from.since(now) + pause.mul_f64(draw)
    }
}
