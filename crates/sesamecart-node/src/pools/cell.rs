//! One pool with the requests that wait for a turn in it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::Sender;
use indexmap::{IndexMap, IndexSet};
use sesamecart_config::{Customer, Endpoint, EndpointKind};
use sesamecart_decisions::admission::{Refusal, Ticket};
use sesamecart_decisions::allowance::{BorrowedPermits, EndpointLimits, EndpointWork};
use sesamecart_decisions::pool::{NodeTopology, Placement, Pool, StartedRequest};
use sesamecart_decisions::routing::{EndpointState, PoolEndpoint};
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{
    EndpointId, ModelId, NodeId, ServiceId, Timestamp, Tokens, stable_hash,
};

use crate::snapshot::Snapshot;

/// The endpoints among which a request may be sent: those of a model or a plain service, or the
/// part of them that serves its customer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    work: PoolWork,
    endpoints: Vec<EndpointId>,
}

/// What a pool's endpoints serve.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum PoolWork {
    Model(ModelId),
    Service(ServiceId),
}

impl PoolKey {
    /// Returns the pool for a customer's use of a model.
    pub(crate) fn model(model: &ModelId, customer: &Customer) -> Self {
        Self {
            work: PoolWork::Model(model.clone()),
            endpoints: customer.endpoints.iter().cloned().collect(),
        }
    }

    /// Returns the pool for a customer's use of a plain service.
    pub(crate) fn service(service: &ServiceId, customer: &Customer) -> Self {
        Self {
            work: PoolWork::Service(service.clone()),
            endpoints: customer.endpoints.iter().cloned().collect(),
        }
    }

    /// Returns all endpoints of the pool, also those that take no new work now.
    fn members<'a>(&'a self, snapshot: &'a Snapshot) -> Vec<(&'a EndpointId, &'a Endpoint)> {
        let members = match &self.work {
            PoolWork::Model(model) => snapshot.all_model_endpoints(model),
            PoolWork::Service(service) => snapshot.all_endpoints_of_service(service),
        };
        members
            .filter(|(id, _)| self.endpoints.is_empty() || self.endpoints.contains(id))
            .collect()
    }
}

/// Returns what configuration says that an endpoint bears, as decisions take it.
pub(super) fn limits_of(endpoint: &Endpoint) -> EndpointLimits {
    let kind = match endpoint.kind {
        EndpointKind::Group(_) => EndpointWork::Engine,
        EndpointKind::Service(_) => EndpointWork::Service,
    };
    EndpointLimits {
        cold: endpoint.limits.cold,
        warm: endpoint.limits.warm,
        kv_tokens: endpoint.limits.kv_tokens,
        kind,
    }
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug)]
pub(super) enum Verdict {
    Start(StartedRequest),
    Refuse(Refusal),
}

/// A pool, its waiting requests, and the name under which this node borrows for it.
#[derive(Debug)]
pub(super) struct PoolCell {
    pub(super) borrower: NodeId,
    members: IndexSet<EndpointId>,
    inner: Mutex<Inner>,
}

/// The parts of a cell that change.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pool: Pool,
    pub(super) waiters: IndexMap<Ticket, Sender<Verdict>>,
    /// Requests that have a turn.
    pub(super) turns: usize,
}

impl PoolCell {
    /// Makes the pool of a key; each remake of a pool borrows under a name of its own, so that an
    /// owner doesn't take the demand of the new one for that of the old one, whose requests still
    /// run.
    pub(super) fn new(
        key: &PoolKey,
        snapshot: &Snapshot,
        place: &NodeTopology,
        remake: u64,
        cfg: DecisionSettings,
    ) -> Arc<Self> {
        let members = key.members(snapshot);
        let endpoints = members.iter().map(|(id, endpoint)| {
            let kv = limits_of(endpoint).kv_per_permit();
            let books = BorrowedPermits::new(kv, &cfg.allowance);
            PoolEndpoint::new((*id).clone(), endpoint.failure_domain.clone(), books)
        });
        let hash = stable_hash(&format!("{key:?}"));
        let borrower = format!("{}/{hash:x}/{remake}", place.node);
        let mut pool = Pool::new(place, endpoints, cfg, hash ^ remake);
        if let Some(largest) = largest(&members) {
            pool.set_max_request_kv(largest);
        }
        let cell = Self {
            borrower: borrower.parse().unwrap_or_else(|_| place.node.clone()),
            members: members.iter().map(|(id, _)| (*id).clone()).collect(),
            inner: Mutex::new(Inner {
                pool,
                waiters: IndexMap::new(),
                turns: 0,
            }),
        };
        Arc::new(cell)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the pool has the endpoints that the configuration now gives it.
    pub(super) fn is_current(&self, key: &PoolKey, snapshot: &Snapshot) -> bool {
        let members = key.members(snapshot);
        members.len() == self.members.len()
            && members.iter().all(|(id, _)| self.members.contains(*id))
    }

    /// Takes over which endpoints may have new work.
    pub(super) fn apply(&self, now: Timestamp, snapshot: &Snapshot) {
        let mut inner = self.lock();
        let states: Vec<_> = inner
            .pool
            .endpoints()
            .iter()
            .map(|known| match snapshot.takes_work(&known.id) {
                true => EndpointState::Active,
                false => EndpointState::Draining,
            })
            .collect();
        for (endpoint, state) in states.into_iter().enumerate() {
            inner.pool.set_state(now, endpoint, state);
        }
    }

    /// Returns whether nothing waits or runs in it any more.
    pub(super) fn is_idle(&self) -> bool {
        let inner = self.lock();
        inner.turns == 0 && inner.waiters.is_empty()
    }
}

/// Returns the largest request that some endpoint could hold; none if memory is no limit.
fn largest(members: &[(&EndpointId, &Endpoint)]) -> Option<Tokens> {
    let all = members
        .iter()
        .map(|(_, endpoint)| endpoint.limits.kv_tokens);
    let largest = all.clone().max()?;
    all.into_iter().all(|kv| kv.0 > 0).then_some(largest)
}

impl Inner {
    /// Tells waiting requests what became of them.
    pub(super) fn settle(&mut self, now: Timestamp) {
        for placement in self.pool.poll(now) {
            match placement {
                Placement::Run(start) => self.start(now, start),
                Placement::Refuse(refusal) => {
                    if let Some(waiter) = self.waiters.swap_remove(&refusal.ticket) {
                        let _gone = waiter.try_send(Verdict::Refuse(refusal));
                    }
                }
                Placement::Wait => {}
            }
        }
    }

    fn start(&mut self, _now: Timestamp, start: StartedRequest) {
        // A waiter that leaves takes its ticket out under the same lock, so each start has one.
        if let Some(waiter) = self.waiters.swap_remove(&start.ticket) {
            self.turns += 1;
            let _told = waiter.try_send(Verdict::Start(start));
        }
    }
}
