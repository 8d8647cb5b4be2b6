//! Vote requests and responses.

use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

/// The purpose of a vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum VotePurpose {
    /// Promise that the holder of this epoch may act for one lease length from the time of the request.
    Extend,
    /// Confirm that this epoch's claim was applied, after which the voter promises nothing to older epochs.
    Applied,
}

/// A request to a voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// The shard.
    pub shard: ShardId,
    /// The requesting node's epoch.
    pub epoch: Epoch,
    /// The purpose of the request.
    pub purpose: VotePurpose,
    /// The requesting node's local time, which the response returns unchanged, so that a late response
    /// extends the lease only from the time of the request.
    pub asked_at: Timestamp,
}

/// A voter's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteAnswer {
    /// The voter that responded.
    pub voter: NodeId,
    /// The request.
    pub vote: Vote,
    /// Whether the voter granted the request.
    pub granted: bool,
}
