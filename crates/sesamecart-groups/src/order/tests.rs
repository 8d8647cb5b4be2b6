use std::time::Duration;

use sesamecart_vocabulary::{Epoch, Timestamp};

use super::{OrderOutcome, OrderSequencer};

const MAX_ORDER_LATENCY: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// The previous owner was paused with an order in flight to an endpoint that ignores the fencing token. If
/// the new owner sent an order immediately, the late order could override it and start the wrong members.
#[test]
fn new_owner_waits_for_in_flight_orders_without_epoch_check() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), false, MAX_ORDER_LATENCY, at(100));
    sequencer.record_state_read(at(101));
    assert_eq!(sequencer.sendable_epoch(at(105)), None);
    assert_eq!(
        sequencer.sendable_epoch(at(110)),
        None,
        "the state was read before the wait ended"
    );
    sequencer.record_state_read(at(110));
    assert_eq!(sequencer.sendable_epoch(at(110)), Some(Epoch(5)));
}

#[test]
fn new_owner_only_reads_state_with_epoch_check() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, MAX_ORDER_LATENCY, at(100));
    assert_eq!(sequencer.sendable_epoch(at(100)), None);
    sequencer.record_state_read(at(100));
    assert_eq!(sequencer.sendable_epoch(at(100)), Some(Epoch(5)));
}

#[test]
fn only_one_order_is_in_flight() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, MAX_ORDER_LATENCY, at(0));
    sequencer.record_state_read(at(0));
    sequencer.record_sent(at(1));
    assert_eq!(sequencer.sendable_epoch(at(2)), None);
    sequencer.expire_in_flight(MAX_ORDER_LATENCY, at(11));
    assert_eq!(sequencer.sendable_epoch(at(11)), Some(Epoch(5)));
}

/// The owner was paused, another node took over the shard, and the endpoint received an order of the new
/// owner. Orders under the old epoch must stop, or the two owners would undo each other's changes.
#[test]
fn fenced_epoch_sends_no_more_orders() {
    let mut sequencer = OrderSequencer::default();
    sequencer.acquire_epoch(Epoch(5), true, MAX_ORDER_LATENCY, at(0));
    sequencer.record_state_read(at(0));
    sequencer.record_answer(OrderOutcome::Fenced(Epoch(9)));
    assert_eq!(sequencer.sendable_epoch(at(1)), None);
    sequencer.acquire_epoch(Epoch(7), true, MAX_ORDER_LATENCY, at(2));
    sequencer.record_state_read(at(2));
    assert_eq!(
        sequencer.sendable_epoch(at(2)),
        None,
        "an epoch below one that the endpoint has seen is outdated"
    );
    sequencer.acquire_epoch(Epoch(12), true, MAX_ORDER_LATENCY, at(3));
    sequencer.record_state_read(at(3));
    assert_eq!(sequencer.sendable_epoch(at(3)), Some(Epoch(12)));
}
