//! Checkpoints: snapshots of the state in the log, which replace records beyond the log's retention.

use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Offset, Revision};
use thiserror::Error;

use crate::fold::Fold;
use crate::record::Record;
use crate::state::State;

/// The position of the newest checkpoint in the log, used to schedule the next one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CheckpointPosition {
    /// The offset of the checkpoint in the log.
    pub offset: Offset,
    /// The next offset of the state in the checkpoint; it includes every record before it.
    pub covers: Offset,
    /// When the checkpoint was appended, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
}

/// The reason why a checkpoint can't replace a state.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CheckpointError {
    /// The checkpoint has an older configuration, so adopting it would revert a change in force.
    #[error("the checkpoint holds revision {found}, below revision {own} in force here")]
    OlderRevision {
        /// The checkpoint's revision.
        found: Revision,
        /// The revision in force.
        own: Revision,
    },
    /// The checkpoint ends at the same offset but lacks keyed actions.
    #[error("the checkpoint goes no further and knows fewer keyed actions")]
    FewerActions,
    /// The checkpoint ends before the state.
    #[error("the checkpoint goes up to offset {found}, but this node has read up to {own}")]
    OlderOffset {
        /// The checkpoint's next offset.
        found: Offset,
        /// The state's next offset.
        own: Offset,
    },
}

impl Fold {
    /// Returns a checkpoint record for the log, without the keyed actions.
    ///
    /// An hour of keyed actions can take tens of megabytes. If each checkpoint repeated them, reading
    /// checkpoints would use up every node's share of the network. They remain in the original records,
    /// which the log must retain for more than an hour.
    #[must_use]
    pub fn checkpoint(&self) -> Record {
        Record::Checkpoint {
            state: Box::new(self.state().without_actions()),
        }
    }

    /// Returns a checkpoint record for a peer, with the whole state including the keyed actions.
    #[must_use]
    pub fn checkpoint_with_actions(&self) -> Record {
        Record::Checkpoint {
            state: Box::new(self.state().clone()),
        }
    }

    /// Creates a fold from a checkpoint's state.
    #[must_use]
    pub fn from_checkpoint(state: State) -> Self {
        Self::with_state(state)
    }

    /// Replaces the state with that of a checkpoint, unless the checkpoint is older.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the state, if the checkpoint is older. After an outage longer than the
    /// log's retention, a node may find only an old checkpoint. Adopting it would restore yesterday's
    /// configuration, and requests would be routed to endpoints that no longer exist.
    pub fn adopt(&mut self, state: State) -> Result<(), CheckpointError> {
        let own = self.state();
        if state.revision < own.revision {
            return Err(CheckpointError::OlderRevision {
                found: state.revision,
                own: own.revision,
            });
        }
        if state.next_offset < own.next_offset {
            return Err(CheckpointError::OlderOffset {
                found: state.next_offset,
                own: own.next_offset,
            });
        }
        if state.next_offset == own.next_offset && own.has_all_actions() && !state.has_all_actions()
        {
            return Err(CheckpointError::FewerActions);
        }
        let previous = std::mem::take(self).into_state();
        *self = Self::with_state(state.with_actions_of(previous));
        Ok(())
    }
}
