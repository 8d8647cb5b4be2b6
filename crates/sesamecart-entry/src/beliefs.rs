//! What a node knows: one picture for all its threads, with its age.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::Event as Changed;
use indexmap::IndexMap;
use sesamecart_edges::Connections;
use sesamecart_fleet::{
    Catalog, ColdAllowance, Demand, DemandBook, Directory, Endpoint, FirstEventTimeouts, Freshness,
    GroupKey, LoadBook, PeerNode, RetryAllowance,
};
use sesamecart_runtime::{Signal, Trigger};
use sesamecart_vocabulary::{EndpointId, FailureDomainId, ModelId, ServiceId, Timestamp};

use crate::beliefs::budgets::Contentions;
use crate::clock;
use crate::events::EventLog;
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

pub(crate) mod budgets;
#[cfg(test)]
mod tests;

/// What is kept of a key's revocation time for clocks that differ and for requests under way.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// How long a group that was found lost is left alone; by then its head has given up and says so.
const LOST_FOR: Duration = Duration::from_secs(6);

/// How long a report of a loss stands before the controller is told again: by then it has asked the
/// members, or it never got the report.
const REPORT_AGAIN: Duration = Duration::from_millis(800);

/// What the threads of one node share.
#[derive(Debug)]
pub struct Beliefs {
    /// The node's settings.
    pub settings: EntrySettings,
    /// The decision log.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The callers' open connections.
    pub connections: Connections,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) directory: ArcSwap<Directory>,
    pub(crate) nodes: ArcSwap<Vec<PeerNode>>,
    pub(crate) feed: Feed,
    /// Where the node that this one follows takes links; nothing while it reads the store itself.
    followed: ArcSwapOption<SocketAddr>,
    reads_store: AtomicBool,
    controls: AtomicBool,
    pub(crate) loads: Mutex<LoadBook>,
    demand: Mutex<DemandBook>,
    first_events: Mutex<FirstEventTimeouts>,
    /// Told of each request that is sent, begins to be answered or ends.
    pub(crate) loads_changed: Changed,
    confirmed_at: AtomicU64,
    registry_read: AtomicBool,
    leaving: AtomicBool,
    forming: AtomicBool,
    requests: AtomicUsize,
    groups: Mutex<IndexMap<GroupKey, Watched>>,
    reported: Mutex<IndexMap<GroupKey, Timestamp>>,
    retries: Mutex<IndexMap<ServiceId, RetryAllowance>>,
    cold: Mutex<IndexMap<EndpointId, ColdAllowance>>,
    contentions: Mutex<Contentions>,
}

/// A group that requests of this node depend on.
#[derive(Debug)]
struct Watched {
    lost: Signal,
    trigger: Trigger,
    lost_at: Option<Timestamp>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Beliefs {
    /// Makes the beliefs of a node that knows nothing yet.
    #[must_use]
    pub fn new(settings: EntrySettings, events: EventLog, metrics: Metrics) -> Self {
        Self {
            nodes: ArcSwap::from_pointee(vec![own_entry(&settings)]),
            feed: Feed::new(),
            followed: ArcSwapOption::empty(),
            reads_store: AtomicBool::new(false),
            controls: AtomicBool::new(false),
            settings,
            events,
            metrics,
            connections: Connections::default(),
            catalog: ArcSwapOption::empty(),
            directory: ArcSwap::default(),
            loads: Mutex::default(),
            demand: Mutex::default(),
            first_events: Mutex::default(),
            loads_changed: Changed::new(),
            confirmed_at: AtomicU64::new(0),
            registry_read: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            forming: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            groups: Mutex::default(),
            reported: Mutex::default(),
            retries: Mutex::default(),
            cold: Mutex::default(),
            contentions: Mutex::default(),
        }
    }

    /// Returns how many open groups this node may send to.
    #[must_use]
    pub fn open_groups(&self) -> usize {
        let directory = self.directory.load();
        let heads = directory
            .listed()
            .filter(|endpoint| endpoint.is_open_head());
        heads.filter(|head| directory.takes_work(head)).count()
    }

    /// Returns how many requests other nodes say they have at the heads of groups.
    #[must_use]
    pub fn requests_elsewhere(&self) -> u32 {
        self.loads().peer_in_flight()
    }

    /// Returns the groups of a model that the callers of all nodes keep busy, once that is known.
    #[must_use]
    pub fn needed_groups(&self, model: &ModelId) -> Option<f64> {
        self.estimated_demand().map(|demand| demand.groups(model))
    }

    /// Returns the failure domains that get no new work.
    #[must_use]
    pub fn evacuated(&self) -> Vec<FailureDomainId> {
        let directory = self.directory.load();
        directory.evacuated().iter().cloned().collect()
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadBook> {
        lock(&self.loads)
    }

    /// Returns what callers ask of each model, as far as this node knows.
    pub(crate) fn demand(&self) -> MutexGuard<'_, DemandBook> {
        lock(&self.demand)
    }

    /// Returns how long the first events of streams take and are waited for.
    pub(crate) fn first_events(&self) -> MutexGuard<'_, FirstEventTimeouts> {
        lock(&self.first_events)
    }

    /// Estimates what the callers of all nodes ask of each model.
    pub(crate) fn estimated_demand(&self) -> Option<Demand> {
        let nodes = 1 + self.loads().others();
        self.demand().estimate(clock::now(), nodes)
    }

    /// Notes that the configuration was complete at a read that was sent at `sent`.
    pub(crate) fn confirm_freshness(&self, sent: Timestamp) {
        self.confirmed_at.fetch_max(sent.0, Ordering::AcqRel);
    }

    /// Returns the age of the configuration, by the clock that goes on through a suspension.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        self.freshness().age(clock::now())
    }

    /// Returns whether callers with keys may be let in.
    pub(crate) fn is_confirmed_fresh(&self) -> bool {
        let bound = Duration::from_millis(self.settings.bounds.key_revocation_ms);
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.freshness().is_confirmed_fresh(clock::now(), limit)
    }

    /// Returns whether the configuration may miss a change that should be in force by now.
    pub(crate) fn is_outdated(&self) -> bool {
        let bound = Duration::from_millis(self.settings.bounds.configuration_ms);
        !self.freshness().is_confirmed_fresh(clock::now(), bound)
    }

    fn freshness(&self) -> Freshness {
        let mut freshness = Freshness::default();
        let confirmed = self.confirmed_at.load(Ordering::Acquire);
        if confirmed > 0 {
            freshness.confirm(Timestamp(confirmed));
        }
        freshness
    }

    /// Returns what this node tells the others of itself.
    pub(crate) fn own_entry(&self) -> PeerNode {
        own_entry(&self.settings)
    }

    /// Notes which node is followed; nothing while the store itself is read.
    pub(crate) fn follow(&self, links: Option<SocketAddr>) {
        self.reads_store.store(links.is_none(), Ordering::Release);
        self.followed.store(links.map(Arc::new));
    }

    /// Returns whether this node reads the store itself; it doesn't before it has chosen its source.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        self.reads_store.load(Ordering::Acquire)
    }

    /// Returns where the node that is followed takes links.
    #[must_use]
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed.load().as_deref().copied()
    }

    /// Notes whether this node controls the groups.
    pub(crate) fn note_control(&self, controls: bool) {
        self.controls.store(controls, Ordering::Release);
    }

    /// Returns whether this node controls the groups.
    pub(crate) fn controls(&self) -> bool {
        self.controls.load(Ordering::Acquire)
    }

    /// Notes that the controller is told of a loss; returns whether it hasn't been lately.
    pub(crate) fn note_reported(&self, key: &GroupKey) -> bool {
        let now = clock::now();
        let mut reported = lock(&self.reported);
        reported.retain(|_, at| now.since(*at) < REPORT_AGAIN);
        if reported.contains_key(key) {
            return false;
        }
        reported.insert(key.clone(), now);
        true
    }

    pub(crate) fn note_registry_read(&self) {
        self.registry_read.store(true, Ordering::Release);
    }

    pub(crate) fn note_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes whether this node controls the groups and is forming some.
    pub(crate) fn note_forming(&self, is_forming: bool) {
        self.forming.store(is_forming, Ordering::Release);
    }

    /// Returns whether this node controls the groups and is forming some.
    pub(crate) fn is_forming(&self) -> bool {
        self.forming.load(Ordering::Acquire)
    }

    /// Returns why the node takes no callers, or nothing when it does.
    pub(crate) fn unready_because(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("the node is leaving");
        }
        if self.catalog.load().is_none() {
            return Some("the node has no configuration yet");
        }
        if !self.registry_read.load(Ordering::Acquire) {
            return Some("the node hasn't read the registry yet");
        }
        if !self.is_confirmed_fresh() {
            return Some("the node's configuration is too old");
        }
        None
    }

    pub(crate) fn note_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether callers' requests have come, or may have before this process started.
    ///
    /// A process that started again during the day has had no request yet. A controller that took that
    /// for the time before traffic would begin all loads at once, far more than the weight store admits.
    pub(crate) fn is_in_traffic(&self) -> bool {
        !self.settings.first_start || self.requests.load(Ordering::Relaxed) > 0
    }

    /// Returns the signal that is given when a group is found lost.
    pub(crate) fn watch_group(&self, key: &GroupKey) -> Signal {
        let mut groups = lock(&self.groups);
        if let Some(watched) = groups.get(key) {
            return watched.lost.clone();
        }
        let (trigger, lost) = Signal::new();
        let watched = Watched {
            lost: lost.clone(),
            trigger,
            lost_at: None,
        };
        groups.insert(key.clone(), watched);
        lost
    }

    /// Notes that a group is lost, so that its requests go elsewhere at once.
    pub(crate) fn lose_group(&self, key: &GroupKey) {
        let now = clock::now();
        let _watched = self.watch_group(key);
        if let Some(watched) = lock(&self.groups).get_mut(key) {
            watched.lost_at = Some(now);
            watched.trigger.give();
        }
    }

    /// Returns whether a group was found lost lately.
    pub(crate) fn is_lost(&self, endpoint: &Endpoint) -> bool {
        let Some(key) = endpoint.group_key() else {
            return false;
        };
        let groups = lock(&self.groups);
        groups
            .get(&key)
            .is_some_and(|group| group.lost_at.is_some())
    }

    /// Forgets groups that nobody speaks of any more, and losses that are long ago.
    pub(crate) fn tidy_groups(&self, now: Timestamp, directory: &Directory) {
        lock(&self.groups).retain(|key, watched| {
            let lost_long = watched.lost_at.is_some_and(|at| now.since(at) > LOST_FOR);
            !lost_long && directory.members(key).next().is_some()
        });
        self.loads().forget(|id| directory.find(id).is_some());
        lock(&self.cold).retain(|id, _| directory.is_cold(now, id));
        lock(&self.contentions).tidy(now);
    }
}

fn own_entry(settings: &EntrySettings) -> PeerNode {
    PeerNode {
        node: settings.node.clone(),
        failure_domain: settings.failure_domain.clone(),
        links: settings.links,
        processor_share: settings.processor_share,
    }
}
