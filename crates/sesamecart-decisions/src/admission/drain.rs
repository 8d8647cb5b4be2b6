//! How fast a busy queue drains.

use std::time::Duration;

use sesamecart_vocabulary::{Timestamp, Tokens};

/// Estimates a queue's drain rate in tokens a second from the times at which it was busy.
///
/// While nothing waits, work starts as it arrives, which says how much was asked and not how much
/// can be done. Sampling it then would make the first requests of a burst look hopeless and
/// refuse them falsely, so only busy time counts and a rate is forgotten when the queue empties.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    window: Duration,
    began: Option<Timestamp>,
    started: u64,
    rate: Option<f64>,
}

/// The weight of a new sample against the older ones.
const NEW_SAMPLE: f64 = 0.4;

impl DrainRate {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            began: None,
            started: 0,
            rate: None,
        }
    }

    /// Notes that work of `cost` left the queue while it was busy.
    pub(super) const fn leave(&mut self, cost: Tokens) {
        self.started += cost.0;
    }

    /// Notes whether anything waits now.
    pub(super) fn tick(&mut self, now: Timestamp, busy: bool) {
        if !busy {
            self.began = None;
            self.started = 0;
            self.rate = None;
            return;
        }
        let began = *self.began.get_or_insert(now);
        let span = now - began;
        if span < self.window {
            return;
        }
        let sample = self.started as f64 / span.as_secs_f64();
        self.rate = Some(match self.rate {
            Some(rate) => rate + NEW_SAMPLE * (sample - rate),
            None => sample,
        });
        self.began = Some(now);
        self.started = 0;
    }

    /// Returns how long `ahead` takes to drain, or nothing while the rate isn't known.
    pub(super) fn time_for(&self, ahead: f64) -> Option<Duration> {
        /// Waits longer than this are all alike.
        const LONGEST_S: f64 = 3_600.0;
        let rate = self.rate?;
        let seconds = if rate > 0.0 { ahead / rate } else { LONGEST_S };
        Some(Duration::from_secs_f64(seconds.min(LONGEST_S)))
    }
}
