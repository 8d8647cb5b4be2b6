//! Requests as admission sees them, and its decisions about them.

use std::time::Duration;

use crate::routing::PrefixHash;
use derive_more::Display;
use sesamecart_vocabulary::{
    Bytes, CustomerId, RequestClass, Timestamp, Tokens, Weight, rendezvous_weight,
};

/// A request's number at its node, unique while the node handles the request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The properties of a request that admission depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The request's number at this node.
    pub ticket: Ticket,
    /// The request's class.
    pub class: RequestClass,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: Weight,
    /// The cost in tokens, by which customers share capacity.
    pub cost: Tokens,
    /// The KV memory that the prompt and the response need at an engine.
    pub kv: Tokens,
    /// The hash of the shared part of the prompt.
    pub prefix: Option<PrefixHash>,
    /// The size of the body, which the node buffers while the request waits.
    pub size: Bytes,
    /// The deadline for the start of the response.
    pub deadline: Timestamp,
    /// The expected time from the start at an endpoint to the start of the response.
    pub expected_time_to_first_byte: Duration,
    /// The expected time from the start at an endpoint to the end of the response.
    pub expected_duration: Duration,
}

impl Ticket {
    /// Returns a fraction from 0 to 0.5 by which `Retry-After` is extended, so that callers refused
    /// at the same time don't retry at the same time.
    pub(super) fn jitter(self) -> f64 {
        let hash = rendezvous_weight("retry-after", &self.to_string());
        // The upper 53 bits of the hash, which an `f64` represents exactly.
        0.5 * (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Request {
    /// Returns the latest start time at which the request can meet its deadline.
    #[must_use]
    pub fn latest_start(&self) -> Timestamp {
        self.deadline - self.expected_time_to_first_byte
    }
}

/// The decision about a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Run,
    /// The request waits; [`Admission::next`](super::Admission::next) or
    /// [`Admission::expire`](super::Admission::expire) returns it.
    Wait,
    /// The request was not run and will not be.
    Refuse(Refusal),
}

/// The final refusal of a request, which was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// How long the caller should wait before a retry.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request can't start in time for its deadline.
    #[display("the deadline can't be met")]
    Deadline,
    /// The queue has reached its limit of requests or bytes.
    #[display("the queue is full")]
    QueueFull,
    /// The request was displaced by one of a higher class or of a customer with a smaller backlog.
    #[display("displaced from a full queue")]
    Displaced,
    /// The request needs more KV memory than any endpoint of the pool has.
    #[display("too large for every endpoint")]
    TooLarge,
}
