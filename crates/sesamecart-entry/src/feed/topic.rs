//! The cached contents of one topic, from which followers are served.

use indexmap::{IndexMap, IndexSet};
use sesamecart_links::feed::{KeyedRecord, TopicPart, UnchangedKeys};
use sesamecart_platform::{LogPosition, Offset, Record, StoreEra, StoredRecord};

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
    /// The position up to which the topic was cached before.
    pub(crate) previous_end: LogPosition,
    /// The number of records that are new to followers.
    pub(crate) changed: usize,
    /// The number of keys that no longer exist.
    pub(crate) removed: usize,
}

/// A range of positions that was skipped by reading the topic in full. Both ends are outside.
#[derive(Clone, Copy, Debug)]
struct Gap {
    start: LogPosition,
    end: LogPosition,
    /// Whether the store returned from a copy within the range, so that a follower within it may have records that
    /// are lost.
    has_lost_records: bool,
}

impl Gap {
    fn contains(&self, position: LogPosition) -> bool {
        self.start < position && position < self.end
    }
}

/// One topic: the newest record of each key, with its position. A record without a value is a tombstone.
///
/// A record that a return of the store has left as it was keeps the position of the era in which it was first read.
/// So followers that are up to date receive only what the return has changed. See docs/design/store-eras.md.
#[derive(Debug, Default)]
pub(super) struct TopicFeed {
    next: LogPosition,
    newest: IndexMap<String, (LogPosition, Option<Vec<u8>>)>,
    /// The position from which the tombstones are complete.
    tombstones_from: LogPosition,
    /// The ranges that were skipped by reading the topic in full.
    ///
    /// A follower that switches from another node may be at a position within a gap. It may then have keys
    /// that were written and dropped within the gap, which this node never saw.
    gaps: Vec<Gap>,
}

impl TopicFeed {
    fn put(&mut self, position: LogPosition, record: &Record) {
        let Some(key) = &record.key else { return };
        self.newest
            .insert(key.clone(), (position, record.value.clone()));
    }

    /// Replaces the contents with these records, whose topic ends at `end`.
    pub(super) fn replace(&mut self, records: &[StoredRecord], end: LogPosition) -> ReplaceSummary {
        let previous_end = self.next;
        if end < self.next {
            // The store has lost records and names no era, so the cached contents are invalid.
            *self = Self::default();
        }
        self.record_gap(end);
        let removed = self.tombstone_missing(records, end);
        let new = records.iter().filter(|stored| !self.contains(stored, end));
        let new: Vec<&StoredRecord> = new.collect();
        for stored in &new {
            let position = LogPosition::new(end.era, stored.offset);
            self.put(position, &stored.record);
        }
        self.next = end;
        self.prune();
        ReplaceSummary {
            previous_end,
            changed: new.len(),
            removed,
        }
    }

    fn record_gap(&mut self, end: LogPosition) {
        if self.next == LogPosition::START {
            // Drops before this read are unknown, so a follower that switches from another node at an earlier
            // offset needs the whole topic to see which keys were removed.
            self.tombstones_from = end;
        } else if self.next < end {
            self.gaps.push(Gap {
                start: self.next,
                end,
                has_lost_records: self.next.era < end.era,
            });
        }
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.remove(0);
            self.gaps[0].start = oldest.start;
            self.gaps[0].has_lost_records |= oldest.has_lost_records;
        }
    }

    /// Replaces each key that isn't among the records with a tombstone. Returns the number of new tombstones.
    fn tombstone_missing(&mut self, records: &[StoredRecord], end: LogPosition) -> usize {
        // The offsets of the drops are unknown. The last offset before `end` ensures that each follower that
        // may still have the keys receives the tombstones.
        let last = Offset(end.offset.0.saturating_sub(1));
        let position = LogPosition::new(end.era, last);
        let keys = records
            .iter()
            .filter_map(|stored| stored.record.key.as_deref());
        let present: IndexSet<&str> = keys.collect();
        let mut removed = 0;
        for (key, (at, value)) in &mut self.newest {
            if value.is_some() && !present.contains(key.as_str()) {
                *value = None;
                *at = position;
                removed += 1;
            }
        }
        removed
    }

    /// Returns whether a record that was read up to `end` is cached.
    ///
    /// Within an era, comparing the values isn't enough: a key may have been dropped and written again with the same
    /// value, and a follower that received the drop from another node has to receive the second write. Across a
    /// return, the offsets say nothing, and a follower that may have received such a drop is within a gap that has
    /// lost records.
    fn contains(&self, stored: &StoredRecord, end: LogPosition) -> bool {
        let key = stored.record.key.as_deref();
        let Some((position, value)) = key.and_then(|key| self.newest.get(key)) else {
            return false;
        };
        if self.next.era < end.era {
            return *value == stored.record.value;
        }
        *position == LogPosition::new(end.era, stored.offset) && value.is_some()
    }

    /// Applies records that were read, the last of which precedes `next`.
    pub(super) fn apply(&mut self, records: &[Record], next: LogPosition) {
        let first = next.offset.0.saturating_sub(records.len() as u64);
        for (offset, record) in (first..).zip(records) {
            self.put(LogPosition::new(next.era, Offset(offset)), record);
        }
        self.next = next;
        self.prune();
    }

    fn prune(&mut self) {
        let dropped = self.newest.values().filter(|(_, value)| value.is_none());
        let mut positions: Vec<LogPosition> = dropped.map(|(position, _)| *position).collect();
        if positions.len() > MAX_TOMBSTONES {
            positions.sort_unstable();
            let oldest_kept = positions[positions.len() - MAX_TOMBSTONES];
            self.newest
                .retain(|_, (position, value)| value.is_some() || *position >= oldest_kept);
            self.tombstones_from = oldest_kept;
        }
        let tombstones_from = self.tombstones_from;
        self.gaps.retain(|gap| gap.end > tombstones_from);
    }

    /// Returns the position that a follower names by an offset and, unless it knows no eras, the offset's era.
    pub(super) fn position_of(&self, era: Option<u64>, offset: u64) -> LogPosition {
        let era = era.map_or(self.next.era, StoreEra);
        LogPosition::new(era, Offset(offset))
    }

    /// Returns what a follower whose next position is `from` doesn't have.
    pub(super) fn part_from(&self, from: LogPosition) -> TopicPart {
        let gap = self.gaps.iter().find(|gap| gap.contains(from));
        let may_have_lost_records = gap.is_some_and(|gap| gap.has_lost_records);
        let whole = from.is_start() || from < self.tombstones_from || may_have_lost_records;
        let newer = self.newest.iter().filter(|(_, (position, value))| {
            if whole {
                value.is_some()
            } else {
                *position >= from
            }
        });
        let records = newer.map(|(key, (_, value))| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        });
        TopicPart {
            next: self.next.offset.0,
            era: self.next.era.0,
            records: records.collect(),
            whole,
            unchanged: (gap.is_some() && !whole).then(|| self.unchanged_since(from)),
        }
    }

    fn unchanged_since(&self, from: LogPosition) -> UnchangedKeys {
        let older = self
            .newest
            .iter()
            .filter(|(_, (position, value))| value.is_some() && *position < from);
        UnchangedKeys {
            keys: older.map(|(key, _)| key.clone()).collect(),
        }
    }
}
