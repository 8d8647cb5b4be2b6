//! Questions to voters and their answers.

use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

/// What is asked of a voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum VotePurpose {
    /// Promise that the holder of this epoch may act for one lease length from the asking.
    Extend,
    /// Confirm that this epoch's claim was applied, after which nothing is promised to older ones.
    Applied,
}

/// A question to a voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// The shard.
    pub shard: ShardId,
    /// The asker's epoch.
    pub epoch: Epoch,
    /// What is asked.
    pub purpose: VotePurpose,
    /// The asker's local time; the answer carries it back, so that a late answer extends only from
    /// the time of its question.
    pub asked_at: Timestamp,
}

/// A voter's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteAnswer {
    /// Who answers.
    pub voter: NodeId,
    /// The question.
    pub vote: Vote,
    /// Whether the voter agrees.
    pub granted: bool,
}
