//! Tests of what a process assumes about traffic right after its start.

use std::time::Duration;

use super::group_signals::LOST_GROUP_TTL;
use crate::clock;
use crate::testkit::{group_head, new_state};

/// A controller that restarts while the deployment serves traffic has received no request yet. If it
/// concluded that there is no traffic, it would start every load at once, and the weight store would refuse
/// them.
#[test]
fn restarted_process_assumes_traffic() {
    assert!(new_state(false).is_in_traffic());
}

#[test]
fn first_start_is_in_traffic_after_first_request() {
    let state = new_state(true);
    assert!(!state.is_in_traffic());
    state.record_request();
    assert!(state.is_in_traffic());
}

/// Guards against a sound group that gets no requests, for as long as nothing changes in the registry, because another
/// node has said that it was lost.
#[test]
fn a_group_that_was_found_lost_gets_requests_again_without_a_change_of_the_registry() {
    let state = new_state(true);
    let head = group_head();
    let key = head.group_key().expect("the head is in a group");
    state.mark_group_lost(&key);
    let later = clock::now() + LOST_GROUP_TTL + Duration::from_millis(1);
    assert!(state.group_mark(clock::now(), &head).is_some());
    assert!(state.group_mark(later, &head).is_none());
    assert!(
        !state.group_signal(&key).is_set(),
        "new requests are moved at once"
    );
}
