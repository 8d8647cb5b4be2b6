//! The API's messages, as JSON.

use derive_more::Display;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use sesamecart_config::{Change, Configuration, ProblemReport};
use sesamecart_fold::{AuditEntry, DrainTarget, PublishVerdict};
use sesamecart_vocabulary::{
    EndpointId, Epoch, FailureDomainId, Generation, GroupId, ModelId, NodeId, Offset, PublishId,
    Revision, ShardId, VmId,
};

/// Asks to put a configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The publisher's own name for this change. A request that is sent again with the same name
    /// counts once.
    pub publish_id: PublishId,
    /// The revision that the configuration was made against.
    pub base_revision: Revision,
    /// Whether it may take most of the capacity away at once.
    #[serde(default)]
    pub allow_capacity_drop: bool,
    /// The whole configuration.
    pub configuration: Configuration,
}

/// Asks what publishing a configuration would do.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// Whether it may take most of the capacity away at once.
    #[serde(default)]
    pub allow_capacity_drop: bool,
    /// The whole configuration.
    pub configuration: Configuration,
}

/// What publishing would do.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The revision in force.
    pub revision: Revision,
    /// What is wrong; it may be published if there is nothing.
    pub problems: Vec<ProblemReport>,
    /// What would change.
    pub changes: Vec<Change>,
}

/// Asks to begin or end a drain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The operator's own name for this change; see [`PublishRequest::publish_id`].
    pub publish_id: PublishId,
    /// What is drained.
    pub target: DrainTarget,
    /// Whether the drain begins or ends.
    pub on: bool,
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The change's name.
    pub publish_id: PublishId,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// What became of a change.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The log took it, and this is its verdict on every node.
    #[display("{_0}")]
    Decided(PublishVerdict),
    /// The log is out. The drain is in force for a limited time and will be written to the log.
    #[display("provisional for {} s: the log is out", expires_in_ms / 1_000)]
    Provisional {
        /// How long it is in force without the log, in milliseconds.
        expires_in_ms: u64,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationReply {
    /// Its revision.
    pub revision: Revision,
    /// Who published it.
    pub author: String,
    /// When, in milliseconds of wall-clock time.
    pub published_at_ms: u64,
    /// The configuration, as far as the operator's teams may see it.
    pub configuration: Configuration,
}

/// How the nodes are.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The node that answers.
    pub node: NodeId,
    /// The revision that it has in force.
    pub revision: Revision,
    /// Whether the log answers this node.
    pub log_answers: bool,
    /// All nodes that this one knows, itself included.
    pub nodes: Vec<NodeReply>,
    /// The drains in force.
    pub drains: Vec<DrainReply>,
}

/// One node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeReply {
    /// Its name.
    pub node: NodeId,
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// How it is.
    pub state: NodeState,
    /// The revision that it has in force, if it answers.
    pub revision: Option<Revision>,
    /// The offset up to which it has read the log, if it answers.
    pub next_offset: Option<Offset>,
}

/// How a node is, as the answering node sees it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It answers.
    Reachable,
    /// It doesn't answer.
    Unreachable,
}

/// One drain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DrainReply {
    /// What is drained.
    pub target: DrainTarget,
    /// Who ordered it.
    pub author: String,
    /// When, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// Whether the log has it or it is provisional.
    pub state: DrainState,
}

/// How firm a drain is.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// The log has it.
    #[display("in the log")]
    Logged,
    /// The log is out; it expires unless the log confirms it.
    #[display("provisional, {} s left", remaining_ms / 1_000)]
    Provisional {
        /// How long it is in force without the log, in milliseconds.
        remaining_ms: u64,
    },
}

/// The serving groups.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupsReply {
    /// The groups, as configured and as assigned.
    pub groups: Vec<GroupReply>,
}

/// One serving group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupReply {
    /// Its name.
    pub group: GroupId,
    /// The model that it should serve.
    pub model: ModelId,
    /// The VMs that it should have.
    pub configured_vms: Vec<VmId>,
    /// The VMs that it has by the log.
    pub assigned_vms: Vec<VmId>,
    /// Its newest generation.
    pub generation: Option<Generation>,
    /// Its endpoint.
    pub endpoint: Option<EndpointId>,
    /// Whether operators have taken it out of service.
    pub drained: bool,
}

/// The leases.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeasesReply {
    /// The newest accepted claim of each shard.
    pub leases: Vec<LeaseReply>,
}

/// One lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The shard.
    pub shard: ShardId,
    /// The node that claimed it last.
    pub holder: NodeId,
    /// The fencing number.
    pub epoch: Epoch,
    /// The nodes that may extend it while the log is out.
    pub voters: Vec<NodeId>,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// The newest lines of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditReply {
    /// The offset up to which the answering node has read the log.
    pub next_offset: Offset,
    /// The lines, the oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Why a request failed.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{message}")]
pub struct ErrorReply {
    /// What kind of failure it is.
    pub code: ErrorCode,
    /// What happened and what to do, in words.
    pub message: String,
    /// What is wrong with a configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemReport>,
    /// Who was faster, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<PublishVerdict>,
}

/// The kinds of failures.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request can't be read.
    BadRequest,
    /// The token is missing or unknown.
    Unauthenticated,
    /// The operator may not do this.
    Forbidden,
    /// There is nothing at this path, or no such change.
    NotFound,
    /// The path doesn't take this method.
    MethodNotAllowed,
    /// Another change came first.
    Conflict,
    /// The configuration has problems.
    Invalid,
    /// Too many requests.
    RateLimited,
    /// The log is out, or the node isn't ready.
    Unavailable,
    /// Nobody knows yet whether the change took effect.
    Undecided,
}

impl ErrorCode {
    /// All kinds.
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

    /// Returns the HTTP status that goes with it.
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
    /// Makes a failure with only a text.
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
