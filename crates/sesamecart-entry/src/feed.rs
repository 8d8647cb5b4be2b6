//! What this node read of the store, kept for the nodes that follow it.

mod server;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event as Changed, EventListener};
use indexmap::IndexMap;
use sesamecart_fleet::GroupKey;
use sesamecart_links::feed::{FollowReply, FollowRequest, KeyedRecord, TopicPart};
use sesamecart_platform::{Offset, Record, Topic};
use sesamecart_vocabulary::Timestamp;

pub(crate) use crate::feed::server::serve;
use crate::follower::millis;

/// How many dropped keys of a topic are remembered, for followers that still have them.
///
/// A follower asks several times a second. One that was away for longer than so many drops gets the
/// whole topic instead.
const DROPPED_KEPT: usize = 1_000;

/// How long a lost group is passed on; its head has given up by then.
const LOSS_KEPT: Duration = Duration::from_secs(6);

/// The topics that are passed on.
const TOPICS: [Topic; 3] = [Topic::Operator, Topic::Registry, Topic::Nodes];

/// What a node passes on to those that follow it.
///
/// It serves only while the node reads the store itself: a node that followed a follower could end up
/// following itself, and both would believe each other for ever.
#[derive(Debug)]
pub(crate) struct Feed {
    id: u64,
    state: Mutex<State>,
    changed: Changed,
}

#[derive(Debug, Default)]
struct State {
    topics: [Option<TopicFeed>; TOPICS.len()],
    /// The topics that were read since this node reads the store again; it serves once it has all.
    is_read: [bool; TOPICS.len()],
    losses: VecDeque<Loss>,
    losses_next: u64,
    returned_at: Option<Timestamp>,
}

#[derive(Debug)]
struct Loss {
    number: u64,
    at: Timestamp,
    group: String,
}

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
struct TopicFeed {
    next: u64,
    newest: IndexMap<String, (u64, Option<Vec<u8>>)>,
    /// Drops before this offset are forgotten.
    forgotten: u64,
}

impl TopicFeed {
    fn put(&mut self, offset: u64, record: &Record) {
        let Some(key) = &record.key else { return };
        self.newest
            .insert(key.clone(), (offset, record.value.clone()));
    }

    /// Notes that the topic holds these records and no others.
    fn replace(&mut self, records: &[Record], end: Offset) -> Reread {
        // Pages of newest records don't name their offsets. The last one is as late as any of them,
        // so a follower gets a record twice at most.
        let offset = end.0.saturating_sub(1);
        if self.next == 0 {
            // What was dropped before isn't known here, so a follower that comes from another node with
            // less than this needs all to see what is gone.
            self.forgotten = end.0;
        }
        let mut reread = Reread {
            known_to: Offset(self.next),
            changed: 0,
            gone: 0,
        };
        let gone = self.newest.iter_mut().filter(|(key, _)| {
            !records
                .iter()
                .any(|record| record.key.as_ref() == Some(*key))
        });
        for (_, dropped) in gone {
            if dropped.1.is_some() {
                *dropped = (offset, None);
                reread.gone += 1;
            }
        }
        for record in records {
            if !self.has(record) {
                self.put(offset, record);
                reread.changed += 1;
            }
        }
        self.next = end.0;
        self.forget();
        reread
    }

    /// Returns whether a record is known as it is.
    ///
    /// A store that forgets its history has the topic read whole again and again. Told of all of it each
    /// time, dozens of followers would fill the reader's link, and their configurations grow too old.
    fn has(&self, record: &Record) -> bool {
        let known = record.key.as_ref().and_then(|key| self.newest.get(key));
        known.is_some_and(|(_, value)| *value == record.value)
    }

    fn apply(&mut self, records: &[Record], next: Offset) {
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
        if offsets.len() <= DROPPED_KEPT {
            return;
        }
        offsets.sort_unstable();
        let until = offsets[offsets.len() - DROPPED_KEPT];
        self.newest
            .retain(|_, (offset, value)| value.is_some() || *offset >= until);
        self.forgotten = until;
    }

    fn part_from(&self, from: u64) -> TopicPart {
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
        TopicPart {
            next: self.next,
            records: records.collect(),
            whole,
        }
    }
}

impl Feed {
    pub(crate) fn new() -> Self {
        Self {
            id: fastrand::u64(1..),
            state: Mutex::default(),
            changed: Changed::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a topic that was read whole; returns what differs, if the topic is passed on.
    pub(crate) fn replace(&self, topic: Topic, records: &[Record], end: Offset) -> Option<Reread> {
        self.change(topic, |feed| feed.replace(records, end))
    }

    /// Notes records that were read, of which the last stands before `next`.
    pub(crate) fn apply(&self, topic: Topic, records: &[Record], next: Offset) {
        if !records.is_empty() {
            let _passed_on = self.change(topic, |feed| feed.apply(records, next));
        }
    }

    fn change<T>(&self, topic: Topic, change: impl FnOnce(&mut TopicFeed) -> T) -> Option<T> {
        let place = TOPICS.iter().position(|known| *known == topic)?;
        let mut state = self.state();
        let changed = change(state.topics[place].get_or_insert_default());
        state.is_read[place] = true;
        drop(state);
        self.changed.notify(usize::MAX);
        Some(changed)
    }

    /// Returns whether a topic was read.
    pub(crate) fn has(&self, topic: Topic) -> bool {
        let place = TOPICS.iter().position(|known| *known == topic);
        place.is_some_and(|place| self.state().is_read[place])
    }

    /// Notes that the store came back after it was away.
    pub(crate) fn note_return(&self, now: Timestamp) {
        self.state().returned_at = Some(now);
    }

    /// Stops serving: this node doesn't read the store any more.
    ///
    /// What it read is kept. Once it reads the store again, only what differs is news; a reader that came
    /// back with nothing would have to send all topics whole to all that follow it, at once.
    pub(crate) fn stop(&self) {
        self.state().is_read = Default::default();
        self.changed.notify(usize::MAX);
    }

    /// Notes a lost group; returns whether it is news.
    pub(crate) fn note_loss(&self, now: Timestamp, key: &GroupKey) -> bool {
        let group = key.to_string();
        let mut state = self.state();
        state.losses.retain(|loss| now.since(loss.at) < LOSS_KEPT);
        if state.losses.iter().any(|loss| loss.group == group) {
            return false;
        }
        let number = state.losses_next;
        state.losses_next += 1;
        state.losses.push_back(Loss {
            number,
            at: now,
            group,
        });
        drop(state);
        self.changed.notify(usize::MAX);
        true
    }

    /// Returns what ends with the next change; make it before looking.
    fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns what a follower doesn't have yet, or nothing while this node doesn't read the store.
    pub(crate) fn newer(&self, now: Timestamp, req: &FollowRequest) -> Option<FollowReply> {
        let state = self.state();
        if !state.is_read.iter().all(|is_read| *is_read) {
            return None;
        }
        let [operator, registry, nodes] = &state.topics;
        let losses_from = if req.feed == self.id {
            req.losses_next
        } else {
            0
        };
        let losses = state
            .losses
            .iter()
            .filter(|loss| loss.number >= losses_from);
        let returned = state.returned_at.map(|at| millis(now.since(at)));
        Some(FollowReply {
            feed: self.id,
            operator: Some(operator.as_ref()?.part_from(req.operator_next)),
            registry: Some(registry.as_ref()?.part_from(req.registry_next)),
            nodes: Some(nodes.as_ref()?.part_from(req.nodes_next)),
            losses: losses.map(|loss| loss.group.clone()).collect(),
            losses_next: state.losses_next,
            vouched_ms: 0,
            returned_ms: returned,
        })
    }
}

fn has_news(reply: &FollowReply) -> bool {
    let parts = [&reply.operator, &reply.registry, &reply.nodes];
    let is_new =
        |part: &&Option<TopicPart>| part.as_ref().is_some_and(|part| !part.records.is_empty());
    parts.iter().any(is_new) || !reply.losses.is_empty()
}

#[cfg(test)]
mod source_change_tests;
#[cfg(test)]
mod tests;
