//! Keyed actions: at most one run of a non-idempotent request, decided by its key's owner.
//!
//! The crate is pure: time comes as an argument, and what has to be sent or written is returned.
//! docs/design/actions.md gives the whole protocol and what was weighed.

mod asking;
mod commit;
mod gather;
mod key_time;
mod mirror;
mod owner;
mod pace;

pub use asking::{Answer, Asking, Decision, RefusalReason, Ticket};
pub use commit::{
    CommitConfig, CommitItem, CommitStep, Durable, GroupCommit, IntentVerdict, LogBatch,
    MirrorBatch, verdict_of,
};
pub use gather::{Gather, Gathered, VoterId};
pub use key_time::{KeyTime, key_time};
pub use mirror::{Mirrors, MirrorsConfig};
pub use owner::{Effect, KnownActions, Owner, OwnerConfig};
