//! The administration API: its messages, its routes, and who may do what.
//!
//! The node answers it and the command line is its client. docs/openapi.json describes it for
//! others; docs/operators.md shows it at work.

mod authority;
mod message;
mod openapi;
mod rate;
mod route;
mod scope;
#[cfg(test)]
mod tests;

pub use authority::{Authority, Denial};
pub use message::{
    AuditReply, ChangeOutcome, ChangeReply, CheckReply, CheckRequest, ConfigurationReply,
    DrainReply, DrainRequest, DrainState, ErrorCode, ErrorReply, GroupReply, GroupsReply,
    LeaseReply, LeasesReply, NodeReply, NodeState, PublishRequest, StatusReply,
};
pub use openapi::openapi;
pub use rate::RateLimiter;
pub use route::{Route, RouteError};
pub use scope::{Scope, ScopeError};
