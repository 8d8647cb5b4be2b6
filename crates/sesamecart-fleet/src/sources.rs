//! From whom a node hears what the platform's store says.
//!
//! It answers the size of a deployment: reads that each node makes for itself grow with the nodes, and
//! all nodes together may call the store so many times a second. One node of each failure domain reads
//! the store and the others follow it, so calls grow with the failure domains. A second one stands by and
//! steps in when the reader is gone. It also answers a store that turns some nodes away: they follow a
//! node that still reads it.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{FailureDomainId, NodeId, rendezvous_weight};

mod rotation;
#[cfg(test)]
mod rotation_tests;
#[cfg(test)]
mod tests;

pub use rotation::SourceRotation;

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
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum Source {
    /// The store itself.
    #[display("the store")]
    Store,
    /// A node that reads the store.
    #[display("node at {_0}")]
    Node(SocketAddr),
}

/// What a node is to the others of its failure domain.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Role {
    /// It reads the store for them.
    #[display("reader")]
    Reader,
    /// It reads the store for them while the reader is gone.
    #[display("standby")]
    Standby,
    /// It follows one of these.
    #[display("follower")]
    Follower,
}

/// The sources of one node, best first.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcePlan {
    /// What the node is to its failure domain.
    pub role: Role,
    /// All its sources, to be tried in this order.
    pub order: Vec<Source>,
    /// Those that it returns to from any other one, once they serve again, best first.
    pub home: Vec<Source>,
}

/// The most nodes whose loads a node watches.
///
/// On a small deployment each knows all loads. On larger ones a node knows those of its nearest, and what
/// the heads report of the others: the messages of all to all would take more of a node's link than it may
/// spend on control. docs/CAPACITY.md has the bytes.
pub const MAX_WATCHED_PEERS: usize = 7;

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
    others.truncate(MAX_WATCHED_PEERS);
    others
}

/// Chooses a node's sources; all nodes that know the same nodes choose the same readers.
///
/// A follower turns to readers elsewhere before the standby of its own failure domain, which needs a
/// moment to step in and has nothing but whole topics to give at first. The store comes last: were all
/// followers of a reader that ends to read it at once, it would turn them away.
#[must_use]
pub fn plan_sources(own: &NodeId, nodes: &[PeerNode]) -> SourcePlan {
    let Some(me) = nodes.iter().find(|peer| peer.node == *own) else {
        // Nothing is known of the others before the first read of the store.
        return SourcePlan {
            role: Role::Reader,
            order: vec![Source::Store],
            home: vec![Source::Store],
        };
    };
    let mut far = Vec::new();
    let mut near = DomainReaders::default();
    for (domain, readers) in domain_readers(nodes) {
        if *domain == me.failure_domain {
            near = readers;
        } else {
            far.extend(readers.reader);
        }
    }
    far.sort_by_key(|reader| {
        let weight = rendezvous_weight(own.as_str(), reader.node.as_str());
        std::cmp::Reverse(weight)
    });
    let far = far.into_iter().map(node_source);
    let reader = near.reader.map(node_source);
    let standby = near.standby.map(node_source);
    if near.reader == Some(me) {
        let others = standby.into_iter().chain(far);
        return SourcePlan {
            role: Role::Reader,
            order: std::iter::once(Source::Store).chain(others).collect(),
            home: vec![Source::Store],
        };
    }
    if near.standby == Some(me) {
        let others = std::iter::once(Source::Store).chain(far);
        return SourcePlan {
            role: Role::Standby,
            order: reader.into_iter().chain(others).collect(),
            home: reader.into_iter().collect(),
        };
    }
    let others = far.chain(standby).chain([Source::Store]);
    SourcePlan {
        role: Role::Follower,
        order: reader.into_iter().chain(others).collect(),
        home: reader.into_iter().chain(standby).collect(),
    }
}

/// Returns the nodes that read the store themselves, one of each failure domain.
#[must_use]
pub fn readers(nodes: &[PeerNode]) -> Vec<&PeerNode> {
    let domains = domain_readers(nodes).into_values();
    domains.filter_map(|domain| domain.reader).collect()
}

/// Returns the nodes that read the store while the reader of their failure domain is gone.
#[must_use]
pub fn standbys(nodes: &[PeerNode]) -> Vec<&PeerNode> {
    let domains = domain_readers(nodes).into_values();
    domains.filter_map(|domain| domain.standby).collect()
}

/// The nodes of one failure domain that may read the store.
#[derive(Clone, Copy, Debug, Default)]
struct DomainReaders<'a> {
    reader: Option<&'a PeerNode>,
    standby: Option<&'a PeerNode>,
}

fn domain_readers(nodes: &[PeerNode]) -> IndexMap<&FailureDomainId, DomainReaders<'_>> {
    let mut domains: IndexMap<&FailureDomainId, Vec<&PeerNode>> = IndexMap::new();
    for peer in nodes {
        domains.entry(&peer.failure_domain).or_default().push(peer);
    }
    let chosen = domains.into_iter().map(|(domain, mut peers)| {
        // A reader answers all that follow it, so the nodes with the most of a processor read.
        peers.sort_by(|a, b| {
            let weight = |peer: &PeerNode| rendezvous_weight(domain.as_str(), peer.node.as_str());
            let by_share = b.processor_share.total_cmp(&a.processor_share);
            by_share.then_with(|| weight(b).cmp(&weight(a)))
        });
        let readers = DomainReaders {
            reader: peers.first().copied(),
            standby: peers.get(1).copied(),
        };
        (domain, readers)
    });
    chosen.collect()
}

fn node_source(peer: &PeerNode) -> Source {
    Source::Node(peer.links)
}
