//! Request and response bodies of the API, serialized as JSON.

use derive_more::Display;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use sesamecart_config::{Change, Configuration, ProblemReport};
use sesamecart_fold::{AuditEntry, DrainTarget, PublishVerdict};
use sesamecart_vocabulary::{
    EndpointId, Epoch, FailureDomainId, Generation, GroupId, ModelId, NodeId, Offset, PublishId,
    Revision, ShardId, VmId,
};

/// A request to publish a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// An id for this change, chosen by the publisher. Repeated requests with the same id take
    /// effect once.
    pub publish_id: PublishId,
    /// The revision that the configuration is based on.
    pub base_revision: Revision,
    /// Whether the configuration is allowed to remove most of the capacity at once.
    #[serde(default)]
    pub allow_capacity_drop: bool,
    /// The whole configuration.
    pub configuration: Configuration,
}

/// A request to validate a configuration without publishing it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// Whether the configuration is allowed to remove most of the capacity at once.
    #[serde(default)]
    pub allow_capacity_drop: bool,
    /// The whole configuration.
    pub configuration: Configuration,
}

/// The result of validating a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The revision in force.
    pub revision: Revision,
    /// Problems of the configuration. It can be published if there are none.
    pub problems: Vec<ProblemReport>,
    /// Changes that publishing the configuration would make.
    pub changes: Vec<Change>,
}

/// A request to begin or end a drain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// An id for this change, chosen by the operator; see [`PublishRequest::publish_id`].
    pub publish_id: PublishId,
    /// The target of the drain.
    pub target: DrainTarget,
    /// Whether the drain begins (`true`) or ends (`false`).
    pub on: bool,
}

/// The response to a change request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The id of the change.
    pub publish_id: PublishId,
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
}

/// The outcome of a change.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is in the log; every node reaches this verdict.
    #[display("{_0}")]
    Decided(PublishVerdict),
    /// The log is unavailable. The drain is in force for a limited time and will be written to the
    /// log.
    #[display("provisional for {} s: the log is out", expires_in_ms / 1_000)]
    Provisional {
        /// Time until the drain expires unless it reaches the log, in milliseconds.
        expires_in_ms: u64,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationReply {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The operator who published the configuration.
    pub author: String,
    /// Wall-clock time of publication, in milliseconds.
    pub published_at_ms: u64,
    /// The part of the configuration that is visible to the operator's teams.
    pub configuration: Configuration,
}

/// The state of the nodes and the drains in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The node that sent this response.
    pub node: NodeId,
    /// The revision in force on this node.
    pub revision: Revision,
    /// Whether the log responds to this node.
    pub log_answers: bool,
    /// All nodes known to this node, including itself.
    pub nodes: Vec<NodeReply>,
    /// The drains in force.
    pub drains: Vec<DrainReply>,
}

/// The state of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeReply {
    /// The node's id.
    pub node: NodeId,
    /// The failure domain of the node.
    pub failure_domain: FailureDomainId,
    /// Whether the node is reachable.
    pub state: NodeState,
    /// The revision in force on the node, if it is reachable.
    pub revision: Option<Revision>,
    /// The offset of the next log record that the node will read, if it is reachable.
    pub next_offset: Option<Offset>,
}

/// The state of a node, as observed by the responding node.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node responds.
    Reachable,
    /// The node does not respond.
    Unreachable,
}

/// A drain in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DrainReply {
    /// The target of the drain.
    pub target: DrainTarget,
    /// The operator who began the drain.
    pub author: String,
    /// Wall-clock time at which the drain began, in milliseconds.
    pub at_ms: u64,
    /// Whether the drain is in the log or provisional.
    pub state: DrainState,
}

/// Whether a drain is in the log or provisional.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// The drain is in the log.
    #[display("in the log")]
    Logged,
    /// The log is unavailable; the drain expires unless the log confirms it.
    #[display("provisional, {} s left", remaining_ms / 1_000)]
    Provisional {
        /// Time until the drain expires unless it reaches the log, in milliseconds.
        remaining_ms: u64,
    },
}

/// The serving groups.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupsReply {
    /// The groups, as configured and as assigned.
    pub groups: Vec<GroupReply>,
}

/// A serving group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupReply {
    /// The group's id.
    pub group: GroupId,
    /// The model that the group is configured to serve.
    pub model: ModelId,
    /// The VMs that the configuration gives to the group.
    pub configured_vms: Vec<VmId>,
    /// The VMs that are assigned to the group according to the log.
    pub assigned_vms: Vec<VmId>,
    /// The newest generation of the group.
    pub generation: Option<Generation>,
    /// The endpoint of the group.
    pub endpoint: Option<EndpointId>,
    /// Whether an operator has drained the group.
    pub drained: bool,
}

/// The leases of the shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeasesReply {
    /// The newest accepted claim of each shard.
    pub leases: Vec<LeaseReply>,
}

/// The lease of a shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The shard.
    pub shard: ShardId,
    /// The node with the newest accepted claim.
    pub holder: NodeId,
    /// The epoch of the lease, used as the fencing token.
    pub epoch: Epoch,
    /// The nodes that can vote to extend the lease while the log is unavailable.
    pub voters: Vec<NodeId>,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// The newest entries of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditReply {
    /// The offset of the next log record that the responding node will read.
    pub next_offset: Offset,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// The response to a failed request.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{message}")]
pub struct ErrorReply {
    /// The kind of error.
    pub code: ErrorCode,
    /// A description of the error and of what to do about it.
    pub message: String,
    /// Problems of the configuration, if it is invalid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemReport>,
    /// After a conflict, the verdict that names the change that came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<PublishVerdict>,
}

/// The kinds of errors.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request can't be parsed.
    BadRequest,
    /// The token is missing or unknown.
    Unauthenticated,
    /// The operator is not allowed to perform the operation.
    Forbidden,
    /// The path or the change does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// Another change was accepted first.
    Conflict,
    /// The configuration is invalid.
    Invalid,
    /// The operator exceeded its request rate.
    RateLimited,
    /// The log is unavailable, or the node isn't ready.
    Unavailable,
    /// It is not yet known whether the change took effect.
    Undecided,
}

impl ErrorCode {
    /// All error codes.
    pub const ALL: [Self; 10] = [
        Self::BadRequest,
        Self::Unauthenticated,
        Self::Forbidden,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::Conflict,
        Self::Invalid,
        Self::RateLimited,
        Self::Unavailable,
        Self::Undecided,
    ];

    /// Returns the HTTP status code of the error.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Conflict => StatusCode::CONFLICT,
            Self::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Undecided => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl ErrorReply {
    /// Creates an error without problems or a conflict.
    #[must_use]
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            problems: Vec::new(),
            conflict: None,
        }
    }
}
