//! Drains ordered while the log is out: they hold for a limited time and spread between nodes.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{PublishId, Timestamp};
use thiserror::Error;

use crate::drain::DrainTarget;
use crate::record::{DecodeError, Record};
use crate::state::State;

/// How long a provisional drain holds without the log.
///
/// It must outlast the outage in which an operator takes a domain out, but a drain that a node cut
/// off from all others keeps must end by itself at some time.
pub const PROVISIONAL_LIMIT: Duration = Duration::from_secs(30 * 60);

/// The most provisional drains that a node keeps, since they travel in heartbeats.
const MAX_PROVISIONAL: usize = 64;

/// A drain that the log doesn't have yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProvisionalDrain {
    /// What is drained.
    pub target: DrainTarget,
    /// Who ordered it.
    pub author: String,
    /// When, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// The record as it will be appended.
    pub record: Vec<u8>,
    /// When it ends unless the log confirms it.
    pub expires_at: Timestamp,
}

/// Why a provisional drain isn't taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ProvisionalError {
    /// The record can't be read.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The record isn't the begin of a drain.
    #[error("only the begin of a drain can be provisional")]
    Kind,
    /// There are too many.
    #[error("there are {MAX_PROVISIONAL} provisional drains already")]
    TooMany,
}

/// The provisional drains that a node knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProvisionalDrains {
    by_id: IndexMap<PublishId, ProvisionalDrain>,
}

impl ProvisionalDrains {
    /// Takes a drain that an operator ordered here or that another node passed on, and returns
    /// whether it is news.
    ///
    /// # Errors
    ///
    /// Returns an error for anything but the begin of a drain, and when there are too many.
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
        let is_known = self.by_id.contains_key(&publish_id);
        if is_known || remaining.is_zero() || state.verdicts.contains_key(&publish_id) {
            return Ok(false);
        }
        if self.by_id.len() >= MAX_PROVISIONAL {
            return Err(ProvisionalError::TooMany);
        }
        let drain = ProvisionalDrain {
            target,
            author,
            at_ms,
            record: record.to_vec(),
            expires_at: now + remaining.min(PROVISIONAL_LIMIT),
        };
        self.by_id.insert(publish_id, drain);
        Ok(true)
    }

    /// Drops what the log has meanwhile and what has expired; returns whether anything went.
    pub fn settle(&mut self, state: &State, now: Timestamp) -> bool {
        let before = self.by_id.len();
        self.by_id.retain(|publish_id, drain| {
            drain.expires_at > now && !state.verdicts.contains_key(publish_id)
        });
        self.by_id.len() != before
    }

    /// Returns what is drained.
    #[must_use]
    pub fn targets(&self) -> IndexSet<DrainTarget> {
        self.by_id
            .values()
            .map(|drain| drain.target.clone())
            .collect()
    }

    /// Returns every drain with its publish id.
    pub fn iter(&self) -> impl Iterator<Item = (&PublishId, &ProvisionalDrain)> {
        self.by_id.iter()
    }

    /// Returns the drain of a publish id.
    #[must_use]
    pub fn get(&self, publish_id: &PublishId) -> Option<&ProvisionalDrain> {
        self.by_id.get(publish_id)
    }

    /// Returns whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
