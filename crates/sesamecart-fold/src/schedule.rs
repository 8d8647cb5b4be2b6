//! When the next checkpoint is due.

use std::time::Duration;

use sesamecart_vocabulary::{Offset, Timestamp};

use crate::state::State;

/// How often checkpoints are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointPace {
    /// The longest time between two; well below the log's retention.
    pub every: Duration,
    /// The most records between two.
    pub records: u64,
}

/// Tells when the next checkpoint is due.
///
/// If none is written before the log forgets the last one, a new node finds nothing to start from;
/// one would notice it as nodes that never become ready. The holder of shard 0 writes them. Should
/// it have none, any node does after a longer time; a second checkpoint does no harm.
#[derive(Clone, Copy, Debug)]
pub struct CheckpointSchedule {
    pace: CheckpointPace,
    /// How much later than the holder this node would write one.
    lateness: Duration,
    seen: Option<SeenMark>,
}

/// The newest checkpoint as this node saw it.
#[derive(Clone, Copy, Debug)]
struct SeenMark {
    offset: Option<Offset>,
    at: Timestamp,
}

impl CheckpointSchedule {
    /// Makes a schedule; `spread` from 0 to 1 keeps nodes from writing at the same moment.
    #[must_use]
    pub fn new(pace: CheckpointPace, spread: f64) -> Self {
        Self {
            pace,
            lateness: pace.every.mul_f64(0.5 + 0.5 * spread.clamp(0.0, 1.0)),
            seen: None,
        }
    }

    /// Returns whether this node should write a checkpoint now.
    pub fn is_due(&mut self, state: &State, is_holder: bool, now: Timestamp) -> bool {
        if state.next_offset == Offset(0) {
            return false;
        }
        let seen = self.see(state, now);
        let lateness = if is_holder {
            Duration::ZERO
        } else {
            self.lateness
        };
        if now - seen.at >= self.pace.every + lateness {
            return true;
        }
        let last = seen.offset.unwrap_or_default();
        let records = state.next_offset.0.saturating_sub(last.0);
        let most = if is_holder {
            self.pace.records
        } else {
            2 * self.pace.records
        };
        records >= most
    }

    /// Notes the newest checkpoint, with the age that the log's clock gives it at first sight.
    fn see(&mut self, state: &State, now: Timestamp) -> SeenMark {
        let offset = state.checkpoint.map(|mark| mark.offset);
        if let Some(seen) = self.seen.filter(|seen| seen.offset == offset) {
            return seen;
        }
        let age_ms = state.checkpoint.map_or(0, |mark| {
            state.logged_at_ms.saturating_sub(mark.logged_at_ms)
        });
        let seen = SeenMark {
            offset,
            at: now - Duration::from_millis(age_ms),
        };
        self.seen = Some(seen);
        seen
    }
}
