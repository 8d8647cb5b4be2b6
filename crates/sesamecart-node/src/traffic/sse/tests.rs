use bytes::Bytes;
use sesamecart_property::check_property;
use sesamecart_vocabulary::AttemptId;

use super::{EventSplitter, Events, MAX_EVENT_BYTES, StreamFault};

fn attempt() -> AttemptId {
    "a-node-1".parse().expect("an id")
}

fn splitter() -> EventSplitter {
    EventSplitter::new(&attempt(), &attempt(), 0)
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {{\"id\":\"a-node-1\",\"n\":{number}}}\n\n")
}

fn finishing(number: usize, reason: &str) -> String {
    format!(
        "id: {number}\ndata: {{\"id\":\"a-node-1\",\"n\":{number},\"finish_reason\":{reason}}}\n\n"
    )
}

fn push(splitter: &mut EventSplitter, text: &str) -> Events {
    splitter.push(&Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn event_is_held_until_it_is_whole() {
    let mut splitter = splitter();
    let text = event(0);
    let (first, second) = text.split_at(20);
    let events = push(&mut splitter, first);
    assert_eq!(events, Events::default());
    let events = push(&mut splitter, second);
    assert_eq!((events.bytes, events.count), (Bytes::from(text), 1));
    assert_eq!(events.fault, None);
}

#[test]
fn last_event_is_noticed() {
    let mut splitter = splitter();
    let events = push(&mut splitter, &format!("{}data: [DONE]\n\n", event(0)));
    assert!(events.last);
    assert_eq!((events.count, events.fault), (1, None));
}

/// What is passed on, and what ends the stream, for faults of an engine. A caller would otherwise
/// read a token of somebody else, one twice, or miss one without knowing.
macro_rules! faulty_streams {
    ($($name:ident: $text:expr => passed $passed:expr, fault $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut splitter = splitter();
            let text: String = $text;
            let events = push(&mut splitter, &text);
            let passed: String = $passed;
            assert_eq!(String::from_utf8_lossy(&events.bytes), passed);
            assert_eq!(events.fault, $fault);
        }
    )*};
}

const FOREIGN: &str = "id: 1\ndata: {\"id\":\"a-node-2\"}\n\n";
const UNPLACED: &str = "data: {\"id\":\"a-node-2\"}\n\n";
/// Its id begins with the attempt's own.
const LONGER: &str = "id: 0\ndata: {\"id\":\"a-node-10\"}\n\n";
const DONE: &str = "data: [DONE]\n\n";

faulty_streams! {
    event_of_another_attempt_is_a_fault:
        UNPLACED.to_owned() => passed String::new(), fault Some(StreamFault::Crossed);
    stream_that_begins_with_another_attempt_is_a_fault:
        FOREIGN.to_owned() + &event(0) => passed String::new(), fault Some(StreamFault::Crossed);
    event_of_an_attempt_whose_id_begins_alike_is_a_fault:
        LONGER.to_owned() => passed String::new(), fault Some(StreamFault::Crossed);
    foreign_event_between_placed_ones_is_left_out:
        event(0) + FOREIGN + &event(1) => passed event(0) + &event(1), fault None;
    foreign_event_without_a_place_is_a_fault:
        event(0) + UNPLACED + &event(1) => passed event(0), fault Some(StreamFault::Crossed);
    doubled_event_is_left_out:
        event(0) + &event(0) + &event(1) => passed event(0) + &event(1), fault None;
    missing_event_is_a_fault:
        event(0) + &event(2) => passed event(0), fault Some(StreamFault::Gap);
    end_before_any_event_is_a_fault:
        DONE.to_owned() => passed String::new(), fault Some(StreamFault::Unfinished);
    end_before_the_engine_says_why_is_a_fault:
        finishing(0, "null") + DONE
            => passed finishing(0, "null"), fault Some(StreamFault::Unfinished);
    end_after_the_engine_said_why_is_well:
        finishing(0, "\"stop\"") + DONE => passed finishing(0, "\"stop\"") + DONE, fault None;
}

/// A stream goes on elsewhere under a new attempt; the caller still sees one id and each token once.
#[test]
fn resumed_events_show_the_first_id() {
    let first: AttemptId = "a-node-0".parse().expect("an id");
    let mut splitter = EventSplitter::new(&attempt(), &first, 3);
    let events = push(&mut splitter, &(event(2) + &event(3) + DONE));
    let expected = event(3).replace("a-node-1", "a-node-0") + DONE;
    assert_eq!(String::from_utf8_lossy(&events.bytes), expected);
    assert!(events.last);
}

/// A stream is resumed at an engine that answers with another request's, which is shorter and so is at
/// its end already. The caller would take the first half of its answer for the whole.
#[test]
fn resumed_stream_that_ends_at_once_is_a_fault() {
    let first: AttemptId = "a-node-0".parse().expect("an id");
    let mut splitter = EventSplitter::new(&attempt(), &first, 3);
    let events = push(&mut splitter, DONE);
    assert_eq!(
        (events.last, events.fault),
        (false, Some(StreamFault::Unfinished))
    );
}

/// An engine never ends an event. The node would hold it in memory for as long as it grows.
#[test]
fn event_without_end_is_a_fault() {
    let mut splitter = splitter();
    let endless = "x".repeat(MAX_EVENT_BYTES + 1);
    let events = push(&mut splitter, &endless);
    assert_eq!(events.fault, Some(StreamFault::TooLarge));
}

#[test]
fn events_are_the_same_however_they_are_cut() {
    let text: String = (0..6).map(event).collect();
    check_property(bolero::produce::<Vec<u8>>(), |cuts| {
        let mut splitter = splitter();
        let mut rest = text.as_str();
        let mut got = Vec::new();
        let mut count = 0;
        let sizes = cuts.iter().map(|cut| usize::from(*cut)).chain([text.len()]);
        for size in sizes {
            let (now, later) = rest.split_at(size.min(rest.len()));
            let events = push(&mut splitter, now);
            assert_eq!(events.fault, None);
            got.extend_from_slice(&events.bytes);
            count += events.count;
            rest = later;
        }
        assert_eq!(String::from_utf8_lossy(&got), text);
        assert_eq!(count, 6);
    });
}
