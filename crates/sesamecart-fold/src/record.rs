//! Records as they stand in the log.

use indexmap::IndexMap;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use sesamecart_config::Configuration;
use sesamecart_vocabulary::{
    EndpointId, Epoch, Generation, GroupId, Incarnation, NodeId, PublishId, Revision, ShardId, VmId,
};
use thiserror::Error;

use crate::action::{ActionIntent, ActionOutcome, ActionPart};
use crate::drain::DrainTarget;
use crate::state::State;

/// The version of the records that this release writes, and the newest that it reads.
pub const RECORD_VERSION: u32 = 1;

/// One record of the log.
///
/// Any change of a field's meaning needs a new version: nodes of two releases that read the same
/// bytes differently would hold different states and never notice.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A new configuration.
    Publish {
        /// The publisher's own name for this change.
        publish_id: PublishId,
        /// The revision that it was made against.
        base_revision: Revision,
        /// Who published it.
        author: String,
        /// The address that it came from.
        from: String,
        /// When, in milliseconds of wall-clock time.
        at_ms: u64,
        /// The whole configuration.
        configuration: Box<Configuration>,
    },
    /// A drain, or its end.
    Drain {
        /// The publisher's own name for this change.
        publish_id: PublishId,
        /// What is drained.
        target: DrainTarget,
        /// Whether it begins or ends.
        on: bool,
        /// Who ordered it.
        author: String,
        /// The address that it came from.
        from: String,
        /// When, in milliseconds of wall-clock time.
        at_ms: u64,
    },
    /// A node's claim of a shard's lease; its epoch is the offset of this record.
    Claim {
        /// The shard.
        shard: ShardId,
        /// The claimant.
        holder: NodeId,
        /// The claimant's life.
        incarnation: Incarnation,
        /// The epoch that the claimant saw in force.
        builds_on: Option<Epoch>,
        /// The nodes that may extend the lease while the log is out.
        voters: Vec<NodeId>,
    },
    /// A holder gives its lease up.
    Release {
        /// The shard.
        shard: ShardId,
        /// The holder.
        holder: NodeId,
        /// The lease's epoch.
        epoch: Epoch,
    },
    /// VMs join a group.
    Assign {
        /// The group.
        group: GroupId,
        /// The VMs.
        vms: Vec<VmId>,
        /// The group's new generation.
        generation: Generation,
        /// The epoch of the group's shard.
        shard_epoch: Epoch,
        /// The version of the model that the generation runs; empty in records that don't say.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        version: String,
    },
    /// A VM leaves a group.
    Unassign {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
        /// The group's generation that is meant.
        generation: Generation,
        /// The epoch of the group's shard.
        shard_epoch: Epoch,
    },
    /// A fenced order was sent to an endpoint.
    OrderIssued {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's fencing number.
        epoch: Epoch,
        /// The order in words.
        order: String,
        /// When, in milliseconds of wall-clock time.
        at_ms: u64,
    },
    /// Keyed actions that are about to be sent.
    ActionIntents {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The epoch of the shard's lease.
        epoch: Epoch,
        /// The actions.
        entries: Vec<ActionIntent>,
    },
    /// Keyed actions that ended.
    ActionOutcomes {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The epoch of the shard's lease.
        epoch: Epoch,
        /// The ends.
        entries: Vec<ActionOutcome>,
    },
    /// Keyed actions of several shards that one append carries together.
    ///
    /// A node owns many shards, and an append for each would pass the log's rate under load.
    ActionBatch {
        /// What is told of each shard.
        parts: Vec<ActionPart>,
    },
    /// The whole state, written again before the log forgets what made it.
    Checkpoint {
        /// The state.
        state: Box<State>,
    },
}

/// A record with the version that it was written in.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version.
    pub v: u32,
    /// The record.
    pub record: Record,
}

/// Why bytes of the log can't be read as a record.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes aren't a whole record.
    #[error("a torn or foreign record: {0}")]
    Torn(String),
    /// A later release wrote it.
    #[error("a record of version {0}, but this release reads up to {RECORD_VERSION}")]
    NewerVersion(u32),
    /// The version is known, but not the kind.
    #[error("a record of the unknown kind {0:?}")]
    UnknownKind(String),
}

/// The kinds of records, as they are written.
const KINDS: [&str; 11] = [
    "publish",
    "drain",
    "claim",
    "release",
    "assign",
    "unassign",
    "order_issued",
    "action_intents",
    "action_outcomes",
    "action_batch",
    "checkpoint",
];

#[derive(Deserialize)]
struct Version {
    v: u32,
}

#[derive(Deserialize)]
struct Kind {
    record: IndexMap<String, IgnoredAny>,
}

impl Record {
    /// Writes the record as the log takes it.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Borrowed<'a> {
            v: u32,
            record: &'a Record,
        }
        let envelope = Borrowed {
            v: RECORD_VERSION,
            record: self,
        };
        serde_json::to_vec(&envelope).expect("a record's keys are text and its numbers whole")
    }

    /// Reads a record from the log's bytes.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are torn, newer than this release, or of an unknown kind.
    pub fn decode(data: &[u8]) -> Result<Envelope, DecodeError> {
        let torn = |error: serde_json::Error| DecodeError::Torn(error.to_string());
        let version: Version = serde_json::from_slice(data).map_err(torn)?;
        if version.v > RECORD_VERSION {
            return Err(DecodeError::NewerVersion(version.v));
        }
        serde_json::from_slice(data)
            .map_err(|error| unknown_kind(data).unwrap_or_else(|| torn(error)))
    }
}

fn unknown_kind(data: &[u8]) -> Option<DecodeError> {
    let kind: Kind = serde_json::from_slice(data).ok()?;
    let name = kind.record.keys().next()?;
    (!KINDS.contains(&name.as_str())).then(|| DecodeError::UnknownKind(name.clone()))
}
