//! One node's view of the cluster, by which it decides which shards to claim.

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId};

/// The state of a node according to membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// The node responds.
    Live,
    /// The node responds and is shutting down.
    Leaving,
    /// The node hasn't responded for so long that its shards may be claimed.
    Suspected,
    /// The platform removed the node's VM longer ago than the lag of the VM list, so the node can't grant
    /// votes any more.
    Gone,
}

/// One node as seen by another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeView {
    /// The node's failure domain.
    pub failure_domain: FailureDomainId,
    /// The latest known incarnation of its process.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: NodeState,
}

/// One node's view of all nodes, including itself.
///
/// A wrong view reduces availability only: a premature claim replaces a healthy holder, and both nodes follow
/// the takeover protocol.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// The nodes.
    pub nodes: IndexMap<NodeId, NodeView>,
}

impl View {
    /// Returns the nodes that may own shards.
    pub fn live(&self) -> impl Iterator<Item = (&NodeId, &NodeView)> {
        self.nodes
            .iter()
            .filter(|(_, view)| view.state == NodeState::Live)
    }

    /// Returns the state of a node, or `None` if the node is unknown.
    #[must_use]
    pub fn state(&self, node: &NodeId) -> Option<NodeState> {
        self.nodes.get(node).map(|view| view.state)
    }
}
