//! Tests of what a process assumes about traffic right after its start.

use crate::testkit::beliefs;

/// A controller that restarts while the deployment serves traffic has received no request yet. If it
/// concluded that there is no traffic, it would start every load at once, and the weight store would refuse
/// them.
#[test]
fn restarted_process_assumes_traffic() {
    assert!(beliefs(false).is_in_traffic());
}

#[test]
fn first_start_is_in_traffic_after_first_request() {
    let beliefs = beliefs(true);
    assert!(!beliefs.is_in_traffic());
    beliefs.note_request();
    assert!(beliefs.is_in_traffic());
}
