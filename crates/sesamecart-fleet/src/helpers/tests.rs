//! Tests which nodes are asked to forward requests, and which of them get them.

use indexmap::IndexSet;
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::{Helpers, MAX_ASKED_NODES};
use crate::sources::PeerNode;

const NOW: Timestamp = Timestamp(1_000_000);

fn peer(node: &str, failure_domain: &str) -> PeerNode {
    let address = "10.0.0.1:1000".parse().expect("a valid address");
    PeerNode {
        node: node.parse().expect("a valid ID"),
        failure_domain: failure_domain.parse().expect("a valid name"),
        links: address,
        forwarding: Some(address),
        processor_share: 0.25,
        memory_mb: None,
    }
}

/// Returns `count` nodes of each of the failure domains a and b.
fn fleet(count: usize) -> Vec<PeerNode> {
    let domains = ["a", "b"].into_iter();
    let nodes = domains
        .flat_map(|domain| (0..count).map(move |index| peer(&format!("{domain}{index}"), domain)));
    nodes.collect()
}

fn random() -> f64 {
    fastrand::f64()
}

#[test]
fn few_nodes_of_a_large_fleet_are_asked_and_half_of_them_elsewhere() {
    let nodes = fleet(190);
    let asked = Helpers::default().to_ask(NOW, &nodes[0], &nodes, random);
    assert_eq!(asked.len(), MAX_ASKED_NODES);
    let local = asked
        .iter()
        .filter(|peer| peer.failure_domain.as_str() == "a");
    assert_eq!(local.count(), 2);
    assert!(asked.iter().all(|peer| peer.node != nodes[0].node));
}

#[test]
fn the_only_node_that_confirms_is_found_among_all() {
    let nodes = fleet(5);
    let mut helpers = Helpers::default();
    for round in 0..10 {
        let now = Timestamp(NOW.0 + round * 100_000);
        for peer in helpers.to_ask(now, &nodes[0], &nodes, random) {
            helpers.record_answer(now, &peer, peer.node.as_str() == "b3");
        }
    }
    let confirmed: Vec<&str> = helpers.confirmed().map(|peer| peer.node.as_str()).collect();
    assert_eq!(confirmed, ["b3"]);
}

#[test]
fn a_node_that_has_denied_is_asked_after_the_others() {
    let nodes = fleet(4);
    let mut helpers = Helpers::default();
    let denied = helpers.to_ask(NOW, &nodes[0], &nodes, random);
    for peer in &denied {
        helpers.record_answer(NOW, peer, false);
    }
    let asked = helpers.to_ask(NOW, &nodes[0], &nodes, random);
    let repeated = asked.iter().filter(|peer| denied.contains(peer)).count();
    assert_eq!(
        repeated,
        MAX_ASKED_NODES - 3,
        "three nodes hadn't been asked yet"
    );
}

#[test]
fn a_helper_that_no_longer_confirms_gets_nothing() {
    let nodes = fleet(2);
    let mut helpers = Helpers::default();
    helpers.record_answer(NOW, &nodes[1], true);
    let later = Timestamp(NOW.0 + 900_000);
    helpers.expire(later);
    let own = &nodes[0].failure_domain;
    assert!(
        helpers
            .choose(own, &IndexSet::new(), |_| 0, random)
            .is_none()
    );
}

#[test]
fn requests_spread_over_the_helpers() {
    let nodes = fleet(3);
    let mut helpers = Helpers::default();
    for peer in &nodes[1..] {
        helpers.record_answer(NOW, peer, true);
    }
    let mut sent: indexmap::IndexMap<NodeId, usize> = indexmap::IndexMap::new();
    for _ in 0..100 {
        let in_flight = |node: &NodeId| sent.get(node).copied().unwrap_or(0);
        let own = &nodes[0].failure_domain;
        let chosen = helpers.choose(own, &IndexSet::new(), in_flight, random);
        let chosen = chosen.expect("a helper").node.clone();
        *sent.entry(chosen).or_default() += 1;
    }
    assert_eq!(sent.len(), 5);
    assert!(
        sent.values().all(|count| (15..=25).contains(count)),
        "{sent:?}"
    );
}
