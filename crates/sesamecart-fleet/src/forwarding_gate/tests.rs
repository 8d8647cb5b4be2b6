//! Tests what a node forwards for others while it has room, and while it hasn't.

use std::time::Duration;

use super::{ForwardingGate, MAX_BODY_BYTES, MAX_REQUESTS};

#[test]
fn requests_beyond_the_limit_are_rejected_until_one_ends() {
    let mut gate = ForwardingGate::default();
    for _ in 0..MAX_REQUESTS {
        assert!(gate.try_enter(1_000));
    }
    assert!(!gate.try_enter(1_000));
    gate.leave(1_000);
    assert!(gate.try_enter(1_000));
}

#[test]
fn bodies_are_bounded_in_total() {
    let mut gate = ForwardingGate::default();
    assert!(gate.try_enter(MAX_BODY_BYTES - 10));
    assert!(!gate.try_enter(11));
    assert!(gate.try_enter(10));
}

#[test]
fn a_body_of_any_stated_size_is_compared_with_the_limit() {
    let mut gate = ForwardingGate::default();
    assert!(gate.try_enter(1));
    assert!(!gate.try_enter(usize::MAX));
}

#[test]
fn a_busy_node_takes_nothing_until_it_has_caught_up() {
    let mut gate = ForwardingGate::default();
    gate.record_delay(Duration::from_millis(60));
    assert!(gate.try_enter(1), "one late timer isn't an overload");
    for _ in 0..8 {
        gate.record_delay(Duration::from_millis(60));
    }
    assert!(!gate.try_enter(1));
    for _ in 0..8 {
        gate.record_delay(Duration::from_millis(2));
    }
    assert!(gate.try_enter(1));
}
