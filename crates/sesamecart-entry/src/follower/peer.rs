//! Follows another node that reads the store.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_fleet::{Role, Source, StoreReport};
use sesamecart_links::Code;
use sesamecart_links::feed::{FollowReply, FollowRequest, TopicPart};
use sesamecart_platform::{LogPosition, Offset, Record, StoreEra};
use sesamecart_runtime::{sleep, with_patience};
use sesamecart_vocabulary::Timestamp;

use super::RETRY_DELAY;
use super::crashes::CrashesState;
use super::first_source::wait_until_silent;
use super::neighbors;
use super::nodes::NodeList;
use super::search::{NodeAnswer, ask_node};
use super::source_follower::{PREFERRED_PROBE_INTERVAL, SourceFollower, SwitchReason};
use crate::clock;
use crate::events::Event;
use crate::loss_reports::parse_group_key;
use crate::start_steps::StartStep;
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

/// The age up to which a follower uses what another node has while no other one is fresher, as a fraction of
/// `bounds.key_revocation_ms`. It leaves the time to read the store.
const MAX_USABLE_AGE_FRACTION: f64 = 0.8;

/// The next position in each topic, and the next loss in the feed that was followed last.
#[derive(Debug, Default)]
pub(super) struct Position {
    operator: LogPosition,
    registry: LogPosition,
    nodes: LogPosition,
    crashes: LogPosition,
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

/// The positions up to which another node has the topics by which its replies are compared.
struct OfferedPositions {
    operator: LogPosition,
    registry: LogPosition,
}

/// The result of processing a reply.
enum ReplyOutcome {
    /// The reply was applied.
    Applied {
        /// When the read was sent that vouches for the configuration of the other node.
        vouched_at: Timestamp,
        /// When its last read of the operator's topic was sent.
        read_at: Timestamp,
    },
    /// The other node is behind this one: it has the topics up to these positions.
    Behind(OfferedPositions),
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
            let reply = async { Some(feed.follow(request).await) };
            let silent = async {
                // Only a full reply may take longer than a silent node is waited for.
                if !matches!(phase, FollowPhase::CatchUp) {
                    return future::pending().await;
                }
                wait_until_silent(&self.state, &self.links, address).await;
                None
            };
            let reply = match with_patience(reply_timeout, future::or(reply, silent)).await {
                Ok(Some(Ok(reply))) => reply.into_inner(),
                Ok(Some(Err(status))) if status.code() == Code::FailedPrecondition => {
                    let _failed = self.source_failed(address, "it doesn't read the store");
                    return SwitchReason::Unready;
                }
                // The reader has just started and hasn't read the store yet. If a standby switched to the
                // store now, it would take over control of the groups from the reader while models are
                // loading.
                Ok(Some(Err(status)))
                    if status.code() == Code::NotFound
                        && sent.since(started_at) < first_read_timeout =>
                {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Ok(Some(Err(status))) => return self.source_failed(address, status),
                Ok(None) => return self.source_failed(address, "it has fallen silent"),
                Err(elapsed) => return self.source_failed(address, elapsed),
            };
            if matches!(phase, FollowPhase::Probe) {
                self.state.reach_start_step(StartStep::SourceFound);
                phase = FollowPhase::CatchUp;
                continue;
            }
            let is_first = matches!(phase, FollowPhase::CatchUp);
            phase = FollowPhase::Poll;
            let is_stale = !is_fresh(&self.state, &reply);
            let age = Duration::from_millis(read_ms(&reply));
            if is_first {
                self.log_caught_up(address, &reply);
            }
            // A node that starts must not serve by a copy before it has heard of something newer.
            self.ask_neighbors().await;
            match self.apply_reply(address, sent, reply) {
                ReplyOutcome::Applied {
                    vouched_at,
                    read_at,
                } => {
                    behind_since = None;
                    self.confirm(vouched_at, read_at).await;
                }
                ReplyOutcome::Incomplete => {
                    return self.source_failed(address, "the reply lacks a topic");
                }
                ReplyOutcome::Behind(offered) => {
                    if behind_since.is_none() {
                        self.log_ignored_reply(address, &offered);
                    }
                    let since = *behind_since.get_or_insert(sent);
                    if clock::now().since(since) > LAG_TIMEOUT {
                        return self.source_failed(address, "it is behind this node");
                    }
                }
            }
            if is_stale && let Some(reason) = self.reason_to_leave_stale(address, age).await {
                return reason;
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

    /// Returns why this node should leave a source whose configuration has an age at which another one may be fresher.
    ///
    /// Where all sources are slow, none is fresher. Going from one to the next, with all topics read anew, then makes all
    /// of them slower. So a follower stays while the age lets it serve its callers, unless it finds a fresher source. A
    /// standby is there to read the store instead.
    async fn reason_to_leave_stale(
        &self,
        address: SocketAddr,
        age: Duration,
    ) -> Option<SwitchReason> {
        let revocation_bound = Duration::from_millis(self.state.settings.bounds.key_revocation_ms);
        let is_usable = age <= revocation_bound.mul_f64(MAX_USABLE_AGE_FRACTION);
        if self.plan().role != Role::Follower || !is_usable {
            let cause = format_args!("the configuration is stale: {age:?}");
            return Some(self.source_failed(address, cause));
        }
        let fresher = self.find_fresher_node(address).await;
        fresher.map(SwitchReason::FoundBetter)
    }

    /// Returns the first node in the order of sources, except one, that has a fresh configuration.
    async fn find_fresher_node(&self, except: SocketAddr) -> Option<Source> {
        let order = self.plan().order.into_iter();
        let nodes = order.filter_map(|source| match source {
            Source::Node(address) if address != except => Some(address),
            Source::Node(_) | Source::Store => None,
        });
        let asked = nodes.map(|address| async move {
            let answer = ask_node(&self.state, &self.links, address).await;
            (answer == NodeAnswer::Serving).then_some(Source::Node(address))
        });
        join_all(asked).await.into_iter().flatten().next()
    }

    fn source_failed(&self, address: SocketAddr, cause: impl Display) -> SwitchReason {
        self.state.events.write(&Event::SourceFailed {
            source: &Source::Node(address).to_string(),
            cause: &cause.to_string(),
        });
        SwitchReason::Failed
    }

    /// Logs that a reply was ignored because it is older than what this node has.
    fn log_ignored_reply(&self, address: SocketAddr, offered: &OfferedPositions) {
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
            operator_from: &self.position.operator.to_string(),
            operator_next: &end_of(operator).to_string(),
            operator_records: operator.records.len(),
            operator_whole: operator.whole,
            registry_from: &self.position.registry.to_string(),
            registry_next: &end_of(registry).to_string(),
            registry_records: registry.records.len(),
            registry_whole: registry.whole,
        });
    }

    /// Applies a reply unless it is behind this node.
    fn apply_reply(
        &mut self,
        address: SocketAddr,
        sent: Timestamp,
        reply: FollowReply,
    ) -> ReplyOutcome {
        let read_ms = read_ms(&reply);
        let availability = availability(clock::now(), &reply);
        let (Some(operator), Some(registry), Some(nodes)) =
            (reply.operator, reply.registry, reply.nodes)
        else {
            return ReplyOutcome::Incomplete;
        };
        let position = &mut self.position;
        let offered = OfferedPositions {
            operator: end_of(&operator),
            registry: end_of(&registry),
        };
        if offered.operator < position.operator || offered.registry < position.registry {
            return ReplyOutcome::Behind(offered);
        }
        let era = offered.operator.era.max(offered.registry.era);
        let source = Source::Node(address).to_string();
        self.state.learn_store_era(era, &source);
        let operator = TopicUpdate::new(operator, &mut position.operator);
        let registry = TopicUpdate::new(registry, &mut position.registry);
        // The other node reads each topic by itself, so after a return of the store, some may still be of before.
        let nodes = Some(nodes).filter(|part| end_of(part).era >= position.nodes.era);
        let nodes = nodes.and_then(|part| TopicUpdate::new(part, &mut position.nodes));
        // A node of an older version has no such topic.
        let crashes = reply.crashes.filter(|part| {
            let end = end_of(part);
            end >= position.crashes || (part.whole && end.era == position.crashes.era)
        });
        let crashes = crashes.and_then(|part| TopicUpdate::new(part, &mut position.crashes));
        position.feed = reply.feed;
        position.losses = reply.losses_next;
        position.limits = reply.limits_next;
        self.state.learn_store_report(&availability, &source);
        self.apply_topics(operator, registry);
        if let Some(nodes) = nodes {
            update_nodes(&self.state, self.nodes.list(), nodes);
        }
        if let Some(crashes) = crashes {
            update_crashes(&self.state, &mut self.crashes, crashes);
        }
        self.state.set_registry_read();
        self.state.learn_limits(&reply.limits);
        for group in &reply.losses {
            match parse_group_key(group) {
                Some(key) => self.state.mark_group_lost(&key),
                None => log::warn!("follower: invalid group in a loss: {group}."),
            }
        }
        // The reply was sent after the request, so subtracting a reported age from the request's time gives a safe
        // lower bound.
        let at = |age_ms: u64| {
            let age = Duration::from_millis(age_ms).as_micros();
            Timestamp(
                sent.0
                    .saturating_sub(u64::try_from(age).unwrap_or(u64::MAX)),
            )
        };
        ReplyOutcome::Applied {
            vouched_at: at(reply.vouched_ms),
            read_at: at(read_ms),
        }
    }

    /// Asks other nodes for a newer configuration than the topic's, if there may be one.
    async fn ask_neighbors(&mut self) {
        neighbors::ask_if_needed(&mut self.operator, &self.state, &self.links).await;
    }

    /// Confirms what was received, after other nodes were asked if the store has returned.
    async fn confirm(&mut self, vouched_at: Timestamp, read_at: Timestamp) {
        self.ask_neighbors().await;
        self.operator.confirm(&self.state, vouched_at);
        self.state.record_source_read(read_at);
    }

    fn apply_topics(&mut self, operator: Option<TopicUpdate>, registry: Option<TopicUpdate>) {
        let state = &self.state;
        if let Some(TopicUpdate { end, change }) = operator {
            match change {
                TopicChange::Snapshot { records, unchanged } => {
                    self.operator.replace(state, end.era, &records, &unchanged);
                }
                TopicChange::Delta(records) => self.operator.apply(state, end.era, &records),
            }
        }
        if let Some(TopicUpdate { end, change }) = registry {
            match change {
                TopicChange::Snapshot { records, unchanged } => {
                    self.registry.replace(state, end.era, &records, &unchanged);
                }
                TopicChange::Delta(records) => self.registry.apply(state, end.era, &records),
            }
        }
    }
}

/// Applies another node's update of the list of nodes.
pub(super) fn update_nodes(state: &EntryState, list: &mut NodeList, nodes: TopicUpdate) {
    let end = nodes.end;
    match nodes.change {
        TopicChange::Snapshot { records, unchanged } => {
            let _nodes = list.replace(state, end, &records, &unchanged);
        }
        TopicChange::Delta(records) => list.apply(state, end, &records),
    }
}

/// Applies another node's update of the topic of crashes.
fn update_crashes(state: &EntryState, reports: &mut CrashesState, crashes: TopicUpdate) {
    let era = crashes.end.era;
    match crashes.change {
        TopicChange::Snapshot { records, unchanged } => {
            reports.replace(state, era, &records, &unchanged);
        }
        TopicChange::Delta(records) => reports.apply(state, era, &records),
    }
}

/// Returns the position up to which another node has a topic.
const fn end_of(part: &TopicPart) -> LogPosition {
    LogPosition::new(StoreEra(part.era), Offset(part.next))
}

/// Another node's update of a topic.
pub(super) struct TopicUpdate {
    /// The position up to which the other node has the topic.
    end: LogPosition,
    change: TopicChange,
}

impl TopicUpdate {
    /// Advances `position` to the end of a part. Returns the update, unless nothing has changed.
    pub(super) fn new(part: TopicPart, position: &mut LogPosition) -> Option<Self> {
        let end = end_of(&part);
        let is_same_era = end.era == position.era;
        *position = end;
        let change = TopicChange::from(part);
        let is_empty = matches!(&change, TopicChange::Delta(records) if records.is_empty());
        (!is_empty || !is_same_era).then_some(Self { end, change })
    }
}

/// What has changed in a topic.
enum TopicChange {
    /// All keys of the topic; other keys no longer exist.
    Snapshot {
        records: Vec<Record>,
        /// The remaining keys, whose records this node already has.
        unchanged: IndexSet<String>,
    },
    /// Only the changed records.
    Delta(Vec<Record>),
}

impl From<TopicPart> for TopicChange {
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
    Duration::from_millis(read_ms(reply)) <= configuration_bound.mul_f64(MAX_AGE_FRACTION)
}

/// Returns the age of the other node's last read. While the store has an older configuration than the node, the read
/// vouches for nothing, and following another node wouldn't help.
fn read_ms(reply: &FollowReply) -> u64 {
    reply.read_ms.unwrap_or(reply.vouched_ms)
}

/// Returns what the other node tells of the store's availability.
fn availability(now: Timestamp, reply: &FollowReply) -> StoreReport {
    let ago = |age_ms: u64| now - Duration::from_millis(age_ms);
    let returned_at = reply.returned_ms.map(ago);
    StoreReport {
        answered_at: ago(reply.store_answered_ms.unwrap_or_else(|| read_ms(reply))),
        // A node of an older version doesn't tell of gaps without an outage.
        answers_since: reply
            .store_answers_for_ms
            .map(ago)
            .or(returned_at)
            .unwrap_or_default(),
        returned_at,
    }
}

impl Position {
    /// Returns a request that no record can match, to ask only whether a node serves.
    pub(super) const fn probe_request() -> FollowRequest {
        FollowRequest {
            operator_next: u64::MAX,
            operator_era: Some(u64::MAX),
            registry_next: u64::MAX,
            registry_era: Some(u64::MAX),
            nodes_next: u64::MAX,
            nodes_era: Some(u64::MAX),
            crashes_next: u64::MAX,
            crashes_era: Some(u64::MAX),
            feed: 0,
            losses_next: 0,
            limits_next: 0,
            wait_ms: 0,
        }
    }

    const fn request(&self, wait: Duration) -> FollowRequest {
        FollowRequest {
            operator_next: self.operator.offset.0,
            operator_era: Some(self.operator.era.0),
            registry_next: self.registry.offset.0,
            registry_era: Some(self.registry.era.0),
            nodes_next: self.nodes.offset.0,
            nodes_era: Some(self.nodes.era.0),
            crashes_next: self.crashes.offset.0,
            crashes_era: Some(self.crashes.era.0),
            feed: self.feed,
            losses_next: self.losses,
            limits_next: self.limits,
            wait_ms: wait.as_millis() as u32,
        }
    }
}
