//! Which node owns an endpoint's allowance.

use sesamecart_vocabulary::{EndpointId, NodeId, ShardId, Timestamp};
use std::net::SocketAddr;

use crate::actions::Directory;

/// Finds the owner of an endpoint: the node that rendezvous order names for the endpoint's shard
/// among the nodes that answer.
///
/// Shard leases will take its place. Until then two nodes that suspect each other can both lend for
/// an endpoint, and their sums add up; a lease excludes that.
#[derive(Clone, Debug)]
pub(crate) struct Owners {
    me: NodeId,
    directory: Directory,
}

impl Owners {
    pub(crate) const fn new(me: NodeId, directory: Directory) -> Self {
        Self { me, directory }
    }

    /// Returns the owner of an endpoint.
    pub(super) fn of(&self, endpoint: &EndpointId, now: Timestamp) -> NodeId {
        self.directory
            .candidate(ShardId::of(endpoint.as_str()), now)
    }

    /// Returns whether this node owns an endpoint.
    pub(super) fn is_mine(&self, endpoint: &EndpointId, now: Timestamp) -> bool {
        self.of(endpoint, now) == self.me
    }

    pub(super) const fn me(&self) -> &NodeId {
        &self.me
    }

    pub(super) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.directory.address(node)
    }

    /// Notes whether another node answered.
    pub(super) fn note(&self, node: &NodeId, answered: bool, now: Timestamp) {
        if answered {
            self.directory.trust(node);
        } else {
            self.directory.suspect(node, now);
        }
    }
}
