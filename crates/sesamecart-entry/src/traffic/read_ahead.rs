//! Reads a stream from its endpoint at the endpoint's pace while its caller reads slowly.
//!
//! An endpoint cuts off a response that isn't read for some seconds, and a node that doesn't read takes a slow caller
//! for a silent endpoint. So the events are read by a task of their own and kept for the caller, within bounds.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use bytes::Bytes;
use event_listener::Event;
use futures_util::{Stream, StreamExt as _, stream};
use sesamecart_edges::BoxError;
use sesamecart_runtime::SharedExecutor;

use crate::lock::lock;
use crate::traffic::body_memory::Reservation;

#[cfg(test)]
mod tests;

/// The number of bytes of one stream that are kept for its caller: several times the size of the longest answers.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// How long an endpoint isn't read from until it may cut off its stream for that.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The complete events of a stream, or why it broke.
type Events = Result<Bytes, BoxError>;

/// What the reader passes on.
enum Item {
    Events(Events),
    /// The stream is complete. Without it, a reader that ended early would make its stream look complete.
    End,
}

/// Reads `events` ahead of the stream that is returned. `is_unread` is set if nothing was read for some time because
/// the caller hadn't taken what is kept. Dropping the returned stream drops `events`.
pub(super) fn read_ahead<S>(
    executor: &SharedExecutor,
    events: S,
    is_unread: Arc<AtomicBool>,
    memory: Reservation,
) -> impl Stream<Item = Events> + Send + use<S>
where
    S: Stream<Item = Events> + Send + 'static,
{
    let kept = Arc::new(Kept::new(memory));
    let (tx, rx) = async_channel::unbounded();
    let reader = Reader {
        tx,
        kept: Arc::clone(&kept),
        is_unread,
    };
    let kept_events = KeptEvents {
        rx,
        kept,
        // Boxed here, as the task would have the memory for it twice.
        _reader: executor.spawn(reader.run(Box::pin(events))),
    };
    stream::unfold(Some(kept_events), |kept_events| async {
        let kept_events = kept_events?;
        match kept_events.next().await {
            Some(Ok(events)) => Some((Ok(events), Some(kept_events))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    })
}

/// The events that were read and not taken by the caller yet.
#[derive(Debug)]
struct Kept {
    bytes: AtomicUsize,
    memory: Mutex<Reservation>,
    taken: Event,
}

impl Kept {
    fn new(memory: Reservation) -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            memory: Mutex::new(memory),
            taken: Event::new(),
        }
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    fn take(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.reserve();
        self.taken.notify(usize::MAX);
    }

    /// Adapts the reserved memory to what is kept. Returns whether more may be read.
    fn reserve(&self) -> bool {
        let mut memory = lock(&self.memory);
        let bytes = self.bytes.load(Ordering::Acquire);
        memory.resize(bytes) && bytes < MAX_KEPT_BYTES
    }
}

/// Reads events until the stream ends.
struct Reader {
    tx: Sender<Item>,
    kept: Arc<Kept>,
    is_unread: Arc<AtomicBool>,
}

impl Reader {
    async fn run(self, mut events: Pin<Box<impl Stream<Item = Events> + Send + 'static>>) {
        loop {
            self.wait_for_room().await;
            let item = match events.next().await {
                Some(events) => Item::Events(events),
                None => Item::End,
            };
            let is_last = !matches!(item, Item::Events(Ok(_)));
            if let Item::Events(Ok(events)) = &item {
                self.kept.add(events.len());
            }
            if self.tx.try_send(item).is_err() || is_last {
                break;
            }
        }
    }

    async fn wait_for_room(&self) {
        let mut waiting_since = None;
        loop {
            let taken = self.kept.taken.listen();
            if self.kept.reserve() {
                break;
            }
            waiting_since.get_or_insert_with(Instant::now);
            taken.await;
        }
        if waiting_since.is_some_and(|since| since.elapsed() >= UNREAD_TIMEOUT) {
            self.is_unread.store(true, Ordering::Release);
        }
    }
}

/// The caller's side of a stream that is read ahead.
struct KeptEvents {
    rx: Receiver<Item>,
    kept: Arc<Kept>,
    /// Dropping it ends the reader.
    _reader: Task<()>,
}

impl KeptEvents {
    async fn next(&self) -> Option<Events> {
        match self.rx.recv().await {
            Ok(Item::Events(events)) => {
                self.kept.take(events.as_ref().map_or(0, Bytes::len));
                Some(events)
            }
            Ok(Item::End) => None,
            Err(closed) => Some(Err(closed.into())),
        }
    }
}
