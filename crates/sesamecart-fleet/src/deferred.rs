//! Work that is due at a known time.

use std::hash::Hash;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

#[cfg(test)]
mod tests;

/// Work that is deferred, each item until its own time.
///
/// Whoever holds it waits for [`Self::next_due`], so that an item is done when it is due and not when the next update
/// happens to arrive. See docs/design/deferred-work.md.
#[derive(Clone, Debug)]
pub struct Deferred<T>(IndexMap<T, Timestamp>);

impl<T> Default for Deferred<T> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<T: Eq + Hash> Deferred<T> {
    /// Defers an item until `due`. One that is already deferred keeps its time: otherwise, repeated outages could defer
    /// it forever. Returns whether it is new.
    pub fn defer(&mut self, item: T, due: Timestamp) -> bool {
        let is_new = !self.0.contains_key(&item);
        self.0.entry(item).or_insert(due);
        is_new
    }

    /// Cancels an item. Returns whether it was deferred.
    pub fn cancel(&mut self, item: &T) -> bool {
        self.0.swap_remove(item).is_some()
    }

    /// Removes and returns the items that are due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<T> {
        let due = self.0.extract_if(.., |_, due| *due <= now);
        due.map(|(item, _)| item).collect()
    }

    /// Returns when the next item is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.0.values().min().copied()
    }
}
