use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use futures_util::{Stream, StreamExt as _, stream};
use sesamecart_edges::BoxError;
use sesamecart_runtime::{SharedExecutor, sleep};

use super::{MAX_KEPT_BYTES, UNREAD_TIMEOUT, read_ahead};
use crate::traffic::body_memory::BodyMemory;

/// The memory of the smallest VM, in megabytes.
const SMALL_VM_MB: u64 = 112;

/// A pause in which a task with nothing to wait for ends.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// An endpoint's stream that counts how many events were read from it.
struct Source {
    read: Arc<AtomicUsize>,
    is_unread: Arc<AtomicBool>,
    /// Released when the stream is dropped.
    alive: Arc<()>,
}

impl Source {
    fn new() -> Self {
        Self {
            read: Arc::default(),
            is_unread: Arc::default(),
            alive: Arc::default(),
        }
    }

    fn read(&self) -> usize {
        self.read.load(Ordering::Acquire)
    }

    fn is_dropped(&self) -> bool {
        Arc::strong_count(&self.alive) == 1
    }

    fn events(
        &self,
        count: usize,
        len: usize,
    ) -> impl Stream<Item = Result<Bytes, BoxError>> + Send + use<> {
        let (read, alive) = (Arc::clone(&self.read), Arc::clone(&self.alive));
        stream::iter(0..count).map(move |_| {
            let _alive = &alive;
            read.fetch_add(1, Ordering::AcqRel);
            Ok(Bytes::from(vec![b'x'; len]))
        })
    }
}

fn run<T>(test: impl AsyncFnOnce(&SharedExecutor) -> T) -> T {
    let executor = SharedExecutor::default();
    async_io::block_on(executor.run(test(&executor)))
}

async fn count(events: impl Stream<Item = Result<Bytes, BoxError>>) -> usize {
    events
        .filter(|events| future::ready(events.is_ok()))
        .count()
        .await
}

/// Guards against an endpoint that is held up, and cuts off its stream, because the caller reads slowly.
#[test]
fn an_answer_is_read_to_its_end_while_its_caller_reads_nothing() {
    run(async |executor| {
        let source = Source::new();
        let memory = BodyMemory::new(Some(SMALL_VM_MB)).begin();
        let is_unread = Arc::clone(&source.is_unread);
        let events = read_ahead(executor, source.events(400, 100), is_unread, memory);
        sleep(SETTLE_TIME).await;
        assert_eq!(source.read(), 400);
        assert!(source.is_dropped());
        assert!(!source.is_unread.load(Ordering::Acquire));
        assert_eq!(count(events).await, 400);
    });
}

/// Guards against a caller that doesn't read and so fills the node's memory.
#[test]
fn what_is_kept_for_a_caller_is_bounded() {
    run(async |executor| {
        let source = Source::new();
        let memory = BodyMemory::new(Some(SMALL_VM_MB)).begin();
        let is_unread = Arc::clone(&source.is_unread);
        let events = read_ahead(executor, source.events(100, 8_192), is_unread, memory);
        sleep(SETTLE_TIME).await;
        assert_eq!(source.read(), MAX_KEPT_BYTES / 8_192);
        assert_eq!(count(events).await, 100);
        assert!(!source.is_unread.load(Ordering::Acquire));
    });
}

/// Guards against an endpoint that is blamed for ending a stream that wasn't read.
#[test]
fn a_stream_that_was_not_read_for_long_is_marked() {
    run(async |executor| {
        let source = Source::new();
        let memory = BodyMemory::new(Some(SMALL_VM_MB)).begin();
        let is_unread = Arc::clone(&source.is_unread);
        let events = read_ahead(executor, source.events(100, 8_192), is_unread, memory);
        sleep(UNREAD_TIMEOUT + SETTLE_TIME).await;
        assert_eq!(count(events).await, 100);
        assert!(source.is_unread.load(Ordering::Acquire));
    });
}

/// Guards against a stream that looks complete although its reader ended early.
#[test]
fn a_reader_that_ends_early_breaks_its_stream() {
    run(async |executor| {
        let memory = BodyMemory::new(Some(SMALL_VM_MB)).begin();
        let broken = stream::iter([Ok(Bytes::from_static(b"x")), Err("broken".into())]);
        let mut events = Box::pin(read_ahead(executor, broken, Arc::default(), memory));
        assert!(matches!(events.next().await, Some(Ok(_))));
        assert!(matches!(events.next().await, Some(Err(_))));
        assert!(events.next().await.is_none());
    });
}

/// Guards against memory that stays taken while the endpoint is silent.
#[test]
fn memory_is_given_back_as_the_caller_reads() {
    run(async |executor| {
        let source = Source::new();
        let shared = BodyMemory::new(Some(SMALL_VM_MB));
        let silent = source.events(6, 8_192).chain(stream::pending());
        let mut events = Box::pin(read_ahead(executor, silent, Arc::default(), shared.begin()));
        sleep(SETTLE_TIME).await;
        assert!(shared.used() > 0);
        for _ in 0..6 {
            assert!(events.next().await.is_some());
        }
        assert_eq!(shared.used(), 0);
    });
}

/// Guards against slow callers that together fill the node's memory, and against fast ones that get nothing beside them.
#[test]
fn fifty_callers_that_read_nothing_leave_memory_for_others() {
    run(async |executor| {
        let shared = BodyMemory::new(Some(SMALL_VM_MB));
        let sources: Vec<Source> = (0..50).map(|_| Source::new()).collect();
        let unread: Vec<_> = sources
            .iter()
            .map(|source| {
                let is_unread = Arc::clone(&source.is_unread);
                read_ahead(
                    executor,
                    source.events(1_000, 8_192),
                    is_unread,
                    shared.begin(),
                )
            })
            .collect();
        sleep(SETTLE_TIME).await;
        let kept: usize = sources.iter().map(|source| source.read() * 8_192).sum();
        assert!(kept <= 50 * MAX_KEPT_BYTES, "{kept}");
        let fast = Source::new();
        let is_unread = Arc::clone(&fast.is_unread);
        let events = read_ahead(executor, fast.events(74, 85), is_unread, shared.begin());
        assert_eq!(count(events).await, 74);
        drop(unread);
        sleep(SETTLE_TIME).await;
        assert!(sources.iter().all(Source::is_dropped));
    });
}

/// Guards against an endpoint that works on for a caller that has left.
#[test]
fn a_caller_that_leaves_ends_its_stream() {
    run(async |executor| {
        let source = Source::new();
        let memory = BodyMemory::new(Some(SMALL_VM_MB)).begin();
        let is_unread = Arc::clone(&source.is_unread);
        let endless = source.events(1, 85).chain(stream::pending());
        let mut events = Box::pin(read_ahead(executor, endless, is_unread, memory));
        assert!(events.next().await.is_some());
        drop(events);
        sleep(SETTLE_TIME).await;
        assert!(source.is_dropped());
    });
}
