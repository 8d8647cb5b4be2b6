//! Tests of when suspected requests may be started.

use std::time::Duration;

use sesamecart_vocabulary::{Fingerprint, RequestIdentity, Timestamp};

use super::{MAX_REQUESTS, MIN_START_INTERVAL, SuspectStarts};

fn fingerprint(body: usize) -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        customer: None,
        host: "h",
        method: "POST",
        target: "/",
        body: body.to_string().as_bytes(),
    })
}

#[test]
fn a_request_is_started_once_in_an_interval() {
    let mut starts = SuspectStarts::default();
    let start = Timestamp(1_000_000);
    assert_eq!(starts.try_start(start, fingerprint(0)), Ok(()));
    assert_eq!(starts.try_start(start, fingerprint(1)), Ok(()));
    let later = start + Duration::from_millis(500);
    let remaining = MIN_START_INTERVAL - Duration::from_millis(500);
    assert_eq!(starts.try_start(later, fingerprint(0)), Err(remaining));
    let later = start + MIN_START_INTERVAL;
    assert_eq!(starts.try_start(later, fingerprint(0)), Ok(()));
}

#[test]
fn starts_are_bounded_and_expire() {
    let mut starts = SuspectStarts::default();
    let start = Timestamp(1_000_000);
    for body in 0..MAX_REQUESTS * 2 {
        let _started = starts.try_start(start, fingerprint(body));
    }
    assert_eq!(starts.started_at.len(), MAX_REQUESTS);
    let _started = starts.try_start(start + MIN_START_INTERVAL, fingerprint(0));
    assert_eq!(starts.started_at.len(), 1);
}
