//! Provisional drains, requested while the log is unavailable: nodes exchange them, and they expire.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{PublishId, Timestamp};
use thiserror::Error;

use crate::drain::DrainTarget;
use crate::record::{DecodeError, Record};
use crate::state::State;

/// The maximum lifetime of a provisional drain.
///
/// It must be longer than the outage during which an operator drains a failure domain. It is limited so that
/// a drain eventually ends on a node that is cut off from all others.
pub const PROVISIONAL_DRAIN_TTL: Duration = Duration::from_secs(30 * 60);

/// The maximum number of provisional drains on a node, limited because heartbeats contain them.
const MAX_PROVISIONAL_DRAINS: usize = 64;

/// A drain that is not in the log yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProvisionalDrain {
    /// The target of the drain.
    pub target: DrainTarget,
    /// The operator that requested the drain.
    pub author: String,
    /// When the drain was requested, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// The encoded record to append once the log is available.
    pub record: Vec<u8>,
    /// When the drain expires unless it appears in the log.
    pub expires_at: Timestamp,
}

/// The reason why a provisional drain is not accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ProvisionalError {
    /// The record can't be decoded.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The record is not the start of a drain.
    #[error("only the begin of a drain can be provisional")]
    Kind,
    /// The maximum number of provisional drains is reached.
    #[error("there are {MAX_PROVISIONAL_DRAINS} provisional drains already")]
    TooMany,
}

/// The provisional drains on a node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProvisionalDrains {
    by_id: IndexMap<PublishId, ProvisionalDrain>,
}

impl ProvisionalDrains {
    /// Adds a drain from an operator or another node and returns whether it is new.
    ///
    /// A drain that is already in the log, or has no time `remaining`, is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not the start of a drain, or if there are too many drains.
    pub fn add(
        &mut self,
        record: &[u8],
        remaining: Duration,
        state: &State,
        now: Timestamp,
    ) -> Result<bool, ProvisionalError> {
        let Record::Drain {
            publish_id,
            target,
            on: true,
            author,
            at_ms,
            ..
        } = Record::decode(record)?.record
        else {
            return Err(ProvisionalError::Kind);
        };
        let is_present = self.by_id.contains_key(&publish_id);
        if is_present || remaining.is_zero() || state.verdicts.contains_key(&publish_id) {
            return Ok(false);
        }
        if self.by_id.len() >= MAX_PROVISIONAL_DRAINS {
            return Err(ProvisionalError::TooMany);
        }
        let drain = ProvisionalDrain {
            target,
            author,
            at_ms,
            record: record.to_vec(),
            expires_at: now + remaining.min(PROVISIONAL_DRAIN_TTL),
        };
        self.by_id.insert(publish_id, drain);
        Ok(true)
    }

    /// Removes the drains that have expired or are now in the log, and returns whether it removed any.
    pub fn settle(&mut self, state: &State, now: Timestamp) -> bool {
        let before = self.by_id.len();
        self.by_id.retain(|publish_id, drain| {
            drain.expires_at > now && !state.verdicts.contains_key(publish_id)
        });
        self.by_id.len() != before
    }

    /// Returns the targets of all drains.
    #[must_use]
    pub fn targets(&self) -> IndexSet<DrainTarget> {
        self.by_id
            .values()
            .map(|drain| drain.target.clone())
            .collect()
    }

    /// Returns all drains with their publish ids.
    pub fn iter(&self) -> impl Iterator<Item = (&PublishId, &ProvisionalDrain)> {
        self.by_id.iter()
    }

    /// Returns the drain with a publish id.
    #[must_use]
    pub fn get(&self, publish_id: &PublishId) -> Option<&ProvisionalDrain> {
        self.by_id.get(publish_id)
    }

    /// Returns whether there are no provisional drains.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
