//! Selection of the sources from which a node gets the contents of the platform's store.
//!
//! The rate of calls to the store is limited for all nodes together, and calls would grow with the number
//! of nodes if each one read the store itself. Therefore one node of each failure domain reads the store
//! and the other nodes follow it, so that calls grow only with the number of failure domains. A standby in
//! each failure domain takes over when the reader is gone. If the store refuses some of the nodes, they
//! follow a node that can still read it.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{FailureDomainId, NodeId, rendezvous_weight};

mod rotation;
#[cfg(test)]
mod rotation_tests;
mod store_asks;
#[cfg(test)]
mod tests;

pub use rotation::SourceRotation;
pub use store_asks::{AskOrder, AskTurn, StoreAsks, search_delay};

/// A node's description of itself for the other nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerNode {
    /// The node's ID.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// The address at which it accepts links from other nodes.
    pub links: SocketAddr,
    /// The address at which it accepts requests that other nodes forward; missing on a node that accepts none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarding: Option<SocketAddr>,
    /// The fraction of a processor core that is available to it.
    pub processor_share: f64,
    /// The memory that is available to it, if its settings say so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
}

/// A source of the store's contents.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum Source {
    /// The store itself.
    #[display("the store")]
    Store,
    /// A node that reads the store.
    #[display("node at {_0}")]
    Node(SocketAddr),
}

/// The role of a node in its failure domain.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Role {
    /// The node reads the store for the others.
    #[display("reader")]
    Reader,
    /// The node reads the store for the others while the reader is gone.
    #[display("standby")]
    Standby,
    /// The node follows a reader or standby.
    #[display("follower")]
    Follower,
}

/// The sources of one node, in order of preference.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcePlan {
    /// The node's role in its failure domain.
    pub role: Role,
    /// All sources, in the order in which they are tried.
    pub order: Vec<Source>,
    /// The preferred sources, to which the node returns from any other one as soon as they serve again.
    pub preferred: Vec<Source>,
}

/// The maximum number of nodes whose loads a node watches.
///
/// In a small deployment, each node knows all loads. In a larger one, a node knows the loads of its nearest
/// nodes and gets the rest from the reports of the heads: load updates between all pairs of nodes would
/// exceed the part of a node's link bandwidth that is available for control traffic. docs/CAPACITY.md has
/// the bytes.
pub const MAX_WATCHED_PEERS: usize = 7;

/// Returns the nodes whose loads a node watches, not counting the nodes in `gone`. Nodes of its own failure
/// domain come first, because they choose among the same nearby endpoints.
#[must_use]
pub fn peers_to_watch<'a>(
    own: &NodeId,
    nodes: &'a [PeerNode],
    gone: &IndexSet<NodeId>,
) -> Vec<&'a PeerNode> {
    let me = nodes.iter().find(|peer| peer.node == *own);
    let is_local = |peer: &PeerNode| me.is_some_and(|me| me.failure_domain == peer.failure_domain);
    let others = nodes.iter().filter(|peer| peer.node != *own);
    let mut others: Vec<&PeerNode> = others.filter(|peer| !gone.contains(&peer.node)).collect();
    others.sort_by_key(|peer| {
        let weight = rendezvous_weight(own.as_str(), peer.node.as_str());
        (!is_local(peer), std::cmp::Reverse(weight))
    });
    others.truncate(MAX_WATCHED_PEERS);
    others
}

/// Plans a node's sources. All nodes with the same list of nodes choose the same readers.
///
/// A follower prefers readers of other failure domains over the standby of its own, which needs a moment to
/// take over and can only send whole topics at first. The store comes last: if all followers of a failed
/// reader read it at once, it would refuse them.
#[must_use]
pub fn plan_sources(own: &NodeId, nodes: &[PeerNode]) -> SourcePlan {
    let Some(me) = nodes.iter().find(|peer| peer.node == *own) else {
        // The other nodes are unknown before the first read of the store.
        return SourcePlan {
            role: Role::Reader,
            order: vec![Source::Store],
            preferred: vec![Source::Store],
        };
    };
    let mut remote = Vec::new();
    let mut local = DomainReaders::default();
    for (domain, readers) in domain_readers(nodes) {
        if *domain == me.failure_domain {
            local = readers;
        } else {
            remote.extend(readers.reader);
        }
    }
    remote.sort_by_key(|reader| {
        let weight = rendezvous_weight(own.as_str(), reader.node.as_str());
        std::cmp::Reverse(weight)
    });
    let remote = remote.into_iter().map(node_source);
    let reader = local.reader.map(node_source);
    let standby = local.standby.map(node_source);
    if local.reader == Some(me) {
        let others = standby.into_iter().chain(remote);
        return SourcePlan {
            role: Role::Reader,
            order: std::iter::once(Source::Store).chain(others).collect(),
            preferred: vec![Source::Store],
        };
    }
    if local.standby == Some(me) {
        let others = std::iter::once(Source::Store).chain(remote);
        return SourcePlan {
            role: Role::Standby,
            order: reader.into_iter().chain(others).collect(),
            preferred: reader.into_iter().collect(),
        };
    }
    let others = remote.chain(standby).chain([Source::Store]);
    SourcePlan {
        role: Role::Follower,
        order: reader.into_iter().chain(others).collect(),
        preferred: reader.into_iter().chain(standby).collect(),
    }
}

/// Returns the nodes that read the store themselves, one per failure domain.
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

/// The reader and the standby of one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct DomainReaders<'a> {
    reader: Option<&'a PeerNode>,
    standby: Option<&'a PeerNode>,
}

fn domain_readers(nodes: &[PeerNode]) -> IndexMap<&FailureDomainId, DomainReaders<'_>> {
    let domains = sorted_domains(nodes).into_iter();
    let chosen = domains.map(|(domain, peers)| {
        let readers = DomainReaders {
            reader: peers.first().copied(),
            standby: peers.get(1).copied(),
        };
        (domain, readers)
    });
    chosen.collect()
}

/// Returns the nodes of each failure domain, in the order in which they are chosen as readers.
fn sorted_domains(nodes: &[PeerNode]) -> IndexMap<&FailureDomainId, Vec<&PeerNode>> {
    let mut domains: IndexMap<&FailureDomainId, Vec<&PeerNode>> = IndexMap::new();
    for peer in nodes {
        domains.entry(&peer.failure_domain).or_default().push(peer);
    }
    for (domain, peers) in &mut domains {
        // A reader serves all of its followers, so the nodes with the largest processor shares are chosen.
        peers.sort_by(|a, b| {
            let weight = |peer: &PeerNode| rendezvous_weight(domain.as_str(), peer.node.as_str());
            let by_share = b.processor_share.total_cmp(&a.processor_share);
            by_share.then_with(|| weight(b).cmp(&weight(a)))
        });
    }
    domains
}

fn node_source(peer: &PeerNode) -> Source {
    Source::Node(peer.links)
}
