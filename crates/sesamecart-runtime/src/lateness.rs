//! How late the timers of a thread fire because it gets the processor late.
//!
//! Where processors are scarce, each step of an exchange waits for its thread. A timeout that doesn't allow for that
//! gives up what would have been done, and does it again, which makes the processors scarcer still.
//! docs/design/scarce-processors.md describes what follows from it.

use std::cell::Cell;
use std::time::Duration;

use crate::time::{Elapsed, sleep, with_timeout};

/// The longest delay of one timer that counts. A thread that was frozen for seconds isn't slow afterwards.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// The part of the estimate that one timer replaces, as a divisor.
const WEIGHT_DIVISOR: u32 = 4;

/// Below this, timers count as firing on time.
const MIN_LATENESS: Duration = Duration::from_millis(20);

/// How often threads wait for the processor during an exchange with a peer: the event loop's and the one that it wakes, when
/// the connection is open, when the peer accepts it, when the question is there, and when its answer is.
const WAITS_PER_EXCHANGE: u32 = 8;

/// The longest time that is added to a timeout.
const MAX_PATIENCE: Duration = Duration::from_secs(2);

/// The time that is added to the intervals of work that can wait, as a multiple of the lateness, and at most.
const INTERVAL_FACTOR: u32 = 4;
const MAX_ADDED_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    static LATENESS: Cell<Lateness> = const { Cell::new(Lateness::new()) };
}

/// An estimate of how late the timers of a thread fire.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lateness(Duration);

impl Lateness {
    const fn new() -> Self {
        Self(Duration::ZERO)
    }

    /// Returns the estimate after a timer has fired `delay` after it was due.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        let kept = self.0 - self.0 / WEIGHT_DIVISOR;
        Self(kept + delay.min(MAX_DELAY) / WEIGHT_DIVISOR)
    }

    /// Returns how late timers fire, zero if they are on time.
    #[must_use]
    pub fn delay(self) -> Duration {
        if self.0 < MIN_LATENESS {
            return Duration::ZERO;
        }
        self.0
    }

    /// Returns the time that an exchange with a peer may take longer. The peer is taken to be as late as this thread.
    #[must_use]
    pub fn patience(self) -> Duration {
        (self.delay() * WAITS_PER_EXCHANGE).min(MAX_PATIENCE)
    }

    /// Returns the time that is added to the intervals of work that can wait.
    #[must_use]
    pub fn added_interval(self) -> Duration {
        (self.delay() * INTERVAL_FACTOR).min(MAX_ADDED_INTERVAL)
    }
}

/// Returns how late the timers of this thread fire.
#[must_use]
pub fn lateness() -> Lateness {
    LATENESS.get()
}

pub(crate) fn record_delay(delay: Duration) {
    LATENESS.set(LATENESS.get().after(delay));
}

/// Waits between two rounds of work that can wait: for `interval`, and longer if this thread is late, so that the work
/// takes less of a scarce processor.
pub async fn sleep_paced(interval: Duration) {
    sleep(interval + lateness().added_interval()).await;
}

/// Runs an exchange with a peer, with a timeout that is longer if this thread is late.
///
/// # Errors
///
/// Returns [`Elapsed`] if the future hasn't completed in time. The future is then dropped.
pub async fn with_patience<T>(
    limit: Duration,
    exchange: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    with_timeout(limit + lateness().patience(), exchange).await
}

#[cfg(test)]
mod tests;
