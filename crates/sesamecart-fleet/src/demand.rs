//! The demand for each model, measured in busy groups.
//!
//! The work may be divided among the models differently than the configuration expects, and the division
//! may shift during the day. A request counts when it arrives, even if it is refused afterwards: a model
//! whose callers are refused needs more groups, but would seem to need fewer if only served requests
//! counted.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{ModelId, NodeId, Timestamp};

use crate::decay::{DecayingSum, covered_time};
use crate::step_model::TokenCounts;

#[cfg(test)]
mod tests;

/// The time constant with which past requests decay.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(3);

/// The minimum number of requests, after decay, from which a model's mean request is calculated.
const MIN_REQUESTS: f64 = 3.0;

/// The minimum observation time before demand is estimated.
const MIN_OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// The demand for each model, as the number of its groups that would be busy all the time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand(IndexMap<ModelId, f64>);

impl Demand {
    /// Returns the number of busy groups of a model.
    #[must_use]
    pub fn groups(&self, model: &ModelId) -> f64 {
        self.0.get(model).copied().unwrap_or(0.0)
    }

    /// Returns each requested model with its number of busy groups.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelId, f64)> {
        self.0.iter().map(|(model, groups)| (model, *groups))
    }

    fn add(&mut self, model: &ModelId, groups: f64) {
        *self.0.entry(model.clone()).or_default() += groups;
    }
}

impl FromIterator<(ModelId, f64)> for Demand {
    fn from_iter<T: IntoIterator<Item = (ModelId, f64)>>(iter: T) -> Self {
        Self(iter.into_iter().collect())
    }
}

/// The decaying sums over the requests for one model.
#[derive(Clone, Copy, Debug)]
struct RequestSums {
    group_time: DecayingSum,
    requests: DecayingSum,
    prompt_tokens: DecayingSum,
    answer_tokens: DecayingSum,
}

impl Default for RequestSums {
    fn default() -> Self {
        let sum = DecayingSum::new(DEMAND_DECAY_TIME);
        Self {
            group_time: sum,
            requests: sum,
            prompt_tokens: sum,
            answer_tokens: sum,
        }
    }
}

/// The demand as known to one node: its own requests and the demand that a few other nodes report.
///
/// The reporting nodes are a sample. The load balancer spreads callers over the nodes regardless of the
/// model, so a sample shows how the work is divided among the models, and scaled by the number of nodes,
/// roughly the total demand.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    own: IndexMap<ModelId, RequestSums>,
    /// The time of this node's first request.
    first_at: Option<Timestamp>,
    /// The time at which the first request was known, at this node or another one.
    known_since: Option<Timestamp>,
    peers: IndexMap<NodeId, Demand>,
}

impl DemandTracker {
    /// Records a request for a model that takes `group_time` of one of its groups.
    pub fn note(
        &mut self,
        now: Timestamp,
        model: &ModelId,
        group_time: Duration,
        tokens: TokenCounts,
    ) {
        self.first_at.get_or_insert(now);
        self.known_since.get_or_insert(now);
        let sums = self.own.entry(model.clone()).or_default();
        sums.group_time.add(now, group_time.as_secs_f64());
        sums.requests.add(now, 1.0);
        sums.prompt_tokens.add(now, tokens.prompt);
        sums.answer_tokens.add(now, tokens.answer);
    }

    /// Returns the mean token counts of a model's requests, once enough requests have arrived.
    #[must_use]
    pub fn mean_tokens(&self, now: Timestamp, model: &ModelId) -> Option<TokenCounts> {
        let sums = self.own.get(model)?;
        let requests = sums.requests.at(now);
        (requests >= MIN_REQUESTS).then(|| TokenCounts {
            prompt: sums.prompt_tokens.at(now) / requests,
            answer: sums.answer_tokens.at(now) / requests,
        })
    }

    /// Returns the time for which a request for a model occupies a group in the mean, once enough requests have
    /// arrived.
    #[must_use]
    pub fn mean_group_time(&self, now: Timestamp, model: &ModelId) -> Option<Duration> {
        let sums = self.own.get(model)?;
        let requests = sums.requests.at(now);
        let group_time_s = sums.group_time.at(now) / requests;
        (requests >= MIN_REQUESTS).then(|| Duration::from_secs_f64(group_time_s.max(0.0)))
    }

    /// Returns the demand of this node's own callers.
    #[must_use]
    pub fn own(&self, now: Timestamp) -> Demand {
        let Some(first_at) = self.first_at else {
            return Demand::default();
        };
        let covered_s = covered_time(now.since(first_at), DEMAND_DECAY_TIME).as_secs_f64();
        let own = self.own.iter();
        own.map(|(model, sums)| {
            let groups = sums.group_time.at(now) / covered_s.max(f64::EPSILON);
            (model.clone(), groups)
        })
        .collect()
    }

    /// Records the demand of another node's callers.
    pub fn apply_peer_demand(&mut self, now: Timestamp, node: &NodeId, demand: Demand) {
        if demand.iter().any(|(_, groups)| groups > 0.0) {
            self.known_since.get_or_insert(now);
        }
        self.peers.insert(node.clone(), demand);
    }

    /// Removes the demand of a node that is no longer reachable.
    pub fn drop_peer(&mut self, node: &NodeId) {
        self.peers.swap_remove(node);
    }

    /// Estimates the demand of the callers of all `nodes` nodes. Returns nothing until requests have been
    /// observed for long enough.
    #[must_use]
    pub fn estimate(&self, now: Timestamp, nodes: usize) -> Option<Demand> {
        if now.since(self.known_since?) < MIN_OBSERVATION_TIME {
            return None;
        }
        let mut sampled = self.own(now);
        for peer in self.peers.values() {
            for (model, groups) in &peer.0 {
                sampled.add(model, *groups);
            }
        }
        let sample = 1 + self.peers.len();
        let scale = nodes.max(sample) as f64 / sample as f64;
        let scaled = sampled
            .0
            .into_iter()
            .map(|(model, groups)| (model, groups * scale));
        Some(scaled.collect())
    }
}
