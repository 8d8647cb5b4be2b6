use std::time::Duration;

use super::remaining_caller_time;

const ELAPSED: Duration = Duration::from_secs(4);

/// An endpoint that is sent less than the remaining time gives up a request that it could serve in time. This
/// happens if the elapsed time is subtracted twice.
#[test]
fn elapsed_time_is_subtracted_once() {
    let limit = Duration::from_secs(60);
    let time_left = limit.saturating_sub(ELAPSED);
    assert_eq!(
        remaining_caller_time(None, ELAPSED, time_left),
        Duration::from_secs(56)
    );
    let timeout = Some(Duration::from_secs(6));
    assert_eq!(
        remaining_caller_time(timeout, ELAPSED, time_left),
        Duration::from_secs(2)
    );
}

#[test]
fn no_time_is_left_after_the_callers_timeout() {
    let timeout = Some(Duration::from_secs(3));
    assert_eq!(
        remaining_caller_time(timeout, ELAPSED, Duration::from_secs(56)),
        Duration::ZERO
    );
}
