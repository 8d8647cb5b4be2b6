//! The assignment of shards to nodes.

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, ShardId, rendezvous_weight};

use crate::view::View;

/// The maximum ratio of a node's shard count to the mean, as a fraction.
///
/// With plain rendezvous hashing, the counts vary at random, by about 5 either way for nine nodes with 28
/// shards each, and the most loaded node would receive the most shards when a failure domain leaves. A lower
/// ratio moves more shards when a node joins.
const MAX_LOAD_RATIO_NUMERATOR: usize = 5;
const MAX_LOAD_RATIO_DENOMINATOR: usize = 4;

/// Returns the node that should own each shard, by rendezvous hashing with bounded loads.
///
/// All nodes compute the same result from the same view. When a node leaves, only its own shards and a few
/// that exceed another node's bound move.
#[must_use]
pub fn desired_owners(shards: u16, view: &View) -> IndexMap<ShardId, NodeId> {
    let live: Vec<&NodeId> = view.live().map(|(node, _)| node).collect();
    if live.is_empty() {
        return IndexMap::new();
    }
    let max_shards = (usize::from(shards) * MAX_LOAD_RATIO_NUMERATOR)
        .div_ceil(live.len() * MAX_LOAD_RATIO_DENOMINATOR);
    let mut shard_counts: IndexMap<&NodeId, usize> = IndexMap::new();
    let mut owners = IndexMap::with_capacity(usize::from(shards));
    for shard in (0..shards).map(ShardId) {
        let key = format!("owner-{shard}");
        let best = live
            .iter()
            .filter(|node| shard_counts.get(**node).copied().unwrap_or(0) < max_shards)
            .max_by_key(|node| (rendezvous_weight(&key, node.as_str()), node.as_str()));
        if let Some(node) = best {
            *shard_counts.entry(node).or_default() += 1;
            owners.insert(shard, (*node).clone());
        }
    }
    owners
}
