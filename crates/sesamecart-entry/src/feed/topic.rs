//! The cached contents of one topic, from which followers are served.

use std::ops::Range;

use indexmap::{IndexMap, IndexSet};
use sesamecart_links::feed::{KeyedRecord, TopicPart, UnchangedKeys};
use sesamecart_platform::{Offset, Record, StoredRecord};

/// The maximum number of tombstones that are kept of a topic, for followers that still have the dropped keys.
///
/// A follower polls several times a second. One that was disconnected for longer than this number of drops
/// receives the whole topic instead.
pub(super) const MAX_TOMBSTONES: usize = 1_000;

/// The maximum number of separate gaps; beyond it, the two oldest gaps are merged.
pub(super) const MAX_GAPS: usize = 16;

/// How a topic that was read in full differs from its cached contents.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct ReplaceSummary {
    /// The offset up to which the topic was cached before.
    pub(crate) previous_end: Offset,
    /// The number of records that are new to followers.
    pub(crate) changed: usize,
    /// The number of keys that no longer exist.
    pub(crate) removed: usize,
}

/// One topic: the newest record of each key, with its offset. A record without a value is a tombstone.
#[derive(Debug, Default)]
pub(super) struct TopicFeed {
    next: u64,
    newest: IndexMap<String, (u64, Option<Vec<u8>>)>,
    /// The offset from which the tombstones are complete.
    tombstones_from: u64,
    /// The offset ranges that were skipped by reading the topic in full.
    ///
    /// A follower that switches from another node may be at an offset within a gap. It may then have keys
    /// that were written and dropped within the gap, which this node never saw.
    gaps: Vec<Range<u64>>,
}

impl TopicFeed {
    fn put(&mut self, offset: u64, record: &Record) {
        let Some(key) = &record.key else { return };
        self.newest
            .insert(key.clone(), (offset, record.value.clone()));
    }

    /// Replaces the contents with these records, whose topic ends at offset `end`.
    pub(super) fn replace(&mut self, records: &[StoredRecord], end: Offset) -> ReplaceSummary {
        let previous_end = Offset(self.next);
        if end.0 < self.next {
            // The store has lost records, so the cached contents are invalid.
            *self = Self::default();
        }
        self.record_gap(end.0);
        let removed = self.tombstone_missing(records, end.0);
        let new = records.iter().filter(|stored| !self.contains(stored));
        let new: Vec<&StoredRecord> = new.collect();
        for stored in &new {
            self.put(stored.offset.0, &stored.record);
        }
        self.next = end.0;
        self.prune();
        ReplaceSummary {
            previous_end,
            changed: new.len(),
            removed,
        }
    }

    fn record_gap(&mut self, end: u64) {
        if self.next == 0 {
            // Drops before this read are unknown, so a follower that switches from another node at an earlier
            // offset needs the whole topic to see which keys were removed.
            self.tombstones_from = end;
        } else if self.next < end {
            self.gaps.push(self.next..end);
        }
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.remove(0);
            self.gaps[0].start = oldest.start;
        }
    }

    /// Replaces each key that isn't among the records with a tombstone. Returns the number of new tombstones.
    fn tombstone_missing(&mut self, records: &[StoredRecord], end: u64) -> usize {
        // The offsets of the drops are unknown. The last offset before `end` ensures that each follower that
        // may still have the keys receives the tombstones.
        let offset = end.saturating_sub(1);
        let keys = records
            .iter()
            .filter_map(|stored| stored.record.key.as_deref());
        let present: IndexSet<&str> = keys.collect();
        let mut removed = 0;
        for (key, (at, value)) in &mut self.newest {
            if value.is_some() && !present.contains(key.as_str()) {
                *value = None;
                *at = offset;
                removed += 1;
            }
        }
        removed
    }

    /// Returns whether a record is cached at the same offset.
    ///
    /// Comparing the values isn't enough: a key may have been dropped and written again with the same value,
    /// and a follower that received the drop from another node has to receive the second write.
    fn contains(&self, stored: &StoredRecord) -> bool {
        let key = stored.record.key.as_deref();
        let known = key.and_then(|key| self.newest.get(key));
        known.is_some_and(|(offset, value)| *offset == stored.offset.0 && value.is_some())
    }

    /// Applies records that were read, the last of which precedes offset `next`.
    pub(super) fn apply(&mut self, records: &[Record], next: Offset) {
        let first = next.0.saturating_sub(records.len() as u64);
        for (offset, record) in (first..).zip(records) {
            self.put(offset, record);
        }
        self.next = next.0;
        self.prune();
    }

    fn prune(&mut self) {
        let dropped = self.newest.values().filter(|(_, value)| value.is_none());
        let mut offsets: Vec<u64> = dropped.map(|(offset, _)| *offset).collect();
        if offsets.len() > MAX_TOMBSTONES {
            offsets.sort_unstable();
            let oldest_kept = offsets[offsets.len() - MAX_TOMBSTONES];
            self.newest
                .retain(|_, (offset, value)| value.is_some() || *offset >= oldest_kept);
            self.tombstones_from = oldest_kept;
        }
        let tombstones_from = self.tombstones_from;
        self.gaps.retain(|gap| gap.end > tombstones_from);
    }

    /// Returns what a follower whose next offset is `from` doesn't have.
    pub(super) fn part_from(&self, from: u64) -> TopicPart {
        let whole = from == 0 || from < self.tombstones_from;
        let newer = self.newest.iter().filter(|(_, (offset, value))| {
            if whole {
                value.is_some()
            } else {
                *offset >= from
            }
        });
        let records = newer.map(|(key, (_, value))| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        });
        let is_in_gap = self
            .gaps
            .iter()
            .any(|gap| gap.start < from && from < gap.end);
        TopicPart {
            next: self.next,
            records: records.collect(),
            whole,
            unchanged: (is_in_gap && !whole).then(|| self.unchanged_since(from)),
        }
    }

    fn unchanged_since(&self, from: u64) -> UnchangedKeys {
        let older = self
            .newest
            .iter()
            .filter(|(_, (offset, value))| value.is_some() && *offset < from);
        UnchangedKeys {
            keys: older.map(|(key, _)| key.clone()).collect(),
        }
    }
}
