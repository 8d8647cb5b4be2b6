//! Tests of requests that crash each endpoint that runs them.

use std::time::Duration;

use sesamecart_entry::Entry;

use crate::setup::{CallerRequest, DEFAULT_DEADLINE, Deployment, RequestKind, Response};

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

fn lookup(deployment: &Deployment, node: &Entry, id: &str, body: &str) -> Response {
    let call = CallerRequest {
        kind: RequestKind::Lookup,
        id,
        key: "key-1",
        body,
    };
    deployment.send_call_to(node, &call, DEFAULT_DEADLINE)
}

/// Sends the crashing request to the nodes in turn until it has crashed `CRASH_LIMIT` endpoints.
fn crash_endpoints(deployment: &Deployment, nodes: &[&Entry]) {
    for (round, node) in nodes.iter().cycle().take(20).enumerate() {
        if crashes(deployment) >= CRASH_LIMIT {
            return;
        }
        lookup(deployment, node, &format!("crash-{round}"), CRASHING);
    }
    panic!("the request crashed only {} endpoints", crashes(deployment));
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
    for (round, node) in nodes.iter().cycle().take(8).enumerate() {
        lookup(&deployment, node, &format!("again-{round}"), CRASHING);
    }
    let late = crashes(&deployment) - crashed;
    assert!(late <= MAX_LATE_SENDS, "it was sent {late} times more");
    other.kill();
    deployment.shut_down();
}
