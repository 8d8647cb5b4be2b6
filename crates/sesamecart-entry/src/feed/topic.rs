//! One topic, as a node that reads it passes it on to others.

use std::ops::Range;

use indexmap::{IndexMap, IndexSet};
use sesamecart_links::feed::{KeyedRecord, TopicPart, UnchangedKeys};
use sesamecart_platform::{Offset, Record, StoredRecord};

/// How many dropped keys of a topic are remembered, for followers that still have them.
///
/// A follower asks several times a second. One that was away for longer than so many drops gets the
/// whole topic instead.
pub(super) const DROPPED_KEPT: usize = 1_000;

/// How many gaps are told apart; beyond that, the oldest ones count as one.
pub(super) const GAPS_KEPT: usize = 16;

/// What a topic that was read whole differs in from what was known of it.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Reread {
    /// Where the topic was known up to before.
    pub(crate) known_to: Offset,
    /// The records that are new to followers.
    pub(crate) changed: usize,
    /// The keys that aren't there any more.
    pub(crate) gone: usize,
}

/// One topic: the newest record of each key and the offset at which it stands.
#[derive(Debug, Default)]
pub(super) struct TopicFeed {
    next: u64,
    newest: IndexMap<String, (u64, Option<Vec<u8>>)>,
    /// Drops before this offset are forgotten.
    forgotten: u64,
    /// The offsets that were passed over by reading the topic whole.
    ///
    /// A follower that comes from another node may stand inside of one. It may have keys that came and went
    /// there, which this node never saw.
    gaps: Vec<Range<u64>>,
}

impl TopicFeed {
    fn put(&mut self, offset: u64, record: &Record) {
        let Some(key) = &record.key else { return };
        self.newest
            .insert(key.clone(), (offset, record.value.clone()));
    }

    /// Notes that the topic holds these records and no others.
    pub(super) fn replace(&mut self, records: &[StoredRecord], end: Offset) -> Reread {
        if end.0 < self.next {
            // The store knows less than before, so nothing that was read of it can be built on.
            *self = Self::default();
        }
        let known_to = Offset(self.next);
        self.note_gap(end.0);
        let gone = self.drop_missing(records, end.0);
        let new = records.iter().filter(|stored| !self.has(stored));
        let new: Vec<&StoredRecord> = new.collect();
        for stored in &new {
            self.put(stored.offset.0, &stored.record);
        }
        self.next = end.0;
        self.forget();
        Reread {
            known_to,
            changed: new.len(),
            gone,
        }
    }

    fn note_gap(&mut self, end: u64) {
        if self.next == 0 {
            // What was dropped before isn't known here, so a follower that comes from another node with
            // less than this needs all to see what is gone.
            self.forgotten = end;
        } else if self.next < end {
            self.gaps.push(self.next..end);
        }
        if self.gaps.len() > GAPS_KEPT {
            let oldest = self.gaps.remove(0);
            self.gaps[0].start = oldest.start;
        }
    }

    /// Notes the drop of each key that isn't among the records; returns how many there are.
    fn drop_missing(&mut self, records: &[StoredRecord], end: u64) -> usize {
        // When they were dropped isn't known; no follower has it before it is here.
        let offset = end.saturating_sub(1);
        let keys = records
            .iter()
            .filter_map(|stored| stored.record.key.as_deref());
        let there: IndexSet<&str> = keys.collect();
        let mut gone = 0;
        for (key, (at, value)) in &mut self.newest {
            if value.is_some() && !there.contains(key.as_str()) {
                *value = None;
                *at = offset;
                gone += 1;
            }
        }
        gone
    }

    /// Returns whether a record is known.
    ///
    /// Only the offset tells: a key may have been dropped and have come back with the same value, and a follower
    /// that saw the drop elsewhere has to hear of the return.
    fn has(&self, stored: &StoredRecord) -> bool {
        let key = stored.record.key.as_deref();
        let known = key.and_then(|key| self.newest.get(key));
        known.is_some_and(|(offset, value)| *offset == stored.offset.0 && value.is_some())
    }

    /// Notes records that were read, of which the last stands before `next`.
    pub(super) fn apply(&mut self, records: &[Record], next: Offset) {
        let first = next.0.saturating_sub(records.len() as u64);
        for (offset, record) in (first..).zip(records) {
            self.put(offset, record);
        }
        self.next = next.0;
        self.forget();
    }

    fn forget(&mut self) {
        let dropped = self.newest.values().filter(|(_, value)| value.is_none());
        let mut offsets: Vec<u64> = dropped.map(|(offset, _)| *offset).collect();
        if offsets.len() > DROPPED_KEPT {
            offsets.sort_unstable();
            let until = offsets[offsets.len() - DROPPED_KEPT];
            self.newest
                .retain(|_, (offset, value)| value.is_some() || *offset >= until);
            self.forgotten = until;
        }
        let forgotten = self.forgotten;
        self.gaps.retain(|gap| gap.end > forgotten);
    }

    /// Returns what a follower that knows the topic up to `from` doesn't have.
    pub(super) fn part_from(&self, from: u64) -> TopicPart {
        let whole = from == 0 || from < self.forgotten;
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
