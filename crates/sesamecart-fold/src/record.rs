//! The records of the log and their encoding.

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

/// The record version that this release writes, which is also the newest that it can read.
pub const RECORD_VERSION: u32 = 1;

/// A record of the log.
///
/// Any change of a field's meaning requires a new version. Otherwise nodes of two releases would interpret
/// the same bytes differently, and their states would diverge unnoticed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A new configuration.
    Publish {
        /// The id that the publisher chose for this change.
        publish_id: PublishId,
        /// The revision that the configuration is based on.
        base_revision: Revision,
        /// The operator that published the configuration.
        author: String,
        /// The operator's address.
        from: String,
        /// When the record was created, in milliseconds of wall-clock time.
        at_ms: u64,
        /// The complete configuration.
        configuration: Box<Configuration>,
    },
    /// The start or end of a drain.
    Drain {
        /// The id that the publisher chose for this change.
        publish_id: PublishId,
        /// The target of the drain.
        target: DrainTarget,
        /// Whether the drain starts.
        on: bool,
        /// The operator that requested the change.
        author: String,
        /// The operator's address.
        from: String,
        /// When the record was created, in milliseconds of wall-clock time.
        at_ms: u64,
    },
    /// A node's claim of a shard's lease; its epoch is the offset of this record.
    Claim {
        /// The shard.
        shard: ShardId,
        /// The node that claims the lease.
        holder: NodeId,
        /// The incarnation of the claimant.
        incarnation: Incarnation,
        /// The epoch that was in force when the claimant last read the log.
        builds_on: Option<Epoch>,
        /// The nodes that may extend the lease while the log is unavailable.
        voters: Vec<NodeId>,
    },
    /// The release of a lease by its holder.
    Release {
        /// The shard.
        shard: ShardId,
        /// The holder.
        holder: NodeId,
        /// The lease's epoch.
        epoch: Epoch,
    },
    /// The assignment of VMs to a group.
    Assign {
        /// The group.
        group: GroupId,
        /// The VMs.
        vms: Vec<VmId>,
        /// The group's new generation.
        generation: Generation,
        /// The epoch of the group's shard.
        shard_epoch: Epoch,
        /// The model version that the generation runs; empty in records without this field.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        version: String,
    },
    /// The removal of a VM from a group.
    Unassign {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
        /// The newest generation of the group to which the removal applies.
        generation: Generation,
        /// The epoch of the group's shard.
        shard_epoch: Epoch,
    },
    /// A fenced order was sent to an endpoint.
    OrderIssued {
        /// The endpoint.
        endpoint: EndpointId,
        /// The fencing token of the order.
        epoch: Epoch,
        /// A description of the order.
        order: String,
        /// When the record was created, in milliseconds of wall-clock time.
        at_ms: u64,
    },
    /// Intents of keyed actions that are about to be sent.
    ActionIntents {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The epoch of the shard's lease.
        epoch: Epoch,
        /// The intents.
        entries: Vec<ActionIntent>,
    },
    /// Outcomes of keyed actions.
    ActionOutcomes {
        /// The shard that owns the keys.
        shard: ShardId,
        /// The epoch of the shard's lease.
        epoch: Epoch,
        /// The outcomes.
        entries: Vec<ActionOutcome>,
    },
    /// Intents and outcomes of keyed actions of several shards.
    ///
    /// A node owns many shards, and separate appends for each would exceed the log's rate limit under load.
    ActionBatch {
        /// The intents and outcomes of each shard.
        parts: Vec<ActionPart>,
    },
    /// A snapshot of the state, written before retention removes the records that led to it.
    Checkpoint {
        /// The state.
        state: Box<State>,
    },
}

/// A record with the version of its encoding.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version.
    pub v: u32,
    /// The record.
    pub record: Record,
}

/// The error of decoding a record.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes are not a complete record.
    #[error("a torn or foreign record: {0}")]
    Malformed(String),
    /// A newer release wrote the record.
    #[error("a record of version {0}, but this release reads up to {RECORD_VERSION}")]
    NewerVersion(u32),
    /// The version is supported, but the kind of record is unknown.
    #[error("a record of the unknown kind {0:?}")]
    UnknownKind(String),
}

/// The encoded names of the record kinds.
const RECORD_KINDS: [&str; 11] = [
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
    /// Encodes the record for the log.
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
        serde_json::to_vec(&envelope).expect("records have string keys and integers only")
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is incomplete, has a newer version or is of an unknown kind.
    pub fn decode(data: &[u8]) -> Result<Envelope, DecodeError> {
        let malformed = |error: serde_json::Error| DecodeError::Malformed(error.to_string());
        let version: Version = serde_json::from_slice(data).map_err(malformed)?;
        if version.v > RECORD_VERSION {
            return Err(DecodeError::NewerVersion(version.v));
        }
        serde_json::from_slice(data)
            .map_err(|error| unknown_kind(data).unwrap_or_else(|| malformed(error)))
    }
}

fn unknown_kind(data: &[u8]) -> Option<DecodeError> {
    let kind: Kind = serde_json::from_slice(data).ok()?;
    let name = kind.record.keys().next()?;
    (!RECORD_KINDS.contains(&name.as_str())).then(|| DecodeError::UnknownKind(name.clone()))
}
