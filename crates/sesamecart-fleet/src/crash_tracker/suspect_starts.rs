//! Runs of suspected requests, one at a time on all nodes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Fingerprint, Timestamp};

/// The minimum time between the starts of two runs of a suspected request.
///
/// If it crashes its endpoint, all nodes hear of the crash in that time. Otherwise copies of it at several nodes
/// would crash the endpoint and its successors before that.
const MIN_START_INTERVAL: Duration = Duration::from_millis(1_500);

/// The maximum number of remembered requests. The one that was started first is forgotten first.
const MAX_REQUESTS: usize = 1_024;

/// Decides for all nodes when a suspected request may be started.
#[derive(Debug, Default)]
pub struct SuspectStarts {
    started_at: IndexMap<Fingerprint, Timestamp>,
}

impl SuspectStarts {
    /// Starts a run of a suspected request.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may be started, if it has been started too recently.
    pub fn try_start(&mut self, now: Timestamp, request: Fingerprint) -> Result<(), Duration> {
        self.started_at
            .retain(|_, started_at| now.since(*started_at) < MIN_START_INTERVAL);
        if let Some(started_at) = self.started_at.get(&request) {
            return Err(MIN_START_INTERVAL.saturating_sub(now.since(*started_at)));
        }
        if self.started_at.len() >= MAX_REQUESTS {
            self.started_at.shift_remove_index(0);
        }
        self.started_at.insert(request, now);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
