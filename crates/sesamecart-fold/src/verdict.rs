//! The effects of applying records, and the verdicts on changes.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    EndpointId, Epoch, Generation, GroupId, NodeId, Offset, PublishId, Revision, ShardId, VmId,
};

use crate::action::ActionKey;
use crate::drain::DrainTarget;
use crate::record::DecodeError;

/// The effect of a record on the state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The record had already been applied; nothing changed.
    AlreadyApplied,
    /// Records between the state and this one are missing; nothing changed.
    Gap {
        /// The next offset that the state needs.
        expected: Offset,
    },
    /// A new configuration is in force.
    Published {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// A drain started or ended.
    Drained {
        /// The target of the drain.
        target: DrainTarget,
        /// Whether the drain started.
        on: bool,
    },
    /// The publish id had already been used; nothing changed.
    Repeated {
        /// The publish id.
        publish_id: PublishId,
    },
    /// A lease was claimed.
    Claimed {
        /// The shard.
        shard: ShardId,
        /// The new epoch.
        epoch: Epoch,
    },
    /// A lease was released.
    Released {
        /// The shard.
        shard: ShardId,
    },
    /// VMs were assigned to a group.
    Assigned {
        /// The group.
        group: GroupId,
        /// The group's new generation.
        generation: Generation,
    },
    /// A VM was removed from its group.
    Unassigned {
        /// The VM.
        vm: VmId,
    },
    /// An order was recorded.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Intents of keyed actions were recorded.
    Intents {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The keys with an earlier intent, whose actions must not be sent.
        refused: Vec<ActionKey>,
    },
    /// Outcomes of keyed actions were recorded.
    Outcomes {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The keys whose outcome changed nothing.
        ignored: Vec<ActionKey>,
    },
    /// Outcomes and intents of several shards were applied.
    ActionBatch {
        /// The effect of each, in the order of the record.
        verdicts: Vec<Applied>,
    },
    /// The position of a checkpoint was recorded.
    Checkpointed {
        /// The next offset of the checkpoint's state.
        covers: Offset,
    },
    /// The record violates a rule; nothing changed.
    Rejected(Rejection),
    /// The record can't be decoded; nothing changed. It must raise an alarm.
    Skipped(DecodeError),
}

/// The rule that a record violates.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// The change conflicts with an earlier one.
    #[display("{_0}")]
    Publish(PublishVerdict),
    /// The shard does not exist.
    #[display("there is no shard {shard}")]
    NoSuchShard {
        /// The shard.
        shard: ShardId,
    },
    /// The claim is not based on the epoch in force.
    #[display("shard {shard}: the claim of {holder} builds on a past epoch")]
    PastEpoch {
        /// The shard.
        shard: ShardId,
        /// The claimant.
        holder: NodeId,
        /// The epoch in force.
        current: Option<Epoch>,
    },
    /// The record belongs to a lease that is not in force.
    #[display("shard {shard}: epoch {epoch} is not in force")]
    StaleEpoch {
        /// The shard.
        shard: ShardId,
        /// The record's epoch.
        epoch: Epoch,
        /// The epoch in force.
        current: Option<Epoch>,
    },
    /// A VM is assigned to another group.
    #[display("VM {vm} belongs to group {group}")]
    VmInOtherGroup {
        /// The VM.
        vm: VmId,
        /// The group that the VM is assigned to.
        group: GroupId,
    },
    /// The generation is not greater than the group's last one.
    #[display("group {group}: generation {generation} is not above {last}")]
    PastGeneration {
        /// The group.
        group: GroupId,
        /// The record's generation.
        generation: Generation,
        /// The group's last generation.
        last: Generation,
    },
    /// The VM is not assigned to the group in that generation.
    #[display("VM {vm} does not belong to group {group} in that generation")]
    NotAssigned {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// The endpoint already has an order of a newer epoch.
    #[display("endpoint {endpoint}: an order of epoch {newest} came before")]
    StaleOrder {
        /// The endpoint.
        endpoint: EndpointId,
        /// The epoch of the newest order.
        newest: Epoch,
    },
    /// A checkpoint covers more than the records before it.
    #[display("the checkpoint up to {covers} is ahead of the log")]
    CheckpointAhead {
        /// The next offset of the checkpoint's state.
        covers: Offset,
    },
}

/// The verdict on a change by an operator.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum PublishVerdict {
    /// The change is in force.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// The revision that the change created or, for a drain, the one in force.
        revision: Revision,
        /// The offset of the change in the log.
        offset: Offset,
    },
    /// The change conflicts with an earlier one.
    #[display(
        "conflict: made against revision {base}, but revision {revision} by {author} came first"
    )]
    Conflict {
        /// The revision that the change is based on.
        base: Revision,
        /// The revision in force.
        revision: Revision,
        /// The operator that published the revision in force.
        author: String,
        /// When the revision in force was published, in milliseconds of wall-clock time.
        at_ms: u64,
        /// The offset of the rejected change in the log.
        offset: Offset,
    },
}
