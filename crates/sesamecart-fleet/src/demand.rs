//! What callers ask of each model, in the time of its groups.
//!
//! It answers work that is divided among models otherwise than the configuration expects, or shifts
//! during a day. A request counts when it comes, also one that is refused afterwards: a model whose
//! callers are turned away needs more groups, and would seem to need fewer by what it serves.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{ModelId, NodeId, Timestamp};

use crate::fading::{FadingSum, covered};
use crate::step_model::TokenCounts;

#[cfg(test)]
mod tests;

/// How long a request counts before its weight has faded to about a third.
const DEMAND_FADES: Duration = Duration::from_secs(3);

/// The requests for a model, as far as they haven't faded, from which their mean is taken.
const MIN_REQUESTS: f64 = 3.0;

/// How long requests have to come before they say what is asked.
const OBSERVED_FOR: Duration = Duration::from_millis(1_500);

/// What is asked of each model: how many of its groups have work all the time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand(IndexMap<ModelId, f64>);

impl Demand {
    /// Returns the groups of a model that have work all the time.
    #[must_use]
    pub fn groups(&self, model: &ModelId) -> f64 {
        self.0.get(model).copied().unwrap_or(0.0)
    }

    /// Returns each model that is asked for, and the groups of it that have work all the time.
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

/// What was asked of one model.
#[derive(Clone, Copy, Debug)]
struct Asked {
    group_time: FadingSum,
    requests: FadingSum,
    prompt_tokens: FadingSum,
    answer_tokens: FadingSum,
}

impl Default for Asked {
    fn default() -> Self {
        let sum = FadingSum::new(DEMAND_FADES);
        Self {
            group_time: sum,
            requests: sum,
            prompt_tokens: sum,
            answer_tokens: sum,
        }
    }
}

/// What a node knows of what callers ask: its own requests, and what a few other nodes say of theirs.
///
/// The nodes that are heard are a sample. The balancer spreads callers over nodes whatever model they
/// ask for, so a sample shows how the work is divided, and by the number of nodes about how much it is.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    own: IndexMap<ModelId, Asked>,
    /// When the first own request came.
    first_at: Option<Timestamp>,
    /// When the first request was known of, here or at another node.
    known_since: Option<Timestamp>,
    peers: IndexMap<NodeId, Demand>,
}

impl DemandBook {
    /// Notes a request for a model that takes `group_time` of one of its groups.
    pub fn note(
        &mut self,
        now: Timestamp,
        model: &ModelId,
        group_time: Duration,
        tokens: TokenCounts,
    ) {
        self.first_at.get_or_insert(now);
        self.known_since.get_or_insert(now);
        let asked = self.own.entry(model.clone()).or_default();
        asked.group_time.add(now, group_time.as_secs_f64());
        asked.requests.add(now, 1.0);
        asked.prompt_tokens.add(now, tokens.prompt);
        asked.answer_tokens.add(now, tokens.answer);
    }

    /// Returns the tokens of a mean request for a model, once a few have come.
    #[must_use]
    pub fn mean_tokens(&self, now: Timestamp, model: &ModelId) -> Option<TokenCounts> {
        let asked = self.own.get(model)?;
        let requests = asked.requests.at(now);
        (requests >= MIN_REQUESTS).then(|| TokenCounts {
            prompt: asked.prompt_tokens.at(now) / requests,
            answer: asked.answer_tokens.at(now) / requests,
        })
    }

    /// Returns what this node's own callers ask.
    #[must_use]
    pub fn own(&self, now: Timestamp) -> Demand {
        let Some(first_at) = self.first_at else {
            return Demand::default();
        };
        let covered = covered(now.since(first_at), DEMAND_FADES).as_secs_f64();
        let own = self.own.iter();
        own.map(|(model, asked)| {
            let groups = asked.group_time.at(now) / covered.max(f64::EPSILON);
            (model.clone(), groups)
        })
        .collect()
    }

    /// Takes in what another node says of its own callers.
    pub fn apply_peer_demand(&mut self, now: Timestamp, node: &NodeId, demand: Demand) {
        if demand.iter().any(|(_, groups)| groups > 0.0) {
            self.known_since.get_or_insert(now);
        }
        self.peers.insert(node.clone(), demand);
    }

    /// Forgets what a node said that can't be heard any more.
    pub fn drop_peer(&mut self, node: &NodeId) {
        self.peers.swap_remove(node);
    }

    /// Estimates what the callers of all `nodes` nodes ask; nothing before requests have come for long
    /// enough.
    #[must_use]
    pub fn estimate(&self, now: Timestamp, nodes: usize) -> Option<Demand> {
        if now.since(self.known_since?) < OBSERVED_FOR {
            return None;
        }
        let mut heard = self.own(now);
        for peer in self.peers.values() {
            for (model, groups) in &peer.0 {
                heard.add(model, *groups);
            }
        }
        let sample = 1 + self.peers.len();
        let scale = nodes.max(sample) as f64 / sample as f64;
        let scaled = heard
            .0
            .into_iter()
            .map(|(model, groups)| (model, groups * scale));
        Some(scaled.collect())
    }
}
