use bytes::Bytes;

use super::{EventSplitter, MAX_EVENT_BYTES, PushOutcome};
use crate::traffic::body_memory::BodyMemory;

const STREAM: &str =
    "\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\ndata: c\nid: 3\n\nid: 4\nda";

fn splitter(memory: &BodyMemory) -> EventSplitter {
    EventSplitter::resuming_after(None, memory.begin())
}

/// Pushes a stream in parts of `len` bytes, and returns the events and the last id.
fn push_parts(len: usize) -> (Vec<u8>, Option<String>) {
    let mut splitter = splitter(&BodyMemory::new(None));
    let mut events = Vec::new();
    for part in STREAM.as_bytes().chunks(len) {
        match splitter.push(&Bytes::copy_from_slice(part)) {
            PushOutcome::Events(complete) => events.extend_from_slice(&complete),
            PushOutcome::Fault(fault) => panic!("{fault}"),
        }
    }
    (events, splitter.last_id().map(str::to_owned))
}

#[test]
fn events_are_the_same_however_the_stream_is_cut() {
    let end = STREAM.len() - "id: 4\nda".len();
    let whole = (STREAM.as_bytes()[..end].to_vec(), Some("3".to_owned()));
    for len in 1..=STREAM.len() {
        assert_eq!(push_parts(len), whole, "in parts of {len} bytes");
    }
}

/// Guards against searching an event from its start again with each of its bytes, which takes minutes.
#[test]
fn an_event_in_parts_of_one_byte_is_searched_once() {
    let mut splitter = splitter(&BodyMemory::new(None));
    let part = Bytes::from_static(b"x");
    for _ in 0..MAX_EVENT_BYTES {
        let events = splitter.push(&part);
        assert_eq!(events, PushOutcome::Events(Bytes::new()));
    }
    assert!(matches!(splitter.push(&part), PushOutcome::Fault(_)));
}

/// Pushes one part, and then `next`. Returns the events of the first part and what the second one gives.
fn push_two(first: &[u8], next: &[u8]) -> (PushOutcome, PushOutcome) {
    let mut splitter = splitter(&BodyMemory::new(None));
    let outcome = splitter.push(&Bytes::copy_from_slice(first));
    (outcome, splitter.push(&Bytes::copy_from_slice(next)))
}

/// Guards against a stream that is resumed after events that were never forwarded.
#[test]
fn events_before_one_out_of_order_are_released() {
    let (first, next) = push_two(b"id: 1\n\nid: 2\n\nid: 7\n\n", b"id: 8\n\n");
    let events = Bytes::from_static(b"id: 1\n\nid: 2\n\n");
    assert_eq!(first, PushOutcome::Events(events));
    assert!(matches!(next, PushOutcome::Fault(_)), "{next:?}");
}

/// Guards against the same before an event that never ends.
#[test]
fn events_before_one_that_is_too_large_are_released() {
    let event = b"id: 1\n\n";
    let mut part = event.to_vec();
    part.resize(event.len() + MAX_EVENT_BYTES + 1, b'x');
    let (first, next) = push_two(&part, b"x");
    assert_eq!(first, PushOutcome::Events(Bytes::from_static(event)));
    assert!(matches!(next, PushOutcome::Fault(_)), "{next:?}");
}

/// Guards against the unfinished events of many streams, which together exceed the memory of the VM.
#[test]
fn unfinished_events_of_many_streams_share_the_memory_of_responses() {
    let memory = BodyMemory::new(None);
    let part = Bytes::from(vec![b'x'; MAX_EVENT_BYTES]);
    let mut streams: Vec<_> = (0..1_900).map(|_| splitter(&memory)).collect();
    let outcomes: Vec<_> = streams
        .iter_mut()
        .map(|stream| stream.push(&part))
        .collect();
    let refused = PushOutcome::Fault("the node has no memory left for long events");
    let kept = outcomes
        .iter()
        .filter(|outcome| **outcome != refused)
        .count();
    // 64 MiB hold this many events beyond the 16 KiB that each stream may take.
    assert_eq!(kept, 64 * 1024 / (256 - 16));
    let short = splitter(&memory).push(&Bytes::from_static(b"id: 1"));
    assert_eq!(short, PushOutcome::Events(Bytes::new()));
    drop(streams);
    assert_eq!(
        splitter(&memory).push(&part),
        PushOutcome::Events(Bytes::new())
    );
}
