//! A planned stop of this node: until when requests are served, and which ones are still taken.
//!
//! docs/design/stops.md describes the steps of a stop.

use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use sesamecart_runtime::{Signal, Trigger};
use sesamecart_vocabulary::Timestamp;

use crate::lock::lock;

#[cfg(test)]
mod tests;

/// The times of a stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    /// Until then, callers may not know yet that the node leaves.
    pub(crate) known_at: Timestamp,
    /// When requests without an answer get one.
    pub(crate) ends_at: Timestamp,
}

impl StopTimes {
    /// Returns whether a request is taken that may last for `time_limit` from now on.
    ///
    /// One that may be repeated is also taken while callers come that can't know of the stop: most end far below their
    /// limit, and its caller may send it again.
    pub(crate) fn allow(&self, now: Timestamp, time_limit: Duration, may_repeat: bool) -> bool {
        let can_end = now + time_limit <= self.ends_at;
        can_end || (may_repeat && now < self.known_at)
    }
}

/// The stop of this node.
#[derive(Debug)]
pub(crate) struct Stop {
    times: OnceLock<StopTimes>,
    /// Ends the handling of requests when it is set.
    trigger: Mutex<Trigger>,
    ended: Signal,
}

impl Stop {
    pub(crate) fn new() -> Self {
        let (trigger, ended) = Signal::new();
        Self {
            times: OnceLock::new(),
            trigger: Mutex::new(trigger),
            ended,
        }
    }

    /// Begins the stop. Further calls change nothing.
    pub(crate) fn begin(&self, times: StopTimes) {
        self.times.get_or_init(|| times);
    }

    /// Returns the times of the stop if it has begun.
    pub(crate) fn times(&self) -> Option<StopTimes> {
        self.times.get().copied()
    }

    /// Ends the handling of all requests.
    pub(crate) fn end_requests(&self) {
        lock(&self.trigger).set();
    }

    /// Waits until the handling of requests has to end.
    pub(crate) async fn wait_for_end(&self) {
        self.ended.wait().await;
    }
}
