//! Which endpoints this node can't reach, and which nodes forward its requests to them meanwhile.
//!
//! The rules are in [`sesamecart_fleet::ReachTracker`] and [`sesamecart_fleet::Helpers`];
//! docs/design/forwarding.md describes them.

mod checker;
mod link_check;
mod monitor;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event as Notifier, EventListener};
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use sesamecart_fleet::{
    Endpoint, ForwardingGate, Helpers, PeerNode, Pool, ReachChange, ReachTracker,
};
use sesamecart_runtime::{Signal, Trigger};
use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, ServiceId, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
pub(crate) use crate::reach::checker::ReachChecker;
pub(crate) use crate::reach::link_check::check_links;
pub(crate) use crate::reach::monitor::ReachMonitor;
use crate::state::EntryState;

/// How long a node that can't reach engines keeps control of the groups. Most losses of a path end sooner, and
/// a change of control interrupts what is being formed.
const CONTROL_HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// How long a node competes for control after another one has asked it to.
const CONTROL_REQUEST_TTL: Duration = Duration::from_secs(3);

/// What a node knows about its paths to endpoints, shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    state: Mutex<ReachState>,
    gate: Mutex<ForwardingGate>,
    changed: Notifier,
    /// The time until which this node competes for control because another one asked it to.
    control_requested_until: AtomicU64,
}

#[derive(Debug, Default)]
struct ReachState {
    tracker: ReachTracker,
    /// The services that must be checked although no connection to them has failed yet.
    suspects: IndexSet<ServiceId>,
    helpers: IndexMap<Pool, Helpers>,
    uses: IndexMap<NodeId, HelperState>,
}

/// The use that this node makes of a helper.
#[derive(Debug)]
struct HelperState {
    peer: PeerNode,
    /// The pool that it was last used for.
    pool: Pool,
    in_flight: usize,
    /// When it last answered.
    answered_at: Timestamp,
    lost: Signal,
    loss_trigger: Trigger,
}

impl HelperState {
    fn new(peer: PeerNode, pool: Pool) -> Self {
        let (loss_trigger, lost) = Signal::new();
        Self {
            peer,
            pool,
            in_flight: 0,
            answered_at: clock::now(),
            lost,
            loss_trigger,
        }
    }
}

/// A request that a helper forwards for this node. It ends when this value is dropped.
#[derive(Debug)]
pub(crate) struct HelperUse {
    state: Arc<EntryState>,
    pub(crate) peer: PeerNode,
    /// Set when the helper doesn't answer any more.
    pub(crate) lost: Signal,
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        // The count that includes a lost use was removed with the loss.
        if self.lost.is_set() {
            return;
        }
        let mut reach = self.state.reach.lock();
        if let Some(helper) = reach.uses.get_mut(&self.peer.node) {
            helper.in_flight = helper.in_flight.saturating_sub(1);
        }
    }
}

/// A request that this node forwards for another one. It ends when this value is dropped.
#[derive(Debug)]
pub(crate) struct ForwardingPermit {
    state: Arc<EntryState>,
    body_bytes: usize,
}

impl Drop for ForwardingPermit {
    fn drop(&mut self) {
        self.state.reach.gate().leave(self.body_bytes);
    }
}

/// A pool of endpoints that this node doesn't reach, as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnreachablePool {
    /// The service, and the model if there is one.
    pub pool: String,
    /// The milliseconds for which it has been unreachable.
    pub unreachable_ms: u64,
    /// The nodes that forward this node's requests to it.
    pub helpers: Vec<NodeId>,
    /// The requests that they are forwarding for this node now, to any pool.
    pub in_flight: usize,
}

impl Reach {
    fn lock(&self) -> MutexGuard<'_, ReachState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn gate(&self) -> MutexGuard<'_, ForwardingGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests a check of a service whose endpoints seem to be unreachable.
    pub(crate) fn suspect(&self, service: &ServiceId) {
        if self.lock().suspects.insert(service.clone()) {
            self.notify();
        }
    }

    /// Returns whether endpoints of a pool have failed, and it is being checked whether the pool is lost.
    pub(crate) fn is_suspected(&self, pool: &Pool) -> bool {
        let reach = self.lock();
        let mut suspected = reach.tracker.suspected();
        suspected.any(|(suspected, _)| suspected == pool)
    }

    /// Returns the time since which no endpoint of a pool is reachable.
    pub(crate) fn lost_since(&self, pool: &Pool) -> Option<Timestamp> {
        self.lock().tracker.lost_since(pool)
    }

    /// Returns whether other nodes reach endpoints of a service that this node doesn't reach, so that this node
    /// must not act on what it sees of them.
    pub(crate) fn is_partitioned_from(&self, service: &ServiceId) -> bool {
        self.partitioned_since(Some(service)).is_some()
    }

    /// Returns whether this node should leave control of the groups to another one.
    pub(crate) fn should_hand_over_control(&self) -> bool {
        let since = self.partitioned_since(None);
        since.is_some_and(|since| clock::now().since(since) >= CONTROL_HANDOVER_DELAY)
    }

    fn partitioned_since(&self, service: Option<&ServiceId>) -> Option<Timestamp> {
        let reach = self.lock();
        let lost = reach.tracker.lost();
        let lost = lost.filter(|(pool, _)| {
            let is_meant = service.map_or(pool.model.is_some(), |service| pool.service == *service);
            let helpers = reach.helpers.get(*pool);
            is_meant && helpers.is_some_and(Helpers::has_confirmed)
        });
        lost.map(|(_, since)| since).min()
    }

    /// Records that another node asks this one to compete for control in its place.
    fn request_control(&self) {
        let until = clock::now() + CONTROL_REQUEST_TTL;
        self.control_requested_until
            .fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns whether another node has asked this one to compete for control.
    pub(crate) fn is_control_requested(&self) -> bool {
        clock::now().0 < self.control_requested_until.load(Ordering::Acquire)
    }

    /// Records that a helper can't take requests for a pool.
    pub(crate) fn deny_helper(&self, pool: &Pool, node: &NodeId) {
        if let Some(helpers) = self.lock().helpers.get_mut(pool) {
            helpers.record_denial(clock::now(), node);
        }
        self.notify();
    }

    /// Wakes the monitor, and the requests that wait for a helper.
    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

impl EntryState {
    /// Returns the pools of endpoints that this node doesn't reach.
    #[must_use]
    pub fn unreachable_pools(&self) -> Vec<UnreachablePool> {
        let now = clock::now();
        let reach = self.reach.lock();
        let in_flight = reach.uses.values().map(|helper| helper.in_flight).sum();
        let lost = reach.tracker.lost().map(|(pool, since)| {
            let helpers = reach.helpers.get(pool);
            let confirmed = helpers.into_iter().flat_map(Helpers::confirmed);
            UnreachablePool {
                pool: pool.to_string(),
                unreachable_ms: millis(now.since(since)),
                helpers: confirmed.map(|peer| peer.node.clone()).collect(),
                in_flight,
            }
        });
        lost.collect()
    }

    /// Returns the number of requests that this node is forwarding for other nodes.
    #[must_use]
    pub fn forwarded_in_flight(&self) -> usize {
        self.reach.gate().requests()
    }

    /// Records that a connection to an endpoint of a pool couldn't be opened.
    pub(crate) fn record_unreachable(&self, pool: &Pool, endpoint: &EndpointId) {
        let pool_size = {
            let directory = self.directory.load();
            let model = pool.model.as_ref();
            directory.candidates(&pool.service, model).count()
        };
        let now = clock::now();
        let change = {
            let mut reach = self.reach.lock();
            reach.tracker.record_failure(now, pool, endpoint, pool_size)
        };
        self.report_reach(pool, change);
        self.reach.notify();
    }

    /// Records that an endpoint of a pool accepted a connection.
    pub(crate) fn record_reachable(&self, pool: &Pool) {
        let change = {
            let mut reach = self.reach.lock();
            reach.tracker.record_connection(clock::now(), pool)
        };
        self.report_reach(pool, change);
    }

    fn report_reach(&self, pool: &Pool, change: Option<ReachChange>) {
        let Some(change) = change else { return };
        let lost = {
            let mut reach = self.reach.lock();
            // Answers from before this loss, or after its end, say nothing about it.
            reach.helpers.shift_remove(pool);
            reach.tracker.lost().count()
        };
        self.metrics.record_unreachable_pools(lost);
        let pool_name = pool.to_string();
        match change {
            ReachChange::Lost(since) => self.events.write(&Event::ReachLost {
                pool: &pool_name,
                since_ms: millis(clock::now().since(since)),
            }),
            ReachChange::Regained(duration) => self.events.write(&Event::ReachRegained {
                pool: &pool_name,
                lost_ms: millis(duration),
            }),
        }
        self.reach.notify();
    }

    /// Returns whether a node can forward requests to a pool.
    pub(crate) fn has_helper(&self, pool: &Pool) -> bool {
        let reach = self.reach.lock();
        let helpers = reach.helpers.get(pool);
        helpers.is_some_and(Helpers::has_confirmed)
    }

    /// Chooses a node to forward a request to a pool, without those in `tried`.
    pub(crate) fn choose_helper(
        self: &Arc<Self>,
        pool: &Pool,
        tried: &IndexSet<NodeId>,
    ) -> Option<HelperUse> {
        let own: &FailureDomainId = &self.settings.failure_domain;
        let mut reach = self.reach.lock();
        let ReachState { helpers, uses, .. } = &mut *reach;
        let in_flight = |node: &NodeId| uses.get(node).map_or(0, |helper| helper.in_flight);
        let helpers = helpers.get(pool)?;
        let peer = helpers
            .choose(own, tried, in_flight, fastrand::f64)?
            .clone();
        if !uses.contains_key(&peer.node) {
            let helper = HelperState::new(peer.clone(), pool.clone());
            uses.insert(peer.node.clone(), helper);
        }
        let helper = &mut uses[&peer.node];
        helper.in_flight += 1;
        let lost = helper.lost.clone();
        Some(HelperUse {
            state: Arc::clone(self),
            peer,
            lost,
        })
    }

    /// Admits a request of another node with a body of up to `body_bytes`, unless this node has no room.
    pub(crate) fn try_forward(self: &Arc<Self>, body_bytes: usize) -> Option<ForwardingPermit> {
        let has_room = !self.is_leaving() && self.reach.gate().try_enter(body_bytes);
        has_room.then(|| ForwardingPermit {
            state: Arc::clone(self),
            body_bytes,
        })
    }
}

/// Returns up to `count` random endpoints of a pool that get new work and aren't in `except`.
fn sample(
    state: &EntryState,
    pool: &Pool,
    count: usize,
    except: &IndexSet<EndpointId>,
) -> Vec<Arc<Endpoint>> {
    let directory = state.directory.load();
    let candidates = directory.candidates(&pool.service, pool.model.as_ref());
    let candidates = candidates.filter(|endpoint| !except.contains(&endpoint.id));
    let mut sample: Vec<Arc<Endpoint>> = candidates.cloned().collect();
    fastrand::shuffle(&mut sample);
    sample.truncate(count);
    sample
}
