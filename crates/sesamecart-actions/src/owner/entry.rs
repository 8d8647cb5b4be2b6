//! What an owner holds of one key beside the log.

use sesamecart_fold::ActionEnd;
use sesamecart_vocabulary::{AttemptId, BodyDigest, Timestamp};

use crate::asking::{Asking, Ticket};

/// How far the try of a key has come.
#[derive(Debug)]
pub(super) enum Phase {
    /// Its intent is being made durable.
    Committing {
        /// The call that waits for it.
        ticket: Ticket,
        /// When its end must be told, if it is allowed.
        until: Timestamp,
    },
    /// It may be sent.
    Granted {
        /// When its end must be told.
        until: Timestamp,
    },
    /// It ended.
    Ended {
        /// How.
        end: ActionEnd,
        /// Whether the log tells of it, or need not.
        logged: bool,
    },
}

/// A call that waits for a key's first answer.
#[derive(Debug)]
pub(super) struct Asker {
    pub(super) ticket: Ticket,
    pub(super) asking: Asking,
}

/// One key.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) body_digest: BodyDigest,
    pub(super) attempt: AttemptId,
    pub(super) phase: Phase,
    pub(super) waiters: Vec<Asker>,
    /// The calls that told the end and wait until it is durable.
    pub(super) recorders: Vec<Ticket>,
    pub(super) touched: Timestamp,
}

impl Entry {
    /// Lets a call wait and returns whether there was room.
    ///
    /// A node that asks again for the same try takes the place of its earlier call.
    pub(super) fn wait(&mut self, asker: Asker, max_waiters: usize) -> bool {
        let earlier = self
            .waiters
            .iter_mut()
            .find(|waiter| waiter.asking.attempt == asker.asking.attempt);
        if let Some(earlier) = earlier {
            *earlier = asker;
            return true;
        }
        if self.waiters.len() >= max_waiters {
            return false;
        }
        self.waiters.push(asker);
        true
    }

    /// Notes an end, and returns whether it was news and who waited for it.
    ///
    /// A known end stands; only one that was unknown can still become known.
    pub(super) fn end_with(&mut self, end: ActionEnd, now: Timestamp) -> (bool, Vec<Asker>) {
        self.touched = now;
        let known = match &self.phase {
            Phase::Ended { end, .. } => *end != ActionEnd::Unknown,
            Phase::Committing { .. } | Phase::Granted { .. } => false,
        };
        if known {
            return (false, Vec::new());
        }
        self.phase = Phase::Ended { end, logged: false };
        (true, std::mem::take(&mut self.waiters))
    }

    pub(super) const fn is_logged(&self) -> bool {
        matches!(self.phase, Phase::Ended { logged: true, .. })
    }

    /// Notes that the log tells of the end, or need not.
    pub(super) fn mark_logged(&mut self) {
        if let Phase::Ended { logged, .. } = &mut self.phase {
            *logged = true;
        }
    }
}
