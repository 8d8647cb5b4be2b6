//! Leases and VM assignments as the log tells them.

use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Epoch, Generation, GroupId, Incarnation, NodeId};

/// The newest accepted claim of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that claimed it.
    pub holder: NodeId,
    /// The life of that node.
    pub incarnation: Incarnation,
    /// The fencing number: the claim's offset.
    pub epoch: Epoch,
    /// The nodes that may extend it while the log is out.
    pub voters: Vec<NodeId>,
    /// Whether the holder gave it up.
    pub released: bool,
    /// When the log took the claim, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
}

/// The group that a VM belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// The group's generation that the VM was assigned in.
    pub generation: Generation,
}
