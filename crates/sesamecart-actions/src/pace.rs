//! The rate at which one node appends to the log.
//!
//! Many callers with keys at once would make a node append as fast as the log answers. The log
//! takes several hundred appends a second from all nodes together and refuses the rest, so each node
//! keeps to its share; what waits meanwhile goes into one larger append. A short burst stays
//! unpaced, so that a single booking waits for nothing but the log.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// A rate limit that earns one append each interval, up to a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    interval: Duration,
    burst: u32,
    /// When the append after a whole burst would be due.
    next: Timestamp,
}

impl Pace {
    pub(crate) const fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst,
            next: Timestamp::ZERO,
        }
    }

    /// Returns when the next append may go out.
    pub(crate) fn due(&self, now: Timestamp) -> Timestamp {
        let ahead = self.interval * self.burst.saturating_sub(1);
        let ahead = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.next.0.saturating_sub(ahead)).max(now)
    }

    pub(crate) fn spend(&mut self, now: Timestamp) {
        self.next = self.next.max(now) + self.interval;
    }
}
