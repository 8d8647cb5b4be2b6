use std::time::Duration;

use super::left_of;

const AFTER: Duration = Duration::from_secs(4);

/// An endpoint that hears of less time than there is gives a request up that would be served in time.
#[test]
fn the_time_that_has_passed_is_taken_off_once() {
    let limit = Duration::from_secs(60);
    let left = limit.saturating_sub(AFTER);
    assert_eq!(left_of(None, AFTER, left), Duration::from_secs(56));
    let timeout = Some(Duration::from_secs(6));
    assert_eq!(left_of(timeout, AFTER, left), Duration::from_secs(2));
}

#[test]
fn nothing_is_left_after_a_callers_own_time() {
    let timeout = Some(Duration::from_secs(3));
    assert_eq!(
        left_of(timeout, AFTER, Duration::from_secs(56)),
        Duration::ZERO
    );
}
