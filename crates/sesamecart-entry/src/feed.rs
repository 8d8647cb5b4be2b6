//! Caches what this node reads from the store and serves it to the nodes that follow this one.

pub(crate) mod referral;
mod server;
mod topic;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event as Changed, EventListener};
use sesamecart_fleet::GroupKey;
use sesamecart_links::feed::{FollowReply, FollowRequest, TopicPart};
use sesamecart_platform::{LogPosition, Record, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

pub(crate) use crate::feed::server::{FeedHandler, serve};
use crate::feed::topic::{ReplaceSummary, TopicFeed};

/// How long the loss of a group is kept for followers; the group's head has stopped serving by then.
const LOSS_RETENTION: Duration = Duration::from_secs(6);

/// The topics that followers receive.
const TOPICS: [Topic; 4] = [
    Topic::Operator,
    Topic::Registry,
    Topic::Nodes,
    Topic::Crashes,
];

/// The topics and group losses that this node serves to its followers.
///
/// It serves only while this node reads the store itself. If followers could be followed, two nodes could
/// follow each other and keep confirming each other's stale data forever.
#[derive(Debug)]
pub(crate) struct Feed {
    id: u64,
    state: Mutex<FeedState>,
    changed: Changed,
}

#[derive(Debug, Default)]
struct FeedState {
    topics: [Option<TopicFeed>; TOPICS.len()],
    /// Whether each topic was read since this node last began to read the store. The feed serves once all
    /// were.
    is_read: [bool; TOPICS.len()],
    losses: VecDeque<Loss>,
    losses_next: u64,
}

#[derive(Debug)]
struct Loss {
    sequence: u64,
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

    fn state(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces a topic's contents after a full read. Returns a summary of the differences, or `None` for a
    /// topic that isn't served to followers.
    pub(crate) fn replace(
        &self,
        topic: Topic,
        records: &[StoredRecord],
        end: LogPosition,
    ) -> Option<ReplaceSummary> {
        self.update(topic, |feed| feed.replace(records, end))
    }

    /// Applies records that were read, the last of which precedes `next`.
    pub(crate) fn apply(&self, topic: Topic, records: &[Record], next: LogPosition) {
        if !records.is_empty() {
            let _updated = self.update(topic, |feed| feed.apply(records, next));
        }
    }

    fn update<T>(&self, topic: Topic, update: impl FnOnce(&mut TopicFeed) -> T) -> Option<T> {
        let index = TOPICS.iter().position(|known| *known == topic)?;
        let mut state = self.state();
        let updated = update(state.topics[index].get_or_insert_default());
        state.is_read[index] = true;
        drop(state);
        self.changed.notify(usize::MAX);
        Some(updated)
    }

    /// Returns whether a topic was read since this node last began to read the store.
    pub(crate) fn has_read(&self, topic: Topic) -> bool {
        let index = TOPICS.iter().position(|known| *known == topic);
        index.is_some_and(|index| self.state().is_read[index])
    }

    /// Stops serving because this node no longer reads the store.
    ///
    /// The cached topics are kept, so that followers receive only the differences once this node reads the
    /// store again. With an empty cache, it would have to send all topics in full to all its followers at
    /// once.
    pub(crate) fn stop_serving(&self) {
        self.state().is_read = Default::default();
        self.changed.notify(usize::MAX);
    }

    /// Records the loss of a group. Returns `false` if the loss was already recorded.
    pub(crate) fn record_loss(&self, now: Timestamp, key: &GroupKey) -> bool {
        let group = key.to_string();
        let mut state = self.state();
        state
            .losses
            .retain(|loss| now.since(loss.at) < LOSS_RETENTION);
        if state.losses.iter().any(|loss| loss.group == group) {
            return false;
        }
        let sequence = state.losses_next;
        state.losses_next += 1;
        state.losses.push_back(Loss {
            sequence,
            at: now,
            group,
        });
        drop(state);
        self.changed.notify(usize::MAX);
        true
    }

    /// Wakes the followers that wait, because a limit has changed.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change. Create it before reading the state, or a change in between is
    /// missed.
    fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns what a follower doesn't have yet, or `None` unless all topics were read from the store.
    pub(crate) fn reply_to(&self, now: Timestamp, req: &FollowRequest) -> Option<FollowReply> {
        let state = self.state();
        if !state.is_read.iter().all(|is_read| *is_read) {
            return None;
        }
        let [operator, registry, nodes, crashes] = &state.topics;
        let losses_from = if req.feed == self.id {
            req.losses_next
        } else {
            0
        };
        let losses = state
            .losses
            .iter()
            .filter(|loss| loss.sequence >= losses_from)
            .filter(|loss| now.since(loss.at) < LOSS_RETENTION);
        Some(FollowReply {
            feed: self.id,
            operator: Some(part(operator, req.operator_era, req.operator_next)?),
            registry: Some(part(registry, req.registry_era, req.registry_next)?),
            nodes: Some(part(nodes, req.nodes_era, req.nodes_next)?),
            crashes: Some(part(crashes, req.crashes_era, req.crashes_next)?),
            limits: Vec::new(),
            limits_next: 0,
            losses: losses.map(|loss| loss.group.clone()).collect(),
            losses_next: state.losses_next,
            vouched_ms: 0,
            read_ms: None,
            returned_ms: None,
            store_answered_ms: None,
            store_answers_for_ms: None,
        })
    }
}

/// Returns what a follower doesn't have of a topic, from the position that it names.
fn part(topic: &Option<TopicFeed>, era: Option<u64>, next: u64) -> Option<TopicPart> {
    let topic = topic.as_ref()?;
    Some(topic.part_from(topic.position_of(era, next)))
}

fn has_updates(reply: &FollowReply) -> bool {
    let parts = [
        &reply.operator,
        &reply.registry,
        &reply.nodes,
        &reply.crashes,
    ];
    let is_new = |part: &&Option<TopicPart>| {
        let part = part.as_ref();
        part.is_some_and(|part| !part.records.is_empty() || part.unchanged.is_some())
    };
    parts.iter().any(is_new) || !reply.losses.is_empty() || !reply.limits.is_empty()
}

#[cfg(test)]
mod source_change_tests;
#[cfg(test)]
mod tests;
