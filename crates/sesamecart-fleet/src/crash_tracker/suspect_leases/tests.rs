//! Tests of when suspected requests may be started.

use std::time::Duration;

use sesamecart_vocabulary::{RequestFingerprint, RequestIdentity, Timestamp};

use super::{MAX_LEASES, MIN_START_INTERVAL, SuspectLeases};

fn fingerprint(body: usize) -> RequestFingerprint {
    RequestFingerprint::of(&RequestIdentity {
        customer: None,
        host: "h",
        method: "POST",
        target: "/",
        body: body.to_string().as_bytes(),
    })
}

#[test]
fn a_request_is_started_once_in_an_interval() {
    let mut leases = SuspectLeases::default();
    let start = Timestamp(1_000_000);
    assert_eq!(leases.try_start(start, fingerprint(0)), Ok(()));
    assert_eq!(leases.try_start(start, fingerprint(1)), Ok(()));
    let later = start + Duration::from_millis(500);
    let remaining = MIN_START_INTERVAL - Duration::from_millis(500);
    assert_eq!(leases.try_start(later, fingerprint(0)), Err(remaining));
    let later = start + MIN_START_INTERVAL;
    assert_eq!(leases.try_start(later, fingerprint(0)), Ok(()));
}

#[test]
fn leases_are_bounded_and_expire() {
    let mut leases = SuspectLeases::default();
    let start = Timestamp(1_000_000);
    for body in 0..MAX_LEASES * 2 {
        let _started = leases.try_start(start, fingerprint(body));
    }
    assert_eq!(leases.started_at.len(), MAX_LEASES);
    let _started = leases.try_start(start + MIN_START_INTERVAL, fingerprint(0));
    assert_eq!(leases.started_at.len(), 1);
}
