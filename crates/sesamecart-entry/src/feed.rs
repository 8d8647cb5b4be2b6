//! What this node read of the store, kept for the nodes that follow it.

mod server;
mod topic;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event as Changed, EventListener};
use sesamecart_fleet::GroupKey;
use sesamecart_links::feed::{FollowReply, FollowRequest, TopicPart};
use sesamecart_platform::{Offset, Record, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

pub(crate) use crate::feed::server::serve;
use crate::feed::topic::{Reread, TopicFeed};
use crate::follower::millis;

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
    pub(crate) fn replace(
        &self,
        topic: Topic,
        records: &[StoredRecord],
        end: Offset,
    ) -> Option<Reread> {
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
    let is_new = |part: &&Option<TopicPart>| {
        let part = part.as_ref();
        part.is_some_and(|part| !part.records.is_empty() || part.unchanged.is_some())
    };
    parts.iter().any(is_new) || !reply.losses.is_empty()
}

#[cfg(test)]
mod source_change_tests;
#[cfg(test)]
mod tests;
