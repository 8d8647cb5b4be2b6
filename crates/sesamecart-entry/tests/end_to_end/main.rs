//! End-to-end tests of a real node with a stand-in platform: from its settings to complete responses,
//! including the failures of endpoints and of the store.

mod configuration_changes;
mod crashing_prompt_parts;
mod crashing_requests;
mod cut_answers;
mod dispatch;
mod endless_answers;
mod endpoint_backoffs;
mod endpoint_limits;
mod faulty_links;
mod forwarding;
mod invalid_statuses;
mod kept_connection;
mod leaving_endpoints;
mod many_nodes;
mod memory;
mod odd_entries;
mod overload;
mod planned_stops;
mod registry_removals;
mod return_soak;
mod setup;
mod silent_endpoints;
mod sources;
mod starts;
mod store_proxy;
mod store_returns;
mod unframed_answers;
mod unreachable_endpoints;

use std::cell::Cell;
use std::time::Duration;

use sesamecart_entry::Entry;
use sesamecart_platform_standins::{Engine, Fault, Outage};

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind, Response};
use crate::store_proxy::StoreProxy;

/// The number of events in a complete stream.
const EVENTS: u64 = 12;

/// The number of events in a stream that other nodes observe while it runs, for about 2 s.
const LONG_STREAM_EVENTS: u64 = 400;

fn complete_stream() -> String {
    (1..=EVENTS)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

#[test]
fn groups_form_and_a_stream_completes() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let response = deployment.send_request(RequestKind::Stream, "r1", "key-1");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, complete_stream().as_str())
    );
    assert!(response.is_sealed);
    let heads = deployment
        .engines
        .iter()
        .filter(|engine| engine.is_open_head());
    assert_eq!(heads.count(), 2, "six engines make two groups of three");
    deployment.shut_down();
}

/// A member fails, and its group's head aborts a stream in the middle of an event. The caller must receive
/// each event exactly once and complete: the partial event must not be joined with an event of the group that
/// continues the stream.
#[test]
fn a_stream_aborted_within_an_event_resumes_on_another_group() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    for engine in &deployment.engines {
        engine.set_fault(Fault::AbortInEvent(5));
    }
    let first = deployment.send_request(RequestKind::Stream, "r1", "key-1");
    // Both heads abort their next stream, and the route allows two attempts.
    assert_ne!(first, Response::complete(200, &complete_stream()));
    let second = deployment.send_request(RequestKind::Stream, "r2", "key-1");
    assert_eq!(second.body, complete_stream());
    for engine in &deployment.engines {
        engine.set_fault(Fault::None);
    }
    let head = deployment
        .engines
        .iter()
        .find(|engine| engine.is_open_head());
    head.expect("a group is open")
        .set_fault(Fault::AbortInEvent(5));
    for request in 0..6 {
        let response =
            deployment.send_request(RequestKind::Stream, &format!("again-{request}"), "key-1");
        assert_eq!((response.status, response.body), (200, complete_stream()));
    }
    deployment.shut_down();
}

/// The route allows two endpoints for each request. Without the limit, a stream would be started on every
/// group while groups fail one after another, which would delay the first events of all callers.
#[test]
fn a_stream_runs_on_no_more_endpoints_than_its_route_allows() {
    let deployment = Deployment::start_with(EVENTS, |engines| {
        for engine in engines {
            engine.abort_streams_after(3);
        }
    });
    deployment.wait_for_groups(2);
    for request in 0..6 {
        let id = format!("r{request}");
        let response = deployment.send_request(RequestKind::Stream, &id, "key-1");
        // Failed endpoints are ejected for a while, and the caller then receives a 503 with a retry time.
        assert!(
            [0, 503].contains(&response.status),
            "{response:?} looks complete"
        );
        let runs: u32 = deployment
            .engines
            .iter()
            .map(|engine| engine.run_count(&id))
            .sum();
        assert!(runs <= 2, "it ran {runs} times");
    }
    deployment.shut_down();
}

/// A booking runs, and its response is lost. A retry by the node would run it twice, and a refusal would
/// state that it hasn't run, so that the caller would send it again.
#[test]
fn a_booking_whose_response_is_lost_runs_once_and_is_not_refused() {
    let deployment = Deployment::start(EVENTS);
    for plain in &deployment.plain {
        plain.set_fault(Fault::DropResponse);
    }
    let response = deployment.send_request(RequestKind::Booking, "r1", "key-1");
    assert_eq!(response.status, 502);
    assert_eq!(deployment.runs("r1"), 1);
    deployment.shut_down();
}

/// A lookup whose response is lost may run twice, so the caller receives the other endpoint's response.
#[test]
fn a_lookup_whose_response_is_lost_is_retried_on_another_endpoint() {
    let deployment = Deployment::start(EVENTS);
    deployment.plain[0].set_fault(Fault::DropResponse);
    for request in 0..4 {
        let response =
            deployment.send_request(RequestKind::Lookup, &format!("r{request}"), "key-1");
        assert_eq!((response.status, response.body.as_str()), (200, "done"));
    }
    deployment.shut_down();
}

/// Only an endpoint's explicit rejection guarantees that a booking hasn't run. Forwarding a bare 503 would
/// give the caller a false guarantee.
#[test]
fn a_bare_503_is_not_forwarded_as_a_refusal() {
    let deployment = Deployment::start(EVENTS);
    for plain in &deployment.plain {
        plain.set_fault(Fault::PlainUnavailable);
    }
    let response = deployment.send_request(RequestKind::Booking, "r1", "key-1");
    assert_eq!((response.status, response.is_sealed), (502, false));
    deployment.shut_down();
}

/// An endpoint that rejects a request because it is full hasn't run it, so even a booking may be retried on
/// another endpoint.
#[test]
fn a_booking_rejected_by_a_full_endpoint_is_retried_on_another_endpoint() {
    let deployment = Deployment::start(EVENTS);
    deployment.plain[0].set_fault(Fault::Full);
    for request in 0..4 {
        let id = format!("r{request}");
        assert_eq!(
            deployment
                .send_request(RequestKind::Booking, &id, "key-1")
                .status,
            200
        );
        assert_eq!(deployment.runs(&id), 1);
    }
    deployment.plain[1].set_fault(Fault::Full);
    let refused = deployment.send_request(RequestKind::Booking, "last", "key-1");
    assert_eq!((refused.status, deployment.runs("last")), (503, 0));
    assert!(
        refused.retry_after.is_some(),
        "the refusal has a retry-after header"
    );
    deployment.shut_down();
}

/// An endpoint sends a late second response on a connection where the response to the next request is
/// expected. The next caller must not receive it.
#[test]
fn a_response_to_another_request_is_not_forwarded() {
    let deployment = Deployment::start(EVENTS);
    for plain in &deployment.plain {
        plain.set_fault(Fault::WrongRequestId);
    }
    let response = deployment.send_request(RequestKind::Booking, "r1", "key-1");
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("another's answer"));
    deployment.shut_down();
}

/// After a key is revoked, its requests are rejected, also when a slow writer publishes an older
/// configuration later. Endpoints never receive keys.
#[test]
fn a_revoked_key_stops_working_and_stays_revoked() {
    let deployment = Deployment::start(EVENTS);
    assert_eq!(
        deployment
            .send_request(RequestKind::Lookup, "r1", "key-2")
            .status,
        200
    );
    assert_eq!(
        deployment
            .send_request(RequestKind::Lookup, "r2", "key-9")
            .status,
        401
    );
    deployment.publish(2, &["key-1"]);
    deployment.wait_until("the key is revoked", || {
        deployment
            .send_request(RequestKind::Lookup, "r3", "key-2")
            .status
            == 401
    });
    deployment.publish(1, &["key-1", "key-2"]);
    // Once this later record is applied, the older configuration has been read.
    deployment
        .store
        .publish("evacuate/elsewhere", &serde_json::json!({}));
    deployment.wait_until("the evacuation is known", || {
        deployment.knows_evacuation("elsewhere")
    });
    assert_eq!(
        deployment
            .send_request(RequestKind::Lookup, "r4", "key-2")
            .status,
        401
    );
    let received: Vec<_> = deployment
        .plain
        .iter()
        .flat_map(|plain| plain.customers())
        .collect();
    assert!(
        received
            .iter()
            .all(|customer| customer.as_deref() == Some("customer-2"))
    );
    deployment.shut_down();
}

/// The store stops responding to this node only, and keys may be revoked meanwhile. The node must refuse
/// requests before a revoked key would be accepted for too long, and the refused requests must not have run.
#[test]
fn a_node_without_responses_from_the_store_stops_accepting_keys() {
    let deployment = Deployment::start(EVENTS);
    deployment.store.set_outage(Outage::Unresponsive);
    deployment.wait_until("the node refuses requests", || {
        let id = format!("r{}", fastrand::u64(..));
        let response = deployment.send_request(RequestKind::Booking, &id, "key-1");
        response.status == 503 && deployment.runs(&id) == 0 && response.retry_after.is_some()
    });
    assert_eq!(deployment.readiness(), 503);
    deployment.store.set_outage(Outage::None);
    deployment.wait_until("the node serves again", || {
        deployment
            .send_request(RequestKind::Lookup, "back", "key-1")
            .status
            == 200
    });
    deployment.shut_down();
}

/// The registry contains invalid entries of another writer. They are ignored, and the valid entries stay in
/// effect.
#[test]
fn invalid_registry_entries_do_not_hide_endpoints() {
    let deployment = Deployment::start(EVENTS);
    deployment
        .store
        .register("i-foreign", b"{\"service\":\"app\"".to_vec());
    deployment.store.register("not a name", b"{}".to_vec());
    deployment
        .store
        .publish("evacuate/elsewhere", &serde_json::json!({}));
    deployment.wait_until("the evacuation is known", || {
        deployment.knows_evacuation("elsewhere")
    });
    for request in 0..4 {
        assert_eq!(
            deployment
                .send_request(RequestKind::Lookup, &format!("r{request}"), "key-1")
                .status,
            200
        );
    }
    deployment.shut_down();
}

/// A member of a group stops responding, and its head continues to accept requests without making progress.
/// Callers' streams must continue on the other group, and the group is dissolved so that the remaining
/// engines can form a new one.
#[test]
fn a_group_with_an_unresponsive_member_is_dissolved() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let member = deployment
        .engines
        .iter()
        .find(|engine| !engine.is_open_head());
    let member = member.expect("a group has members");
    member.set_fault(Fault::Unresponsive);
    deployment.store.unregister(member.id());
    deployment.wait_until("a head has left its group", || {
        deployment.engines.iter().any(|engine| {
            engine
                .operations()
                .iter()
                .any(|operation| operation == "leave")
        })
    });
    let response = deployment.send_request(RequestKind::Stream, "r1", "key-1");
    assert_eq!((response.status, response.body), (200, complete_stream()));
    deployment.shut_down();
}

/// Each of two groups loses a member, and the controller orders both heads to leave. The heads' reports,
/// which show whether the order took effect, are some hundred milliseconds old. If the controller relied on
/// such a report, a head would refuse to join, the other members of the new group would have joined in vain,
/// and callers would wait 0.5 s longer for the group.
#[test]
fn a_former_head_joins_the_next_group_at_the_first_attempt() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    for engine in &deployment.engines {
        engine.set_report_lag(Duration::from_millis(250));
    }
    let members = || {
        let engines = deployment.engines.iter();
        engines.filter(|engine| !engine.is_open_head())
    };
    let first = members().next().expect("a group has members");
    let last = members().next_back().expect("the other group has members");
    for member in [first, last] {
        member.set_unresponsive(true);
        deployment.store.unregister(member.id());
    }
    let joins = |engine: &Engine| {
        let operations = engine.operations();
        operations
            .iter()
            .filter(|operation| *operation == "join")
            .count()
    };
    let has_left = |engine: &Engine| engine.operations().iter().any(|name| name == "leave");
    deployment.wait_until(
        "an engine of a former group is the head of the next group",
        || {
            let engines = deployment.engines.iter();
            engines
                .into_iter()
                .any(|engine| engine.is_open_head() && joins(engine) > 1)
        },
    );
    assert!(deployment.engines.iter().any(has_left));
    for engine in &deployment.engines {
        assert!(
            joins(engine) <= 2,
            "{}: {:?}",
            engine.id(),
            engine.operations()
        );
    }
    deployment.shut_down();
}

/// An engine is dead but still registered when a controller plans its first groups. No other engine may be
/// assigned to a group with it: callers would find no group until the dead engine's order has failed.
#[test]
fn a_dead_registered_engine_is_not_grouped_with_others() {
    let deployment =
        Deployment::start_with(EVENTS, |engines| engines[0].set_fault(Fault::Unresponsive));
    deployment.wait_for_groups(1);
    let head = deployment
        .engines
        .iter()
        .find(|engine| engine.is_open_head());
    assert_ne!(head.map(|head| head.id()), Some("e0"));
    let operations = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.operations());
    let joins = operations.filter(|operation| operation == "join").count();
    assert_eq!(
        joins, 3,
        "only the members of the opened group received a join order"
    );
    deployment.shut_down();
}

/// A failure domain is partitioned from the controller for seconds. Its groups continue to serve callers on
/// their side of the partition. Their members couldn't receive an order to leave, so they must not be joined
/// to other groups.
#[test]
fn members_of_a_partitioned_group_are_not_joined_to_another_group() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    for engine in &deployment.engines {
        engine.set_unresponsive(true);
    }
    // A stream on each head makes the node probe its group.
    for request in 0..4 {
        let id = format!("lost-{request}");
        let deadline = std::time::Duration::from_millis(1_500);
        deployment.send_request_within(RequestKind::Stream, &id, "key-1", deadline);
    }
    std::thread::sleep(std::time::Duration::from_secs(6));
    for engine in &deployment.engines {
        engine.set_unresponsive(false);
    }
    std::thread::sleep(std::time::Duration::from_secs(3));
    for engine in &deployment.engines {
        let operations = engine.operations();
        let joined_again = operations.windows(2).any(|pair| {
            let stays = ["join", "open"].contains(&pair[0].as_str());
            stays && pair[1] == "join"
        });
        assert!(!joined_again, "{}: {operations:?}", engine.id());
    }
    deployment.shut_down();
}

/// When a node shuts down, the tasks that send to the controller end before the controller. If the controller
/// treats the closed channel as a message, it spins until the process is ended by SIGKILL, and its log is
/// lost.
#[test]
fn a_node_that_shuts_down_joins_its_threads() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    assert_eq!(deployment.shut_down(), 0, "no connection was aborted");
}

/// A caller's deadline expires while an endpoint is unresponsive. The caller must receive the final response
/// at the deadline, not when the endpoint recovers.
#[test]
fn a_request_ends_at_the_callers_deadline() {
    let deployment = Deployment::start(EVENTS);
    for plain in &deployment.plain {
        plain.set_fault(Fault::Unresponsive);
    }
    let deadline = Duration::from_millis(300);
    let response = deployment.send_request_within(RequestKind::Booking, "r1", "key-1", deadline);
    assert_eq!(response.status, 504);
    deployment.kill();
}

/// The store rejects one node and serves the others. The node follows one of those instead. Otherwise it
/// would accept a revoked key until its configuration is too old, and would then refuse all callers.
#[test]
fn a_node_rejected_by_the_store_follows_another_node() {
    let deployment = Deployment::start(EVENTS);
    let proxy = StoreProxy::start(deployment.store.address());
    let other = deployment.add_node("n2", proxy.address);
    let status_of = |id: &str, key: &str| {
        let response =
            deployment.send_request_to(&other, RequestKind::Lookup, id, key, DEFAULT_DEADLINE);
        response.status
    };
    assert_eq!(status_of("r1", "key-2"), 200);
    proxy.close();
    deployment.publish(2, &["key-1"]);
    deployment.wait_until("the revoked key is rejected", || {
        status_of("r2", "key-2") == 401
    });
    // Longer than a node may use a configuration whose freshness isn't confirmed.
    std::thread::sleep(Duration::from_millis(5_500));
    assert_eq!(status_of("r3", "key-1"), 200);
    assert_eq!(deployment.readiness_of(&other), 200);
    other.kill();
    deployment.shut_down();
}

/// The node that reads the store for its failure domain is killed. Until the standby reads the store, all
/// nodes that followed the reader would accept revoked keys and would not discover new endpoints.
#[test]
fn a_standby_reads_the_store_after_its_reader_fails() {
    let deployment = Deployment::start(EVENTS);
    let reader = deployment.add_node_with_share("n2", 0.5);
    let standby = deployment.add_node_with_share("n3", 0.4);
    let reads = |node: &Entry| node.state().reads_store();
    // The first node also reads the store because it controls the groups.
    deployment.wait_until("the reader reads the store", || {
        reads(&reader) && !reads(&standby)
    });
    reader.kill();
    deployment.publish(2, &["key-1"]);
    deployment.wait_until("the revoked key is rejected by all nodes", || {
        let first = deployment.send_request(RequestKind::Lookup, "r1", "key-2");
        let second = deployment.send_request_to(
            &standby,
            RequestKind::Lookup,
            "r2",
            "key-2",
            DEFAULT_DEADLINE,
        );
        first.status == 401 && second.status == 401
    });
    deployment.wait_until("the standby reads the store", || reads(&standby));
    standby.kill();
    deployment.shut_down();
}

/// Two nodes route to the same heads, and neither sees the other's callers. A node that considered only its
/// own requests would send to a head that the other node has just filled, and callers of both nodes would
/// wait.
#[test]
fn a_node_sees_the_load_of_other_nodes_on_heads() {
    let deployment = Deployment::start(LONG_STREAM_EVENTS);
    deployment.wait_for_groups(2);
    let other = deployment.add_node("n2", deployment.store.address());
    let remote_requests = || other.state().peer_requests_in_flight();
    std::thread::scope(|scope| {
        scope.spawn(|| deployment.send_request(RequestKind::Stream, "r1", "key-1"));
        deployment.wait_until("the other node sees the stream", || remote_requests() == 1);
    });
    deployment.wait_until("the other node sees the end of the stream", || {
        remote_requests() == 0
    });
    other.kill();
    deployment.shut_down();
}

/// The controller's own callers send no requests. If it considered only their demand, a model that callers of
/// other nodes request would lose its groups.
#[test]
fn a_node_sees_the_demand_of_callers_of_other_nodes() {
    let deployment = Deployment::start(1);
    deployment.wait_for_groups(2);
    let other = deployment.add_node("n2", deployment.store.address());
    let model = "m".parse().expect("a valid model name");
    let sent = Cell::new(0);
    deployment.wait_until("the first node sees the demand at the other node", || {
        sent.set(sent.get() + 1);
        let request = format!("r{}", sent.get());
        deployment.send_request_to(
            &other,
            RequestKind::Stream,
            &request,
            "key-1",
            DEFAULT_DEADLINE,
        );
        let needed = deployment.node.state().estimated_groups_needed(&model);
        needed.is_some_and(|groups| groups > 0.0)
    });
    other.kill();
    deployment.shut_down();
}
