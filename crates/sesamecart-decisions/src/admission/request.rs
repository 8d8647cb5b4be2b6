//! What admission knows of a request, and its answers.

use std::time::Duration;

use crate::routing::PrefixHash;
use derive_more::Display;
use sesamecart_vocabulary::{
    Bytes, CustomerId, RequestClass, Timestamp, Tokens, Weight, rendezvous_weight,
};

/// A request's number at its node, unique while the request is there.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// What admission knows of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Its number at this node.
    pub ticket: Ticket,
    /// Its class.
    pub class: RequestClass,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: Weight,
    /// The work in tokens, by which customers are made to share.
    pub cost: Tokens,
    /// The KV memory that its prompt and answer take at an engine.
    pub kv: Tokens,
    /// The shared part of its prompt.
    pub prefix: Option<PrefixHash>,
    /// The size of its body, which the node holds while it waits.
    pub size: Bytes,
    /// When the answer has to begin.
    pub deadline: Timestamp,
    /// How long an endpoint is expected to need until the answer begins.
    pub expected: Duration,
    /// How long an endpoint is expected to need for the whole answer.
    pub length: Duration,
}

impl Ticket {
    /// Spreads the callers' return over half as long again, so that those refused together don't
    /// come back together.
    pub(super) fn jitter(self) -> f64 {
        let hash = rendezvous_weight("retry-after", &self.to_string());
        0.5 * (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Request {
    /// Returns the latest start that still meets the deadline.
    #[must_use]
    pub fn start_by(&self) -> Timestamp {
        self.deadline - self.expected
    }
}

/// The answer to a request that asks to be let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// Start it now.
    Run,
    /// It waits; [`Admission::next`](super::Admission::next) or
    /// [`Admission::expire`](super::Admission::expire) returns it.
    Wait,
    /// It was not run and will not be.
    Refuse(Refusal),
}

/// A refusal, which is final: the request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The request.
    pub ticket: Ticket,
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may try again with some hope.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its turn would come too late.
    #[display("the deadline can't be met")]
    Deadline,
    /// Too many requests or bytes wait already.
    #[display("the queue is full")]
    QueueFull,
    /// It made room for a request of a higher class or of a customer with less waiting work.
    #[display("displaced from a full queue")]
    Displaced,
    /// No endpoint of the pool could hold it.
    #[display("too large for every endpoint")]
    TooLarge,
}
