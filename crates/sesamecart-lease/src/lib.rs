//! Shard leases renewed by reading the log, with voters for log outages.
//!
//! Whatever must have one owner hashes to a shard, and at most one node at a time may act for a
//! shard. [`Leases`] is the state machine of one node over all shards: records, reads, votes and
//! views go in, [`Effect`]s come out, and [`Leases::may_act`] is asked immediately before each
//! effect. It reads no clock and no network. docs/design/leases.md gives the reasons, and
//! spec/lease.pml the protocol as it is model-checked.

mod balance;
mod leases;
mod owners;
mod record;
mod settings;
mod shard;
mod view;
mod vote;
mod voters;

#[cfg(test)]
mod tests;

pub use balance::desired_owners;
pub use leases::Leases;
pub use owners::{Owner, Owners};
pub use record::{ClaimDraft, ClaimSeen, Effect, Holder, LeaseSeen, ReleaseSeen, Verdict};
pub use settings::{LeaseSettings, LeaseSettingsError};
pub use view::{NodeState, NodeView, View};
pub use vote::{Vote, VoteAnswer, VotePurpose};
pub use voters::choose_voters;
