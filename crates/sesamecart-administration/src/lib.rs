//! The administration API: its messages and routes, and the authorization of operators.
//!
//! Each node serves the API, and the command line is a client of it. docs/openapi.json describes
//! the API for other clients; docs/operators.md shows how operators use it.

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
