//! Placement of the requests of all nodes at the endpoints of one pool.
//!
//! The load is that of a pool whose callers ask for about as much as its endpoints can serve in time, or more, at
//! many nodes at once. Each node alone knows little of what the others have sent, so endpoints would be overrun in
//! turns while others idle. One node, the dispatcher of the pool, therefore assigns an endpoint to each request,
//! lets it wait for a short time, or refuses it. docs/design/dispatch.md describes the parts and their failures.

mod applicability;
mod attempts;
mod classes;
mod cold;
mod dispatcher;
mod heads;
mod message;
mod order;
mod part;
mod placement;
mod prediction;
mod queue;
mod returns;
mod shares;
mod slowness;
#[cfg(test)]
mod tests;

pub use applicability::{DispatchSetting, uses_dispatchers};
pub use dispatcher::Dispatcher;
pub use message::{
    Assignment, AttemptEnd, DispatchDecision, DispatchRefusal, DispatchRequest, HeldRequest,
    PoolHead, PoolSpec, RefusalCause, Ticket, TicketKey,
};
pub use order::dispatch_order;
pub use part::{PoolPart, choose_parts, part_count, part_of};
