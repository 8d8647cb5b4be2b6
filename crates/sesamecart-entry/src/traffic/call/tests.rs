use std::time::Duration;

use super::{AttemptError, Attempts, remaining_caller_time};

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

/// Guards against charging an attempt twice when several nodes or endpoints are tried for it, and against charging
/// attempts at which nothing arrives.
#[test]
fn each_arrival_is_charged_once() {
    let endpoint = |id: &str| id.parse().expect("a valid ID");
    let mut attempts = Attempts::default();
    let unsent = AttemptError {
        may_have_arrived: false,
        ..AttemptError::new("refused".to_owned(), false)
    };
    attempts.record_error(endpoint("e1"), &unsent);
    assert!(!attempts.is_uncharged_retry(), "nothing has arrived");
    let rejected = AttemptError::new("full".to_owned(), false);
    attempts.record_error(endpoint("e2"), &rejected);
    assert!(attempts.is_uncharged_retry());
    attempts.record_charged();
    attempts.record_error(endpoint("e3"), &unsent);
    assert!(!attempts.is_uncharged_retry(), "the retry has not arrived");
    attempts.record_failed_run(Some(endpoint("e4")));
    assert!(attempts.is_uncharged_retry());
}
