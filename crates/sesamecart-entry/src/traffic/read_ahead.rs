//! Reads a stream from its endpoint at the endpoint's pace while its caller reads slowly.
//!
//! An endpoint cuts off a response that isn't read for some seconds, and a node that doesn't read takes a slow caller
//! for a silent endpoint. So the events are read by a task of their own and kept for the caller, within bounds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use bytes::Bytes;
use event_listener::Event;
use futures_util::{Stream, StreamExt as _, stream};
use sesamecart_edges::BoxError;
use sesamecart_runtime::SharedExecutor;

use crate::traffic::body_memory::Reservation;

#[cfg(test)]
mod tests;

/// The number of bytes of one stream that are kept for its caller: several times the size of the longest answers.
const MAX_KEPT_BYTES: usize = 256 * 1024;

/// The complete events of a stream, or why it broke.
type Events = Result<Bytes, BoxError>;

/// Reads `events` ahead of the stream that is returned. `is_unread` is set when nothing can be read because the caller
/// hasn't taken what is kept. Dropping the returned stream drops `events`.
pub(super) fn read_ahead<S>(
    executor: &SharedExecutor,
    events: S,
    is_unread: Arc<AtomicBool>,
    memory: Reservation,
) -> impl Stream<Item = Events> + Send + use<S>
where
    S: Stream<Item = Events> + Send + 'static,
{
    let kept = Arc::new(Kept::default());
    let (tx, rx) = async_channel::unbounded();
    let reader = Reader {
        tx,
        kept: Arc::clone(&kept),
        is_unread,
        memory,
    };
    let kept_events = KeptEvents {
        rx,
        kept,
        _reader: executor.spawn(reader.run(events)),
    };
    stream::unfold(kept_events, |kept_events| async {
        let events = kept_events.next().await?;
        Some((events, kept_events))
    })
}

/// The events that were read and not taken by the caller yet.
#[derive(Debug, Default)]
struct Kept {
    bytes: AtomicUsize,
    taken: Event,
}

impl Kept {
    fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    fn take(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.taken.notify(usize::MAX);
    }
}

/// Reads events until the stream ends.
struct Reader {
    tx: Sender<Events>,
    kept: Arc<Kept>,
    is_unread: Arc<AtomicBool>,
    memory: Reservation,
}

impl Reader {
    async fn run(mut self, events: impl Stream<Item = Events> + Send + 'static) {
        let mut events = Box::pin(events);
        loop {
            self.wait_for_room().await;
            let Some(next) = events.next().await else {
                break;
            };
            self.kept.add(next.as_ref().map_or(0, Bytes::len));
            if self.tx.try_send(next).is_err() {
                break;
            }
        }
        self.tx.close();
        drop(events);
        self.wait_until_taken().await;
    }

    async fn wait_for_room(&mut self) {
        loop {
            let taken = self.kept.taken.listen();
            let bytes = self.kept.bytes();
            if bytes < MAX_KEPT_BYTES && self.memory.resize(bytes) {
                return;
            }
            self.is_unread.store(true, Ordering::Release);
            taken.await;
        }
    }

    /// Waits until the caller has taken all events, because their memory counts until then.
    async fn wait_until_taken(&mut self) {
        loop {
            let taken = self.kept.taken.listen();
            let bytes = self.kept.bytes();
            self.memory.resize(bytes);
            if bytes == 0 {
                return;
            }
            taken.await;
        }
    }
}

/// The caller's side of a stream that is read ahead.
struct KeptEvents {
    rx: Receiver<Events>,
    kept: Arc<Kept>,
    /// Dropping it ends the reader.
    _reader: Task<()>,
}

impl KeptEvents {
    async fn next(&self) -> Option<Events> {
        let events = self.rx.recv().await.ok()?;
        self.kept.take(events.as_ref().map_or(0, Bytes::len));
        Some(events)
    }
}
