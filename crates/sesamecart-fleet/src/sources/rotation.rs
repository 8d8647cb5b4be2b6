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
    /// Whether the source of the current attempt has vouched for a configuration.
    has_served: bool,
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
        self.has_served = false;
    }

    /// Records that the source of the current attempt has vouched for a configuration. One that only says for a
    /// second that it hasn't read the store yet hasn't served.
    pub const fn record_served(&mut self) {
        self.has_served = true;
    }

    /// Records that a source stopped serving or never served.
    pub fn fail(&mut self, now: Timestamp, source: Source) {
        if self.has_served_long(now) {
            self.tried.clear();
        }
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
            // Otherwise the node would skip the sources that failed before this one served, however long ago.
            if self.has_served_long(now) {
                self.tried.clear();
            }
            self.unready = Some(source);
        }
    }

    /// Returns whether the source of the current attempt has served, and not only been waited for.
    fn has_served_long(&self, now: Timestamp) -> bool {
        self.has_served && now.since(self.started_at) >= MIN_SERVED_TIME
    }
}
