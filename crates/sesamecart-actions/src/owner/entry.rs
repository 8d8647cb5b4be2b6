//! An owner's in-memory state of one key.

use sesamecart_fold::ActionEnd;
use sesamecart_vocabulary::{AttemptId, BodyDigest, Timestamp};

use crate::decision::{AttemptRequest, CallId};

/// The phase of a key's current attempt.
#[derive(Debug)]
pub(super) enum Phase {
    /// The intent is being stored durably.
    Committing {
        /// The call that is waiting for the decision.
        call_id: CallId,
        /// The deadline for reporting the outcome, if the attempt is granted.
        until: Timestamp,
    },
    /// The attempt may be sent.
    Granted {
        /// The deadline for reporting the outcome.
        until: Timestamp,
    },
    /// The attempt has ended.
    Ended {
        /// The outcome.
        end: ActionEnd,
        /// Whether the log has the outcome or doesn't need it.
        logged: bool,
    },
}

/// A call that is waiting for the outcome of another attempt for the same key.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) call_id: CallId,
    pub(super) req: AttemptRequest,
}

/// The state of one key.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) body_digest: BodyDigest,
    pub(super) attempt: AttemptId,
    pub(super) phase: Phase,
    pub(super) waiters: Vec<Waiter>,
    /// The calls that reported the outcome and are waiting for it to become durable.
    pub(super) recorders: Vec<CallId>,
    /// When the entry was created or the outcome was last recorded.
    pub(super) updated_at: Timestamp,
}

impl Entry {
    /// Adds a waiting call and returns whether there was room for it.
    ///
    /// A repeated call for the same attempt replaces the earlier one.
    pub(super) fn add_waiter(&mut self, waiter: Waiter, max_waiters: usize) -> bool {
        let earlier = self
            .waiters
            .iter_mut()
            .find(|earlier| earlier.req.attempt == waiter.req.attempt);
        if let Some(earlier) = earlier {
            *earlier = waiter;
            return true;
        }
        if self.waiters.len() >= max_waiters {
            return false;
        }
        self.waiters.push(waiter);
        true
    }

    /// Records an outcome, and returns whether the entry changed and the calls that were waiting for it.
    ///
    /// A known outcome is final; only [`ActionEnd::Unknown`] can be replaced.
    pub(super) fn set_outcome(&mut self, end: ActionEnd, now: Timestamp) -> (bool, Vec<Waiter>) {
        self.updated_at = now;
        let is_final = match &self.phase {
            Phase::Ended { end, .. } => *end != ActionEnd::Unknown,
            Phase::Committing { .. } | Phase::Granted { .. } => false,
        };
        if is_final {
            return (false, Vec::new());
        }
        self.phase = Phase::Ended { end, logged: false };
        (true, std::mem::take(&mut self.waiters))
    }

    pub(super) const fn is_logged(&self) -> bool {
        matches!(self.phase, Phase::Ended { logged: true, .. })
    }

    /// Marks the outcome as present in the log, or as not needed there.
    pub(super) fn mark_logged(&mut self) {
        if let Phase::Ended { logged, .. } = &mut self.phase {
            *logged = true;
        }
    }
}
