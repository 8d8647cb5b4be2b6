//! Who is let in, who waits and who is refused, in one pool of endpoints at one node.
//!
//! It answers a burst, saturation, a customer that floods, and long work among short:
//!
//! - Classes are served in order; without it a queue of summaries holds a transfer back.
//! - Inside a class, customers share by weight in tokens (start-time fair queueing); without it a
//!   large customer's backlog is everybody's wait.
//! - A request waits only while it can still meet its deadline, and is refused at once when it
//!   can't; without it the queue fills with work that is of no use when it is done, and endpoints
//!   spend their time on it.
//! - Among one customer's requests a long one is ordered as if it had come later by its own length,
//!   so that short ones pass it for that long and not for ever.
//!
//! docs/policy.md tells why the thresholds are what they are.

mod drain;
mod flow;
mod queue;
mod request;

pub use queue::Admission;
pub use request::{Offer, Refusal, RefusalReason, Request, Ticket};

#[cfg(test)]
mod tests;
