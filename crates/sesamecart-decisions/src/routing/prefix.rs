//! Which endpoints are believed to hold a prefix in their cache.

use indexmap::IndexMap;

/// The hash of the part of a prompt that requests share.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PrefixHash(pub u64);

/// The most endpoints that are remembered for one prefix; more would spread a prefix over the pool
/// until no cache holds it for long.
const MAX_HOLDERS: usize = 4;

/// Hints about which endpoint caches which prefix, bounded in number.
///
/// They come from cache events, which are late and have gaps, and from the node's own choices. A
/// wrong hint costs one prompt's computation and nothing else.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    max: usize,
    holders: IndexMap<PrefixHash, Vec<usize>>,
    /// Where the next entry to be replaced is looked for, once the table is full.
    hand: usize,
}

impl PrefixHints {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            holders: IndexMap::new(),
            hand: 0,
        }
    }

    pub(super) fn holders(&self, prefix: PrefixHash) -> &[usize] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(super) fn stored(&mut self, prefix: PrefixHash, endpoint: usize) {
        if !self.holders.contains_key(&prefix) {
            self.make_room();
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

    pub(super) fn evicted(&mut self, prefix: PrefixHash, endpoint: usize) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|holder| *holder != endpoint);
        if holders.is_empty() {
            self.holders.swap_remove(&prefix);
        }
    }

    pub(super) fn forget_endpoint(&mut self, endpoint: usize) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| *holder != endpoint);
            !holders.is_empty()
        });
    }

    fn make_room(&mut self) {
        if self.holders.len() < self.max {
            return;
        }
        self.hand = (self.hand + 1) % self.holders.len();
        self.holders.swap_remove_index(self.hand);
    }
}
