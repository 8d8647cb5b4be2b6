//! Choice of the nodes that forward requests for a node that doesn't reach a pool of endpoints.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FailureDomainId, NodeId, Timestamp};

use crate::sources::PeerNode;

#[cfg(test)]
mod tests;

/// The number of nodes that are asked at the same time whether they reach a pool. A fleet of any size asks the
/// same number, so that a cut of many nodes costs the others little.
pub const MAX_ASKED_NODES: usize = 4;

/// How long a confirmation counts. A helper is asked again several times within it.
const CONFIRMATION_TTL: Duration = Duration::from_millis(800);

/// How long a node isn't asked again after it denied, failed or didn't answer, while others are left to ask.
const DENIAL_TTL: Duration = Duration::from_secs(2);

/// The nodes that were asked whether they reach a pool, with their last answers.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    confirmed: IndexMap<NodeId, Confirmation>,
    denied: IndexMap<NodeId, Timestamp>,
}

#[derive(Clone, Debug)]
struct Confirmation {
    peer: PeerNode,
    at: Timestamp,
}

impl Helpers {
    /// Returns the nodes to ask next: those that confirmed, then others in random order, as many of the own
    /// failure domain as of others. `rng` returns random numbers between 0 and 1.
    pub fn to_ask(
        &self,
        now: Timestamp,
        own: &PeerNode,
        nodes: &[PeerNode],
        rng: impl FnMut() -> f64,
    ) -> Vec<PeerNode> {
        let confirmed = self.confirmed.values();
        let mut asked: Vec<PeerNode> = confirmed.map(|entry| entry.peer.clone()).collect();
        asked.truncate(MAX_ASKED_NODES - 1);
        let is_new = |peer: &&PeerNode| {
            peer.node != own.node
                && peer.forwarding.is_some()
                && !self.confirmed.contains_key(&peer.node)
        };
        let others: Vec<&PeerNode> = nodes.iter().filter(is_new).collect();
        let others = self.order(now, own, others, rng);
        asked.extend(others.into_iter().cloned());
        asked.truncate(MAX_ASKED_NODES);
        asked
    }

    /// Orders candidates by whether they have denied lately, and alternates between the own failure domain and
    /// the others.
    fn order<'a>(
        &self,
        now: Timestamp,
        own: &PeerNode,
        mut candidates: Vec<&'a PeerNode>,
        mut rng: impl FnMut() -> f64,
    ) -> Vec<&'a PeerNode> {
        let mut keys: IndexMap<&NodeId, f64> = IndexMap::new();
        for candidate in &candidates {
            keys.insert(&candidate.node, rng());
        }
        candidates.sort_by(|a, b| keys[&a.node].total_cmp(&keys[&b.node]));
        let mut ranks: IndexMap<bool, usize> = IndexMap::new();
        let mut ranked: Vec<((bool, usize), &PeerNode)> = Vec::new();
        for candidate in candidates {
            let has_denied = self
                .denied
                .get(&candidate.node)
                .is_some_and(|at| now.since(*at) < DENIAL_TTL);
            let is_local = candidate.failure_domain == own.failure_domain;
            let rank = ranks.entry(is_local).or_default();
            ranked.push(((has_denied, *rank), candidate));
            *rank += 1;
        }
        ranked.sort_by_key(|(key, _)| *key);
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Records a node's answer.
    pub fn record_answer(&mut self, now: Timestamp, peer: &PeerNode, is_reachable: bool) {
        if is_reachable {
            self.denied.swap_remove(&peer.node);
            let peer = peer.clone();
            let confirmation = Confirmation { peer, at: now };
            self.confirmed
                .insert(confirmation.peer.node.clone(), confirmation);
        } else {
            self.record_denial(now, &peer.node);
        }
    }

    /// Records that a node doesn't reach the pool, or doesn't forward requests now.
    pub fn record_denial(&mut self, now: Timestamp, node: &NodeId) {
        self.confirmed.shift_remove(node);
        self.denied
            .retain(|_, denied_at| now.since(*denied_at) < DENIAL_TTL);
        self.denied.insert(node.clone(), now);
    }

    /// Removes confirmations that are too old.
    pub fn expire(&mut self, now: Timestamp) {
        self.confirmed
            .retain(|_, confirmation| now.since(confirmation.at) < CONFIRMATION_TTL);
    }

    /// Returns the nodes that reach the pool.
    pub fn confirmed(&self) -> impl Iterator<Item = &PeerNode> {
        self.confirmed.values().map(|entry| &entry.peer)
    }

    /// Returns whether any node reaches the pool.
    #[must_use]
    pub fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }

    /// Chooses the node for the next request, without those in `tried`. `in_flight` is the number of requests
    /// that a node is already forwarding for this one.
    ///
    /// The requests spread evenly over the helpers. A helper of the own failure domain may have a few more,
    /// because traffic between failure domains has its price.
    #[must_use]
    pub fn choose(
        &self,
        own: &FailureDomainId,
        tried: &IndexSet<NodeId>,
        in_flight: impl Fn(&NodeId) -> usize,
        mut rng: impl FnMut() -> f64,
    ) -> Option<&PeerNode> {
        let candidates = self.confirmed().filter(|peer| !tried.contains(&peer.node));
        let scored = candidates.map(|peer| {
            let distance = f64::from(u8::from(peer.failure_domain != *own)) * CROSS_DOMAIN_PENALTY;
            (in_flight(&peer.node) as f64 + distance + rng(), peer)
        });
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, peer)| peer)
    }
}

/// The penalty for leaving the failure domain, in requests in flight.
const CROSS_DOMAIN_PENALTY: f64 = 2.0;
