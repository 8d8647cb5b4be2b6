//! Follows the store's topics: the operator's configuration, the endpoint registry and the list of nodes.

mod crashes;
mod first_source;
mod neighbors;
mod nodes;
mod operator;
mod peer;
mod registry;
mod search;
mod source_follower;
#[cfg(test)]
mod tests;
mod topic_era;

use std::time::Duration;

use futures_util::future::join;
use indexmap::IndexSet;
use sesamecart_links::Links;
use sesamecart_platform::{
    LogPosition, ReadResult, Record, Store, StoreEra, StoreError, StoredRecord, Topic,
};
use sesamecart_runtime::{lateness, sleep};
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::events::Event;
use crate::follower::crashes::CrashesState;
pub(crate) use crate::follower::nodes::keep_registered;
use crate::follower::operator::OperatorState;
use crate::follower::registry::RegistryState;
pub(crate) use crate::follower::source_follower::SourceFollower;
use crate::start_steps::StartStep;
use crate::state::EntryState;

/// The long-poll timeout for reads of the operator topic, as a fraction of `bounds.configuration_ms`.
///
/// The configuration's age is counted from the time at which the last completed read was sent. While nothing
/// changes, the age therefore reaches two poll timeouts plus one read interval, which must stay below that
/// bound.
const OPERATOR_POLL_TIMEOUT_FRACTION: f64 = 0.4;

/// The long-poll timeout for reads of the registry topic.
///
/// A read that reaches the store while a record is being appended returns no records and isn't woken by that
/// append. Without a timeout, some nodes would see the last record of a burst only when the next record
/// arrives. The store limits the calls per second of all nodes together, so the timeout can't be much
/// shorter.
const REGISTRY_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The registry poll timeout on a node that is forming groups: it opens each group as soon as all members are
/// ready.
const FORMING_POLL_TIMEOUT: Duration = Duration::from_millis(150);

/// The long-poll timeout for reads of the topic of crashes, as a fraction of `bounds.contact_ms`.
///
/// A read may miss a record that is being appended, as for the registry. Together with the interval of
/// reports, this stays below the bound.
const CRASHES_POLL_TIMEOUT_FRACTION: f64 = 0.3;

/// The same fraction while no node reports anything. Only the first report can be delayed by it.
const QUIET_CRASHES_POLL_TIMEOUT_FRACTION: f64 = 0.6;

/// The minimum interval between two reads of a topic, so that one read returns a burst of records instead of
/// one read for each record.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// The minimum interval between two reads of the registry on a node that is forming groups.
const FORMING_MIN_READ_INTERVAL: Duration = Duration::from_millis(40);

/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The availability of a dependency. Each outage and each recovery is logged once.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    unavailable_since: Option<Timestamp>,
}

impl Dependency {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            unavailable_since: None,
        }
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, state: &EntryState, cause: &StoreError) {
        state.metrics.count_store_failure();
        if self.unavailable_since.is_some() {
            return;
        }
        self.unavailable_since = Some(clock::now());
        let cause = cause.to_string();
        state.events.write(&Event::DependencyLost {
            dependency: self.name,
            cause: &cause,
        });
    }

    /// Records a successful call.
    pub(crate) fn record_success(&mut self, state: &EntryState) {
        let Some(unavailable_since) = self.unavailable_since.take() else {
            return;
        };
        state.events.write(&Event::DependencyRegained {
            dependency: self.name,
            away_ms: millis(clock::now().since(unavailable_since)),
        });
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The state that is maintained from one topic's records.
enum TopicState<'a> {
    Operator(&'a mut OperatorState),
    Registry(&'a mut RegistryState),
    Crashes(&'a mut CrashesState),
}

/// Follows one compacted topic of the store, which keeps the newest record of each key.
struct TopicFollower<'a> {
    state: &'a EntryState,
    store: &'a Store,
    links: &'a Links,
    topic: Topic,
    dependency: &'a mut Dependency,
    topic_state: TopicState<'a>,
}

impl TopicFollower<'_> {
    /// Follows the topic until the store has been unavailable for longer than `timeout` and other nodes are known,
    /// or forever if it is `None`.
    async fn run(mut self, timeout: Option<Duration>) {
        loop {
            match self.read_snapshot().await {
                Ok(from) => self.follow(from, timeout).await,
                Err(error) => {
                    self.dependency.record_failure(self.state, &error);
                    sleep(RETRY_DELAY).await;
                }
            }
            if self.is_unavailable_for(timeout) {
                return;
            }
        }
    }

    fn is_unavailable_for(&self, timeout: Option<Duration>) -> bool {
        let has_others = self.state.nodes.load().len() > 1;
        // Two calls may run out of time on a late thread before the store counts as away.
        let timeout = timeout.map(|limit| limit + 2 * lateness().patience());
        let timeout = timeout.filter(|_| has_others);
        let unavailable_since = self.dependency.unavailable_since;
        let outage = unavailable_since.map(|at| clock::now().since(at));
        outage
            .zip(timeout)
            .is_some_and(|(outage, limit)| outage > limit)
    }

    /// Reads the newest record of each key and returns the position from which to follow the topic.
    async fn read_snapshot(&mut self) -> Result<LogPosition, StoreError> {
        let sent = clock::now();
        let (store, topic) = (self.store, self.topic);
        // A node that starts must not serve by a copy before it has heard of something newer.
        let (snapshot, ()) = join(store.newest(topic), self.ask_neighbors()).await;
        let snapshot = snapshot?;
        self.state.reach_start_step(StartStep::SourceFound);
        let (records, end) = (snapshot.records, snapshot.end);
        self.dependency.record_success(self.state);
        self.publish_snapshot(&records, end);
        let records = records.into_iter().map(|stored| stored.record);
        self.replace(end.era, records.collect());
        self.ask_neighbors().await;
        self.confirm_freshness(sent);
        Ok(end)
    }

    /// Asks other nodes for a newer configuration than the topic's, if there may be one.
    async fn ask_neighbors(&mut self) {
        if let TopicState::Operator(operator) = &mut self.topic_state {
            neighbors::ask_if_needed(operator, self.state, self.links).await;
        }
    }

    /// Reads records starting at `from` until the topic has to be reread in full.
    async fn follow(&mut self, mut from: LogPosition, timeout: Option<Duration>) {
        // All readers notice a return of the store at the same moment, and have just read all topics in full.
        let (_poll_timeout, interval) = self.usual_timing();
        sleep(interval).await;
        // Once a later era is known, also from a call for another topic, a read from this position is in vain.
        while from.era == self.state.store_eras.latest() {
            let (poll_timeout, interval) = self.read_timing();
            let sent = clock::now();
            match self.store.read(self.topic, from, poll_timeout).await {
                Ok(ReadResult::Records { next, end, records }) => {
                    self.dependency.record_success(self.state);
                    // The store has lost records that were already read.
                    if end < from {
                        return;
                    }
                    self.state.feed.apply(self.topic, &records, next);
                    self.apply(next.era, records);
                    from = next;
                    if next >= end {
                        self.confirm_freshness(sent);
                    }
                }
                Ok(ReadResult::Trimmed { .. } | ReadResult::Returned) => return,
                Err(error) => {
                    let is_first = self.dependency.unavailable_since.is_none();
                    self.dependency.record_failure(self.state, &error);
                    // Often only the connection was closed, and a new one works.
                    if is_first {
                        continue;
                    }
                    sleep(RETRY_DELAY).await;
                    if self.is_unavailable_for(timeout) {
                        return;
                    }
                }
            }
            sleep(interval).await;
        }
    }

    /// Returns the long-poll timeout of the next read and the interval after it.
    fn read_timing(&self) -> (Duration, Duration) {
        let (poll_timeout, interval) = self.usual_timing();
        // A read that doesn't wait shows at once that the store is available again.
        match self.dependency.unavailable_since {
            Some(_) => (Duration::ZERO, interval),
            None => (poll_timeout, interval),
        }
    }

    /// Returns the same while the store is available.
    fn usual_timing(&self) -> (Duration, Duration) {
        let configuration_bound =
            Duration::from_millis(self.state.settings.bounds.configuration_ms);
        match self.topic_state {
            TopicState::Operator(_) => (
                configuration_bound.mul_f64(OPERATOR_POLL_TIMEOUT_FRACTION),
                MIN_READ_INTERVAL,
            ),
            TopicState::Registry(_) if self.state.is_forming() => {
                (FORMING_POLL_TIMEOUT, FORMING_MIN_READ_INTERVAL)
            }
            TopicState::Registry(_) => (REGISTRY_POLL_TIMEOUT, MIN_READ_INTERVAL),
            TopicState::Crashes(_) => (self.crashes_poll_timeout(), MIN_READ_INTERVAL),
        }
    }

    fn crashes_poll_timeout(&self) -> Duration {
        let fraction = if self.state.crashes.tracker().is_empty() {
            QUIET_CRASHES_POLL_TIMEOUT_FRACTION
        } else {
            CRASHES_POLL_TIMEOUT_FRACTION
        };
        self.state.settings.bounds.contact().mul_f64(fraction)
    }

    fn publish_snapshot(&self, records: &[StoredRecord], end: LogPosition) {
        let Some(summary) = self.state.feed.replace(self.topic, records, end) else {
            return;
        };
        self.state.events.write(&Event::TopicReread {
            topic: &self.topic.to_string(),
            known_to: &summary.previous_end.to_string(),
            end: &end.to_string(),
            records: records.len(),
            changed: summary.changed,
            gone: summary.removed,
        });
    }

    fn replace(&mut self, era: StoreEra, records: Vec<Record>) {
        match &mut self.topic_state {
            TopicState::Operator(operator) => {
                operator.replace(self.state, era, &records, &IndexSet::new());
            }
            TopicState::Registry(registry) => {
                registry.replace(self.state, era, &records, &IndexSet::new());
            }
            TopicState::Crashes(crashes) => {
                crashes.replace(self.state, era, &records, &IndexSet::new());
            }
        }
    }

    fn apply(&mut self, era: StoreEra, records: Vec<Record>) {
        match &mut self.topic_state {
            TopicState::Operator(operator) => operator.apply(self.state, era, &records),
            TopicState::Registry(registry) => registry.apply(self.state, era, &records),
            TopicState::Crashes(crashes) => crashes.apply(self.state, era, &records),
        }
    }

    fn confirm_freshness(&mut self, sent: Timestamp) {
        match &mut self.topic_state {
            TopicState::Operator(operator) => operator.confirm(self.state, sent),
            TopicState::Registry(_) => self.state.set_registry_read(),
            TopicState::Crashes(_) => {}
        }
    }
}

/// Returns the keys of a topic that was replaced by `records` and by the keys in `unchanged`.
fn present_keys<'a>(
    records: &'a [Record],
    unchanged: &'a IndexSet<String>,
) -> impl Iterator<Item = &'a str> {
    let changed = records.iter().filter(|record| record.value.is_some());
    let changed = changed.filter_map(|record| record.key.as_deref());
    unchanged.iter().map(String::as_str).chain(changed)
}

fn log_ignored_record(state: &EntryState, topic: Topic, key: &str, cause: &str) {
    let topic = topic.to_string();
    state.events.write(&Event::RecordIgnored {
        topic: &topic,
        key,
        cause,
    });
}
