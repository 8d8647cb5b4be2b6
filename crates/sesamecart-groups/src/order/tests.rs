use std::time::Duration;

use sesamecart_vocabulary::{Epoch, Timestamp};

use super::{OrderAnswer, OrderDesk};

const LONGEST: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// The old owner paused with an order under way to an endpoint that ignores the fencing number. If
/// the new owner ordered at once, the late order would undo its own, and the group would start the
/// wrong members.
#[test]
fn unchecked_endpoint_waits_out_the_longest_order() {
    let mut desk = OrderDesk::default();
    desk.gain(Epoch(5), false, LONGEST, at(100));
    desk.state_read(at(101));
    assert_eq!(desk.may_send(at(105)), None);
    assert_eq!(
        desk.may_send(at(110)),
        None,
        "the state was read before the wait was over"
    );
    desk.state_read(at(110));
    assert_eq!(desk.may_send(at(110)), Some(Epoch(5)));
}

#[test]
fn checking_endpoint_needs_only_a_read() {
    let mut desk = OrderDesk::default();
    desk.gain(Epoch(5), true, LONGEST, at(100));
    assert_eq!(desk.may_send(at(100)), None);
    desk.state_read(at(100));
    assert_eq!(desk.may_send(at(100)), Some(Epoch(5)));
}

#[test]
fn one_order_at_a_time() {
    let mut desk = OrderDesk::default();
    desk.gain(Epoch(5), true, LONGEST, at(0));
    desk.state_read(at(0));
    desk.sent(at(1));
    assert_eq!(desk.may_send(at(2)), None);
    desk.expire(LONGEST, at(11));
    assert_eq!(desk.may_send(at(11)), Some(Epoch(5)));
}

/// The holder was paused, another took the shard, and the endpoint has its order. Orders under the
/// old epoch must end, or operators see the two undo each other.
#[test]
fn fenced_desk_sends_nothing_more() {
    let mut desk = OrderDesk::default();
    desk.gain(Epoch(5), true, LONGEST, at(0));
    desk.state_read(at(0));
    desk.answered(OrderAnswer::Fenced(Epoch(9)));
    assert_eq!(desk.may_send(at(1)), None);
    desk.gain(Epoch(7), true, LONGEST, at(2));
    desk.state_read(at(2));
    assert_eq!(
        desk.may_send(at(2)),
        None,
        "an epoch below one that was seen is past"
    );
    desk.gain(Epoch(12), true, LONGEST, at(3));
    desk.state_read(at(3));
    assert_eq!(desk.may_send(at(3)), Some(Epoch(12)));
}
