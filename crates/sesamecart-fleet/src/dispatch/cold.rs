//! The rate of requests to cold endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The window in which requests to a cold endpoint are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The fraction of a cold endpoint's rate that one dispatcher assigns. Two dispatchers that don't hear of each other
/// stay below 1.5 times the rate.
const ASSIGNED_FRACTION: f64 = 0.7;

/// The requests that were sent to one endpoint in the last second.
///
/// They are also counted while it is warm, because it can turn cold at any moment.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends(VecDeque<Timestamp>);

impl RecentSends {
    /// Records a request that was sent at `sent_at`.
    pub(super) fn record(&mut self, now: Timestamp, sent_at: Timestamp) {
        while self.0.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.0.pop_front();
        }
        if now.since(sent_at) <= WINDOW {
            let position = self.0.partition_point(|at| *at <= sent_at);
            self.0.insert(position, sent_at);
        }
    }

    /// Returns whether a request was sent within the window.
    pub(super) fn are_recent(&self, now: Timestamp) -> bool {
        self.0
            .back()
            .is_some_and(|sent_at| now.since(*sent_at) <= WINDOW)
    }

    /// Returns when the endpoint may get a request while it is cold, or nothing if its rate is below what can be
    /// assigned in one window.
    pub(super) fn allowed_at(&self, cold_per_s: f64) -> Option<Timestamp> {
        let allowed = (ASSIGNED_FRACTION * cold_per_s).floor() as usize;
        if allowed == 0 {
            return None;
        }
        let oldest = self.0.len().checked_sub(allowed);
        let free_at = oldest.map(|index| self.0[index] + WINDOW + Duration::from_micros(1));
        Some(free_at.unwrap_or(Timestamp::ZERO))
    }
}
