//! The lease holder and voter: what one tick and one claim cost.

use std::hint::black_box;

use indexmap::IndexMap;
use sesamecart_lease::{
    ClaimRecord, Holder, LeaseSettings, Leases, NodeState, NodeView, View, Vote, VotePurpose,
};
use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, SHARD_COUNT, ShardId, Timestamp};

use super::Series;

const NODES: [usize; 4] = [9, 60, 190, 380];
const DOMAINS: usize = 5;

pub(super) fn measure(series: &mut IndexMap<&'static str, Series>) {
    series.insert("lease tick", Series::time("nodes", &NODES, tick));
    series.insert(
        "lease tick after a change of nodes",
        Series::time("nodes", &NODES, tick_changed),
    );
    series.insert("answer a vote", Series::time("nodes", &NODES, vote));
}

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().expect("a name")
}

fn view(nodes: usize) -> View {
    let nodes = (0..nodes).map(|index| {
        let seen = NodeView {
            failure_domain: format!("domain-{}", index % DOMAINS)
                .parse()
                .expect("a name"),
            incarnation: Incarnation(1),
            state: NodeState::Live,
        };
        (node(index), seen)
    });
    View {
        nodes: nodes.collect(),
    }
}

/// Makes the state of node 0 with every shard held by some node.
fn leases(nodes: usize) -> Leases {
    let me = Holder {
        node: node(0),
        incarnation: Incarnation(1),
    };
    let start = Timestamp::ZERO;
    let mut leases = Leases::new(me, SHARD_COUNT, LeaseSettings::default(), start)
        .expect("the defaults are valid");
    for shard in 0..SHARD_COUNT {
        let owner = usize::from(shard) % nodes;
        let claim = ClaimRecord {
            shard: ShardId(shard),
            epoch: Epoch(u64::from(shard) + 1),
            holder: Holder {
                node: node(owner),
                incarnation: Incarnation(1),
            },
            builds_on: None,
            voters: (0..5).map(node).collect(),
        };
        leases.on_claim(&claim, start);
    }
    leases
}

fn tick(nodes: usize) -> impl FnMut() {
    let mut leases = leases(nodes);
    let view = view(nodes);
    let mut now = Timestamp::from_millis(1);
    move || {
        now = now + std::time::Duration::from_millis(100);
        leases.on_tail_read(now, now);
        black_box(leases.tick(&view, now));
    }
}

fn tick_changed(nodes: usize) -> impl FnMut() {
    let mut leases = leases(nodes);
    let whole = view(nodes);
    let mut short = whole.clone();
    short.nodes.pop();
    let mut now = Timestamp::from_millis(1);
    let mut even = false;
    move || {
        now = now + std::time::Duration::from_millis(100);
        even = !even;
        leases.on_tail_read(now, now);
        black_box(leases.tick(if even { &whole } else { &short }, now));
    }
}

fn vote(nodes: usize) -> impl FnMut() {
    let leases = leases(nodes);
    let asker = node(1);
    let vote = Vote {
        shard: ShardId(1),
        epoch: Epoch(2),
        purpose: VotePurpose::Extend,
        asked_at: Timestamp::ZERO,
    };
    move || {
        black_box(leases.answer(&vote, &asker));
    }
}
