//! Membership of nodes: failure detection by heartbeats and suspicion, at a bounded cost.
//!
//! [`Membership`] is the state machine of one node. It uses neither the clock nor the network: the node sends
//! its [`Probe`]s and passes the replies back to it. docs/design/membership.md describes the design.

mod member;
mod membership;
mod peer;
mod settings;

#[cfg(test)]
mod tests;

pub use member::{Liveness, Member, Seed, Status};
pub use membership::{Membership, Message, Probe};
pub use settings::MembershipSettings;
