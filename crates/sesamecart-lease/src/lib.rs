//! Shard leases renewed by reading the log, with voters for log outages.
//!
//! Each resource that needs a single owner hashes to a shard, and at most one node at a time may act for a
//! shard. [`Leases`] is one node's state machine for all shards. Its inputs are log records, log reads, votes
//! and membership views, and its outputs are [`Effect`]s. Callers check [`Leases::may_act`] immediately
//! before each action. The crate does no I/O and reads no clock. docs/design/leases.md explains the design,
//! and spec/lease.pml is the model-checked specification of the protocol.

mod leases;
mod owner_snapshot;
mod placement;
mod record;
mod settings;
mod shard;
mod view;
mod vote;
mod voters;

#[cfg(test)]
mod tests;

pub use leases::Leases;
pub use owner_snapshot::{Owner, OwnerSnapshot};
pub use placement::desired_owners;
pub use record::{ClaimDraft, ClaimRecord, Effect, Holder, LeaseState, ReleaseRecord, Verdict};
pub use settings::{LeaseSettings, LeaseSettingsError};
pub use view::{NodeState, NodeView, View};
pub use vote::{Vote, VoteAnswer, VotePurpose};
pub use voters::choose_voters;
