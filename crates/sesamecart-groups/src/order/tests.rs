use std::time::Duration;

use sesamecart_vocabulary::{Epoch, Timestamp};

use super::{OrderAnswer, OrderSequencer};

const LONGEST: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// The old owner paused with an order under way to an endpoint that ignores the fencing number. If
/// the new owner ordered at once, the late order would undo its own, and the group would start the
/// wrong members.
#[test]
fn unchecked_endpoint_waits_out_the_longest_order() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), false, LONGEST, at(100));
    sequencer.record_state_read(at(101));
    assert_eq!(sequencer.sendable_epoch(at(105)), None);
    assert_eq!(
        sequencer.sendable_epoch(at(110)),
        None,
        "the state was read before the wait was over"
    );
    sequencer.record_state_read(at(110));
    assert_eq!(sequencer.sendable_epoch(at(110)), Some(Epoch(5)));
}

#[test]
fn checking_endpoint_needs_only_a_read() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, LONGEST, at(100));
    assert_eq!(sequencer.sendable_epoch(at(100)), None);
    sequencer.record_state_read(at(100));
    assert_eq!(sequencer.sendable_epoch(at(100)), Some(Epoch(5)));
}

#[test]
fn one_order_at_a_time() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, LONGEST, at(0));
    sequencer.record_state_read(at(0));
    sequencer.record_sent(at(1));
    assert_eq!(sequencer.sendable_epoch(at(2)), None);
    sequencer.expire_in_flight(LONGEST, at(11));
    assert_eq!(sequencer.sendable_epoch(at(11)), Some(Epoch(5)));
}

/// The holder was paused, another took the shard, and the endpoint has its order. Orders under the
/// old epoch must end, or operators see the two undo each other.
#[test]
fn fenced_desk_sends_nothing_more() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, LONGEST, at(0));
    sequencer.record_state_read(at(0));
    sequencer.record_answer(OrderAnswer::Fenced(Epoch(9)));
    assert_eq!(sequencer.sendable_epoch(at(1)), None);
    sequencer.acquire_epoch(Epoch(7), true, LONGEST, at(2));
    sequencer.record_state_read(at(2));
    assert_eq!(
        sequencer.sendable_epoch(at(2)),
        None,
        "an epoch below one that was seen is past"
    );
    sequencer.acquire_epoch(Epoch(12), true, LONGEST, at(3));
    sequencer.record_state_read(at(3));
    assert_eq!(sequencer.sendable_epoch(at(3)), Some(Epoch(12)));
}
