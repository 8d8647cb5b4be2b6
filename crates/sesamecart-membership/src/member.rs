//! The state of one node, as exchanged between nodes.

use std::net::SocketAddr;

use derive_more::Display;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId};

/// The status of a node, as sent in messages.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "lowercase")]
pub enum Status {
    /// The node responds to probes.
    Alive,
    /// A probe failed or timed out. The node may still refute the suspicion.
    Suspected,
    /// The node has announced that it is shutting down.
    Leaving,
    /// The suspicion wasn't refuted in time, or a probe of a leaving node failed.
    Down,
}

/// A node's liveness, as derived from its status, its history and the platform's VM list.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Liveness {
    /// The node may own shards.
    Live,
    /// The node responds and is shutting down.
    Leaving,
    /// The node is down, or it returned so recently that it is still held.
    Suspected,
    /// The node is down, and its VM has been absent from the platform's list, where it once was, for longer
    /// than the list may lag.
    Gone,
}

/// An update about one node.
///
/// Updates are ordered by incarnation, then by heartbeat, then by status, with a worse status superseding a
/// better one. Only the node itself increments its heartbeat, which refutes a suspicion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// A counter that the node increments when it refutes a suspicion or changes its status.
    pub heartbeat: u64,
    /// Its status.
    pub status: Status,
}

impl Member {
    /// Returns whether this update is newer than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let recency = |member: &Self| (member.incarnation, member.heartbeat, member.status);
        recency(self) > recency(other)
    }
}

/// A node from the settings or the platform's VM list. It can be probed, but isn't known to be alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The node.
    pub node: NodeId,
    /// The address at which it should accept links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}
