//! Tests with more requests than the groups can serve.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::LONG_STREAM_EVENTS;
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};

/// Heads have many prompts to process and continue to generate responses meanwhile. With a fixed timeout, a
/// request would be canceled and its prompt processed again on another head, which takes as long, and the
/// caller would receive an error instead of a response.
#[test]
fn a_request_does_not_fail_because_all_heads_are_busy() {
    let deployment = Deployment::start(LONG_STREAM_EVENTS * 3);
    deployment.wait_for_groups(2);
    std::thread::scope(|scope| {
        let at_heads = || {
            let engines = deployment.engines.iter();
            engines
                .map(|engine| engine.run_count("s0") + engine.run_count("s1"))
                .sum::<u32>()
        };
        for stream in ["s0", "s1"] {
            scope.spawn(|| deployment.send_request(RequestKind::Stream, stream, "key-1"));
        }
        deployment.wait_until("both heads run streams", || at_heads() == 2);
        for engine in &deployment.engines {
            engine.set_first_event_delay(Duration::from_millis(2_000));
        }
        let response = deployment.send_request_within(
            RequestKind::Stream,
            "late",
            "key-1",
            DEFAULT_DEADLINE * 2,
        );
        assert_eq!(response.status, 200);
    });
    deployment.shut_down();
}

/// One customer sends far more requests than usual. If all of them were admitted, requests of another
/// customer would be rejected.
#[test]
fn a_surge_of_one_customer_leaves_capacity_for_others() {
    const USUAL_STREAMS: usize = 6;
    const SURGE_STREAMS: usize = 16;
    let deployment = Deployment::start(LONG_STREAM_EVENTS);
    deployment.wait_for_groups(2);
    let send = |id: String, key: &str| deployment.send_request(RequestKind::Stream, &id, key);
    std::thread::scope(|scope| {
        for key in ["key-1", "key-2"] {
            scope.spawn(move || {
                for index in 0..USUAL_STREAMS {
                    let response = send(format!("usual-{key}-{index}"), key);
                    assert_eq!(response.status, 200);
                }
            });
        }
    });
    let rejected = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for index in 0..SURGE_STREAMS {
            let rejected = &rejected;
            scope.spawn(move || {
                let response = send(format!("surge-{index}"), "key-1");
                if response.status == 429 {
                    let after = response
                        .retry_after
                        .expect("the rejection has a retry-after header");
                    assert!(after.parse::<f64>().expect("a number") > 0.0);
                    rejected.fetch_add(1, Ordering::AcqRel);
                } else {
                    assert_eq!(response.status, 200);
                }
            });
        }
        deployment.wait_until("a request of the surge is rejected", || {
            rejected.load(Ordering::Acquire) > 0
        });
        assert_eq!(send("other".to_owned(), "key-2").status, 200);
    });
    deployment.shut_down();
}
