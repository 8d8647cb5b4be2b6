//! The choice of the nodes that extend a shard's lease while the log is unavailable.

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, NodeId, ShardId, rendezvous_weight};

use crate::view::View;

/// The maximum number of voters of a shard.
///
/// With five voters, two may fail without an interruption, and one of three failure domains has at most two
/// of them. More voters would cost every holder more requests during an outage for little benefit, because a
/// holder replaces a lost voter while the log is available.
pub(crate) const MAX_VOTERS: usize = 5;

/// Chooses a shard's voters by the highest rendezvous weights, spread over the failure domains.
///
/// The highest weights alone could put a majority into one failure domain, whose loss during a log outage
/// would end the shard's lease. The number of voters is odd, because an even number needs a larger majority
/// without tolerating more failures.
#[must_use]
pub fn choose_voters(shard: ShardId, view: &View) -> Vec<NodeId> {
    let mut domains: IndexMap<&FailureDomainId, Vec<(u64, &NodeId)>> = IndexMap::new();
    let key = format!("voters-{shard}");
    for (node, node_view) in view.live() {
        let weight = rendezvous_weight(&key, node.as_str());
        let domain = domains.entry(&node_view.failure_domain).or_default();
        domain.push((weight, node));
    }
    for nodes in domains.values_mut() {
        nodes.sort_unstable();
    }
    domains.sort_by(|_, left, _, right| right.last().cmp(&left.last()));
    let live: usize = domains.values().map(Vec::len).sum();
    let voter_count = round_down_to_odd(live.min(MAX_VOTERS));
    let mut voters = Vec::with_capacity(voter_count);
    while voters.len() < voter_count {
        for nodes in domains.values_mut() {
            if voters.len() < voter_count
                && let Some((_, node)) = nodes.pop()
            {
                voters.push(node.clone());
            }
        }
    }
    voters
}

/// Returns the size of a majority of `voters`.
pub(crate) const fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Returns the greatest odd number that is at most `count`, or 0.
const fn round_down_to_odd(count: usize) -> usize {
    if count == 0 {
        0
    } else {
        count - (count + 1) % 2
    }
}
