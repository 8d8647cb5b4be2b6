//! The demand for each model, measured in busy groups.
//!
//! The work may be divided among the models differently than the configuration expects, and the division
//! may shift during the day. A request counts when it arrives, even if it is refused afterwards: a model
//! whose callers are refused needs more groups, but would seem to need fewer if only served requests
//! counted.
//!
//! Where the routes of a service differ in urgency, the demand also says how urgent the requests for each model
//! are. docs/design/capacity-follows-load.md says what the planner does with that.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{ModelId, NodeId, Timestamp};

use crate::decay::{DecayingSum, covered_time};
use crate::step_model::TokenCounts;

#[cfg(test)]
mod tests;

/// The time constant with which past requests decay.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(3);

/// The factor between the urgencies of two successive priorities. It is above the ratio of gain to loss that a
/// conversion needs, so a group of a model that is one priority less urgent can be converted.
const URGENCY_PER_PRIORITY: f64 = 0.25;

/// The priority from which on requests are equally urgent. Nodes exchange demand in thousandths of a group, in which
/// less urgent requests would be lost.
const LEAST_URGENT_PRIORITY: u8 = 4;

/// The minimum number of requests, after decay, from which a model's mean request is calculated.
const MIN_REQUESTS: f64 = 3.0;

/// The minimum observation time before demand is estimated.
const MIN_OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// The worth of a request relative to one of the most urgent route.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Urgency(f64);

impl Urgency {
    /// The urgency of the most urgent requests, and of all requests where routes don't differ in priority.
    pub const MOST: Self = Self(1.0);

    /// Returns the urgency of a priority, where 0 is the most urgent one.
    #[must_use]
    pub fn of_priority(priority: u8) -> Self {
        let priority = priority.min(LEAST_URGENT_PRIORITY);
        Self(URGENCY_PER_PRIORITY.powi(i32::from(priority)))
    }

    /// Returns the urgency relative to another one.
    #[must_use]
    pub fn relative_to(self, other: Self) -> f64 {
        self.0 / other.0
    }
}

/// The demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// The number of its groups that would be busy all the time.
    pub groups: f64,
    /// The same, with each request weighted by its urgency.
    pub urgent_groups: f64,
}

impl ModelDemand {
    /// Returns the demand of requests that are all as urgent as possible.
    #[must_use]
    pub const fn most_urgent(groups: f64) -> Self {
        Self {
            groups,
            urgent_groups: groups,
        }
    }

    fn urgency(self) -> Option<Urgency> {
        let is_known = self.groups > 0.0 && self.urgent_groups > 0.0;
        is_known.then(|| Urgency(self.urgent_groups / self.groups))
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            groups: self.groups * factor,
            urgent_groups: self.urgent_groups * factor,
        }
    }
}

/// The demand for each model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand(IndexMap<ModelId, ModelDemand>);

impl Demand {
    /// Returns the number of busy groups of a model.
    #[must_use]
    pub fn groups(&self, model: &ModelId) -> f64 {
        self.0.get(model).map_or(0.0, |demand| demand.groups)
    }

    /// Returns the mean urgency of the requests for a model, if there are any.
    #[must_use]
    pub fn urgency(&self, model: &ModelId) -> Option<Urgency> {
        self.0.get(model)?.urgency()
    }

    /// Returns each requested model with its demand.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelId, ModelDemand)> {
        self.0.iter().map(|(model, demand)| (model, *demand))
    }

    fn add(&mut self, model: &ModelId, demand: ModelDemand) {
        let sum = self.0.entry(model.clone()).or_default();
        sum.groups += demand.groups;
        sum.urgent_groups += demand.urgent_groups;
    }
}

impl FromIterator<(ModelId, f64)> for Demand {
    fn from_iter<T: IntoIterator<Item = (ModelId, f64)>>(iter: T) -> Self {
        let demand = iter.into_iter();
        demand
            .map(|(model, groups)| (model, ModelDemand::most_urgent(groups)))
            .collect()
    }
}

impl FromIterator<(ModelId, ModelDemand)> for Demand {
    fn from_iter<T: IntoIterator<Item = (ModelId, ModelDemand)>>(iter: T) -> Self {
        Self(iter.into_iter().collect())
    }
}

/// The decaying sums over the requests for one model.
#[derive(Clone, Copy, Debug)]
struct RequestSums {
    group_time: DecayingSum,
    urgent_group_time: DecayingSum,
    requests: DecayingSum,
    prompt_tokens: DecayingSum,
    answer_tokens: DecayingSum,
}

impl Default for RequestSums {
    fn default() -> Self {
        let sum = DecayingSum::new(DEMAND_DECAY_TIME);
        Self {
            group_time: sum,
            urgent_group_time: sum,
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
        urgency: Urgency,
    ) {
        self.first_at.get_or_insert(now);
        self.known_since.get_or_insert(now);
        let sums = self.own.entry(model.clone()).or_default();
        let group_time_s = group_time.as_secs_f64();
        sums.group_time.add(now, group_time_s);
        sums.urgent_group_time.add(now, group_time_s * urgency.0);
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
            let per_s = |sum: DecayingSum| sum.at(now) / covered_s.max(f64::EPSILON);
            let demand = ModelDemand {
                groups: per_s(sums.group_time),
                urgent_groups: per_s(sums.urgent_group_time),
            };
            (model.clone(), demand)
        })
        .collect()
    }

    /// Records the demand of another node's callers.
    pub fn apply_peer_demand(&mut self, now: Timestamp, node: &NodeId, demand: Demand) {
        if demand.iter().any(|(_, demand)| demand.groups > 0.0) {
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
            for (model, demand) in peer.iter() {
                sampled.add(model, demand);
            }
        }
        let sample = 1 + self.peers.len();
        let scale = nodes.max(sample) as f64 / sample as f64;
        let scaled = sampled
            .0
            .into_iter()
            .map(|(model, demand)| (model, demand.scaled(scale)));
        Some(scaled.collect())
    }
}
