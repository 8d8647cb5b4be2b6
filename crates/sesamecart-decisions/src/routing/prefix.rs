//! Hints about which endpoints cache a prefix.

use indexmap::IndexMap;

/// The hash of the part of a prompt that several requests share.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PrefixHash(pub u64);

/// The maximum number of endpoints tracked per prefix. With more, a prefix would spread over the pool
/// until every cache evicts it early.
const MAX_HOLDERS: usize = 4;

/// A bounded table of hints about which endpoints cache which prefix.
///
/// The hints come from cache events, which are late and incomplete, and from the node's own routing.
/// A wrong hint only costs the computation of one prompt.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    max_prefixes: usize,
    holders: IndexMap<PrefixHash, Vec<usize>>,
    /// The index of the last replaced entry. While the table is full, each insertion replaces the
    /// entry after it.
    replace_cursor: usize,
}

impl PrefixHints {
    pub(super) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes: max_prefixes.max(1),
            holders: IndexMap::new(),
            replace_cursor: 0,
        }
    }

    pub(super) fn holders(&self, prefix: PrefixHash) -> &[usize] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(super) fn insert(&mut self, prefix: PrefixHash, endpoint: usize) {
        if !self.holders.contains_key(&prefix) {
            self.replace_if_full();
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(&endpoint) {
            return;
        }
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(endpoint);
    }

    pub(super) fn remove(&mut self, prefix: PrefixHash, endpoint: usize) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|holder| *holder != endpoint);
        if holders.is_empty() {
            self.holders.swap_remove(&prefix);
        }
    }

    pub(super) fn remove_endpoint(&mut self, endpoint: usize) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| *holder != endpoint);
            !holders.is_empty()
        });
    }

    fn replace_if_full(&mut self) {
        if self.holders.len() < self.max_prefixes {
            return;
        }
        self.replace_cursor = (self.replace_cursor + 1) % self.holders.len();
        self.holders.swap_remove_index(self.replace_cursor);
    }
}
