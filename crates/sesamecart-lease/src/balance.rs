//! Which node should own which shard.

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, ShardId, rendezvous_weight};

use crate::view::View;

/// How far above the mean a node's number of shards may lie, as a fraction.
///
/// Plain rendezvous spreads the numbers by chance, by some 5 either way at nine nodes with 28 shards
/// each, and the fullest node would bear the most when a domain leaves. A tighter bound moves more
/// shards when a node joins.
const SLACK_NUMERATOR: usize = 5;
const SLACK_DENOMINATOR: usize = 4;

/// Returns the node that should own each shard, by rendezvous with a bound on each node's number.
///
/// All nodes compute the same from the same view. When a node goes, only its shards and a few that
/// are pushed out by the bound move.
#[must_use]
pub fn desired_owners(shards: u16, view: &View) -> IndexMap<ShardId, NodeId> {
    let live: Vec<&NodeId> = view.live().map(|(node, _)| node).collect();
    if live.is_empty() {
        return IndexMap::new();
    }
    let bound = (usize::from(shards) * SLACK_NUMERATOR).div_ceil(live.len() * SLACK_DENOMINATOR);
    let mut loads: IndexMap<&NodeId, usize> = IndexMap::new();
    let mut owners = IndexMap::with_capacity(usize::from(shards));
    for shard in (0..shards).map(ShardId) {
        let key = format!("owner-{shard}");
        let best = live
            .iter()
            .filter(|node| loads.get(**node).copied().unwrap_or(0) < bound)
            .max_by_key(|node| (rendezvous_weight(&key, node.as_str()), node.as_str()));
        if let Some(node) = best {
            *loads.entry(node).or_default() += 1;
            owners.insert(shard, (*node).clone());
        }
    }
    owners
}
