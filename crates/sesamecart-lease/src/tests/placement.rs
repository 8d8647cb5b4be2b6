//! Tests of the placement of owners and voters.

use sesamecart_vocabulary::{Incarnation, NodeId, SHARD_COUNT, ShardId};

use crate::{NodeState, NodeView, View, choose_voters, desired_owners};

fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn view_of(count: usize) -> View {
    let node = |index: usize| NodeView {
        failure_domain: format!("domain-{}", index % 3).parse().unwrap(),
        incarnation: Incarnation(1),
        state: NodeState::Live,
    };
    let nodes = (0..count).map(|index| (node_id(index), node(index)));
    View {
        nodes: nodes.collect(),
    }
}

fn moved_shards(before: &View, after: &View) -> usize {
    let (before, after) = (
        desired_owners(SHARD_COUNT, before),
        desired_owners(SHARD_COUNT, after),
    );
    before
        .iter()
        .filter(|(shard, node)| after.get(*shard) != Some(*node))
        .count()
}

macro_rules! sizes {
    ($($name:ident: $count:expr;)*) => {
        $(mod $name {
            #[test]
            fn owners_are_balanced() {
                super::owners_are_balanced($count);
            }

            #[test]
            fn few_shards_move_when_node_leaves() {
                super::few_shards_move($count);
            }

            #[test]
            fn voters_span_failure_domains() {
                super::voters_span_failure_domains($count);
            }
        })*
    };
}

sizes! {
    three_nodes: 3;
    nine_nodes: 9;
    target_nodes: 380;
}

/// Without a bound, the most loaded node would own far more than its share of the shards and their actions.
fn owners_are_balanced(count: usize) {
    let owners = desired_owners(SHARD_COUNT, &view_of(count));
    assert_eq!(owners.len(), usize::from(SHARD_COUNT));
    let max_shards = (usize::from(SHARD_COUNT) * 5).div_ceil(count * 4);
    for index in 0..count {
        let node = node_id(index);
        let held = owners.values().filter(|owner| **owner == node).count();
        assert!(
            held <= max_shards,
            "{node} holds {held}, bound {max_shards}"
        );
    }
}

/// A node is stopped for an upgrade. Each shard that moves has no owner for a short time, so only the node's
/// own shards and a few that exceed another node's bound may move.
fn few_shards_move(count: usize) {
    let before = view_of(count);
    let mut after = before.clone();
    after.nodes.shift_remove(&node_id(0));
    let own = desired_owners(SHARD_COUNT, &before)
        .values()
        .filter(|owner| **owner == node_id(0))
        .count();
    let moved = moved_shards(&before, &after);
    println!("{count} nodes: {moved} moved, {own} of them the node's own");
    assert!(moved <= own + usize::from(SHARD_COUNT) / 8);
}

/// A zone loses power during a log outage. If it contained a majority of a shard's voters, the shard's holder
/// would have to stop although two zones are healthy.
fn voters_span_failure_domains(count: usize) {
    let view = view_of(count);
    for shard in (0..SHARD_COUNT).map(ShardId) {
        let voters = choose_voters(shard, &view);
        assert!(voters.len() % 2 == 1 && voters.len() >= count.min(3));
        for domain in 0..3 {
            let domain = format!("domain-{domain}").parse().unwrap();
            let inside = voters
                .iter()
                .filter(|voter| view.nodes[*voter].failure_domain == domain);
            assert!(inside.count() <= voters.len() / 2);
        }
    }
}
