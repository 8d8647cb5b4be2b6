use bytes::Bytes;
use sesamecart_vocabulary::AttemptId;

use super::{EventSplitter, Events, MAX_EVENT_BYTES, StreamFault};

fn attempt() -> AttemptId {
    "a-node-1".parse().expect("an id")
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {{\"id\":\"a-node-1\",\"n\":{number}}}\n\n")
}

fn push(splitter: &mut EventSplitter, text: &str) -> Result<Events, StreamFault> {
    splitter.push(&Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn event_is_held_until_it_is_whole() {
    let mut splitter = EventSplitter::new(attempt());
    let text = event(0);
    let (first, second) = text.split_at(20);
    assert!(
        push(&mut splitter, first)
            .expect("no fault")
            .bytes
            .is_empty()
    );
    let events = push(&mut splitter, second).expect("no fault");
    assert_eq!((events.bytes, events.count), (Bytes::from(text), 1));
}

#[test]
fn last_event_is_noticed() {
    let mut splitter = EventSplitter::new(attempt());
    let events = push(&mut splitter, &format!("{}data: [DONE]\n\n", event(0))).expect("no fault");
    assert!(events.last);
    assert_eq!(events.count, 1);
}

/// An engine mixes up two streams. A caller would read a token of somebody else's answer, so the
/// stream must end there.
#[test]
fn event_of_another_attempt_is_a_fault() {
    let mut splitter = EventSplitter::new(attempt());
    let crossed = "data: {\"id\":\"a-node-2\"}\n\n";
    assert_eq!(push(&mut splitter, crossed), Err(StreamFault::Crossed));
}

/// An engine never ends an event. The node would hold it in memory for as long as it grows.
#[test]
fn event_without_end_is_a_fault() {
    let mut splitter = EventSplitter::new(attempt());
    let endless = "x".repeat(MAX_EVENT_BYTES + 1);
    assert_eq!(push(&mut splitter, &endless), Err(StreamFault::TooLarge));
}

#[test]
fn events_are_the_same_however_they_are_cut() {
    let text: String = (0..6).map(event).collect();
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut splitter = EventSplitter::new(attempt());
        let mut rest = text.as_str();
        let mut got = Vec::new();
        let mut count = 0;
        let sizes = cuts.iter().map(|cut| usize::from(*cut)).chain([text.len()]);
        for size in sizes {
            let (now, later) = rest.split_at(size.min(rest.len()));
            let events = push(&mut splitter, now).expect("no fault");
            got.extend_from_slice(&events.bytes);
            count += events.count;
            rest = later;
        }
        assert_eq!(String::from_utf8_lossy(&got), text);
        assert_eq!(count, 6);
    });
}
