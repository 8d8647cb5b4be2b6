//! Tests when a pool counts as lost, and when as reachable again.

use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::{Pool, ReachChange, ReachTracker};

const MS: u64 = 1_000;

fn pool(name: &str) -> Pool {
    Pool {
        service: name.parse().expect("a valid name"),
        model: None,
    }
}

fn endpoint(number: usize) -> EndpointId {
    format!("e{number}").parse().expect("a valid ID")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * MS)
}

/// Lets connections to `endpoints` fail at `ms`, in a pool of ten endpoints.
fn fail(tracker: &mut ReachTracker, ms: u64, endpoints: &[usize]) -> Option<ReachChange> {
    let failed = endpoints.iter().map(|number| endpoint(*number));
    let changes = failed.map(|id| tracker.record_failure(at(ms), &pool("llm"), &id, 10));
    changes.fold(None, Option::or)
}

#[test]
fn three_endpoints_that_fail_without_a_connection_in_between_are_a_loss() {
    let mut tracker = ReachTracker::default();
    assert_eq!(fail(&mut tracker, 0, &[1, 2]), None);
    assert_eq!(fail(&mut tracker, 50, &[3]), Some(ReachChange::Lost(at(0))));
    assert_eq!(tracker.lost_since(&pool("llm")), Some(at(0)));
    assert_eq!(tracker.lost_since(&pool("app")), None);
}

#[test]
fn one_endpoint_that_fails_again_and_again_is_no_loss() {
    let mut tracker = ReachTracker::default();
    for ms in 0..20 {
        assert_eq!(fail(&mut tracker, ms, &[1]), None);
    }
}

#[test]
fn a_connection_in_between_refutes_a_loss() {
    let mut tracker = ReachTracker::default();
    fail(&mut tracker, 0, &[1, 2]);
    assert_eq!(tracker.record_connection(at(10), &pool("llm")), None);
    assert_eq!(fail(&mut tracker, 20, &[3]), None);
}

#[test]
fn endpoints_that_stop_one_after_the_other_are_no_loss() {
    let mut tracker = ReachTracker::default();
    for number in 0..6 {
        assert_eq!(fail(&mut tracker, number * 1_100, &[number as usize]), None);
    }
}

#[test]
fn all_endpoints_of_a_small_pool_are_a_loss() {
    let mut tracker = ReachTracker::default();
    let change = tracker.record_failure(at(0), &pool("app"), &endpoint(1), 1);
    assert_eq!(change, Some(ReachChange::Lost(at(0))));
}

#[test]
fn two_checks_in_a_row_end_a_loss() {
    let mut tracker = ReachTracker::default();
    fail(&mut tracker, 0, &[1, 2, 3]);
    assert_eq!(tracker.record_connection(at(900), &pool("llm")), None);
    fail(&mut tracker, 950, &[4]);
    assert_eq!(tracker.record_connection(at(1_000), &pool("llm")), None);
    let regained = tracker.record_connection(at(1_100), &pool("llm"));
    let duration = Duration::from_millis(1_100);
    assert_eq!(regained, Some(ReachChange::Regained(duration)));
    assert_eq!(tracker.lost().count(), 0);
}

/// Returns the number of successful checks that end the current loss.
fn checks_to_regain(tracker: &mut ReachTracker, ms: u64) -> usize {
    let checks = (1..).find(|_| tracker.record_connection(at(ms), &pool("llm")).is_some());
    checks.expect("the loss ends")
}

#[test]
fn a_path_that_keeps_failing_needs_more_checks_up_to_a_limit() {
    let mut tracker = ReachTracker::default();
    let mut checks = Vec::new();
    for cut in 0..4 {
        fail(&mut tracker, cut * 2_000, &[1, 2, 3]);
        checks.push(checks_to_regain(&mut tracker, cut * 2_000 + 1_000));
    }
    assert_eq!(checks, [2, 4, 8, 8]);
    fail(&mut tracker, 60_000, &[1, 2, 3]);
    assert_eq!(checks_to_regain(&mut tracker, 61_000), 2);
}

#[test]
fn pools_that_no_longer_exist_are_forgotten() {
    let mut tracker = ReachTracker::default();
    for number in 0..1_000 {
        let pool = pool(&format!("service-{number}"));
        let _change = tracker.record_failure(at(0), &pool, &endpoint(1), 1);
    }
    tracker.prune(at(10), |known| *known == pool("service-7"));
    assert_eq!(tracker.lost().count(), 1);
}
