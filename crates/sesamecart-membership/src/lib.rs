//! Membership of nodes: heartbeats and suspicion at a bounded cost.
//!
//! [`Membership`] is the state machine of one node. It reads no clock and no network; the node
//! carries its [`Probe`]s out and hands the answers back. docs/design/membership.md gives the
//! reasons for the choices.

mod member;
mod membership;
mod peer;
mod settings;

#[cfg(test)]
mod tests;

pub use member::{Member, Seed, Standing, Status};
pub use membership::{Membership, Message, Probe};
pub use settings::MembershipSettings;
