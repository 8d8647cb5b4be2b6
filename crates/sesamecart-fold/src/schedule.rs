//! The schedule of checkpoints.

use std::time::Duration;

use sesamecart_vocabulary::{Offset, Timestamp};

use crate::state::State;

/// How often checkpoints are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointInterval {
    /// The maximum time between two checkpoints, which must be well below the log's retention.
    pub every: Duration,
    /// The maximum number of records between two checkpoints.
    pub records: u64,
}

/// Decides when this node writes a checkpoint.
///
/// If the log removes the last checkpoint before the next one is written, a new node has no state to start
/// from and never becomes ready. The holder of shard 0 writes the checkpoints. If the shard has no holder,
/// any node writes one after a longer time; a redundant checkpoint does no harm.
#[derive(Clone, Copy, Debug)]
pub struct CheckpointSchedule {
    pace: CheckpointInterval,
    /// The additional delay of this node while it is not the holder.
    fallback_delay: Duration,
    observed: Option<ObservedCheckpoint>,
}

/// The newest checkpoint that this node has observed, with the estimated time of its append.
#[derive(Clone, Copy, Debug)]
struct ObservedCheckpoint {
    offset: Option<Offset>,
    at: Timestamp,
}

impl CheckpointSchedule {
    /// Creates a schedule; `jitter`, from 0 to 1, prevents nodes from writing at the same time.
    #[must_use]
    pub fn new(pace: CheckpointInterval, jitter: f64) -> Self {
        Self {
            pace,
            fallback_delay: pace.every.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0)),
            observed: None,
        }
    }

    /// Returns whether this node should write a checkpoint now.
    pub fn is_due(&mut self, state: &State, is_holder: bool, now: Timestamp) -> bool {
        if state.next_offset == Offset(0) {
            return false;
        }
        let observed = self.observe(state, now);
        let fallback_delay = if is_holder {
            Duration::ZERO
        } else {
            self.fallback_delay
        };
        if now - observed.at >= self.pace.every + fallback_delay {
            return true;
        }
        let last = observed.offset.unwrap_or_default();
        let records = state.next_offset.0.saturating_sub(last.0);
        let max_records = if is_holder {
            self.pace.records
        } else {
            2 * self.pace.records
        };
        records >= max_records
    }

    /// Returns the newest checkpoint. Its age when first observed is taken from the log's clock.
    fn observe(&mut self, state: &State, now: Timestamp) -> ObservedCheckpoint {
        let offset = state.checkpoint.map(|position| position.offset);
        if let Some(observed) = self.observed.filter(|observed| observed.offset == offset) {
            return observed;
        }
        let age_ms = state.checkpoint.map_or(0, |position| {
            state.logged_at_ms.saturating_sub(position.logged_at_ms)
        });
        let observed = ObservedCheckpoint {
            offset,
            at: now - Duration::from_millis(age_ms),
        };
        self.observed = Some(observed);
        observed
    }
}
