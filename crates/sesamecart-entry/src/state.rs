//! The state that all threads of a node share, and the age of its configuration.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::Event as Notifier;
use indexmap::IndexMap;
use sesamecart_edges::Connections;
use sesamecart_fleet::{
    AuthorityRanking, BlockedRequest, Catalog, ColdRateLimit, Deferred, Demand, DemandTracker,
    Directory, FirstEventTimeouts, Freshness, GroupKey, LoadTracker, MemberSilences, PeerNode,
    RetryBudget, StoreAvailability, StoreEras, readers, standbys,
};
use sesamecart_vocabulary::{
    EndpointId, FailureDomainId, LogPosition, ModelId, ServiceId, Timestamp,
};

use crate::backoffs::Backoffs;
use crate::clock;
use crate::crashes::Crashes;
use crate::deferred::Removal;
use crate::dispatch::Dispatch;
use crate::events::EventLog;
use crate::feed::Feed;
use crate::leaving::LeavingGroups;
use crate::limits::Limits;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::reach::Reach;
use crate::refusal_counts::RefusalCounts;
use crate::settings::EntrySettings;
use crate::start_steps::{StartStep, StartSteps};
use crate::state::budgets::Contentions;
use crate::state::group_signals::GroupSignal;
use crate::stopping::{Stop, StopTimes};
use crate::traffic::body_memory::BodyMemory;

pub(crate) mod budgets;
mod group_signals;
#[cfg(test)]
mod tests;

/// Subtracted from the key revocation bound, to allow for clock skew and requests in flight.
const KEY_REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Minimum time between two reports of the same lost group to the controller. By then the controller has
/// probed the members, or the report didn't reach it.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_millis(800);

/// The state that the threads of one node share.
#[derive(Debug)]
pub struct EntryState {
    /// The node's settings.
    pub settings: EntrySettings,
    /// The decision log.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Open connections of callers.
    pub connections: Connections,
    /// The memory of the requests and responses that are being buffered.
    pub(crate) body_memory: BodyMemory,
    /// The memory of the streams that are read ahead of their callers.
    pub(crate) read_ahead_memory: BodyMemory,
    /// The steps of its start that this node has reached.
    pub(crate) start_steps: StartSteps,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) directory: ArcSwap<Directory>,
    pub(crate) nodes: ArcSwap<Vec<PeerNode>>,
    /// Notified when a node was added that this node may not know.
    pub(crate) node_added: Notifier,
    pub(crate) feed: Feed,
    /// The era of the store.
    pub(crate) store_eras: StoreEras,
    /// Notified when a later era of the store was learned.
    pub(crate) era_changed: Notifier,
    /// When the store has answered, as far as this node knows.
    pub(crate) store_availability: Mutex<StoreAvailability>,
    /// Where this node's entry in the list of nodes was written, once it was.
    own_entry_at: Mutex<Option<LogPosition>>,
    /// Notified when the list of nodes lacks this node's entry.
    pub(crate) own_entry_missing: Notifier,
    /// The configuration in force, as the operator wrote it.
    pub(crate) configuration_record: ArcSwapOption<Vec<u8>>,
    /// The address for links of the node that this node follows; `None` while it reads the store itself.
    upstream: ArcSwapOption<SocketAddr>,
    reads_store: AtomicBool,
    /// Whether this node searches for a source because the store turned it away.
    is_searching: AtomicBool,
    is_controller: AtomicBool,
    pub(crate) loads: Mutex<LoadTracker>,
    demand: Mutex<DemandTracker>,
    first_event_timeouts: Mutex<FirstEventTimeouts>,
    /// Notified whenever a request is sent, gets the start of its response or ends.
    pub(crate) loads_changed: Notifier,
    pub(crate) refusals: RefusalCounts,
    confirmed_at: AtomicU64,
    /// When the last read of the operator's topic was sent, by this node or by those that it follows.
    source_read_at: AtomicU64,
    registry_read: AtomicBool,
    pub(crate) stop: Stop,
    forming: AtomicBool,
    requests: AtomicUsize,
    group_signals: Mutex<IndexMap<GroupKey, GroupSignal>>,
    member_silences: Mutex<MemberSilences>,
    losses_reported: Mutex<IndexMap<GroupKey, Timestamp>>,
    retries: Mutex<IndexMap<ServiceId, RetryBudget>>,
    cold: Mutex<IndexMap<EndpointId, ColdRateLimit>>,
    contentions: Mutex<Contentions>,
    /// The evidence about requests that crash endpoints.
    pub(crate) crashes: Arc<Crashes>,
    /// The nodes that decide for all nodes.
    authorities: Mutex<AuthorityRanking>,
    /// The backoffs that endpoints have requested from this node.
    pub(crate) backoffs: Backoffs,
    /// The limits that endpoints name.
    pub(crate) limits: Limits,
    /// The paths to endpoints.
    pub(crate) reach: Reach,
    /// What this node knows of dispatchers, and has of them.
    pub(crate) dispatch: Dispatch,
    /// The groups with a member that has said that it leaves.
    pub(crate) leaving_groups: LeavingGroups,
    /// What is missing in the store, and when it is removed.
    pub(crate) deferred: Mutex<Deferred<Removal>>,
    /// Notified when the next removal may be due at another time.
    pub(crate) deferred_changed: Notifier,
}

impl EntryState {
    /// Creates the state of a node that has read nothing yet.
    #[must_use]
    pub fn new(settings: EntrySettings, events: EventLog, metrics: Metrics) -> Self {
        let body_memory = BodyMemory::new(settings.memory_mb);
        Self {
            nodes: ArcSwap::from_pointee(vec![local_peer(&settings)]),
            node_added: Notifier::new(),
            feed: Feed::new(),
            store_eras: StoreEras::default(),
            era_changed: Notifier::new(),
            store_availability: Mutex::new(StoreAvailability::new(
                settings.bounds.heartbeat_interval(),
            )),
            own_entry_at: Mutex::default(),
            own_entry_missing: Notifier::new(),
            configuration_record: ArcSwapOption::empty(),
            upstream: ArcSwapOption::empty(),
            reads_store: AtomicBool::new(false),
            is_searching: AtomicBool::new(false),
            is_controller: AtomicBool::new(false),
            read_ahead_memory: body_memory.for_read_ahead(),
            body_memory,
            settings,
            events,
            metrics,
            connections: Connections::default(),
            start_steps: StartSteps::new(clock::now()),
            catalog: ArcSwapOption::empty(),
            directory: ArcSwap::default(),
            loads: Mutex::default(),
            demand: Mutex::default(),
            first_event_timeouts: Mutex::default(),
            loads_changed: Notifier::new(),
            refusals: RefusalCounts::default(),
            confirmed_at: AtomicU64::new(0),
            source_read_at: AtomicU64::new(0),
            registry_read: AtomicBool::new(false),
            stop: Stop::new(),
            forming: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            group_signals: Mutex::default(),
            member_silences: Mutex::default(),
            losses_reported: Mutex::default(),
            retries: Mutex::default(),
            cold: Mutex::default(),
            contentions: Mutex::default(),
            crashes: Arc::new(Crashes::new()),
            authorities: Mutex::default(),
            backoffs: Backoffs::default(),
            limits: Limits::default(),
            reach: Reach::default(),
            dispatch: Dispatch::default(),
            leaving_groups: LeavingGroups::default(),
            deferred: Mutex::default(),
            deferred_changed: Notifier::new(),
        }
    }

    /// Returns the number of open groups that this node may send requests to.
    #[must_use]
    pub fn open_group_count(&self) -> usize {
        let directory = self.directory.load();
        let heads = directory
            .listed()
            .filter(|endpoint| endpoint.is_open_head());
        heads.filter(|head| directory.takes_work(head)).count()
    }

    /// Returns the version of the configuration in force, or 0 while there is none.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let catalog = self.catalog.load();
        catalog.as_ref().map_or(0, |catalog| catalog.version.0)
    }

    /// Returns the number of requests that other nodes report to have in flight at the heads of groups.
    #[must_use]
    pub fn peer_requests_in_flight(&self) -> u32 {
        self.loads().peer_in_flight()
    }

    /// Returns the number of nodes that this node knows, itself included.
    #[must_use]
    pub fn known_nodes(&self) -> usize {
        self.nodes.load().len()
    }

    /// Returns the number of other nodes that report their loads to this one.
    #[must_use]
    pub fn reporting_nodes(&self) -> usize {
        self.loads().reporting_nodes()
    }

    /// Returns the number of groups of a model that the callers of all nodes keep busy, or `None` while
    /// there is no estimate yet.
    #[must_use]
    pub fn estimated_groups_needed(&self, model: &ModelId) -> Option<f64> {
        self.estimated_demand().map(|demand| demand.groups(model))
    }

    /// Returns the requests that this node refuses because they have crashed endpoints.
    #[must_use]
    pub fn blocked_requests(&self) -> Vec<BlockedRequest> {
        self.crashes.tracker().blocked().cloned().collect()
    }

    /// Returns the largest number of crashes that this node attributes to one request.
    #[must_use]
    pub fn most_crashes_of_a_request(&self) -> u32 {
        self.crashes.tracker().most_crashes()
    }

    /// Returns whether an endpoint is listed.
    #[must_use]
    pub fn knows_endpoint(&self, id: &str) -> bool {
        let directory = self.directory.load();
        directory
            .listed()
            .any(|endpoint| endpoint.id.as_str() == id)
    }

    /// Returns the failure domains that are evacuated and get no new work.
    #[must_use]
    pub fn evacuated_domains(&self) -> Vec<FailureDomainId> {
        let directory = self.directory.load();
        directory.evacuated().iter().cloned().collect()
    }

    pub(crate) fn authorities(&self) -> MutexGuard<'_, AuthorityRanking> {
        lock(&self.authorities)
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        lock(&self.loads)
    }

    /// Returns the demand for each model that this node has recorded.
    pub(crate) fn demand(&self) -> MutexGuard<'_, DemandTracker> {
        lock(&self.demand)
    }

    /// Returns the timeouts for the first events of streams, and the times that they are derived from.
    pub(crate) fn first_event_timeouts(&self) -> MutexGuard<'_, FirstEventTimeouts> {
        lock(&self.first_event_timeouts)
    }

    /// Estimates the demand of the callers of all nodes for each model.
    pub(crate) fn estimated_demand(&self) -> Option<Demand> {
        let nodes = 1 + self.loads().other_nodes();
        self.demand().estimate(clock::now(), nodes)
    }

    /// Records that a read sent at `sent` showed the configuration to be complete.
    pub(crate) fn confirm_configuration(&self, sent: Timestamp) {
        self.confirmed_at.fetch_max(sent.0, Ordering::AcqRel);
    }

    /// Records that a read of the operator's topic was sent at `sent`, also if it doesn't confirm the configuration.
    pub(crate) fn record_source_read(&self, sent: Timestamp) {
        self.source_read_at.fetch_max(sent.0, Ordering::AcqRel);
    }

    /// Returns how long ago the last read of the operator's topic was sent.
    pub(crate) fn source_age(&self) -> Option<Duration> {
        let read_at = self.source_read_at.load(Ordering::Acquire);
        (read_at > 0).then(|| clock::now().since(Timestamp(read_at)))
    }

    /// Records where this node's entry in the list of nodes was written.
    pub(crate) fn set_own_entry(&self, position: LogPosition) {
        *lock(&self.own_entry_at) = Some(position);
    }

    /// Returns whether this node's entry was written before `end`, so that a list that ends there must have it.
    pub(crate) fn has_own_entry_before(&self, end: LogPosition) -> bool {
        lock(&self.own_entry_at).is_some_and(|at| at < end)
    }

    /// Returns the age of the configuration, by a clock that also advances while the machine is suspended.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        self.freshness().age(clock::now())
    }

    /// Returns whether the configuration is fresh enough to accept callers by their keys.
    pub(crate) fn is_confirmed_fresh(&self) -> bool {
        let bound = Duration::from_millis(self.settings.bounds.key_revocation_ms);
        let limit = bound.saturating_sub(KEY_REVOCATION_MARGIN);
        self.freshness().is_fresh(clock::now(), limit)
    }

    /// Returns whether the configuration may lack a change that must already be in force.
    pub(crate) fn is_configuration_outdated(&self) -> bool {
        let bound = Duration::from_millis(self.settings.bounds.configuration_ms);
        !self.freshness().is_fresh(clock::now(), bound)
    }

    fn freshness(&self) -> Freshness {
        let mut freshness = Freshness::default();
        let confirmed = self.confirmed_at.load(Ordering::Acquire);
        if confirmed > 0 {
            freshness.confirm(Timestamp(confirmed));
        }
        freshness
    }

    /// Returns the addresses for links of the other nodes that may be followed: the readers of the store, and the
    /// standbys, which may serve in their place.
    pub(crate) fn nodes_with_followers(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.load();
        let serving = readers(&nodes).into_iter().chain(standbys(&nodes));
        let others = serving.filter(|peer| peer.node != self.settings.node);
        others.map(|peer| peer.links).collect()
    }

    /// Returns the record of this node that is published to the other nodes.
    pub(crate) fn local_peer(&self) -> PeerNode {
        local_peer(&self.settings)
    }

    /// Sets the address for links of the node that this node follows, or `None` to read the store itself.
    pub(crate) fn set_upstream(&self, address: Option<SocketAddr>) {
        self.reads_store.store(address.is_none(), Ordering::Release);
        self.upstream.store(address.map(Arc::new));
        self.is_searching.store(false, Ordering::Release);
    }

    /// Records that this node searches for a source. The node that it followed last stays its upstream, which
    /// answers questions about groups also without the store.
    pub(crate) fn begin_search(&self) {
        self.reads_store.store(false, Ordering::Release);
        self.is_searching.store(true, Ordering::Release);
    }

    /// Returns the node to which this node refers others that search for a source: the one that it follows, while
    /// that serves.
    pub(crate) fn referral(&self) -> Option<SocketAddr> {
        let is_served =
            !self.is_searching.load(Ordering::Acquire) && !self.is_configuration_outdated();
        self.upstream().filter(|_| is_served)
    }

    /// Returns whether this node reads the store itself; false until it has chosen its source.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        self.reads_store.load(Ordering::Acquire)
    }

    /// Returns the address for links of the node that this node follows.
    #[must_use]
    pub fn upstream(&self) -> Option<SocketAddr> {
        self.upstream.load().as_deref().copied()
    }

    /// Sets whether this node controls the groups.
    pub(crate) fn set_controller(&self, is_controller: bool) {
        self.is_controller.store(is_controller, Ordering::Release);
    }

    /// Returns whether this node controls the groups.
    #[must_use]
    pub fn is_controller(&self) -> bool {
        self.is_controller.load(Ordering::Acquire)
    }

    /// Records that the loss of a group is reported to the controller. Returns false if it was already
    /// reported a short time ago and needs no other report.
    pub(crate) fn mark_loss_reported(&self, key: &GroupKey) -> bool {
        let now = clock::now();
        let mut reported = lock(&self.losses_reported);
        reported.retain(|_, at| now.since(*at) < LOSS_REPORT_INTERVAL);
        if reported.contains_key(key) {
            return false;
        }
        reported.insert(key.clone(), now);
        true
    }

    pub(crate) fn set_registry_read(&self) {
        self.registry_read.store(true, Ordering::Release);
        self.reach_start_step(StartStep::Registry);
    }

    pub(crate) fn set_leaving(&self, times: StopTimes) {
        self.stop.begin(times);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.times().is_some()
    }

    /// Sets whether this node controls the groups and is forming some.
    pub(crate) fn set_forming(&self, is_forming: bool) {
        self.forming.store(is_forming, Ordering::Release);
    }

    /// Returns whether this node controls the groups and is forming some.
    pub(crate) fn is_forming(&self) -> bool {
        self.forming.load(Ordering::Acquire)
    }

    /// Returns the reason why the node isn't ready for callers, or `None` if it is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
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

    pub(crate) fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether requests of callers have arrived, or may have arrived before this process started.
    ///
    /// A process that is restarted while the deployment serves traffic has received no request yet. If its
    /// controller concluded that there is no traffic, it would start all loads at once, far more than the
    /// weight store admits.
    pub(crate) fn is_in_traffic(&self) -> bool {
        !self.settings.first_start || self.requests.load(Ordering::Relaxed) > 0
    }

    /// Removes entries of groups and endpoints that are no longer in the directory, and expired losses.
    pub(crate) fn prune_groups(&self, now: Timestamp, directory: &Directory) {
        self.prune_group_signals(now, directory);
        self.loads().prune(|id| directory.find(id).is_some());
        self.backoffs.prune(|id| directory.find(id).is_some());
        self.limits.prune(now, |id| directory.find(id).is_some());
        lock(&self.cold).retain(|id, _| directory.is_cold(now, id));
        lock(&self.contentions).prune(now);
    }
}

fn local_peer(settings: &EntrySettings) -> PeerNode {
    PeerNode {
        node: settings.node.clone(),
        failure_domain: settings.failure_domain.clone(),
        links: settings.links,
        forwarding: settings.forwarding,
        processor_share: settings.processor_share,
        memory_mb: settings.memory_mb,
    }
}
