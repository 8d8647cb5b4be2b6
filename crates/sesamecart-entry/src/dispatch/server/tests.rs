//! Tests the dispatchers of a node without other nodes.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use indexmap::IndexMap;
use sesamecart_fleet::{
    Catalog, CatalogVersion, Directory, DispatchDecision, DispatchRequest, DispatchSetting,
    EngineModel, EngineSpec, HeldRequest, Limits, PoolPart, Service, StepModel, Ticket, TicketKey,
    TokenCounts,
};
use sesamecart_vocabulary::{Bytes, ServiceId};

use super::Report;
use crate::clock;
use crate::state::EntryState;
use crate::testkit::{group_head, new_state};

const TOKENS: TokenCounts = TokenCounts {
    prompt: 100.0,
    answer: 10.0,
};

fn part() -> PoolPart {
    PoolPart {
        service: "llm".parse().expect("a valid service"),
        model: "m".parse().expect("a valid model"),
        part: 0,
    }
}

fn catalog() -> Catalog {
    let engine = EngineSpec {
        slots: 1,
        models: vec![EngineModel {
            model: part().model,
            group_size: 1,
            share: 1.0,
            pace: 1.0,
            load_time: Duration::ZERO,
            warm_time: Duration::ZERO,
        }],
        loads_per_s: 1.0,
        loads_at_once: 1,
        kv_capacity_tokens: None,
        steps: Some(StepModel {
            step_ms: 5.0,
            step_ms_per_answer: 0.1,
            read_tokens_per_ms: 50.0,
            chunk_tokens: 50.0,
            steps_per_pass: 1,
            mean: TOKENS,
        }),
    };
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        cold_per_s: None,
        engine: Some(engine),
    };
    let limits = Limits {
        max_header_bytes: Bytes(16_384),
        max_body_bytes: Bytes(1_000),
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let services: IndexMap<ServiceId, Service> = IndexMap::from([(part().service, service)]);
    Catalog::new(CatalogVersion(1), [], services, None, limits)
}

/// Creates the state of a node that dispatches a pool of one endpoint with one slot.
fn dispatching_state() -> Arc<EntryState> {
    let mut state = new_state(true);
    state.settings.dispatch = Some(DispatchSetting::Always);
    state.catalog.store(Some(Arc::new(catalog())));
    let mut head = group_head();
    head.slots = 1;
    head.models = vec![part().model];
    let mut directory = Directory::default();
    directory.put(clock::now(), head);
    state.directory.store(Arc::new(directory));
    Arc::new(state)
}

fn request(ticket: u64) -> DispatchRequest {
    DispatchRequest {
        key: key(ticket),
        fingerprint: format!("{ticket:032x}")
            .parse()
            .expect("a valid fingerprint"),
        customer: None,
        urgency: 0,
        failure_domain: "a".parse().expect("a valid failure domain"),
        tokens: TOKENS,
        latency_target: Duration::from_secs(1),
        waited: Duration::ZERO,
        time_left: Duration::from_secs(6),
        excluded: Vec::new(),
    }
}

fn key(ticket: u64) -> TicketKey {
    TicketKey {
        node: "n2".parse().expect("a valid node"),
        ticket: Ticket(ticket),
    }
}

fn dispatch(state: &Arc<EntryState>, ticket: u64) -> Option<DispatchDecision> {
    future::block_on(future::poll_once(
        state.decide_dispatch(&part(), request(ticket)),
    ))
    .flatten()
}

#[test]
fn a_request_is_assigned_the_free_endpoint() {
    let state = dispatching_state();
    let decision = dispatch(&state, 1);
    assert!(
        matches!(&decision, Some(DispatchDecision::Send(assignment)) if assignment.endpoint.as_str() == "e0"),
        "{decision:?}"
    );
    assert_eq!(state.dispatched_requests().held, 1);
}

/// The caller of a request that waits leaves. The request must not take a place that becomes free.
#[test]
fn a_waiting_request_that_is_dropped_takes_no_place() {
    let state = dispatching_state();
    let _first = dispatch(&state, 1);
    let part = part();
    let mut waiting = Box::pin(state.decide_dispatch(&part, request(2)));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
    assert_eq!(state.dispatched_requests().waiting, 1);
    drop(waiting);
    assert_eq!(state.dispatched_requests().waiting, 0);
    assert_eq!(state.dispatched_requests().held, 1);
}

/// A place that becomes free is given at once, not only when the wait ends.
#[test]
fn a_reported_end_serves_the_request_that_waits() {
    let state = dispatching_state();
    let _first = dispatch(&state, 1);
    let part = part();
    let mut waiting = Box::pin(state.decide_dispatch(&part, request(2)));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
    let report = Report {
        ended: vec![Ticket(1)],
        abandoned: Vec::new(),
        ..Report::default()
    };
    assert!(state.apply_held_report(&part, &key(1).node, report));
    let decision = future::block_on(future::poll_once(&mut waiting)).flatten();
    assert!(
        matches!(decision, Some(DispatchDecision::Send(_))),
        "{decision:?}"
    );
}

/// A node takes over from a dispatcher that was killed. It must count what nodes already have at the endpoints.
#[test]
fn reported_requests_occupy_their_endpoint() {
    let state = dispatching_state();
    let report = Report {
        is_complete: true,
        held: vec![HeldRequest {
            key: key(7),
            endpoint: "e0".parse().expect("a valid endpoint"),
            tokens: TOKENS,
            age: Duration::from_millis(300),
            started_after: Some(Duration::from_millis(90)),
        }],
        ended: Vec::new(),
        abandoned: Vec::new(),
    };
    assert!(state.apply_held_report(&part(), &key(7).node, report));
    assert_eq!(dispatch(&state, 1), None, "it has to wait");
}

#[test]
fn a_node_answers_nothing_about_pools_that_it_does_not_know() {
    let state = dispatching_state();
    let unknown = PoolPart { part: 1, ..part() };
    assert!(!state.apply_held_report(&unknown, &key(1).node, Report::default()));
    let decision = future::block_on(state.decide_dispatch(&unknown, request(1)));
    assert_eq!(decision, None);
}
