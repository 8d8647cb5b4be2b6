//! Requests that crash each engine that runs them.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use sesamecart_standins::Engine;

use crate::setup::Deployment;

/// A completion that runs until its engine crashes.
const BODY: &str = r#"{"model":"assistant","max_tokens":1000000,"prompt":"crash"}"#;

/// The number of crashes after which no node may send the request on, and the number of runs that may have
/// been sent before the nodes know.
const MAX_CRASHES: u32 = 3 + 3;

const RESTART_DELAY: Duration = Duration::from_millis(20);

/// Crashes an engine and starts it again whenever it begins to run a request.
fn crash_on_each_run(engine: &Engine, crashes: &AtomicU32, is_done: &AtomicBool) {
    let mut begun = engine.counts().begun;
    while !is_done.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(2));
        if engine.counts().begun == begun {
            continue;
        }
        engine.crash();
        crashes.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(RESTART_DELAY);
        begun = engine.counts().begun;
        engine.revive();
    }
}

/// Guards against a request that crashes engine after engine, because each time that its caller repeats it,
/// it is treated as a new request.
#[test]
fn a_completion_that_crashes_engines_is_not_sent_on_for_ever() {
    let deployment = Deployment::start(false);
    let (crashes, is_done) = (AtomicU32::new(0), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for engine in &deployment.engines {
            scope.spawn(|| crash_on_each_run(engine, &crashes, &is_done));
        }
        for round in 0..12 {
            deployment.call(round % 3, "POST", "/v1/completions", "", BODY);
            std::thread::sleep(Duration::from_millis(300));
        }
        is_done.store(true, Ordering::Relaxed);
    });
    let crashes = crashes.into_inner();
    assert!(crashes <= MAX_CRASHES, "it crashed engines {crashes} times");
}
