//! Checkpoints: the whole state, kept in the log beyond the retention of the records behind it.

use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Offset, Revision};
use thiserror::Error;

use crate::fold::Fold;
use crate::record::Record;
use crate::state::State;

/// The newest checkpoint in the log, from which its holder sees when the next is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CheckpointMark {
    /// Where the checkpoint stands in the log.
    pub offset: Offset,
    /// The offset that it goes up to.
    pub covers: Offset,
    /// When the log took it, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
}

/// Why a checkpoint can't replace a state.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CheckpointError {
    /// It holds an older configuration; taking it would revert a change in force.
    #[error("the checkpoint holds revision {found}, below revision {own} in force here")]
    OlderRevision {
        /// The checkpoint's revision.
        found: Revision,
        /// The revision in force.
        own: Revision,
    },
    /// It knows fewer keyed actions.
    #[error("the checkpoint goes no further and knows fewer keyed actions")]
    FewerActions,
    /// It ends before the state does.
    #[error("the checkpoint goes up to offset {found}, but this node has read up to {own}")]
    OlderOffset {
        /// The checkpoint's next offset.
        found: Offset,
        /// The state's next offset.
        own: Offset,
    },
}

impl Fold {
    /// Returns the state as a record for the log, without the keyed actions.
    ///
    /// An hour of keyed actions can take tens of megabytes. Writing them again with each checkpoint
    /// would spend every node's share of the network on reading them. They stay in the records that
    /// told of them, which the log must keep for longer than the hour.
    #[must_use]
    pub fn checkpoint(&self) -> Record {
        Record::Checkpoint {
            state: Box::new(self.state().without_actions()),
        }
    }

    /// Returns the whole state as a record for a peer.
    #[must_use]
    pub fn hand_over(&self) -> Record {
        Record::Checkpoint {
            state: Box::new(self.state().clone()),
        }
    }

    /// Starts from a checkpoint.
    #[must_use]
    pub fn from_checkpoint(state: State) -> Self {
        Self::with_state(state)
    }

    /// Replaces the state by a checkpoint that knows at least as much.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the state, if the checkpoint is older. After an outage longer
    /// than the log's retention an old checkpoint may be all that a node finds; taking it would put
    /// yesterday's configuration back in force, and callers would reach endpoints that are gone.
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
        if state.next_offset == own.next_offset && own.knows_actions() && !state.knows_actions() {
            return Err(CheckpointError::FewerActions);
        }
        let own = std::mem::take(self).into_state();
        *self = Self::with_state(state.with_actions_of(own));
        Ok(())
    }
}
