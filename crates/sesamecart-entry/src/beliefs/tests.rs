//! What a process that has just started takes for granted.

use crate::testkit::beliefs;

/// A controller's process ends during the day and starts again. It has had no request yet; if it took that
/// for the time before traffic, it would begin every load at once, and the weight store would refuse them.
#[test]
fn a_process_that_starts_again_does_not_take_the_day_for_the_time_before_traffic() {
    assert!(beliefs(false).is_in_traffic());
}

#[test]
fn a_deployment_that_starts_for_the_first_time_is_in_traffic_with_its_first_request() {
    let beliefs = beliefs(true);
    assert!(!beliefs.is_in_traffic());
    beliefs.note_request();
    assert!(beliefs.is_in_traffic());
}
