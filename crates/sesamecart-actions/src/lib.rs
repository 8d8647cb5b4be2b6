//! Keyed actions: at most one run of a non-idempotent request, decided by its key's owner.
//!
//! The crate does no I/O and reads no clock: callers pass the time in, and the functions return what must be
//! sent or written. docs/design/actions.md describes the protocol and its trade-offs.

mod commit;
mod decision;
mod intent_recovery;
mod key_time;
mod mirror;
mod owner;
mod rate_limit;

pub use commit::{
    CommitConfig, CommitItem, CommitResult, CommitStep, GroupCommit, IntentStatus, LogBatch,
    MirrorBatch, intent_status,
};
pub use decision::{Answer, AttemptRequest, CallId, Decision, RefusalReason};
pub use intent_recovery::{IntentRecovery, VoterId, VoterReply};
pub use key_time::{KeyTime, key_time};
pub use mirror::{MirroredIntents, MirroredIntentsConfig};
pub use owner::{Effect, Owner, OwnerConfig, OwnerContext};
