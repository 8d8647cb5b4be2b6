//! Tests the order of the nodes.

use super::dispatch_order;
use crate::dispatch::PoolPart;
use crate::sources::{PeerNode, readers};

fn peer(node: usize, processor_share: f64) -> PeerNode {
    PeerNode {
        node: format!("n{node}").parse().expect("a valid node id"),
        failure_domain: "a".parse().expect("a valid failure domain"),
        links: "127.0.0.1:1".parse().expect("an address"),
        forwarding: None,
        processor_share,
        memory_mb: None,
    }
}

fn part(model: &str, part: u32) -> PoolPart {
    PoolPart {
        service: "llm".parse().expect("a valid service"),
        model: model.parse().expect("a valid model"),
        part,
    }
}

#[test]
fn the_largest_share_comes_first() {
    let mut nodes: Vec<PeerNode> = (0..20).map(|index| peer(index, 0.1)).collect();
    nodes.push(peer(20, 0.5));
    nodes.push(peer(21, 0.3));
    let order = dispatch_order(&part("m", 0), &nodes);
    assert_eq!(order.len(), nodes.len());
    assert_eq!(order[0].node.as_str(), "n20");
    assert_eq!(order[1].node.as_str(), "n21");
}

#[test]
fn among_equals_readers_come_last() {
    let nodes: Vec<PeerNode> = (0..5).map(|index| peer(index, 0.25)).collect();
    let order = dispatch_order(&part("m", 0), &nodes);
    assert_eq!(order.last(), readers(&nodes).first());
}

#[test]
fn a_larger_reader_precedes_smaller_nodes() {
    let nodes = [peer(0, 0.1), peer(1, 0.5), peer(2, 0.1)];
    let order = dispatch_order(&part("m", 0), &nodes);
    assert_eq!(order[0].node.as_str(), "n1");
}

#[test]
fn the_order_does_not_depend_on_that_of_the_list() {
    let mut nodes: Vec<PeerNode> = (0..9).map(|index| peer(index, 0.25)).collect();
    let order = |nodes: &[PeerNode]| {
        let order = dispatch_order(&part("m", 0), nodes);
        let order = order.into_iter().map(|peer| peer.node.clone());
        order.collect::<Vec<_>>()
    };
    let before = order(&nodes);
    nodes.reverse();
    assert_eq!(order(&nodes), before);
}

#[test]
fn parts_are_spread_over_equal_nodes() {
    let nodes: Vec<PeerNode> = (0..9).map(|index| peer(index, 0.25)).collect();
    let first = |model: &str| {
        let order = dispatch_order(&part(model, 0), &nodes);
        order[0].node.clone()
    };
    let first: indexmap::IndexSet<_> = (0..20).map(|model| first(&format!("m{model}"))).collect();
    assert!(first.len() > 3, "{first:?}");
}
