//! The order of the nodes in which they dispatch a part of a pool.

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
    order.sort_by(|a, b| {
        let reads_store = |peer: &PeerNode| readers.contains(&peer.node);
        let weight = |peer: &PeerNode| rendezvous_weight(&name, peer.node.as_str());
        let by_share = b.processor_share.total_cmp(&a.processor_share);
        by_share
            .then_with(|| reads_store(a).cmp(&reads_store(b)))
            .then_with(|| weight(b).cmp(&weight(a)))
    });
    order
}
