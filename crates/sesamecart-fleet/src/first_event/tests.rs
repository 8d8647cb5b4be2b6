//! Tests the timeout for heads that answer slowly because they are busy.

use std::time::Duration;

use sesamecart_vocabulary::ModelId;

use super::{FirstEventTimeouts, MIN_FIRST_EVENT_TIMEOUT};

fn model() -> ModelId {
    "m".parse().expect("valid name")
}

fn timeouts_after(times_ms: impl IntoIterator<Item = u64>) -> FirstEventTimeouts {
    let mut timeouts = FirstEventTimeouts::default();
    for time_ms in times_ms {
        timeouts.observe(&model(), Duration::from_millis(time_ms));
    }
    timeouts
}

#[test]
fn fast_heads_get_the_minimum_timeout() {
    let timeouts = timeouts_after([150; 20]);
    assert_eq!(timeouts.timeout(&model()), MIN_FIRST_EVENT_TIMEOUT);
}

/// Heads take longer and longer to read prompts. With a fixed timeout, each prompt would be read twice, and
/// the retries would take the slots of new requests.
#[test]
fn the_timeout_follows_slower_heads() {
    let timeouts = timeouts_after((0..20).map(|index| 200 + 100 * index));
    assert!(timeouts.timeout(&model()) > Duration::from_millis(2_100));
}

/// Expired timeouts aren't observed as times, so without doubling, the timeout would stay below the time
/// that the heads take.
#[test]
fn an_expired_timeout_doubles_the_next_one() {
    let mut timeouts = timeouts_after([900; 20]);
    let before = timeouts.timeout(&model());
    timeouts.expire(&model());
    assert_eq!(timeouts.timeout(&model()), before * 2);
    for _ in 0..10 {
        timeouts.expire(&model());
    }
    // The number of doublings is limited to three.
    assert_eq!(timeouts.timeout(&model()), before * 8);
    timeouts.observe(&model(), Duration::from_millis(900));
    assert!(timeouts.timeout(&model()) < before * 2);
}
