//! Tests of which steps of a start are logged.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{StartStep, StartSteps};

#[test]
fn each_step_is_reached_once() {
    let started_at = Timestamp::from_millis(1_000);
    let steps = StartSteps::new(started_at);
    let after = Duration::from_millis(20);
    let now = started_at + after;
    for step in [StartStep::Registered, StartStep::FirstResponse] {
        assert_eq!(steps.reach(now, step), Some(after));
        assert_eq!(steps.reach(now + after, step), None);
    }
}
