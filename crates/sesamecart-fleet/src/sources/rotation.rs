//! The order in which a node tries its sources while they fail.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::Timestamp;

use super::Source;

/// How long a source must have served for its failure to start a new round.
const MIN_SERVED_TIME: Duration = Duration::from_secs(1);

/// The sources that a node has tried since one of them last served.
///
/// Each source is tried once before any is tried again. If failed sources were only skipped for a fixed
/// time, the first ones would be tried again before the last one had its turn. A node whose readers are all
/// refused by the store would then never try the store itself, which may still serve it.
#[derive(Clone, Debug, Default)]
pub struct SourceRotation {
    tried: IndexSet<Source>,
    failed_at: IndexMap<Source, Timestamp>,
    /// The source that was tried last, if it wasn't reading the store.
    unready: Option<Source>,
    started_at: Timestamp,
}

impl SourceRotation {
    /// Returns the first source that wasn't tried in this round. If all were tried, returns the one whose
    /// last failure is oldest.
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

    /// Records the start of an attempt.
    pub fn begin(&mut self, now: Timestamp) {
        self.started_at = now;
    }

    /// Records that a source stopped serving or never served.
    pub fn fail(&mut self, now: Timestamp, source: Source) {
        self.begin_round_after_service(now);
        self.tried.insert(source);
        self.failed_at.insert(source, now);
        self.unready = None;
    }

    /// Records that a source isn't reading the store. It counts as failed only at the second time in a row.
    ///
    /// A reader that the store refuses may get access again at once, and all of its followers would leave
    /// it.
    pub fn fail_unready(&mut self, now: Timestamp, source: Source) {
        if self.unready == Some(source) {
            self.fail(now, source);
        } else {
            self.begin_round_after_service(now);
            self.unready = Some(source);
        }
    }

    /// Starts a new round if the source that ends now has served. Otherwise a node would skip all sources that
    /// failed before this one served, however long ago.
    fn begin_round_after_service(&mut self, now: Timestamp) {
        if now.since(self.started_at) >= MIN_SERVED_TIME {
            self.tried.clear();
        }
    }
}
