//! In which order a node tries its sources while they fail.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::Timestamp;

use super::Source;

/// How long a source has to serve before its end begins a new round.
const SERVED_FOR: Duration = Duration::from_secs(1);

/// The sources of one node that were tried since one of them served.
///
/// Each is tried once before any is tried again. Passed over for a fixed time only, the first ones come
/// back into the choice before the last one has its turn: a node whose readers are all turned away by the
/// store would never ask the store itself, which may serve it.
#[derive(Clone, Debug, Default)]
pub struct SourceRotation {
    tried: IndexSet<Source>,
    failed_at: IndexMap<Source, Timestamp>,
    /// The source that was tried last, if it wasn't ready.
    unready: Option<Source>,
    begun_at: Timestamp,
}

impl SourceRotation {
    /// Returns the first source that wasn't tried in this round, or else the one that failed first.
    #[must_use]
    pub fn choose(&self, order: &[Source]) -> Source {
        let untried = order.iter().find(|source| !self.tried.contains(*source));
        let oldest = || {
            order
                .iter()
                .min_by_key(|source| self.failed_at.get(*source))
        };
        untried.or_else(oldest).copied().unwrap_or(Source::Store)
    }

    /// Notes that a source is tried now.
    pub fn begin(&mut self, now: Timestamp) {
        self.begun_at = now;
    }

    /// Notes that a source doesn't serve any more, or never did.
    pub fn fail(&mut self, now: Timestamp, source: Source) {
        if now.since(self.begun_at) >= SERVED_FOR {
            self.tried.clear();
        }
        self.tried.insert(source);
        self.failed_at.insert(source, now);
        self.unready = None;
    }

    /// Notes that a source doesn't read the store; only the second time in a row it counts as failed.
    ///
    /// A reader that the store turns away may have it back at once, and all that follow it would leave.
    pub fn fail_unready(&mut self, now: Timestamp, source: Source) {
        if self.unready == Some(source) {
            self.fail(now, source);
        } else {
            self.unready = Some(source);
        }
    }
}
