//! What the log says about leases, and what a node wants done about them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, ShardId};

use crate::vote::Vote;

/// One life of a node, as a claim names it.
///
/// A node that restarts has forgotten which orders it sent, so its new life is another holder.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The life of its process.
    pub incarnation: Incarnation,
}

/// A claim record as it was read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSeen {
    /// The shard that is claimed.
    pub shard: ShardId,
    /// The record's offset, which becomes the epoch if the claim is accepted.
    pub epoch: Epoch,
    /// Who claims.
    pub holder: Holder,
    /// The epoch that the claimant knew, if any.
    pub builds_on: Option<Epoch>,
    /// The nodes that extend the lease while the log is out.
    pub voters: Vec<NodeId>,
}

/// A release record as it was read from the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReleaseSeen {
    /// The shard that is released.
    pub shard: ShardId,
    /// The epoch whose holder acts no more.
    pub epoch: Epoch,
}

/// The last accepted claim of a shard: the fold's state for it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseSeen {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
    /// Who claimed.
    pub holder: Holder,
    /// The nodes that extend the lease while the log is out.
    pub voters: Vec<NodeId>,
    /// Whether the holder has said that it acts no more.
    pub released: bool,
}

/// Whether a claim record counts.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// It is the shard's newest claim.
    #[display("accepted")]
    Accepted,
    /// It builds on an epoch that has passed, since another claim came first.
    #[display("builds on a past epoch")]
    Past,
}

/// A claim that a node wants in the log; its own name and incarnation go with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimDraft {
    /// The shard.
    pub shard: ShardId,
    /// The epoch that the claim builds on, if any.
    pub builds_on: Option<Epoch>,
    /// The voters of the new lease.
    pub voters: Vec<NodeId>,
}

/// What a node does because of a lease event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Append this claim. Only a refusal that proves that nothing was appended is reported back
    /// with [`crate::Leases::append_refused`].
    AppendClaim(ClaimDraft),
    /// Append a release of this epoch.
    AppendRelease(ReleaseSeen),
    /// Ask a voter.
    AskVote {
        /// The voter.
        to: NodeId,
        /// The question.
        vote: Vote,
    },
    /// This node holds the shard from now on.
    Acquired {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node holds the shard no more.
    Lost {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
}
