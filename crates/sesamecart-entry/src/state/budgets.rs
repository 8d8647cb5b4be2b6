//! Limits on what this node may send: its retry budget, its share of requests to cold endpoints, and the
//! fair shares of its customers.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{
    ColdRateLimit, Endpoint, FairShare, PeerNode, Pool, RetryBudget, RetrySchedule,
};
use sesamecart_vocabulary::{
    CustomerId, EndpointId, NodeId, ServiceId, Timestamp, rendezvous_weight,
};

use super::EntryState;
use crate::clock;
use crate::lock::lock;

/// Fair shares and retry schedule of the requests that compete for the same endpoints.
#[derive(Debug, Default)]
struct Contention {
    shares: FairShare,
    retries: RetrySchedule,
}

/// The [`Contention`] of each pool of endpoints.
#[derive(Debug, Default)]
pub(super) struct Contentions(IndexMap<Pool, Contention>);

impl Contentions {
    fn get_or_default(&mut self, pool: &Pool) -> &mut Contention {
        if !self.0.contains_key(pool) {
            self.0.insert(pool.clone(), Contention::default());
        }
        &mut self.0[pool]
    }

    /// Removes customers that have sent no request for a long time.
    pub(super) fn prune(&mut self, now: Timestamp) {
        for contention in self.0.values_mut() {
            contention.shares.prune(now);
        }
    }
}

impl EntryState {
    /// Records that a request was placed at an endpoint of a pool.
    pub(crate) fn record_placed(&self, pool: &Pool, customer: Option<&CustomerId>) {
        let now = clock::now();
        let mut contentions = lock(&self.contentions);
        let contention = contentions.get_or_default(pool);
        contention.retries.record_placed(now);
        if let Some(customer) = customer {
            contention.shares.record_placed(now, customer);
        }
    }

    /// Returns whether a customer has used up its fair share of a pool whose capacity other customers are
    /// likely to need.
    pub(crate) fn is_over_share(&self, pool: &Pool, customer: &CustomerId, load: f64) -> bool {
        let mut contentions = lock(&self.contentions);
        let shares = &contentions.get_or_default(pool).shares;
        shares.is_over_share(clock::now(), customer, load)
    }

    /// Returns the delay after which a caller that was refused for lack of capacity may retry.
    pub(crate) fn schedule_retry(&self, pool: &Pool) -> Duration {
        let mut contentions = lock(&self.contentions);
        let retries = &mut contentions.get_or_default(pool).retries;
        retries.schedule(clock::now(), fastrand::f64())
    }

    /// Counts a first attempt at a service, which adds to its retry budget.
    pub(crate) fn deposit_retry(&self, service: &ServiceId) {
        let now = clock::now();
        self.with_retries(service, |budget| budget.deposit(now));
    }

    /// Returns whether the retry budget of a service has a retry left on this node.
    pub(crate) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |budget| budget.has_budget(now))
    }

    /// Takes a retry from the budget of a service, if there is one left.
    pub(crate) fn try_withdraw_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |budget| budget.try_withdraw(now))
    }

    fn with_retries<T>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let nodes = self.nodes.load().len();
        let mut retries = lock(&self.retries);
        if !retries.contains_key(service) {
            let budget = RetryBudget::new(self.settings.bounds.retry_share(), nodes);
            retries.insert(service.clone(), budget);
        }
        let budget = &mut retries[service];
        budget.set_nodes(nodes);
        f(budget)
    }

    /// Takes one request from this node's share of the request rate that a cold endpoint can serve.
    pub(crate) fn try_take_cold_request(&self, endpoint: &Endpoint, per_s: f64) -> bool {
        let now = clock::now();
        let mut cold = lock(&self.cold);
        let limit = cold.entry(endpoint.id.clone()).or_insert_with(|| {
            let nodes = self.nodes.load();
            let rank = rank(&self.settings.node, &nodes, &endpoint.id);
            ColdRateLimit::new(now, per_s, rank, nodes.len())
        });
        limit.try_take(now)
    }
}

/// Returns this node's rank among all nodes for one endpoint, by rendezvous hashing. Nodes that know the same
/// set of nodes compute the same ranks.
fn rank(node: &NodeId, nodes: &[PeerNode], endpoint: &EndpointId) -> usize {
    let weight = |node: &NodeId| rendezvous_weight(endpoint.as_str(), node.as_str());
    let own_weight = weight(node);
    nodes
        .iter()
        .filter(|peer| weight(&peer.node) > own_weight)
        .count()
}
