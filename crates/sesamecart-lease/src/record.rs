//! Lease records of the log, and the effects of the lease state machine.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, ShardId};

use crate::vote::Vote;

/// The holder of a lease: one incarnation of a node.
///
/// A node that restarts doesn't know which requests it sent before, so its new incarnation is a different
/// holder.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// A claim record read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// The claimed shard.
    pub shard: ShardId,
    /// The record's offset, which becomes the epoch if the claim is accepted.
    pub epoch: Epoch,
    /// The claimant.
    pub holder: Holder,
    /// The epoch of the shard's last claim that the claimant knew of, if any.
    pub builds_on: Option<Epoch>,
    /// The nodes that extend the lease while the log is unavailable.
    pub voters: Vec<NodeId>,
}

/// A release record read from the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReleaseRecord {
    /// The released shard.
    pub shard: ShardId,
    /// The epoch whose holder has stopped acting.
    pub epoch: Epoch,
}

/// The state of a shard's lease in the fold: its last accepted claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseState {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
    /// The holder.
    pub holder: Holder,
    /// The nodes that extend the lease while the log is unavailable.
    pub voters: Vec<NodeId>,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// Whether a claim record is accepted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// The claim is the shard's newest one.
    #[display("accepted")]
    Accepted,
    /// The claim is based on an outdated epoch because another claim came first.
    #[display("builds on a past epoch")]
    Stale,
}

/// A claim to append to the log; the caller adds the node's name and incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimDraft {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the claim that this one succeeds, if any.
    pub builds_on: Option<Epoch>,
    /// The voters of the new lease.
    pub voters: Vec<NodeId>,
}

/// An effect that the caller must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Append this claim. The caller reports only a refusal that proves that nothing was appended, with
    /// [`crate::Leases::append_refused`].
    AppendClaim(ClaimDraft),
    /// Append a release of this epoch.
    AppendRelease(ReleaseRecord),
    /// Send a vote request.
    RequestVote {
        /// The voter.
        to: NodeId,
        /// The request.
        vote: Vote,
    },
    /// This node may act for the shard from now on.
    Acquired {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node may no longer act for the shard.
    Lost {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
}
