//! What this node may send: its shares of retries and of requests to cold endpoints, and its customers' shares.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{
    ColdAllowance, Endpoint, FairShare, PeerNode, RetryAllowance, RetrySchedule,
};
use sesamecart_vocabulary::{
    CustomerId, EndpointId, ModelId, NodeId, ServiceId, Timestamp, rendezvous_weight,
};

use super::{Beliefs, lock};
use crate::clock;

/// The endpoints that requests compete for: a service's, or the groups of one of its models.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Pool {
    pub(crate) service: ServiceId,
    pub(crate) model: Option<ModelId>,
}

/// What this node knows of the requests that compete for the same endpoints.
#[derive(Debug, Default)]
struct Contention {
    shares: FairShare,
    retries: RetrySchedule,
}

/// The requests that compete for each pool of endpoints.
#[derive(Debug, Default)]
pub(super) struct Contentions(IndexMap<Pool, Contention>);

impl Contentions {
    fn of(&mut self, pool: &Pool) -> &mut Contention {
        if !self.0.contains_key(pool) {
            self.0.insert(pool.clone(), Contention::default());
        }
        &mut self.0[pool]
    }

    /// Forgets customers that have asked nothing for long.
    pub(super) fn tidy(&mut self, now: Timestamp) {
        for contention in self.0.values_mut() {
            contention.shares.tidy(now);
        }
    }
}

impl Beliefs {
    /// Notes a request that was placed.
    pub(crate) fn note_placed(&self, pool: &Pool, customer: Option<&CustomerId>) {
        let now = clock::now();
        let mut contentions = lock(&self.contentions);
        let contention = contentions.of(pool);
        contention.retries.note_placed(now);
        if let Some(customer) = customer {
            contention.shares.note_placed(now, customer);
        }
    }

    /// Returns whether a customer has got what it may where others are likely to need the places of a pool.
    pub(crate) fn is_over_share(&self, pool: &Pool, customer: &CustomerId, load: f64) -> bool {
        let mut contentions = lock(&self.contentions);
        let shares = &contentions.of(pool).shares;
        shares.is_over_share(clock::now(), customer, load)
    }

    /// Returns when a caller that found no place may come back.
    pub(crate) fn schedule_retry(&self, pool: &Pool) -> Duration {
        let mut contentions = lock(&self.contentions);
        let retries = &mut contentions.of(pool).retries;
        retries.schedule(clock::now(), fastrand::f64())
    }

    /// Counts a first attempt at a service.
    pub(crate) fn deposit_retry(&self, service: &ServiceId) {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.deposit(now));
    }

    /// Returns whether this node has a retry left at a service.
    pub(crate) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.has_left(now))
    }

    /// Takes a retry at a service, if this node has one left.
    pub(crate) fn try_withdraw_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.try_withdraw(now))
    }

    fn with_retries<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryAllowance) -> T,
    ) -> T {
        let nodes = self.nodes.load().len();
        let mut retries = lock(&self.retries);
        if !retries.contains_key(service) {
            let allowance = RetryAllowance::new(self.settings.bounds.retries(), nodes);
            retries.insert(service.clone(), allowance);
        }
        let allowance = &mut retries[service];
        allowance.set_nodes(nodes);
        act(allowance)
    }

    /// Takes one request out of this node's share of what a cold endpoint bears.
    pub(crate) fn take_cold(&self, endpoint: &Endpoint, per_s: f64) -> bool {
        let now = clock::now();
        let mut cold = lock(&self.cold);
        let allowance = cold.entry(endpoint.id.clone()).or_insert_with(|| {
            let nodes = self.nodes.load();
            let rank = rank(&self.settings.node, &nodes, &endpoint.id);
            ColdAllowance::new(now, per_s, rank, nodes.len())
        });
        allowance.take(now)
    }
}

/// Returns this node's place among all nodes for one endpoint, the same at every node that knows
/// the same nodes.
fn rank(own: &NodeId, nodes: &[PeerNode], endpoint: &EndpointId) -> usize {
    let weight = |node: &NodeId| rendezvous_weight(endpoint.as_str(), node.as_str());
    let mine = weight(own);
    nodes
        .iter()
        .filter(|peer| weight(&peer.node) > mine)
        .count()
}
