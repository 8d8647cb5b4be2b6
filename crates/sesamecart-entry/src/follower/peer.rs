//! Follows another node, which reads the store.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_fleet::Source;
use sesamecart_links::Code;
use sesamecart_links::feed::{FollowReply, FollowRequest, TopicPart};
use sesamecart_platform::Record;
use sesamecart_runtime::{sleep, within};
use sesamecart_vocabulary::Timestamp;

use super::RETRY_DELAY;
use super::following::{Ended, Following, STAY};
use super::nodes::{apply_nodes, replace_nodes};
use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::losses::parse_group;

/// How long the other node holds a call that finds nothing new.
///
/// It bounds how old the configuration gets in quiet times: this, the age that the other node names,
/// and the rest between two calls stay within the time in which a change has to be in force.
const WAIT: Duration = Duration::from_millis(500);

/// How much longer than that an answer may take before the other node counts as gone; the way there and
/// back takes a few milliseconds, and a busy node some tens more.
const ANSWER_SLACK: Duration = Duration::from_millis(350);

/// How long the first answer may take once the other node has shown that it serves.
///
/// It may hold all topics, and dozens of followers ask for them at once after a restart of all nodes. Given
/// up sooner, the answers are sent for nothing, all start over elsewhere, and none ever gets through.
const FIRST_ANSWER: Duration = Duration::from_secs(3);

/// The rest between two calls: a burst of changes is taken at once and not by a call for each.
const PACE: Duration = Duration::from_millis(60);

/// How old the other node's own configuration may be before another source is tried, as a part of the
/// time in which a change has to be in force; a node that reads the store is always younger.
const STALE_PART: f64 = 0.9;

/// How far this node is in each topic, and in the losses of the feed that it followed last.
#[derive(Debug, Default)]
pub(super) struct Position {
    operator: u64,
    registry: u64,
    nodes: u64,
    feed: u64,
    losses: u64,
}

/// How long the other node may take for its first read of the store, as a part of the time in which a
/// change has to be in force.
const FIRST_READ_PART: f64 = 0.5;

/// How long the other node may know less than this one before another source is tried: a reader that
/// is a read behind the last source has caught up by then.
const BEHIND_MOST: Duration = Duration::from_millis(1_000);

/// How far a node is with another one that it has just begun to follow.
#[derive(Clone, Copy)]
enum FirstSteps {
    /// It asks whether the other one serves.
    Probe,
    /// It asks for all that it doesn't have.
    CatchUp,
    /// It waits for what is new.
    Done,
}

/// What came of a reply.
enum Taken {
    /// It is taken in.
    News,
    /// The other node knows less than this one does.
    Behind,
    /// It lacks a part.
    Broken,
}

impl Following {
    /// Follows the node at `links` until it fails, is out of date, or another source goes before it.
    pub(super) async fn follow_node(&mut self, links: SocketAddr) -> Ended {
        let bound = Duration::from_millis(self.beliefs.settings.bounds.configuration_ms);
        let stale = bound.mul_f64(STALE_PART);
        let timeout = bound.mul_f64(FIRST_READ_PART);
        let begun = clock::now();
        let mut looked_at = begun;
        let mut behind_since = None;
        // A small answer is asked for at first, which tells a node that is gone soon.
        let mut step = FirstSteps::Probe;
        loop {
            let sent = clock::now();
            let mut feed = self.links.feed_of(links);
            let (request, limit) = match step {
                FirstSteps::Probe => (Position::nothing_new(), ANSWER_SLACK),
                FirstSteps::CatchUp => (self.position.request(Duration::ZERO), FIRST_ANSWER),
                FirstSteps::Done => (self.position.request(WAIT), WAIT + ANSWER_SLACK),
            };
            let reply = match within(limit, feed.follow(request)).await {
                Ok(Ok(reply)) => reply.into_inner(),
                Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
                    return Ended::Unready;
                }
                // A reader that has just started: were it left for the store, a standby would take
                // control of the groups from it, with loads under way.
                Ok(Err(status))
                    if status.code() == Code::NotFound && sent.since(begun) < timeout =>
                {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Ok(Err(status)) => return failed(links, status),
                Err(elapsed) => return failed(links, elapsed),
            };
            if matches!(step, FirstSteps::Probe) {
                step = FirstSteps::CatchUp;
                continue;
            }
            let is_first = matches!(step, FirstSteps::CatchUp);
            step = FirstSteps::Done;
            let age = Duration::from_millis(reply.vouched_ms);
            if age > stale {
                return failed(links, format_args!("it is out of date: {age:?}"));
            }
            if is_first {
                self.log_caught_up(links, &reply);
            }
            match self.take(sent, reply) {
                Taken::News => behind_since = None,
                Taken::Broken => return failed(links, "a topic is missing"),
                Taken::Behind => {
                    let since = *behind_since.get_or_insert(sent);
                    if clock::now().since(since) > BEHIND_MOST {
                        return failed(links, "it knows less than this node");
                    }
                }
            }
            if clock::now().since(looked_at) >= STAY {
                looked_at = clock::now();
                if let Some(better) = self.better_than(Source::Node(links)).await {
                    return Ended::Prefers(better);
                }
            }
            sleep(PACE).await;
        }
    }

    /// Logs where this node is and what another one's first reply brings.
    fn log_caught_up(&self, links: SocketAddr, reply: &FollowReply) {
        let (Some(operator), Some(registry)) = (&reply.operator, &reply.registry) else {
            return;
        };
        self.beliefs.events.write(&Event::CaughtUp {
            source: &Source::Node(links).to_string(),
            operator_from: self.position.operator,
            operator_next: operator.next,
            operator_records: operator.records.len(),
            operator_whole: operator.whole,
            registry_from: self.position.registry,
            registry_next: registry.next,
            registry_records: registry.records.len(),
            registry_whole: registry.whole,
        });
    }

    /// Takes a reply in, if it goes on where this node is.
    fn take(&mut self, sent: Timestamp, reply: FollowReply) -> Taken {
        let (Some(operator), Some(registry), Some(nodes)) =
            (reply.operator, reply.registry, reply.nodes)
        else {
            return Taken::Broken;
        };
        let position = &mut self.position;
        let is_behind = operator.next < position.operator || registry.next < position.registry;
        if is_behind {
            return Taken::Behind;
        }
        position.operator = operator.next;
        position.registry = registry.next;
        position.nodes = nodes.next;
        position.feed = reply.feed;
        position.losses = reply.losses_next;
        if let Some(returned) = reply.returned_ms {
            let returned = Duration::from_millis(returned);
            self.registry.returned_at = Some(Timestamp(
                sent.0
                    .saturating_sub(u64::try_from(returned.as_micros()).unwrap_or(u64::MAX)),
            ));
        }
        self.take_topics(operator, registry, nodes);
        // The reply left after the call was sent, so the node's age is counted from there.
        let age = Duration::from_millis(reply.vouched_ms);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.beliefs
            .confirm_freshness(Timestamp(sent.0.saturating_sub(age)));
        self.beliefs.note_registry_read();
        for group in &reply.losses {
            match parse_group(group) {
                Some(key) => self.beliefs.lose_group(&key),
                None => log::warn!("follower: {group} is no group."),
            }
        }
        Taken::News
    }

    fn take_topics(&mut self, operator: TopicPart, registry: TopicPart, nodes: TopicPart) {
        let beliefs = &self.beliefs;
        match TopicUpdate::from(operator) {
            TopicUpdate::All { records, unchanged } => {
                self.operator.replace(beliefs, &records, &unchanged);
            }
            TopicUpdate::Changed(records) if records.is_empty() => {}
            TopicUpdate::Changed(records) => self.operator.apply(beliefs, &records),
        }
        match TopicUpdate::from(registry) {
            TopicUpdate::All { records, unchanged } => {
                self.registry.replace(beliefs, &records, &unchanged);
            }
            TopicUpdate::Changed(records) if records.is_empty() => {}
            TopicUpdate::Changed(records) => self.registry.apply(beliefs, &records),
        }
        take_nodes(beliefs, nodes);
    }
}

/// Takes in what another node sent of the list of nodes.
pub(super) fn take_nodes(beliefs: &Beliefs, nodes: TopicPart) {
    match TopicUpdate::from(nodes) {
        TopicUpdate::All { records, unchanged } => {
            let _nodes = replace_nodes(beliefs, &records, &unchanged);
        }
        TopicUpdate::Changed(records) if records.is_empty() => {}
        TopicUpdate::Changed(records) => apply_nodes(beliefs, &records),
    }
}

/// What another node sent of a topic.
enum TopicUpdate {
    /// All that there is.
    All {
        records: Vec<Record>,
        /// The other keys, whose records this node has.
        unchanged: IndexSet<String>,
    },
    /// What has changed.
    Changed(Vec<Record>),
}

impl From<TopicPart> for TopicUpdate {
    fn from(part: TopicPart) -> Self {
        let records = part.records.into_iter().map(|record| Record {
            key: Some(record.key),
            value: record.value,
        });
        let records = records.collect();
        match part.unchanged {
            Some(unchanged) => Self::All {
                records,
                unchanged: unchanged.keys.into_iter().collect(),
            },
            None if part.whole => Self::All {
                records,
                unchanged: IndexSet::new(),
            },
            None => Self::Changed(records),
        }
    }
}

fn failed(links: SocketAddr, cause: impl Display) -> Ended {
    log::debug!("follower: node at {links}: {cause}.");
    Ended::Failed
}

impl Position {
    /// Asks for nothing that a node may know, only whether it serves.
    pub(super) const fn nothing_new() -> FollowRequest {
        FollowRequest {
            operator_next: u64::MAX,
            registry_next: u64::MAX,
            nodes_next: u64::MAX,
            feed: 0,
            losses_next: 0,
            wait_ms: 0,
        }
    }

    const fn request(&self, wait: Duration) -> FollowRequest {
        FollowRequest {
            operator_next: self.operator,
            registry_next: self.registry,
            nodes_next: self.nodes,
            feed: self.feed,
            losses_next: self.losses,
            wait_ms: wait.as_millis() as u32,
        }
    }
}
