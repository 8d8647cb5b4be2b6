//! The fold as the control thread's parts share it, with a way to wait for a record.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use sesamecart_fold::{Fold, State};
use sesamecart_vocabulary::Offset;

/// A part that waits until a record is applied.
#[derive(Debug)]
struct Waiting {
    offset: Offset,
    _applied: Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    fold: Fold,
    waiting: Vec<Waiting>,
    settled_from: Option<Offset>,
}

/// The fold, shared between the follower, which applies records, and the parts that read it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FoldCell(Arc<Mutex<Inner>>);

impl FoldCell {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(self.lock().fold.state())
    }

    /// Changes the fold, and wakes whoever waits for what was applied.
    pub(crate) fn apply<T>(&self, apply: impl FnOnce(&mut Fold) -> T) -> T {
        let mut inner = self.lock();
        let result = apply(&mut inner.fold);
        let next = inner.fold.state().next_offset;
        // A sender that is dropped ends its receiver's wait.
        inner.waiting.retain(|waiting| waiting.offset >= next);
        result
    }

    /// Notes that all records up to the log's tail are applied.
    pub(crate) fn note_tail(&self) {
        let mut inner = self.lock();
        let next = inner.fold.state().next_offset;
        inner.settled_from.get_or_insert(next);
    }

    /// Returns the log's tail when this process first read it.
    pub(crate) fn settled_from(&self) -> Option<Offset> {
        self.lock().settled_from
    }

    /// Returns once the record at `offset` is applied.
    pub(crate) async fn applied(&self, offset: Offset) {
        let done = {
            let mut inner = self.lock();
            if inner.fold.state().next_offset > offset {
                return;
            }
            let (applied, done) = async_channel::bounded(1);
            inner.waiting.push(Waiting {
                offset,
                _applied: applied,
            });
            done
        };
        let _ended = done.recv().await;
    }
}
