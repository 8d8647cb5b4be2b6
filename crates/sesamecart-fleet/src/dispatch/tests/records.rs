//! What nodes report, and what they leave unreported.

use std::time::Duration;

use super::{at, endpoint, head, held, key, ms, pool_spec, request};
use crate::catalog::{EngineModel, EngineSpec};
use crate::dispatch::{AttemptEnd, DispatchDecision, Dispatcher, HeldRequest, PoolHead, PoolSpec};

/// Returns a dispatcher with one endpoint that has one slot, which is taken by ticket 0 of node 0.
fn full() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(PoolSpec { ..pool_spec() });
    dispatcher.set_heads(
        at(0),
        [PoolHead {
            slots: 1,
            ..head(0)
        }],
    );
    assert!(matches!(
        dispatcher.offer(at(0), request(0)),
        DispatchDecision::Send(_)
    ));
    dispatcher
}

fn is_free(dispatcher: &mut Dispatcher, millis: u64) -> bool {
    let mut req = request(99);
    req.key = key(9, 99);
    let decision = dispatcher.offer(at(millis), req);
    dispatcher.cancel(&key(9, 99));
    matches!(decision, DispatchDecision::Send(_))
}

#[test]
fn ended_attempt_frees_its_place() {
    let mut dispatcher = full();
    assert!(!is_free(&mut dispatcher, 1));
    dispatcher.record_ended(at(2), &key(0, 0), AttemptEnd::Finished);
    assert!(is_free(&mut dispatcher, 3));
}

/// Guards against a successor that fills endpoints twice because it knows nothing of earlier attempts.
#[test]
fn attempt_that_another_dispatcher_assigned_takes_its_place() {
    let mut dispatcher = Dispatcher::new(pool_spec());
    dispatcher.set_heads(
        at(0),
        [PoolHead {
            slots: 1,
            ..head(0)
        }],
    );
    for _ in 0..2 {
        let report = HeldRequest {
            age: ms(400),
            started_after: Some(ms(150)),
            ..held(&key(1, 7), endpoint(0))
        };
        dispatcher.record_held(at(0), report);
    }
    assert!(!is_free(&mut dispatcher, 1));
    dispatcher.record_ended(at(2), &key(1, 7), AttemptEnd::Finished);
    assert!(is_free(&mut dispatcher, 3));
}

fn predicted_start(dispatcher: &mut Dispatcher) -> Option<Duration> {
    match dispatcher.offer(at(3), request(1)) {
        DispatchDecision::Send(assignment) => Some(assignment.predicted_start),
        DispatchDecision::Wait | DispatchDecision::Refuse(_) => None,
    }
}

/// Guards against an endpoint that gets fewer requests because callers leave before its first event.
#[test]
fn callers_that_leave_do_not_make_an_endpoint_slow() {
    let mut unused = Dispatcher::new(pool_spec());
    unused.set_heads(at(0), [head(0)]);
    let usual = predicted_start(&mut unused);
    let predicted_after = |end| {
        let mut dispatcher = full();
        dispatcher.record_held(at(0), held(&key(0, 0), endpoint(0)));
        dispatcher.record_ended(at(2), &key(0, 0), end);
        predicted_start(&mut dispatcher)
    };
    assert_eq!(predicted_after(AttemptEnd::Abandoned), usual);
    assert_ne!(predicted_after(AttemptEnd::Finished), usual);
}

/// Guards against places that stay taken because the node died before it sent the request.
#[test]
fn assignment_that_is_never_reported_ends() {
    let mut dispatcher = full();
    assert!(!is_free(&mut dispatcher, 1_499));
    assert!(is_free(&mut dispatcher, 1_500));
}

/// Guards against places that stay taken because the node died or froze.
#[test]
fn attempts_of_a_silent_node_end() {
    let mut dispatcher = full();
    dispatcher.record_held(at(100), held(&key(0, 0), endpoint(0)));
    assert!(!is_free(&mut dispatcher, 1_590));
    assert!(is_free(&mut dispatcher, 1_600));
}

/// Guards against places that stay taken because the report of an end was lost.
#[test]
fn attempt_that_a_complete_report_omits_ends() {
    let mut dispatcher = full();
    dispatcher.record_held(at(100), held(&key(0, 0), endpoint(0)));
    dispatcher.record_report(at(100), &key(0, 0).node, true);
    assert!(!is_free(&mut dispatcher, 110));
    dispatcher.record_report(at(120), &key(0, 0).node, false);
    assert!(!is_free(&mut dispatcher, 130));
    dispatcher.record_report(at(140), &key(0, 0).node, true);
    assert!(is_free(&mut dispatcher, 150));
}

/// Guards against places that stay taken because the end of an attempt was never reported.
#[test]
fn attempt_ends_at_its_deadline() {
    let mut dispatcher = full();
    for millis in (100..6_000).step_by(500) {
        dispatcher.record_held(at(millis), held(&key(0, 0), endpoint(0)));
    }
    assert!(!is_free(&mut dispatcher, 5_999));
    assert!(is_free(&mut dispatcher, 6_000));
}

#[test]
fn pool_has_the_pace_of_its_model_and_needs_step_times() {
    let engine = crate::testkit::spec();
    let model = EngineModel {
        pace: 1.5,
        ..engine.models[0].clone()
    };
    let spec = PoolSpec::new(&engine, &model).expect("step times are configured");
    assert_eq!((spec.pace, spec.steps), (1.5, crate::testkit::steps()));
    let without_steps = EngineSpec {
        steps: None,
        ..engine
    };
    assert_eq!(PoolSpec::new(&without_steps, &model), None);
}
