//! Which nodes extend a shard's lease while the log is out.

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, NodeId, ShardId, rendezvous_weight};

use crate::view::View;

/// The most voters of a shard.
///
/// With five, two may be lost without a pause, and one failure domain of three holds at most two
/// of them. More would cost every holder more questions in an outage and gain little, since a
/// holder replaces a lost voter as long as the log is up.
pub(crate) const MAX_VOTERS: usize = 5;

/// Chooses a shard's voters: the highest rendezvous weights, spread over the failure domains.
///
/// Taking the highest weights alone could put a majority into one domain, whose loss during an
/// outage would end the shard's lease. The number is odd, as an even one needs a larger majority
/// without bearing more losses.
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
    let wanted = odd_at_most(live.min(MAX_VOTERS));
    let mut voters = Vec::with_capacity(wanted);
    while voters.len() < wanted {
        for nodes in domains.values_mut() {
            if voters.len() < wanted
                && let Some((_, node)) = nodes.pop()
            {
                voters.push(node.clone());
            }
        }
    }
    voters
}

/// Returns how many of `voters` are a majority.
pub(crate) const fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

const fn odd_at_most(count: usize) -> usize {
    if count == 0 {
        0
    } else {
        count - (count + 1) % 2
    }
}
