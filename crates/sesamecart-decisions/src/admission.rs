//! Admission control: starts, queues or refuses requests to one pool of endpoints at one node.
//!
//! Admission handles bursts, saturation, a customer that floods the pool, and a mix of long and short
//! requests:
//!
//! - Classes are served in order of priority. Otherwise a queue of summaries would delay a transfer.
//! - Within a class, customers share the capacity in tokens by weight (start-time fair queueing).
//!   Otherwise all customers would wait for a large customer's backlog.
//! - A request waits only while it can meet its deadline, and is refused as soon as it can't.
//!   Otherwise the queue fills with requests whose responses arrive too late to be useful, and
//!   endpoints waste time on them.
//! - Among one customer's requests, a long one is ordered as if it had arrived later by its expected
//!   duration. Short requests bypass it for that long, but not indefinitely.
//!
//! docs/policy.md explains the thresholds.

mod drain;
mod flow;
mod queue;
mod request;

pub use queue::Admission;
pub use request::{AdmissionDecision, Refusal, RefusalReason, Request, Ticket};

#[cfg(test)]
mod tests;
