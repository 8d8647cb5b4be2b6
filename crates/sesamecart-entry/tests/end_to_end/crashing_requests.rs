//! Tests of requests that crash each endpoint that runs them.

use std::time::{Duration, Instant};

use serde_json::Value;
use sesamecart_entry::Entry;
use sesamecart_platform_standins::Engine;

use crate::faulty_links::LinkFault;
use crate::setup::{CallerRequest, DEFAULT_DEADLINE, Deployment, RequestKind, Response};
use crate::store_proxy::StoreProxy;

/// The body of a request that crashes its endpoint.
const CRASHING: &str = "crash";

/// The number of plain endpoints. It is more than one request may crash.
const ENDPOINTS: usize = 16;

/// The number of endpoints that a request may crash before all nodes have to refuse it.
const CRASH_LIMIT: u32 = 3;

/// The number of times that a request may be sent on after the last of these crashes is known.
const MAX_LATE_SENDS: u32 = 3;

/// The time within which all nodes know what one of them has observed.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

fn start() -> Deployment {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    for endpoint in &deployment.plain {
        endpoint.crash_on(CRASHING, None);
    }
    deployment
}

fn crashes(deployment: &Deployment) -> u32 {
    let endpoints = deployment.plain.iter();
    endpoints.map(|endpoint| endpoint.crash_count()).sum()
}

fn lookup(deployment: &Deployment, node: &Entry, key: &str, body: &str) -> Response {
    let call = CallerRequest {
        kind: RequestKind::Lookup,
        id: &format!("{key}-{body}-{}", fastrand::u64(..)),
        key,
        body,
    };
    deployment.send_call_to(node, &call, DEFAULT_DEADLINE)
}

/// Sends the crashing request to the nodes in turn until it has crashed `CRASH_LIMIT` endpoints.
fn crash_endpoints(deployment: &Deployment, nodes: &[&Entry]) {
    for node in nodes.iter().cycle().take(20) {
        if crashes(deployment) >= CRASH_LIMIT {
            return;
        }
        lookup(deployment, node, "key-1", CRASHING);
    }
    panic!("the request crashed only {} endpoints", crashes(deployment));
}

fn is_blocked_at(node: &Entry) -> bool {
    !node.state().blocked_requests().is_empty()
}

/// Sends the crashing request to the nodes until all of them refuse it.
fn block(deployment: &Deployment, nodes: &[&Entry]) {
    deployment.wait_until("the request is blocked", || {
        for node in nodes {
            lookup(deployment, node, "key-1", CRASHING);
        }
        nodes.iter().all(|node| is_blocked_at(node))
    });
}

/// Guards against a request that crashes every endpoint of a service, because each time that its caller
/// repeats it, it is treated as a new request.
#[test]
fn a_request_that_crashed_three_endpoints_is_not_sent_again() {
    let deployment = start();
    let other = deployment.add_node("n2", deployment.store.address());
    let nodes = [&deployment.node, &other];
    crash_endpoints(&deployment, &nodes);
    std::thread::sleep(CONTACT_TIMEOUT);
    let crashed = crashes(&deployment);
    for node in nodes.iter().cycle().take(8) {
        lookup(&deployment, node, "key-1", CRASHING);
    }
    let late = crashes(&deployment) - crashed;
    assert!(late <= MAX_LATE_SENDS, "it was sent {late} times more");
    other.kill();
    deployment.shut_down();
}

/// Guards against copies of a crashing request that several nodes send at the same moment.
#[test]
fn nodes_that_get_copies_at_once_crash_few_endpoints() {
    let deployment = start();
    let other = deployment.add_node("n2", deployment.store.address());
    let nodes = [&deployment.node, &other];
    crash_endpoints(&deployment, &nodes);
    std::thread::sleep(CONTACT_TIMEOUT);
    let crashed = crashes(&deployment);
    for _ in 0..4 {
        std::thread::scope(|scope| {
            for node in nodes {
                let deployment = &deployment;
                scope.spawn(move || lookup(deployment, node, "key-1", CRASHING));
            }
        });
    }
    let late = crashes(&deployment) - crashed;
    assert!(late <= MAX_LATE_SENDS, "it was sent {late} times more");
    other.kill();
    deployment.shut_down();
}

/// Guards against a refusal that says too little or comes too late, and against refusing other requests of
/// the same customer or the same request of another one.
#[test]
fn only_the_crashing_request_is_refused() {
    let deployment = start();
    let node = &deployment.node;
    block(&deployment, &[node]);
    let crashed = crashes(&deployment);
    let refused = lookup(&deployment, node, "key-1", CRASHING);
    assert_eq!((refused.status, refused.is_sealed), (503, false));
    assert!(refused.body.contains("is blocked"), "{refused:?}");
    let after = refused
        .retry_after
        .expect("the refusal has a retry-after header");
    let after: f64 = after.parse().expect("a number");
    assert!(
        after > DEFAULT_DEADLINE.as_secs_f64(),
        "it stays blocked for {after} s"
    );
    assert_eq!(crashes(&deployment), crashed, "it wasn't sent");
    let other_request = lookup(&deployment, node, "key-1", "other");
    assert_eq!(other_request.status, 200);
    let other_customer = lookup(&deployment, node, "key-2", CRASHING);
    assert_ne!(other_customer.status, 503, "{other_customer:?}");
    deployment.shut_down();
}

/// Guards against blocking what shares endpoints with a crashing request, however often it is asked.
#[test]
fn requests_that_share_endpoints_with_a_crashing_one_are_served() {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    let restart = Some(Duration::from_millis(300));
    for endpoint in &deployment.plain {
        endpoint.crash_on(CRASHING, restart);
        endpoint.set_first_event_delay(Duration::from_millis(20));
    }
    std::thread::scope(|scope| {
        let culprit = scope.spawn(|| block(&deployment, &[&deployment.node]));
        while !culprit.is_finished() {
            lookup(&deployment, &deployment.node, "key-1", "popular");
        }
        culprit.join().expect("the request is blocked");
    });
    for body in ["popular", "other"] {
        assert_eq!(
            lookup(&deployment, &deployment.node, "key-1", body).status,
            200
        );
    }
    assert_eq!(deployment.node.state().blocked_requests().len(), 1);
    deployment.shut_down();
}

/// Guards against a node that sends the request on because it was started, or turned away by the store, when
/// the others found out.
#[test]
fn nodes_that_start_later_or_are_cut_off_from_the_store_know_of_a_block() {
    let deployment = start();
    let to_store = StoreProxy::start(deployment.store.address());
    let cut_off = deployment.add_node("n2", to_store.address);
    to_store.close();
    block(&deployment, &[&deployment.node]);
    let started_at = Instant::now();
    let later = deployment.add_node("n3", deployment.store.address());
    deployment.wait_until("the new node knows of the block", || is_blocked_at(&later));
    deployment.wait_until("the other node knows of the block", || {
        is_blocked_at(&cut_off)
    });
    assert!(started_at.elapsed() < CONTACT_TIMEOUT);
    cut_off.kill();
    later.kill();
    deployment.shut_down();
}

/// Guards against a block that operators can't find or lift.
#[test]
fn operators_list_blocked_requests_and_lift_them_at_all_nodes() {
    let deployment = start();
    let other = deployment.add_node("n2", deployment.store.address());
    block(&deployment, &[&deployment.node, &other]);
    let operate = |method, path: &str| deployment.send_operator_request(&other, method, path);
    let list = operate("GET", "/blocked-requests");
    let list: Value = serde_json::from_str(&list.body).expect("the list is valid JSON");
    let blocked = &list[0];
    assert_eq!(
        (&blocked["route"], &blocked["customer"]),
        (&"look".into(), &"customer-1".into())
    );
    let endpoints = blocked["endpoints"]
        .as_array()
        .expect("a list of endpoints");
    assert!(endpoints.len() >= CRASH_LIMIT as usize, "{blocked}");
    assert!(blocked["since_unix_ms"].as_u64() > Some(0), "{blocked}");
    let fingerprint = blocked["request"].as_str().expect("a fingerprint");
    let path = format!("/blocked-requests/{fingerprint}");
    assert_eq!(operate("DELETE", &path).status, 204);
    deployment.wait_until("the block is lifted at all nodes", || {
        ![&deployment.node, &other]
            .iter()
            .any(|node| is_blocked_at(node))
    });
    assert_eq!(operate("DELETE", &path).status, 404);
    assert_eq!(operate("DELETE", "/blocked-requests/12").status, 400);
    assert_eq!(operate("POST", "/blocked-requests").status, 405);
    deployment.wait_until("the metrics show that no request is blocked", || {
        let metrics = operate("GET", "/metrics").body;
        let mut lines = metrics.lines();
        lines.any(|line| line.starts_with("sesamecart_requests_blocked") && line.ends_with(" 0"))
    });
    other.kill();
    deployment.shut_down();
}

/// Guards against copies that several nodes send at once, before they hear of each other's crashes.
#[test]
fn a_suspected_request_runs_at_one_node_at_a_time() {
    let deployment = start();
    let others = deployment.add_nodes("a", 3);
    let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
    deployment.wait_until("the nodes know each other", || {
        nodes.iter().all(|node| node.state().known_nodes() == 4)
    });
    lookup(&deployment, nodes[0], "key-1", CRASHING);
    assert_eq!(crashes(&deployment), 2, "the route allows two endpoints");
    deployment.wait_until("all nodes know of both crashes", || {
        let mut nodes = nodes.iter();
        nodes.all(|node| node.state().most_crashes_of_a_request() == 2)
    });
    for endpoint in &deployment.plain {
        endpoint.crash_on("another", None);
        endpoint.set_first_event_delay(Duration::from_millis(600));
    }
    let arrivals = || -> usize {
        let endpoints = deployment.plain.iter();
        endpoints.map(|endpoint| endpoint.arrivals().len()).sum()
    };
    let before = arrivals();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let sent = nodes.iter().map(|node| {
            let deployment = &deployment;
            scope.spawn(move || lookup(deployment, node, "key-1", CRASHING).status)
        });
        let sent: Vec<_> = sent.collect();
        let sent = sent.into_iter();
        sent.map(|sent| sent.join().expect("it doesn't panic"))
            .collect()
    });
    assert_eq!(arrivals() - before, 1, "{statuses:?}");
    assert_eq!(statuses.iter().filter(|status| **status == 503).count(), 3);
    for node in others {
        node.kill();
    }
    deployment.kill();
}

/// Guards against refusing a suspected request for as long as the endpoint that was chosen for it can't be reached.
#[test]
fn a_suspected_request_whose_endpoint_is_unreachable_is_served_by_another() {
    let deployment = start();
    let node = &deployment.node;
    lookup(&deployment, node, "key-1", CRASHING);
    deployment.wait_until("the node knows of two crashes", || {
        node.state().most_crashes_of_a_request() == 2
    });
    // A request without an answer in time shows which endpoint is chosen.
    for endpoint in &deployment.plain {
        endpoint.crash_on("another", None);
        endpoint.set_first_event_delay(Duration::from_millis(600));
    }
    let arrivals = |endpoint: &Engine| endpoint.arrivals().len();
    let before: Vec<usize> = deployment.plain.iter().map(arrivals).collect();
    let chosen = || {
        let mut endpoints = deployment.plain.iter().zip(&before);
        let chosen = endpoints.find(|(endpoint, before)| arrivals(endpoint) > **before);
        chosen.map(|(endpoint, _)| endpoint.address())
    };
    let call = CallerRequest {
        kind: RequestKind::Lookup,
        id: "without-an-answer",
        key: "key-1",
        body: CRASHING,
    };
    deployment.wait_until("an endpoint is chosen", || {
        deployment.send_call_to(node, &call, Duration::from_millis(300));
        chosen().is_some()
    });
    deployment.links.fail(LinkFault::Reset, chosen());
    for endpoint in &deployment.plain {
        endpoint.set_first_event_delay(Duration::ZERO);
    }
    deployment.wait_until("the request is served", || {
        lookup(&deployment, node, "key-1", CRASHING).status == 200
    });
    deployment.kill();
}
