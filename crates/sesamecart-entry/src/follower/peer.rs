//! Follows another node that reads the store.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_fleet::Source;
use sesamecart_links::Code;
use sesamecart_links::feed::{FollowReply, FollowRequest, TopicPart};
use sesamecart_platform::Record;
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::Timestamp;

use super::RETRY_DELAY;
use super::crashes::CrashesState;
use super::nodes::{apply_nodes, replace_nodes};
use super::source_follower::{PREFERRED_PROBE_INTERVAL, SourceFollower, SwitchReason};
use crate::clock;
use crate::events::Event;
use crate::loss_reports::parse_group_key;
use crate::state::EntryState;

/// How long the other node holds a call while there are no updates.
///
/// It bounds the configuration's age while nothing changes: the sum of this timeout, the age that the other
/// node reports, and the interval between two calls stays below `bounds.configuration_ms`.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after the poll timeout a reply may arrive before the other node is considered failed. A round
/// trip takes a few milliseconds, and a busy node takes some tens of milliseconds more.
const REPLY_GRACE: Duration = Duration::from_millis(350);

/// The timeout of the first full reply, after the other node has answered a probe.
///
/// The reply may contain all topics, and dozens of followers request them at once after a restart of all
/// nodes. With a shorter timeout, replies would be sent in vain, all followers would start over with another
/// source, and none would ever catch up.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The minimum interval between two calls, so that one call returns a burst of changes instead of one call
/// for each change.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(60);

/// The age of the other node's configuration above which another source is tried, as a fraction of
/// `bounds.configuration_ms`. A node that reads the store always stays below it.
const MAX_AGE_FRACTION: f64 = 0.9;

/// The next offset of each topic, and the next loss in the feed that was followed last.
#[derive(Debug, Default)]
pub(super) struct Position {
    operator: u64,
    registry: u64,
    nodes: u64,
    crashes: u64,
    feed: u64,
    losses: u64,
    limits: u64,
}

/// How long the other node may take for its first read of the store, as a fraction of
/// `bounds.configuration_ms`.
const FIRST_READ_TIMEOUT_FRACTION: f64 = 0.5;

/// How long the other node's offsets may be behind this node's before another source is tried. A reader that
/// is one read behind the previous source catches up within this time.
const LAG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The phases of following a node.
#[derive(Clone, Copy)]
enum FollowPhase {
    /// Ask whether the other node serves.
    Probe,
    /// Request everything that this node doesn't have.
    CatchUp,
    /// Wait for updates.
    Poll,
}

/// The offsets up to which another node has the topics by which its replies are compared.
struct OfferedOffsets {
    operator: u64,
    registry: u64,
}

/// The result of processing a reply.
enum ReplyOutcome {
    /// The reply was applied.
    Applied,
    /// The other node is behind this one: it has the topics up to these offsets.
    Behind(OfferedOffsets),
    /// The reply lacks a topic.
    Incomplete,
}

impl SourceFollower {
    /// Follows the node at `address` until it fails, becomes stale, or a preferred source serves again.
    pub(super) async fn follow_node(&mut self, address: SocketAddr) -> SwitchReason {
        let configuration_bound =
            Duration::from_millis(self.state.settings.bounds.configuration_ms);
        let first_read_timeout = configuration_bound.mul_f64(FIRST_READ_TIMEOUT_FRACTION);
        let started_at = clock::now();
        let mut probed_at = started_at;
        let mut behind_since = None;
        // The first request is for a small reply, so that a dead node is detected early.
        let mut phase = FollowPhase::Probe;
        loop {
            let sent = clock::now();
            let mut feed = self.links.feed_client(address);
            let (request, reply_timeout) = match phase {
                FollowPhase::Probe => (Position::probe_request(), REPLY_GRACE),
                FollowPhase::CatchUp => {
                    (self.position.request(Duration::ZERO), FIRST_REPLY_TIMEOUT)
                }
                FollowPhase::Poll => (
                    self.position.request(POLL_TIMEOUT),
                    POLL_TIMEOUT + REPLY_GRACE,
                ),
            };
            let reply = match with_timeout(reply_timeout, feed.follow(request)).await {
                Ok(Ok(reply)) => reply.into_inner(),
                Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
                    return SwitchReason::Unready;
                }
                // The reader has just started and hasn't read the store yet. If a standby switched to the
                // store now, it would take over control of the groups from the reader while models are
                // loading.
                Ok(Err(status))
                    if status.code() == Code::NotFound
                        && sent.since(started_at) < first_read_timeout =>
                {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Ok(Err(status)) => return source_failed(address, status),
                Err(elapsed) => return source_failed(address, elapsed),
            };
            if matches!(phase, FollowPhase::Probe) {
                phase = FollowPhase::CatchUp;
                continue;
            }
            let is_first = matches!(phase, FollowPhase::CatchUp);
            phase = FollowPhase::Poll;
            if !is_fresh(&self.state, &reply) {
                let age = Duration::from_millis(reply.vouched_ms);
                return source_failed(address, format_args!("the configuration is stale: {age:?}"));
            }
            if is_first {
                self.log_caught_up(address, &reply);
            }
            match self.apply_reply(sent, reply) {
                ReplyOutcome::Applied => behind_since = None,
                ReplyOutcome::Incomplete => {
                    return source_failed(address, "the reply lacks a topic");
                }
                ReplyOutcome::Behind(offered) => {
                    if behind_since.is_none() {
                        self.log_ignored_reply(address, &offered);
                    }
                    let since = *behind_since.get_or_insert(sent);
                    if clock::now().since(since) > LAG_TIMEOUT {
                        return source_failed(address, "its offsets are behind this node's");
                    }
                }
            }
            if clock::now().since(probed_at) >= PREFERRED_PROBE_INTERVAL {
                probed_at = clock::now();
                if let Some(better) = self.find_better_source(Source::Node(address)).await {
                    return SwitchReason::FoundBetter(better);
                }
            }
            sleep(MIN_CALL_INTERVAL).await;
        }
    }

    /// Logs that a reply was ignored because it is older than what this node has.
    fn log_ignored_reply(&self, address: SocketAddr, offered: &OfferedOffsets) {
        self.state.events.write(&Event::ReplyIgnored {
            source: &Source::Node(address).to_string(),
            operator_known: &self.position.operator.to_string(),
            operator_offered: &offered.operator.to_string(),
            registry_known: &self.position.registry.to_string(),
            registry_offered: &offered.registry.to_string(),
        });
    }

    /// Logs this node's offsets and what another node's first reply contains.
    fn log_caught_up(&self, address: SocketAddr, reply: &FollowReply) {
        let (Some(operator), Some(registry)) = (&reply.operator, &reply.registry) else {
            return;
        };
        self.state.events.write(&Event::CaughtUp {
            source: &Source::Node(address).to_string(),
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

    /// Applies a reply unless its offsets are behind this node's.
    fn apply_reply(&mut self, sent: Timestamp, reply: FollowReply) -> ReplyOutcome {
        let (Some(operator), Some(registry), Some(nodes)) =
            (reply.operator, reply.registry, reply.nodes)
        else {
            return ReplyOutcome::Incomplete;
        };
        let position = &mut self.position;
        let is_behind = operator.next < position.operator || registry.next < position.registry;
        if is_behind {
            return ReplyOutcome::Behind(OfferedOffsets {
                operator: operator.next,
                registry: registry.next,
            });
        }
        position.operator = operator.next;
        position.registry = registry.next;
        position.nodes = nodes.next;
        // A node of an older version has no such topic.
        let crashes = reply.crashes;
        let crashes = crashes.filter(|part| part.whole || part.next >= position.crashes);
        if let Some(crashes) = &crashes {
            position.crashes = crashes.next;
        }
        position.feed = reply.feed;
        position.losses = reply.losses_next;
        position.limits = reply.limits_next;
        if let Some(since_recovery) = reply.returned_ms {
            let since_recovery = Duration::from_millis(since_recovery);
            self.registry.recovered_at = Some(Timestamp(
                sent.0
                    .saturating_sub(u64::try_from(since_recovery.as_micros()).unwrap_or(u64::MAX)),
            ));
        }
        self.apply_topics(operator, registry, nodes);
        if let Some(crashes) = crashes {
            update_crashes(&self.state, crashes);
        }
        // The reply was sent after the request, so subtracting the reported age from the request's time gives
        // a safe lower bound.
        let age = Duration::from_millis(reply.vouched_ms);
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        self.state
            .confirm_configuration(Timestamp(sent.0.saturating_sub(age)));
        self.state.set_registry_read();
        self.state.learn_limits(&reply.limits);
        for group in &reply.losses {
            match parse_group_key(group) {
                Some(key) => self.state.mark_group_lost(&key),
                None => log::warn!("follower: invalid group in a loss: {group}."),
            }
        }
        ReplyOutcome::Applied
    }

    fn apply_topics(&mut self, operator: TopicPart, registry: TopicPart, nodes: TopicPart) {
        let state = &self.state;
        match TopicUpdate::from(operator) {
            TopicUpdate::Snapshot { records, unchanged } => {
                self.operator.replace(state, &records, &unchanged);
            }
            TopicUpdate::Delta(records) if records.is_empty() => {}
            TopicUpdate::Delta(records) => self.operator.apply(state, &records),
        }
        match TopicUpdate::from(registry) {
            TopicUpdate::Snapshot { records, unchanged } => {
                self.registry.replace(state, &records, &unchanged);
            }
            TopicUpdate::Delta(records) if records.is_empty() => {}
            TopicUpdate::Delta(records) => self.registry.apply(state, &records),
        }
        update_nodes(state, nodes);
    }
}

/// Applies another node's update of the list of nodes.
pub(super) fn update_nodes(state: &EntryState, nodes: TopicPart) {
    match TopicUpdate::from(nodes) {
        TopicUpdate::Snapshot { records, unchanged } => {
            let _nodes = replace_nodes(state, &records, &unchanged);
        }
        TopicUpdate::Delta(records) if records.is_empty() => {}
        TopicUpdate::Delta(records) => apply_nodes(state, &records),
    }
}

/// Applies another node's update of the topic of crashes.
fn update_crashes(state: &EntryState, crashes: TopicPart) {
    match TopicUpdate::from(crashes) {
        TopicUpdate::Snapshot { records, unchanged } => {
            CrashesState.replace(state, &records, &unchanged);
        }
        TopicUpdate::Delta(records) if records.is_empty() => {}
        TopicUpdate::Delta(records) => CrashesState.apply(state, &records),
    }
}

/// Another node's update of a topic.
enum TopicUpdate {
    /// All keys of the topic; other keys no longer exist.
    Snapshot {
        records: Vec<Record>,
        /// The remaining keys, whose records this node already has.
        unchanged: IndexSet<String>,
    },
    /// Only the changed records.
    Delta(Vec<Record>),
}

impl From<TopicPart> for TopicUpdate {
    fn from(part: TopicPart) -> Self {
        let records = part.records.into_iter().map(|record| Record {
            key: Some(record.key),
            value: record.value,
        });
        let records = records.collect();
        match part.unchanged {
            Some(unchanged) => Self::Snapshot {
                records,
                unchanged: unchanged.keys.into_iter().collect(),
            },
            None if part.whole => Self::Snapshot {
                records,
                unchanged: IndexSet::new(),
            },
            None => Self::Delta(records),
        }
    }
}

/// Returns whether the configuration in a reply is fresh enough to follow the node that sent it.
pub(super) fn is_fresh(state: &EntryState, reply: &FollowReply) -> bool {
    let configuration_bound = Duration::from_millis(state.settings.bounds.configuration_ms);
    Duration::from_millis(reply.vouched_ms) <= configuration_bound.mul_f64(MAX_AGE_FRACTION)
}

fn source_failed(address: SocketAddr, cause: impl Display) -> SwitchReason {
    log::debug!("follower: node at {address}: {cause}.");
    SwitchReason::Failed
}

impl Position {
    /// Returns a request that no record can match, to ask only whether a node serves.
    pub(super) const fn probe_request() -> FollowRequest {
        FollowRequest {
            operator_next: u64::MAX,
            registry_next: u64::MAX,
            nodes_next: u64::MAX,
            crashes_next: u64::MAX,
            feed: 0,
            losses_next: 0,
            limits_next: 0,
            wait_ms: 0,
        }
    }

    const fn request(&self, wait: Duration) -> FollowRequest {
        FollowRequest {
            operator_next: self.operator,
            registry_next: self.registry,
            nodes_next: self.nodes,
            crashes_next: self.crashes,
            feed: self.feed,
            losses_next: self.losses,
            limits_next: self.limits,
            wait_ms: wait.as_millis() as u32,
        }
    }
}
