//! Leases and VM assignments in the state.

use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Epoch, Generation, GroupId, Incarnation, NodeId};

/// The newest accepted claim of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that claimed the lease.
    pub holder: NodeId,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// The fencing token, which is the offset of the claim.
    pub epoch: Epoch,
    /// The nodes that may extend the lease while the log is unavailable.
    pub voters: Vec<NodeId>,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// When the claim was appended, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
}

/// The group that a VM belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// The generation of the group to which the VM was assigned.
    pub generation: Generation,
}
