//! The order of the nodes in which they dispatch a part of a pool.

use std::cmp::Reverse;

use indexmap::IndexSet;
use sesamecart_vocabulary::{NodeId, rendezvous_weight};

use super::part::PoolPart;
use crate::sources::{PeerNode, readers};

#[cfg(test)]
mod tests;

/// Returns the nodes in the order in which they dispatch a part of a pool: the first one that answers does.
///
/// All nodes that know the same nodes compute the same order. The largest processor share comes first, because
/// the dispatcher handles each request of all nodes. Among equals, those that read the store for others come last.
#[must_use]
pub fn dispatch_order<'a>(part: &PoolPart, nodes: &'a [PeerNode]) -> Vec<&'a PeerNode> {
    let readers: IndexSet<&NodeId> = readers(nodes).into_iter().map(|peer| &peer.node).collect();
    let name = part.to_string();
    let mut order: Vec<&PeerNode> = nodes.iter().collect();
    order.sort_by_cached_key(|peer| {
        let weight = rendezvous_weight(&name, peer.node.as_str());
        let reads_store = readers.contains(&peer.node);
        (
            Reverse(Share(peer.processor_share)),
            reads_store,
            Reverse(weight),
        )
    });
    order
}

/// A processor share with the total order of its value.
#[derive(Clone, Copy, Debug)]
struct Share(f64);

impl Ord for Share {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Share {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Share {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Share {}
