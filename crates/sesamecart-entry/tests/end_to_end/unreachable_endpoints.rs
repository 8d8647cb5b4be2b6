//! Tests of nodes that callers, the store and other nodes can reach, but that can't reach endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use sesamecart_entry::Entry;
use sesamecart_platform_standins::Engine;

use crate::faulty_links::{FaultyLinks, LinkFault};
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};
use crate::{EVENTS, LONG_STREAM_EVENTS, complete_stream};

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

/// Waits until a node has lost `pools` pools of endpoints.
fn wait_for_loss(deployment: &Deployment, node: &Entry, pools: usize) {
    deployment.wait_until("the loss is noticed", || {
        node.state().unreachable_pools().len() == pools
    });
}

/// Lets a node lose its path to `endpoints`, and waits until other nodes serve for it.
fn cut_off(
    deployment: &Deployment,
    (node, links): (&Entry, &FaultyLinks),
    fault: LinkFault,
    endpoints: Vec<SocketAddr>,
) {
    links.fail(fault, endpoints);
    deployment.wait_until("other nodes serve for it", || {
        served(deployment, node, &format!("cut-{}", fastrand::u32(..)), 1) == KINDS.len()
    });
}

/// Returns the number of requests that a node has sent to other nodes.
fn forwarded(deployment: &Deployment, node: &Entry) -> u64 {
    deployment.metric(node, "sesamecart_requests_forwarded_total", "part=\"sent\"")
}

/// Guards against serving the callers of one cut node only, when most nodes are cut.
#[test]
fn callers_are_served_while_all_nodes_but_one_are_cut() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let nodes = ["n2", "n3", "n4"].map(|name| deployment.add_node_with_links(name));
    for (node, links) in &nodes {
        links.fail(LinkFault::Silent, deployment.endpoint_addresses());
        assert_eq!(served(&deployment, node, "first", 1), KINDS.len());
    }
    for (node, _) in &nodes {
        assert_eq!(served(&deployment, node, "later", 5), 5 * KINDS.len());
    }
    for (node, _) in nodes {
        node.kill();
    }
    deployment.shut_down();
}

/// Guards against forwarding requests to a service that the node reaches.
#[test]
fn a_node_that_reaches_one_service_forwards_only_requests_to_the_other() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    let plain = deployment.plain.iter().map(Engine::address).collect();
    cut_off(&deployment, (&node, &links), LinkFault::Silent, plain);
    let pools = node.state().unreachable_pools();
    let pools: Vec<&str> = pools.iter().map(|pool| pool.pool.as_str()).collect();
    assert_eq!(pools, ["app"]);
    let before = forwarded(&deployment, &node);
    assert_eq!(served(&deployment, &node, "during", 3), 3 * KINDS.len());
    assert_eq!(forwarded(&deployment, &node) - before, 6);
    node.kill();
    deployment.shut_down();
}

/// Guards against forwarding requests when no node can serve them, which would cost other nodes and the callers.
#[test]
fn endpoints_that_have_stopped_for_all_nodes_cost_no_forwarding() {
    let mut deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, _links) = deployment.add_node_with_links("n2");
    for plain in &mut deployment.plain {
        plain.kill();
    }
    wait_for_refusal(&deployment, &node);
    wait_for_loss(&deployment, &node, 1);
    for request in 0..10 {
        let id = format!("r{request}");
        let response =
            deployment.send_request_to(&node, RequestKind::Booking, &id, "key-1", DEFAULT_DEADLINE);
        assert_eq!(response.status, 503);
        assert!(response.retry_after.is_some());
    }
    assert_eq!(forwarded(&deployment, &node), 0);
    node.kill();
    deployment.shut_down();
}

fn wait_for_refusal(deployment: &Deployment, node: &Entry) {
    deployment.wait_until("a booking is refused", || {
        let id = format!("refused-{}", fastrand::u32(..));
        let booking = RequestKind::Booking;
        let response = deployment.send_request_to(node, booking, &id, "key-1", DEFAULT_DEADLINE);
        response.status == 503
    });
}

/// Guards against taking an endpoint that pauses for a lost path.
#[test]
fn a_head_that_is_silent_for_a_second_is_no_lost_path() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, _links) = deployment.add_node_with_links("n2");
    send_streams(&deployment, &node, "open");
    for engine in &deployment.engines {
        engine.set_unresponsive(true);
    }
    std::thread::scope(|scope| {
        scope.spawn(|| send_streams(&deployment, &node, "silent"));
        for _ in 0..10 {
            std::thread::sleep(Duration::from_millis(100));
            assert_eq!(node.state().unreachable_pools(), []);
        }
        for engine in &deployment.engines {
            engine.set_unresponsive(false);
        }
    });
    assert_eq!(forwarded(&deployment, &node), 0);
    node.kill();
    deployment.shut_down();
}

/// Guards against forwarding requests after the path works again.
#[test]
fn the_end_of_a_cut_is_noticed_and_requests_take_the_direct_path_again() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    let endpoints = deployment.endpoint_addresses();
    cut_off(&deployment, (&node, &links), LinkFault::Reset, endpoints);
    links.heal();
    wait_for_loss(&deployment, &node, 0);
    let before = forwarded(&deployment, &node);
    assert_eq!(served(&deployment, &node, "after", 3), 3 * KINDS.len());
    assert_eq!(forwarded(&deployment, &node), before);
    node.kill();
    deployment.shut_down();
}

/// Guards against serving nobody during cuts that end before they are noticed.
#[test]
fn callers_are_served_during_repeated_cuts_of_a_second() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    let faults = [LinkFault::Silent, LinkFault::Reset, LinkFault::Refused];
    for (round, fault) in faults.into_iter().cycle().take(6).enumerate() {
        send_streams(&deployment, &node, &format!("open-{round}"));
        links.fail(fault, deployment.endpoint_addresses());
        std::thread::scope(|scope| {
            let (deployment, node) = (&deployment, &node);
            scope.spawn(move || {
                let name = format!("cut-{round}");
                assert_eq!(served(deployment, node, &name, 1), KINDS.len(), "{fault:?}");
            });
            std::thread::sleep(Duration::from_secs(1));
            links.heal();
        });
    }
    node.kill();
    deployment.shut_down();
}

/// Guards against interrupting streams on connections that outlive the path for new ones.
#[test]
fn streams_on_open_connections_go_on_while_new_connections_are_refused() {
    let deployment = Deployment::start(LONG_STREAM_EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    deployment.wait_until("it knows the groups", || {
        node.state().open_group_count() == 2
    });
    let runs = |id: &str| -> u32 {
        let engines = deployment.engines.iter();
        engines.map(|engine| engine.run_count(id)).sum()
    };
    std::thread::scope(|scope| {
        let stream = |id: &'static str| {
            let (deployment, node) = (&deployment, &node);
            deployment.send_request_to(node, RequestKind::Stream, id, "key-1", DEFAULT_DEADLINE)
        };
        let open: Vec<_> = ["s0", "s1", "s2", "s3"]
            .map(|id| scope.spawn(move || stream(id)))
            .into();
        deployment.wait_until("all of them run", || {
            ["s0", "s1", "s2", "s3"].iter().all(|id| runs(id) == 1)
        });
        links.fail(LinkFault::Refused, deployment.endpoint_addresses());
        assert_eq!(stream("new").status, 200);
        assert_eq!(node.state().unreachable_pools().len(), 1);
        for stream in open {
            assert_eq!(stream.join().expect("it doesn't panic").status, 200);
        }
    });
    for id in ["s0", "s1", "s2", "s3"] {
        assert_eq!(runs(id), 1, "{id} isn't moved");
    }
    node.kill();
    deployment.shut_down();
}

/// Guards against accusing endpoints and requests when the network resets connections and refuses new ones.
#[test]
fn a_node_with_reset_links_accuses_no_endpoint_and_no_request() {
    let deployment = Deployment::start(LONG_STREAM_EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    for round in 0..4 {
        std::thread::scope(|scope| {
            scope.spawn(|| send_streams(&deployment, &node, &format!("reset-{round}")));
            std::thread::sleep(Duration::from_millis(300));
            links.fail(LinkFault::Reset, deployment.endpoint_addresses());
            std::thread::sleep(Duration::from_millis(500));
            links.heal();
        });
    }
    let name = "sesamecart_crashed_runs_total";
    assert_eq!(deployment.metric(&node, name, ""), 0);
    assert_eq!(node.state().blocked_requests(), []);
    node.kill();
    deployment.shut_down();
}

/// Guards against a controller that dissolves a group because it has no path to one of its members.
#[test]
fn a_controller_without_a_path_to_one_member_asks_another_node() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, _links) = deployment.add_node_with_links("n2");
    deployment.wait_until("the controller knows the other node", || {
        deployment.node.state().reporting_nodes() == 1
    });
    send_streams(&deployment, &deployment.node, "open");
    let orders_before = orders(&deployment);
    let mut engines = deployment.engines.iter();
    let member = engines.find(|engine| !engine.is_open_head());
    let member = member.expect("groups have members").address();
    deployment.links.fail(LinkFault::Silent, [member]);
    for engine in &deployment.engines {
        engine.set_first_event_delay(Duration::from_millis(900));
    }
    // Requests that wait for their first event make the controller examine the groups.
    send_streams(&deployment, &deployment.node, "waiting");
    assert_eq!(open_heads(&deployment), 2, "no healthy group is dissolved");
    assert_eq!(
        orders(&deployment),
        orders_before,
        "no engine gets an order"
    );
    node.kill();
    deployment.shut_down();
}

/// Guards against a deployment that repairs no group while its controller is cut off.
#[test]
fn a_controller_that_reaches_no_engine_leaves_control_to_a_node_that_does() {
    let mut deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, _links) = deployment.add_node_with_links("n2");
    send_streams(&deployment, &deployment.node, "open");
    deployment
        .links
        .fail(LinkFault::Silent, deployment.endpoint_addresses());
    send_streams(&deployment, &deployment.node, "silent");
    deployment.wait_until("the other node has control", || {
        node.state().is_controller()
    });
    assert!(!deployment.node.state().is_controller());
    let lost = deployment.engines.iter().position(Engine::is_open_head);
    let lost = lost.expect("a head is open");
    let id = deployment.engines[lost].id().to_owned();
    deployment.engines[lost].kill();
    deployment.store.unregister(&id);
    deployment.wait_until("the group of the lost head is dissolved", || {
        let leaves = deployment.engines.iter().map(Engine::operations);
        leaves.flatten().any(|operation| operation == "leave")
    });
    node.kill();
    deployment.shut_down();
}

/// Guards against operators who can't tell which node reaches what, and who serves for it.
#[test]
fn operators_see_what_a_node_does_not_reach_and_who_serves_for_it() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let (node, links) = deployment.add_node_with_links("n2");
    let page = |path| deployment.send_operator_request(&node, "GET", path);
    assert_eq!(page("/unreachable-pools").body, "[]");
    let endpoints = deployment.endpoint_addresses();
    cut_off(&deployment, (&node, &links), LinkFault::Silent, endpoints);
    let listed: serde_json::Value =
        serde_json::from_str(&page("/unreachable-pools").body).expect("it is JSON");
    let listed = listed.as_array().expect("it is a list");
    let mut pools: Vec<&str> = listed
        .iter()
        .filter_map(|pool| pool["pool"].as_str())
        .collect();
    pools.sort_unstable();
    assert_eq!(pools, ["app", "llm/m"]);
    for pool in listed {
        assert_eq!(pool["helpers"], serde_json::json!(["n1"]), "{pool}");
        assert!(
            pool["unreachable_ms"].as_u64().is_some_and(|ms| ms > 0),
            "{pool}"
        );
    }
    let gauge = "sesamecart_pools_unreachable";
    assert_eq!(deployment.metric(&node, gauge, ""), 2);
    let refused = deployment.send_operator_request(&node, "POST", "/unreachable-pools");
    assert_eq!(refused.status, 405);
    node.kill();
    deployment.shut_down();
}
