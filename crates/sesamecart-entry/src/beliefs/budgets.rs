//! This node's shares of what all nodes together may send: retries, and requests to cold endpoints.

use sesamecart_fleet::{ColdAllowance, Endpoint, PeerNode, RetryAllowance};
use sesamecart_vocabulary::{EndpointId, NodeId, ServiceId, rendezvous_weight};

use super::{Beliefs, lock};
use crate::clock;

impl Beliefs {
    /// Counts a first attempt at a service.
    pub(crate) fn earn_retry(&self, service: &ServiceId) {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.earn(now));
    }

    /// Returns whether this node has a retry left at a service.
    pub(crate) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.has_left(now))
    }

    /// Takes a retry at a service, if this node has one left.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        self.with_retries(service, |allowance| allowance.take(now))
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
