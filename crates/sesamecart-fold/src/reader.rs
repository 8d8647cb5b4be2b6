//! Reading of the log in pages, with recovery from a checkpoint if retention has removed records.

use std::cmp::Ordering;

use derive_more::Display;
use sesamecart_vocabulary::Offset;

use crate::checkpoint::CheckpointError;
use crate::fold::Fold;
use crate::record::Record;
use crate::state::State;
use crate::verdict::Applied;

/// An encoded record from the log or a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RawRecord<'a> {
    /// The offset of the record in the log.
    pub offset: Offset,
    /// When the record was appended, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// The encoded record.
    pub data: &'a [u8],
}

/// The bounds of the log when a page was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PageBounds {
    /// The oldest offset that the log retains.
    pub first: Offset,
    /// The offset of the next append.
    pub next: Offset,
}

/// The effect of a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageOutcome {
    /// Whether a checkpoint in the page replaced the state.
    pub adopted: bool,
    /// The effect of each record that was applied.
    pub applied: Vec<AppliedRecord>,
    /// The status of the reader after the page.
    pub status: ReaderStatus,
}

/// The effect of the record at one offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedRecord {
    /// The offset of the record.
    pub offset: Offset,
    /// The effect of the record.
    pub applied: Applied,
}

/// The status of a reader in relation to the log.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReaderStatus {
    /// The state includes every record of the log.
    #[display("at the tail")]
    AtTail,
    /// The log's end is before the state's next offset, so the log's response is outdated. If this persists,
    /// it must raise an alarm.
    #[display("ahead of the log's answer")]
    LogOutdated,
    /// There are more records to read.
    #[display("behind the tail")]
    Behind,
    /// Retention has removed records that the state needs, and the reader searches for a checkpoint.
    #[display("looking for a checkpoint")]
    SeekingCheckpoint,
    /// The log has no usable checkpoint, so only a peer's state can help. It must raise an alarm.
    #[display("without a checkpoint that helps")]
    NoCheckpoint,
}

/// Reads pages of the log into a fold.
///
/// The log removes records after its retention time. A node that was offline for longer, or that is new,
/// must not continue with the remaining records, since it would miss the changes in the removed ones. It
/// searches for a checkpoint instead, and adopts only one that isn't older than its own state.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    fold: Fold,
    /// While the reader searches for a checkpoint, the offset where the search continues.
    seek: Option<Offset>,
}

impl LogReader {
    /// Creates a reader that continues from the state of a fold.
    #[must_use]
    pub const fn new(fold: Fold) -> Self {
        Self { fold, seek: None }
    }

    /// Returns the fold.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the offset of the next page to read.
    #[must_use]
    pub fn next_read_offset(&self) -> Offset {
        self.seek.unwrap_or(self.fold.state().next_offset)
    }

    /// Applies a page, which must start at [`LogReader::next_read_offset`].
    pub fn take<'a>(
        &mut self,
        bounds: PageBounds,
        records: impl IntoIterator<Item = RawRecord<'a>>,
    ) -> PageOutcome {
        let mut applied = Vec::new();
        let mut adopted = false;
        let is_missing = self.fold.state().next_offset < bounds.first;
        self.seek = match self.seek {
            Some(seek) if is_missing => Some(seek.max(bounds.first)),
            None if is_missing => Some(bounds.first),
            _ => None,
        };
        for record in records {
            if self.seek.is_some() {
                adopted |= self.adopt_checkpoint(bounds, record);
                continue;
            }
            let outcome = self
                .fold
                .apply(record.offset, record.logged_at_ms, record.data);
            if outcome != Applied::AlreadyApplied {
                applied.push(AppliedRecord {
                    offset: record.offset,
                    applied: outcome,
                });
            }
        }
        PageOutcome {
            adopted,
            applied,
            status: self.status(bounds),
        }
    }

    /// Applies records from a peer as far as they continue the state without a gap.
    ///
    /// A peer retains only the newest records, so a gap doesn't mean that the log has lost records. It
    /// therefore starts no search for a checkpoint.
    pub fn apply_peer_records<'a>(
        &mut self,
        records: impl IntoIterator<Item = RawRecord<'a>>,
    ) -> Vec<AppliedRecord> {
        let mut applied = Vec::new();
        for record in records {
            let outcome = self
                .fold
                .apply(record.offset, record.logged_at_ms, record.data);
            if !matches!(outcome, Applied::AlreadyApplied | Applied::Gap { .. }) {
                applied.push(AppliedRecord {
                    offset: record.offset,
                    applied: outcome,
                });
            }
        }
        applied
    }

    /// Adopts the state of a peer and ends a search for a checkpoint.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the current state, if the peer's state is older.
    pub fn adopt(&mut self, state: State) -> Result<(), CheckpointError> {
        self.fold.adopt(state)?;
        self.seek = None;
        Ok(())
    }

    /// Adopts the state if the record is a usable checkpoint, and returns whether it was.
    ///
    /// A checkpoint is usable only if the log still retains every record after it. Otherwise there would
    /// still be a gap, only at another offset.
    fn adopt_checkpoint(&mut self, bounds: PageBounds, record: RawRecord<'_>) -> bool {
        self.seek = Some(record.offset.next());
        let Ok(envelope) = Record::decode(record.data) else {
            return false;
        };
        let Record::Checkpoint { state } = envelope.record else {
            return false;
        };
        let closes_gap = state.next_offset >= bounds.first && state.next_offset <= record.offset;
        let adopted = closes_gap && self.fold.adopt(*state).is_ok();
        if adopted {
            self.seek = None;
        }
        adopted
    }

    fn status(&self, bounds: PageBounds) -> ReaderStatus {
        match self.seek {
            Some(seek) if seek >= bounds.next => ReaderStatus::NoCheckpoint,
            Some(_) => ReaderStatus::SeekingCheckpoint,
            None => match self.fold.state().next_offset.cmp(&bounds.next) {
                Ordering::Less => ReaderStatus::Behind,
                Ordering::Equal => ReaderStatus::AtTail,
                // The response of a lagging replica of the log must not be treated as the log's tail. A
                // lease would be renewed by a read that can't include a newer claim.
                Ordering::Greater => ReaderStatus::LogOutdated,
            },
        }
    }
}
