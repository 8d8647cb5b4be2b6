//! Reading the log page by page, also across a gap that retention made.

use std::cmp::Ordering;

use derive_more::Display;
use sesamecart_vocabulary::Offset;

use crate::checkpoint::CheckpointError;
use crate::fold::Fold;
use crate::record::Record;
use crate::state::State;
use crate::verdict::Applied;

/// One record as the log or a peer hands it over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RawRecord<'a> {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// Its bytes.
    pub data: &'a [u8],
}

/// The bounds of a page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PageBounds {
    /// The oldest offset that is kept.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
}

/// What a page did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageRead {
    /// Whether a checkpoint in the page replaced the state.
    pub adopted: bool,
    /// What each record did that was applied.
    pub applied: Vec<AppliedAt>,
    /// Where the reader stands now.
    pub standing: Standing,
}

/// What the record at one offset did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedAt {
    /// Where the record stands.
    pub offset: Offset,
    /// What it did.
    pub applied: Applied,
}

/// Where a reader stands.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Standing {
    /// The state is as new as the log's tail.
    #[display("at the tail")]
    AtTail,
    /// The log's end lies before the state's, so its answer is an old one. It needs an alarm if it
    /// stays so.
    #[display("ahead of the log's answer")]
    Ahead,
    /// There is more to read.
    #[display("behind the tail")]
    Behind,
    /// Records are gone that the state needs; a checkpoint is looked for.
    #[display("looking for a checkpoint")]
    Seeking,
    /// No checkpoint in the log helps; only a peer's state does. It needs an alarm.
    #[display("without a checkpoint that helps")]
    Stranded,
}

/// Reads pages of the log into a fold.
///
/// The log forgets records after its retention. A node that was away for longer, or that starts
/// new, must not go on from what is left: it would miss the changes that are gone. It looks for a
/// checkpoint instead, and takes only one that doesn't go back behind its own state.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    fold: Fold,
    seek: Option<Offset>,
}

impl LogReader {
    /// Starts with a fold.
    #[must_use]
    pub const fn new(fold: Fold) -> Self {
        Self { fold, seek: None }
    }

    /// Returns the fold.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub fn wants(&self) -> Offset {
        self.seek.unwrap_or(self.fold.state().next_offset)
    }

    /// Takes one page, which must have been read from [`LogReader::wants`].
    pub fn take<'a>(
        &mut self,
        bounds: PageBounds,
        records: impl IntoIterator<Item = RawRecord<'a>>,
    ) -> PageRead {
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
                adopted |= self.look_at(bounds, record);
                continue;
            }
            let outcome = self
                .fold
                .apply(record.offset, record.logged_at_ms, record.data);
            if outcome != Applied::Before {
                applied.push(AppliedAt {
                    offset: record.offset,
                    applied: outcome,
                });
            }
        }
        PageRead {
            adopted,
            applied,
            standing: self.standing(bounds),
        }
    }

    /// Takes records that a peer passes on, as far as they go on from the state.
    ///
    /// A peer keeps only the newest records, so what it lacks says nothing about the log; a gap
    /// starts no search for a checkpoint.
    pub fn take_from_peer<'a>(
        &mut self,
        records: impl IntoIterator<Item = RawRecord<'a>>,
    ) -> Vec<AppliedAt> {
        let mut applied = Vec::new();
        for record in records {
            let outcome = self
                .fold
                .apply(record.offset, record.logged_at_ms, record.data);
            if !matches!(outcome, Applied::Before | Applied::Gap { .. }) {
                applied.push(AppliedAt {
                    offset: record.offset,
                    applied: outcome,
                });
            }
        }
        applied
    }

    /// Takes a peer's state, which may end a search for a checkpoint.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the own state, if the peer's is older.
    pub fn adopt(&mut self, state: State) -> Result<(), CheckpointError> {
        self.fold.adopt(state)?;
        self.seek = None;
        Ok(())
    }

    /// Takes the checkpoint in a record, if it is one that helps, and returns whether it was.
    ///
    /// It helps only if every record that it doesn't cover is still kept; otherwise the gap would
    /// merely move.
    fn look_at(&mut self, bounds: PageBounds, record: RawRecord<'_>) -> bool {
        self.seek = Some(record.offset.next());
        let Ok(envelope) = Record::decode(record.data) else {
            return false;
        };
        let Record::Checkpoint { state } = envelope.record else {
            return false;
        };
        let reaches = state.next_offset >= bounds.first && state.next_offset <= record.offset;
        let adopted = reaches && self.fold.adopt(*state).is_ok();
        if adopted {
            self.seek = None;
        }
        adopted
    }

    fn standing(&self, bounds: PageBounds) -> Standing {
        match self.seek {
            Some(seek) if seek >= bounds.next => Standing::Stranded,
            Some(_) => Standing::Seeking,
            None => match self.fold.state().next_offset.cmp(&bounds.next) {
                Ordering::Less => Standing::Behind,
                Ordering::Equal => Standing::AtTail,
                // A copy of the log that lags must not count as its tail: a lease would be renewed
                // by a read that can't show the claim against it.
                Ordering::Greater => Standing::Ahead,
            },
        }
    }
}
