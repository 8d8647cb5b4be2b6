//! The folded log of one node, and what it keeps to pass on to others.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use sesamecart_edges::{LogPage, LoggedRecord};
use sesamecart_fold::{
    AppliedRecord, CheckpointError, LogReader, PageBounds, PageOutcome, ProvisionalDrains,
    ProvisionalError, RawRecord, ReaderStatus, Record, State,
};
use sesamecart_vocabulary::{Offset, Timestamp};

use crate::shared::Shared;
use crate::snapshot::Snapshot;

/// The most records that are kept for nodes cut off from the log.
const KEPT_RECORDS: usize = 2_000;

/// The most bytes of such records.
const KEPT_BYTES: usize = 8 * 1024 * 1024;

/// The folded log.
///
/// Its lock is only held for the length of a call and never across a wait.
#[derive(Debug, Default)]
pub(crate) struct Folded(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    reader: LogReader,
    drains: ProvisionalDrains,
    recent: Recent,
    log_answers: bool,
    /// When the log last answered.
    log_answered_at: Timestamp,
    standing: Option<ReaderStatus>,
    /// The log's tail when this process first read it.
    settled_from: Option<Offset>,
    /// Who waits for a record to be applied; dropping a sender ends its wait.
    waiting: Vec<(Offset, Sender<()>)>,
}

/// The newest records as they stand in the log, without gaps.
#[derive(Debug, Default)]
struct Recent {
    records: VecDeque<LoggedRecord>,
    bytes: usize,
}

/// Records for a node that is cut off from the log.
#[derive(Debug)]
pub(crate) struct PassedOn {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    pub(crate) records: Vec<LoggedRecord>,
}

impl Folded {
    /// Returns something of the state.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(self.lock().reader.fold().state())
    }

    /// Returns something of the state and of the provisional drains.
    pub(crate) fn with_drains<T>(&self, f: impl FnOnce(&State, &ProvisionalDrains) -> T) -> T {
        let inner = self.lock();
        f(inner.reader.fold().state(), &inner.drains)
    }

    /// Returns the state as a record for the log.
    pub(crate) fn checkpoint(&self) -> Record {
        self.lock().reader.fold().checkpoint()
    }

    /// Returns the whole state as a record for another node.
    pub(crate) fn hand_over(&self) -> Record {
        self.lock().reader.fold().checkpoint_with_actions()
    }

    /// Returns the offset to read from next.
    pub(crate) fn wants(&self) -> Offset {
        self.lock().reader.next_read_offset()
    }

    /// Returns whether the last read of the log was answered.
    pub(crate) fn log_answers(&self) -> bool {
        self.lock().log_answers
    }

    pub(crate) fn note_log(&self, answers: bool, now: Timestamp) {
        let mut inner = self.lock();
        inner.log_answers = answers;
        if answers {
            inner.log_answered_at = now;
        }
    }

    pub(crate) fn note_standing(&self, standing: ReaderStatus) {
        self.lock().standing = Some(standing);
    }

    /// Returns whether the log doesn't help this node, so that it needs others.
    ///
    /// It doesn't either if it hasn't answered for `silence`.
    pub(crate) fn needs_peers(&self, silence: Duration, now: Timestamp) -> bool {
        let inner = self.lock();
        let is_silent = now - inner.log_answered_at > silence;
        is_silent || !inner.log_answers || inner.standing == Some(ReaderStatus::NoCheckpoint)
    }

    /// Folds a page of the log.
    pub(crate) fn take_page(&self, page: &LogPage) -> PageOutcome {
        let mut inner = self.lock();
        let bounds = PageBounds {
            first: page.first,
            next: page.next,
        };
        let read = inner.reader.take(bounds, page.records.iter().map(raw));
        inner.recent.keep(&page.records, &read.applied);
        if read.status == ReaderStatus::AtTail {
            let next = inner.reader.fold().state().next_offset;
            inner.settled_from.get_or_insert(next);
        }
        inner.wake();
        read
    }

    /// Folds records that another node passed on.
    pub(crate) fn take_from_peer(&self, records: &[LoggedRecord]) -> Vec<AppliedRecord> {
        let mut inner = self.lock();
        let applied = inner.reader.apply_peer_records(records.iter().map(raw));
        inner.recent.keep(records, &applied);
        inner.wake();
        applied
    }

    /// Takes another node's state, if it is newer.
    pub(crate) fn adopt(&self, state: State) -> Result<(), CheckpointError> {
        let mut inner = self.lock();
        inner.reader.adopt(state)?;
        inner.recent = Recent::default();
        inner.wake();
        Ok(())
    }

    /// Returns the log's tail when this process first read it.
    pub(crate) fn settled_from(&self) -> Option<Offset> {
        self.lock().settled_from
    }

    /// Returns once the record at `offset` is applied.
    pub(crate) async fn applied(&self, offset: Offset) {
        let done = {
            let mut inner = self.lock();
            if inner.reader.fold().state().next_offset > offset {
                return;
            }
            let (applied, done) = async_channel::bounded(1);
            inner.waiting.push((offset, applied));
            done
        };
        let _ended = done.recv().await;
    }

    /// Returns records for a node that is cut off from the log.
    pub(crate) fn pass_on(&self, from: Offset, limit: usize) -> PassedOn {
        let inner = self.lock();
        let next = inner.reader.fold().state().next_offset;
        let kept = &inner.recent.records;
        let wanted = kept.iter().filter(|record| record.offset >= from);
        PassedOn {
            first: kept.front().map_or(next, |record| record.offset),
            next,
            records: wanted.take(limit).cloned().collect(),
        }
    }

    /// Takes a provisional drain and returns whether it is news.
    pub(crate) fn add_drain(
        &self,
        record: &[u8],
        remaining: Duration,
        now: Timestamp,
    ) -> Result<bool, ProvisionalError> {
        let inner = &mut *self.lock();
        let state = inner.reader.fold().state();
        inner.drains.add(record, remaining, state, now)
    }

    /// Drops provisional drains that the log has or that expired; returns whether any went.
    pub(crate) fn settle_drains(&self, now: Timestamp) -> bool {
        let inner = &mut *self.lock();
        inner.drains.settle(inner.reader.fold().state(), now)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Ends the wait for what has been applied.
    fn wake(&mut self) {
        let next = self.reader.fold().state().next_offset;
        self.waiting.retain(|(offset, _)| *offset >= next);
    }
}

impl Recent {
    /// Keeps the records that were applied.
    fn keep(&mut self, records: &[LoggedRecord], applied: &[AppliedRecord]) {
        let (Some(first), Some(last)) = (applied.first(), applied.last()) else {
            return;
        };
        for record in records {
            if record.offset < first.offset || record.offset > last.offset {
                continue;
            }
            let follows = self.records.back().map(|last| last.offset.next());
            if follows.is_some_and(|next| next != record.offset) {
                *self = Self::default();
            }
            self.bytes += record.data.len();
            self.records.push_back(record.clone());
        }
        while self.records.len() > KEPT_RECORDS || self.bytes > KEPT_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.data.len();
        }
    }
}

impl Shared {
    /// Shows the traffic threads the newest state.
    pub(crate) fn refresh_snapshot(&self) {
        let previous = self.snapshot.load();
        let snapshot = self
            .folded
            .with_drains(|state, drains| Snapshot::after(&previous, state, &drains.targets()));
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Takes a provisional drain and puts it in force here.
    pub(crate) fn take_provisional(&self, record: &[u8], remaining: Duration) -> bool {
        match self.folded.add_drain(record, remaining, self.clock.now()) {
            Ok(true) => {
                log::warn!("fold: a provisional drain is in force, since the log is out.");
                self.refresh_snapshot();
                true
            }
            Ok(false) => false,
            Err(error) => {
                log::warn!("fold: a provisional drain was not taken: {error}.");
                false
            }
        }
    }
}

fn raw(record: &LoggedRecord) -> RawRecord<'_> {
    RawRecord {
        offset: record.offset,
        logged_at_ms: record.time_ms,
        data: &record.data,
    }
}
