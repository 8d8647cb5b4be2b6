//! Plays heads that answer slowly because they are busy.

use std::time::Duration;

use sesamecart_vocabulary::ModelId;

use super::{FirstEventTimeouts, MIN_FIRST_EVENT_TIMEOUT};

fn model() -> ModelId {
    "m".parse().expect("a name")
}

fn after(times_ms: impl IntoIterator<Item = u64>) -> FirstEventTimeouts {
    let mut timeouts = FirstEventTimeouts::default();
    for time_ms in times_ms {
        timeouts.observe(&model(), Duration::from_millis(time_ms));
    }
    timeouts
}

#[test]
fn heads_that_answer_soon_are_waited_for_the_least_time() {
    let timeouts = after([150; 20]);
    assert_eq!(timeouts.timeout(&model()), MIN_FIRST_EVENT_TIMEOUT);
}

/// Heads read prompts for longer and longer. Given up at a fixed limit, each prompt is read twice, and the
/// repeats take the place of new requests.
#[test]
fn the_wait_follows_heads_that_get_busier() {
    let timeouts = after((0..20).map(|index| 200 + 100 * index));
    assert!(timeouts.timeout(&model()) > Duration::from_millis(2_100));
}

/// Waits that run out are never seen as times, so without doubling the limit would stay below what it takes.
#[test]
fn a_wait_that_ran_out_doubles_the_next_one() {
    let mut timeouts = after([900; 20]);
    let before = timeouts.timeout(&model());
    timeouts.expire(&model());
    assert_eq!(timeouts.timeout(&model()), before * 2);
    for _ in 0..10 {
        timeouts.expire(&model());
    }
    assert_eq!(timeouts.timeout(&model()), before * 8);
    timeouts.observe(&model(), Duration::from_millis(900));
    assert!(timeouts.timeout(&model()) < before * 2);
}
