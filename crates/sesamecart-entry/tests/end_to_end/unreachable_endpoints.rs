//! Tests of nodes that callers, the store and other nodes can reach, but that can't reach endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use sesamecart_entry::Entry;
use sesamecart_platform_standins::Engine;

use crate::faulty_links::LinkFault;
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};
use crate::{EVENTS, complete_stream};

/// How long a node has to notice that it can't reach endpoints, and to find another node that can.
const DETECTION_TIME: Duration = Duration::from_secs(2);

const KINDS: [RequestKind; 3] = [
    RequestKind::Stream,
    RequestKind::Booking,
    RequestKind::Lookup,
];

/// Sends requests of all kinds to a node and returns the number of those that were served.
fn served(deployment: &Deployment, node: &Entry, name: &str, rounds: usize) -> usize {
    let ids = (0..rounds).flat_map(|round| KINDS.map(|kind| (kind, format!("{name}-{round}"))));
    let served = ids.filter(|(kind, id)| {
        let id = format!("{id}-{kind:?}");
        let response = deployment.send_request_to(node, *kind, &id, "key-1", DEFAULT_DEADLINE);
        response.status == 200
            && (*kind != RequestKind::Stream || response.body == complete_stream())
    });
    served.count()
}

macro_rules! callers_are_served {
    ($($name:ident: $fault:expr,)*) => {$(
        /// Guards against refusing all callers of a node that has lost its links to the endpoints.
        #[test]
        fn $name() {
            let deployment = Deployment::start(EVENTS);
            deployment.wait_for_groups(2);
            let (node, links) = deployment.add_node_with_links("n2");
            deployment.wait_until("it knows the groups", || node.state().open_group_count() == 2);
            assert_eq!(served(&deployment, &node, "before", 1), KINDS.len());
            links.fail($fault, deployment.endpoint_addresses());
            std::thread::sleep(DETECTION_TIME);
            assert_eq!(served(&deployment, &node, "during", 5), 5 * KINDS.len());
            links.heal();
            node.kill();
            deployment.shut_down();
        }
    )*};
}

callers_are_served! {
    callers_of_a_node_with_silent_links_are_served: LinkFault::Silent,
    callers_of_a_node_with_reset_links_are_served: LinkFault::Reset,
    callers_of_a_node_whose_new_links_are_refused_are_served: LinkFault::Refused,
}

/// Sends streams at the same time, which leaves open connections to the heads or, while these are silent, makes
/// the node examine their groups.
fn send_streams(deployment: &Deployment, node: &Entry, name: &str) {
    std::thread::scope(|scope| {
        for request in 0..8 {
            let id = format!("{name}-{request}");
            let deadline = Duration::from_secs(2);
            scope.spawn(move || {
                deployment.send_request_to(node, RequestKind::Stream, &id, "key-1", deadline)
            });
        }
    });
}

fn open_heads(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.filter(|engine| engine.is_open_head()).count()
}

/// Returns the number of orders that engines have begun.
fn orders(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.operations().len()).sum()
}

/// Guards against a controller that takes its own lost links for the loss of healthy groups.
#[test]
fn a_controller_with_silent_links_dissolves_no_healthy_group() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, _links) = deployment.add_node_with_links("n2");
    deployment.wait_until("it knows the groups", || {
        node.state().open_group_count() == 2
    });
    let orders_before = orders(&deployment);
    send_streams(&deployment, &deployment.node, "open");
    deployment
        .links
        .fail(LinkFault::Silent, deployment.endpoint_addresses());
    send_streams(&deployment, &deployment.node, "silent");
    std::thread::sleep(DETECTION_TIME);
    assert_eq!(open_heads(&deployment), 2, "no healthy group is dissolved");
    assert_eq!(served(&deployment, &node, "others", 3), 3 * KINDS.len());
    assert_eq!(
        orders(&deployment),
        orders_before,
        "no engine gets an order"
    );
    deployment.links.heal();
    node.kill();
    deployment.shut_down();
}

/// Guards against a controller that reaches heads on open connections only, and dissolves their groups because it
/// can't open connections to the other members.
#[test]
fn a_controller_whose_new_links_are_refused_dissolves_no_healthy_group() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    deployment.wait_until("it knows the groups", || {
        node.state().open_group_count() == 2
    });
    let orders_before = orders(&deployment);
    send_streams(&deployment, &node, "open");
    let engines = deployment.engines.iter();
    let members = engines.filter(|engine| !engine.is_open_head());
    let members: Vec<SocketAddr> = members.map(Engine::address).collect();
    deployment.links.fail(LinkFault::Reset, members);
    // The open connections end.
    std::thread::sleep(Duration::from_millis(100));
    let endpoints = deployment.endpoint_addresses();
    deployment.links.fail(LinkFault::Refused, endpoints.clone());
    // The second node reports the silent groups to the controller.
    links.fail(LinkFault::Silent, endpoints);
    send_streams(&deployment, &node, "silent");
    std::thread::sleep(DETECTION_TIME);
    assert_eq!(open_heads(&deployment), 2, "no healthy group is dissolved");
    assert_eq!(
        orders(&deployment),
        orders_before,
        "no engine gets an order"
    );
    links.heal();
    deployment.links.heal();
    node.kill();
    deployment.shut_down();
}
