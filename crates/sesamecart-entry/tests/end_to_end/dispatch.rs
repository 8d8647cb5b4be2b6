//! Requests whose endpoints are assigned by a dispatcher, and failures of the dispatcher.

use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use sesamecart_entry::Entry;

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind, Response};
use crate::{EVENTS, LONG_STREAM_EVENTS, complete_stream};

/// The time after which a node chooses itself if the dispatcher doesn't answer, and the time of a short stream on a
/// busy machine.
const FALLBACK_TIME: Duration = Duration::from_millis(700);

/// The time that a request waits at a dispatcher at most.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Makes one route more urgent than the others to the same engines, whose step times are configured.
fn with_urgent_route(configuration: &mut Value) {
    configuration["routes"][0]["priority"] = json!(0);
    set_step_times(configuration);
}

fn set_step_times(configuration: &mut Value) {
    let engine = &mut configuration["services"][0]["engine"];
    engine["step_ms"] = json!(5.0);
    engine["per_seq_ms"] = json!(0.1);
    engine["read_per_s"] = json!(20_000.0);
    engine["chunk"] = json!(100);
    engine["stride"] = json!(1);
    engine["usual"] = json!({"prompt": 10, "answer": 40});
}

/// Starts a deployment whose requests are dispatched, with another node that dispatches them.
fn start_dispatched(events: u64) -> (Deployment, Entry) {
    let deployment = Deployment::start(events);
    deployment.wait_for_groups(2);
    deployment.publish_edited(2, with_urgent_route);
    let dispatcher = deployment.add_node_with_share("d", 0.5);
    for node in [&deployment.node, &dispatcher] {
        deployment.wait_until("the nodes know each other and the pool", || {
            node.state().known_nodes() == 2 && node.state().dispatched_pool_count() > 0
        });
    }
    (deployment, dispatcher)
}

fn stream(deployment: &Deployment, id: &str) -> Response {
    deployment.send_request(RequestKind::Stream, id, "key-1")
}

/// Returns how many of a node's requests had an outcome at the dispatcher.
fn dispatched(deployment: &Deployment, node: &Entry, outcome: &str) -> u64 {
    let label = format!("outcome=\"{outcome}\"");
    deployment.metric(node, "sesamecart_requests_dispatched_total", &label)
}

#[test]
fn the_node_with_the_largest_share_assigns_endpoints() {
    let (deployment, dispatcher) = start_dispatched(EVENTS);
    for index in 0..4 {
        let response = stream(&deployment, &format!("r{index}"));
        assert_eq!((response.status, response.body), (200, complete_stream()));
    }
    assert_eq!(dispatched(&deployment, &deployment.node, "assigned"), 4);
    deployment.wait_until("the dispatcher knows that they have ended", || {
        dispatcher.state().dispatched_requests().held == 0
    });
    assert_eq!(deployment.node.state().dispatched_requests().held, 0);
    deployment.shut_down();
}

/// Deployments whose routes are equally urgent and whose nodes have enough memory are served as before.
#[test]
fn nothing_is_dispatched_where_nothing_calls_for_it() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    deployment.publish_edited(2, set_step_times);
    let other = deployment.add_node_with_share("d", 0.5);
    assert_eq!(stream(&deployment, "r1").status, 200);
    for outcome in ["assigned", "unanswered", "full"] {
        assert_eq!(dispatched(&deployment, &deployment.node, outcome), 0);
    }
    for node in [&deployment.node, &other] {
        assert_eq!(node.state().dispatched_pool_count(), 0);
        assert_eq!(deployment.metric(node, "sesamecart_dispatchers", ""), 0);
    }
    deployment.shut_down();
}

/// The dispatcher's process is killed. Its callers must be served at once, and the next dispatcher must know what is
/// at the endpoints, or it would overload them.
#[test]
fn the_next_dispatcher_knows_what_is_held_after_the_first_is_killed() {
    let (deployment, dispatcher) = start_dispatched(LONG_STREAM_EVENTS);
    std::thread::scope(|scope| {
        let running = scope.spawn(|| stream(&deployment, "running"));
        deployment.wait_until("the dispatcher knows the stream", || {
            dispatcher.state().dispatched_requests().held == 1
        });
        dispatcher.kill();
        let next = scope.spawn(|| stream(&deployment, "next"));
        deployment.wait_until("the next dispatcher knows both streams", || {
            deployment.node.state().dispatched_requests().held == 2
        });
        for stream in [running, next] {
            assert_eq!(stream.join().expect("it doesn't panic").status, 200);
        }
    });
    assert_eq!(stream(&deployment, "last").status, 200);
    assert!(dispatched(&deployment, &deployment.node, "assigned") >= 2);
    deployment.shut_down();
}

/// Starts a deployment whose dispatcher is a VM that accepts connections and answers nothing.
fn start_with_silent_dispatcher() -> (Deployment, TcpListener) {
    let silent = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let address = silent.local_addr().expect("it has an address");
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    deployment.publish_edited(2, with_urgent_route);
    // In a failure domain of its own, nobody follows it.
    let entry = json!({
        "node": "silent", "failure_domain": "b", "links": address.to_string(), "processor_share": 0.9,
    });
    deployment.store.register_node("silent", &entry);
    // The list of nodes is read again when a node is added.
    let _third = deployment.add_node("n2", deployment.store.address());
    deployment.wait_until("the node knows the silent one and the pool", || {
        let state = deployment.node.state();
        state.known_nodes() == 3 && state.dispatched_pool_count() > 0
    });
    (deployment, silent)
}

/// The dispatcher's VM is suspended: connections to it open, and nothing is answered. Without a time limit,
/// callers would wait until their deadline.
#[test]
fn a_silent_dispatcher_delays_callers_for_a_moment_only() {
    let (deployment, _silent) = start_with_silent_dispatcher();
    let started_at = Instant::now();
    assert_eq!(stream(&deployment, "r1").status, 200);
    assert!(started_at.elapsed() < FALLBACK_TIME);
    assert_eq!(dispatched(&deployment, &deployment.node, "unanswered"), 1);
    assert_eq!(stream(&deployment, "r2").status, 200);
    assert_eq!(dispatched(&deployment, &deployment.node, "assigned"), 1);
    deployment.shut_down();
}

/// A key is revoked while its caller's request waits at the dispatcher. The request was admitted with the key, and
/// must not be served without it.
#[test]
fn a_request_whose_key_is_revoked_while_it_waits_is_refused() {
    let (deployment, silent) = start_with_silent_dispatcher();
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| stream(&deployment, "r1"));
        let _asked = silent.accept().expect("the node asks");
        deployment.publish_edited(3, |configuration| {
            with_urgent_route(configuration);
            configuration["tenants"] = json!([{"name": "customer-2", "apiKeys": ["key-2"]}]);
        });
        assert_eq!(waiting.join().expect("it doesn't panic").status, 401);
    });
    let runs: u32 = deployment
        .engines
        .iter()
        .map(|engine| engine.run_count("r1"))
        .sum();
    assert_eq!(runs, 0);
    deployment.shut_down();
}

/// The dispatcher is shut down while callers send requests to other nodes. It refuses to dispatch from the moment at
/// which it leaves, so no request may be lost or wait for it.
#[test]
fn no_request_is_lost_when_the_dispatcher_shuts_down() {
    let (deployment, dispatcher) = start_dispatched(EVENTS);
    std::thread::scope(|scope| {
        let leaving = scope.spawn(|| async_io::block_on(dispatcher.leave()));
        let mut sent = 0;
        while !leaving.is_finished() || sent < 10 {
            let response = stream(&deployment, &format!("r{sent}"));
            assert_eq!((response.status, response.body), (200, complete_stream()));
            sent += 1;
        }
        assert_eq!(leaving.join().expect("it doesn't panic"), 0);
    });
    assert_eq!(stream(&deployment, "last").status, 200);
    assert!(dispatched(&deployment, &deployment.node, "assigned") > 0);
    deployment.shut_down();
}

/// The number of slots of both groups together.
const SLOTS: usize = 16;

/// Runs `test` while streams occupy all slots.
fn while_full(deployment: &Deployment, dispatcher: &Entry, test: impl FnOnce()) {
    std::thread::scope(|scope| {
        for index in 0..SLOTS {
            scope.spawn(move || {
                let node = [&deployment.node, dispatcher][index % 2];
                let id = format!("r{index}");
                let kind = RequestKind::Stream;
                deployment.send_request_to(node, kind, &id, "key-1", DEFAULT_DEADLINE)
            });
        }
        deployment.wait_until("all slots are taken", || {
            dispatcher.state().dispatched_requests().held == SLOTS
        });
        test();
    });
}

/// Callers of two nodes fill all slots. A request that can't be served in time must be refused at once rather than at
/// its deadline, with the time of its return.
#[test]
fn a_full_pool_refuses_with_the_time_of_return() {
    let (deployment, dispatcher) = start_dispatched(LONG_STREAM_EVENTS * 2);
    while_full(&deployment, &dispatcher, || {
        let refused = stream(&deployment, "refused");
        assert_eq!(refused.status, 503);
        assert!(refused.retry_after.is_some());
        assert_eq!(dispatched(&deployment, &deployment.node, "full"), 1);
    });
    assert_eq!(stream(&deployment, "last").status, 200);
    deployment.shut_down();
}

/// A caller leaves while its request waits at a dispatcher on another node. Kept there, the request would get a place
/// that nobody uses.
#[test]
fn a_request_stops_waiting_when_its_caller_leaves() {
    let (deployment, dispatcher) = start_dispatched(LONG_STREAM_EVENTS * 2);
    let waiting = || dispatcher.state().dispatched_requests().waiting;
    let is_cancelled = |index: usize| {
        let mut caller =
            TcpStream::connect(deployment.node.caller_address()).expect("the node listens");
        let body = format!("asked {index}");
        let req = format!(
            "POST /chat/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: w{index}\r\ncredential: key-1\r\n\
             deadline-ms: 8000\r\nmodel-name: m\r\ntoken-count: 10,80\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(req.as_bytes()).expect("it is sent");
        let sent_at = Instant::now();
        while waiting() == 0 && sent_at.elapsed() < MAX_WAIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        let was_waiting = waiting() == 1;
        drop(caller);
        let left_at = Instant::now();
        while waiting() == 1 {
            std::thread::sleep(Duration::from_millis(1));
        }
        was_waiting && left_at.elapsed() < MAX_WAIT / 3
    };
    while_full(&deployment, &dispatcher, || {
        // A wait may end by itself, or be seen late on a busy machine.
        let cancelled = (0..10).filter(|index| is_cancelled(*index)).count();
        assert!(cancelled >= 5, "{cancelled} of 10 stopped waiting");
    });
    deployment.shut_down();
}
