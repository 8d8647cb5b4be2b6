//! What nodes and the dispatcher of a pool tell each other.

use std::time::Duration;

use sesamecart_vocabulary::{CustomerId, EndpointId, FailureDomainId, Fingerprint, NodeId};

use crate::catalog::{EngineModel, EngineSpec};
use crate::loads::Unavailable;
use crate::step_model::{StepModel, TokenCounts};

/// Identifies an attempt among those of its node.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub struct Ticket(pub u64);

/// Identifies an attempt among those of all nodes.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display("{ticket} of {node}")]
pub struct TicketKey {
    /// The node that makes the attempt.
    pub node: NodeId,
    /// Its ticket.
    pub ticket: Ticket,
}

/// The properties that all endpoints of a pool have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSpec {
    /// The step times of a group of a model with a pace of 1.
    pub steps: StepModel,
    /// The factor by which they are multiplied for the model of the pool.
    pub pace: f64,
    /// The number of tokens that one group can hold, if that is configured.
    pub kv_capacity_tokens: Option<f64>,
}

impl PoolSpec {
    /// Returns the properties of the pool of a model, or nothing if its step times aren't usable.
    #[must_use]
    pub fn new(engine: &EngineSpec, model: &EngineModel) -> Option<Self> {
        Some(Self {
            steps: engine.steps?,
            pace: model.usable_pace(),
            kv_capacity_tokens: engine.kv_capacity_tokens,
        })
    }
}

/// An endpoint that takes requests of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolHead {
    /// The endpoint.
    pub id: EndpointId,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// The requests per second that it can handle from all nodes together, while it is cold.
    pub cold_per_s: Option<f64>,
}

/// A request for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// Identifies the attempt.
    pub key: TicketKey,
    /// The same for all attempts of the caller.
    pub fingerprint: Fingerprint,
    /// The customer, unless the route needs no key.
    pub customer: Option<CustomerId>,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The failure domain of the node.
    pub failure_domain: FailureDomainId,
    /// The tokens that it will take.
    pub tokens: TokenCounts,
    /// The promised time to the first event.
    pub latency_target: Duration,
    /// The time since it arrived at the node.
    pub waited: Duration,
    /// The time until its deadline.
    pub time_left: Duration,
    /// The endpoints that it must not be sent to.
    pub excluded: Vec<EndpointId>,
}

/// The endpoint assigned to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The predicted time until its first event.
    pub predicted_start: Duration,
}

/// Why a dispatcher refuses a request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
#[display("{}", self.unavailable())]
pub enum RefusalCause {
    /// The pool has no endpoint that may take it.
    NoEndpoint,
    /// It can't be served in time.
    Full,
    /// Its customer has used its share of the pool.
    OverShare,
}

impl RefusalCause {
    /// Returns the reason why no endpoint takes the request.
    #[must_use]
    pub const fn unavailable(self) -> Unavailable {
        match self {
            Self::NoEndpoint => Unavailable::NoEndpoint,
            Self::Full => Unavailable::Full,
            Self::OverShare => Unavailable::OverShare,
        }
    }
}

/// A refusal, with the time after which the caller may return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchRefusal {
    /// Why it is refused.
    pub cause: RefusalCause,
    /// When there will be room for it.
    pub retry_after: Duration,
}

/// What a dispatcher decides about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// It is sent to an endpoint.
    Send(Assignment),
    /// It waits. [`crate::Dispatcher::poll`] returns the final decision.
    Wait,
    /// It is refused.
    Refuse(DispatchRefusal),
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// It has a result.
    Finished,
    /// Its caller has left, which says nothing about the endpoint.
    Abandoned,
}

/// An attempt that a node has at an endpoint, as the node reports it.
///
/// A dispatcher learns of attempts that it hasn't assigned: those of its predecessor, and those that nodes made
/// without a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRequest {
    /// Identifies the attempt.
    pub key: TicketKey,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The tokens that it takes.
    pub tokens: TokenCounts,
    /// The time since it was sent.
    pub age: Duration,
    /// The time from sending it to its first event, if that has arrived.
    pub started_after: Option<Duration>,
}
