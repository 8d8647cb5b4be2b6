//! What a node believes about the others when it decides which shards to claim.

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId};

/// What membership says about a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// It answers.
    Live,
    /// It answers and is about to go.
    Leaving,
    /// It hasn't answered for long enough that its shards may be claimed.
    Suspected,
    /// The platform removed its VM longer ago than the list lags, so that it can't promise
    /// anything any more.
    Gone,
}

/// One node as another one sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeView {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The life of its process that was last heard.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub state: NodeState,
}

/// The nodes as one of them sees them, itself included.
///
/// A wrong view only costs time. A claim made too early displaces a holder that was well, and both
/// follow the same rules.
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

    /// Returns what is believed of a node, if it was ever heard of.
    #[must_use]
    pub fn state(&self, node: &NodeId) -> Option<NodeState> {
        self.nodes.get(node).map(|view| view.state)
    }
}
