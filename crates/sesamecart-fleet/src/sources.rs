//! From whom a node hears what the platform's store says.
//!
//! It answers the size of a deployment: reads that each node makes for itself grow with the nodes, and
//! all nodes together may call the store so many times a second. At 71 nodes of their own reads a day of
//! 34 s took 9,000 calls. A few nodes of each failure domain read the store, the others follow them. It
//! also answers a store that turns some nodes away: they follow a node that still reads it.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{FailureDomainId, NodeId, rendezvous_weight};

#[cfg(test)]
mod tests;

/// How many nodes of a failure domain read the store: when one ends the other is there at once.
const READERS: usize = 2;

/// In a failure domain of so many nodes or fewer each reads the store itself: what following would
/// save there is less than the time that a lost reader costs.
const SMALL_DOMAIN: usize = 4;

/// What a node tells the others of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerNode {
    /// Its name.
    pub node: NodeId,
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// Where it takes links from other nodes.
    pub links: SocketAddr,
    /// The part of a core that it has.
    pub processor_share: f64,
}

/// From whom a node hears what the store says.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Source {
    /// The store itself.
    #[display("the store")]
    Store,
    /// A node that reads the store.
    #[display("node at {_0}")]
    Node(SocketAddr),
}

/// The sources of one node, best first.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcePlan {
    /// Whether it reads the store itself while it can.
    pub is_reader: bool,
    /// All its sources, to be tried in this order.
    pub order: Vec<Source>,
}

/// The most nodes whose loads a node watches.
///
/// On a deployment of up to 8 nodes each knows all loads, on one of up to 15 most of them. On larger ones a
/// node knows those of its nearest, and what the heads report of the others. At 9.2 requests a second and
/// node, 28 changes of about 30 bytes to 7 watchers are 6 KB a second; with the 8.5 KB of control that stays
/// under the 15 KB that a node may spend.
pub const WATCHED_MOST: usize = 7;

/// Returns the nodes whose loads a node watches, without those that are `gone`: the ones of its own failure
/// domain first, which choose among the same near endpoints.
#[must_use]
pub fn peers_to_watch<'a>(
    own: &NodeId,
    nodes: &'a [PeerNode],
    gone: &IndexSet<NodeId>,
) -> Vec<&'a PeerNode> {
    let me = nodes.iter().find(|peer| peer.node == *own);
    let is_near = |peer: &PeerNode| me.is_some_and(|me| me.failure_domain == peer.failure_domain);
    let others = nodes.iter().filter(|peer| peer.node != *own);
    let mut others: Vec<&PeerNode> = others.filter(|peer| !gone.contains(&peer.node)).collect();
    others.sort_by_key(|peer| {
        let weight = rendezvous_weight(own.as_str(), peer.node.as_str());
        (!is_near(peer), std::cmp::Reverse(weight))
    });
    others.truncate(WATCHED_MOST);
    others
}

/// Chooses a node's sources; all nodes that know the same nodes choose the same readers.
#[must_use]
pub fn plan_sources(own: &NodeId, nodes: &[PeerNode]) -> SourcePlan {
    let readers = readers(nodes);
    let known = nodes.iter().find(|peer| peer.node == *own);
    let Some(me) = known else {
        // Nothing is known of the others before the first read of the store.
        return SourcePlan {
            is_reader: true,
            order: vec![Source::Store],
        };
    };
    let is_reader = readers.iter().any(|reader| reader.node == *own);
    let mut others: Vec<&PeerNode> = readers
        .into_iter()
        .filter(|reader| reader.node != *own)
        .collect();
    others.sort_by_key(|reader| {
        let weight = rendezvous_weight(own.as_str(), reader.node.as_str());
        std::cmp::Reverse(weight)
    });
    let (near, far): (Vec<&PeerNode>, Vec<&PeerNode>) = others
        .into_iter()
        .partition(|reader| reader.failure_domain == me.failure_domain);
    let source = |reader: &PeerNode| Source::Node(reader.links);
    let near = near.into_iter().map(source);
    let far = far.into_iter().map(source);
    let order = if is_reader {
        std::iter::once(Source::Store)
            .chain(near)
            .chain(far)
            .collect()
    } else {
        near.chain([Source::Store]).chain(far).collect()
    };
    SourcePlan { is_reader, order }
}

/// Returns the nodes that read the store themselves.
#[must_use]
pub fn readers(nodes: &[PeerNode]) -> Vec<&PeerNode> {
    let mut domains: IndexMap<&FailureDomainId, Vec<&PeerNode>> = IndexMap::new();
    for peer in nodes {
        domains.entry(&peer.failure_domain).or_default().push(peer);
    }
    let mut readers = Vec::new();
    for (domain, mut peers) in domains {
        if peers.len() > SMALL_DOMAIN {
            // A reader answers all that follow it, so the nodes with the most of a processor read.
            peers.sort_by(|a, b| {
                let weight =
                    |peer: &PeerNode| rendezvous_weight(domain.as_str(), peer.node.as_str());
                let by_share = b.processor_share.total_cmp(&a.processor_share);
                by_share.then_with(|| weight(b).cmp(&weight(a)))
            });
            peers.truncate(READERS);
        }
        readers.extend(peers);
    }
    readers
}
