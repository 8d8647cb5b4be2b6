//! A pure fold over the records of the platform's log, with verdicts, checkpoints and an audit trail.
//!
//! Every node applies the same records in the same order and therefore reaches the same state, without a
//! separate store or consensus group; see docs/design/fold.md.

mod action;
mod audit;
mod body;
mod checkpoint;
mod drain;
mod fold;
mod lease;
mod provisional;
mod reader;
mod record;
mod schedule;
mod state;
#[cfg(test)]
mod tests;
mod verdict;

pub use action::{
    ACTION_RETENTION_MS, ActionEnd, ActionEntry, ActionIntent, ActionKey, ActionOutcome,
    ActionPart, Actions, Header,
};
pub use audit::{AuditEntry, AuditKind, AuditTail};
pub use body::EncodedBody;
pub use checkpoint::{CheckpointError, CheckpointPosition};
pub use drain::{Drain, DrainTarget, ParseDrainTargetError};
pub use fold::Fold;
pub use lease::{Assignment, LeaseRecord};
pub use provisional::{
    PROVISIONAL_DRAIN_TTL, ProvisionalDrain, ProvisionalDrains, ProvisionalError,
};
pub use reader::{AppliedRecord, LogReader, PageBounds, PageOutcome, RawRecord, ReaderStatus};
pub use record::{DecodeError, Envelope, RECORD_VERSION, Record};
pub use schedule::{CheckpointInterval, CheckpointSchedule};
pub use state::State;
pub use verdict::{Applied, PublishVerdict, Rejection};
