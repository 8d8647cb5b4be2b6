//! Callers who ask for more than the groups can do.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::LASTING_EVENTS;
use crate::setup::{Deployment, PATIENCE, Path};

/// Heads have many prompts to read, and go on writing answers meanwhile. Given up at a fixed limit, a request
/// is read again elsewhere, where it takes as long, and its caller gets an error in place of an answer.
#[test]
fn a_caller_is_not_failed_because_all_heads_are_busy() {
    let deployment = Deployment::start(LASTING_EVENTS * 3);
    deployment.wait_for_groups(2);
    std::thread::scope(|scope| {
        let at_heads = || {
            let engines = deployment.engines.iter();
            engines
                .map(|engine| engine.runs("s0") + engine.runs("s1"))
                .sum::<u32>()
        };
        for stream in ["s0", "s1"] {
            scope.spawn(|| deployment.ask(Path::Stream, stream, "key-1"));
        }
        deployment.wait_until("both heads write answers", || at_heads() == 2);
        for engine in &deployment.engines {
            engine.set_first_event_delay(Duration::from_millis(2_000));
        }
        let answer = deployment.ask_within(Path::Stream, "late", "key-1", PATIENCE * 2);
        assert_eq!(answer.status, 200);
    });
    deployment.leave();
}

/// One customer asks far more than it usually does. Were all of it let in, the callers of another customer
/// would be turned away beside it.
#[test]
fn a_customer_that_surges_leaves_places_for_others() {
    const USUAL_STREAMS: usize = 6;
    const SURGE_STREAMS: usize = 16;
    let deployment = Deployment::start(LASTING_EVENTS);
    deployment.wait_for_groups(2);
    let ask = |id: String, key: &str| deployment.ask(Path::Stream, &id, key);
    std::thread::scope(|scope| {
        for key in ["key-1", "key-2"] {
            scope.spawn(move || {
                for index in 0..USUAL_STREAMS {
                    let answer = ask(format!("usual-{key}-{index}"), key);
                    assert_eq!(answer.status, 200);
                }
            });
        }
    });
    let turned_away = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for index in 0..SURGE_STREAMS {
            let turned_away = &turned_away;
            scope.spawn(move || {
                let answer = ask(format!("surge-{index}"), "key-1");
                if answer.status == 429 {
                    let after = answer.retry_after.expect("it says when");
                    assert!(after.parse::<f64>().expect("a number") > 0.0);
                    turned_away.fetch_add(1, Ordering::AcqRel);
                } else {
                    assert_eq!(answer.status, 200);
                }
            });
        }
        deployment.wait_until("a caller of the surge is turned away", || {
            turned_away.load(Ordering::Acquire) > 0
        });
        assert_eq!(ask("other".to_owned(), "key-2").status, 200);
    });
    deployment.leave();
}
