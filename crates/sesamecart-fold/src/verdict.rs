//! What applying a record did.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    EndpointId, Epoch, Generation, GroupId, NodeId, Offset, PublishId, Revision, ShardId, VmId,
};

use crate::action::ActionKey;
use crate::drain::DrainTarget;
use crate::record::DecodeError;

/// What one record of the log did to the state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The record was applied before; nothing changed.
    Before,
    /// Records between the state and this one are missing; nothing changed.
    Gap {
        /// The offset that the state needs next.
        expected: Offset,
    },
    /// A new configuration is in force.
    Published {
        /// Its revision.
        revision: Revision,
    },
    /// A drain began or ended.
    Drained {
        /// What is drained.
        target: DrainTarget,
        /// Whether it began.
        on: bool,
    },
    /// A change with a publish id that was seen before; nothing changed.
    Repeated {
        /// The id.
        publish_id: PublishId,
    },
    /// A lease has a new holder.
    Claimed {
        /// The shard.
        shard: ShardId,
        /// The new epoch.
        epoch: Epoch,
    },
    /// A lease was given up.
    Released {
        /// The shard.
        shard: ShardId,
    },
    /// VMs joined a group.
    Assigned {
        /// The group.
        group: GroupId,
        /// Its new generation.
        generation: Generation,
    },
    /// A VM left a group.
    Unassigned {
        /// The VM.
        vm: VmId,
    },
    /// An order was noted.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Intents of keyed actions were noted.
    Intents {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The keys for which an earlier intent stands, so that this one must not be sent.
        refused: Vec<ActionKey>,
    },
    /// Ends of keyed actions were noted.
    Outcomes {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The keys for which this end was no news.
        ignored: Vec<ActionKey>,
    },
    /// Ends and intents of several shards were applied, with a verdict for each in their order.
    ActionBatch {
        /// The verdicts.
        verdicts: Vec<Applied>,
    },
    /// A checkpoint was seen.
    Checkpointed {
        /// The offset that it goes up to.
        covers: Offset,
    },
    /// The record breaks a rule; nothing changed.
    Rejected(Rejection),
    /// The bytes can't be read; nothing changed. It needs an alarm.
    Skipped(DecodeError),
}

/// The rule that a record breaks.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// Another change came first.
    #[display("{_0}")]
    Publish(PublishVerdict),
    /// The shard isn't one of those that exist.
    #[display("there is no shard {shard}")]
    NoSuchShard {
        /// The shard.
        shard: ShardId,
    },
    /// The claim builds on another epoch than the one in force.
    #[display("shard {shard}: the claim of {holder} builds on a past epoch")]
    PastEpoch {
        /// The shard.
        shard: ShardId,
        /// The claimant.
        holder: NodeId,
        /// The epoch in force.
        current: Option<Epoch>,
    },
    /// The record speaks for a lease that isn't in force.
    #[display("shard {shard}: epoch {epoch} is not in force")]
    StaleEpoch {
        /// The shard.
        shard: ShardId,
        /// The record's epoch.
        epoch: Epoch,
        /// The epoch in force.
        current: Option<Epoch>,
    },
    /// A VM belongs to another group.
    #[display("VM {vm} belongs to group {group}")]
    VmTaken {
        /// The VM.
        vm: VmId,
        /// The group that it belongs to.
        group: GroupId,
    },
    /// The generation isn't above the group's last one.
    #[display("group {group}: generation {generation} is not above {last}")]
    PastGeneration {
        /// The group.
        group: GroupId,
        /// The record's generation.
        generation: Generation,
        /// The group's last generation.
        last: Generation,
    },
    /// The VM doesn't belong to the group in that generation.
    #[display("VM {vm} does not belong to group {group} in that generation")]
    NotAssigned {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// A newer epoch already gave the endpoint orders.
    #[display("endpoint {endpoint}: an order of epoch {newest} came before")]
    OldOrder {
        /// The endpoint.
        endpoint: EndpointId,
        /// The newest epoch that gave orders.
        newest: Epoch,
    },
    /// A checkpoint claims to know more than the records before it told.
    #[display("the checkpoint up to {covers} is ahead of the log")]
    CheckpointAhead {
        /// The offset that it goes up to.
        covers: Offset,
    },
}

/// What became of a change that an operator published.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum PublishVerdict {
    /// It is in force.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// The revision that it made or, for a drain, met.
        revision: Revision,
        /// Where it stands in the log.
        offset: Offset,
    },
    /// Another change came first.
    #[display(
        "conflict: made against revision {base}, but revision {revision} by {author} came first"
    )]
    Conflict {
        /// The revision that it was made against.
        base: Revision,
        /// The revision in force.
        revision: Revision,
        /// Who published that one.
        author: String,
        /// When, in milliseconds of wall-clock time.
        at_ms: u64,
        /// Where the losing record stands in the log.
        offset: Offset,
    },
}
