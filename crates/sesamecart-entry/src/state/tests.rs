//! Tests of what a process assumes about traffic right after its start.

use crate::testkit::new_state;

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
