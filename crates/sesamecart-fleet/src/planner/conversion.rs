//! Which groups are closed so that their engines serve a model that callers ask for more.
//!
//! It answers demand that the configuration doesn't foresee or that shifts for long. Each engine that
//! changes its model costs a load, during which it serves nobody, so
//!
//! - loads of empty engines go first: a change begins only while the weight store has room for all of it;
//! - a group is closed only where its engines serve much more in other groups, and that has been so for as
//!   long as they take to load: a burst or an evacuation that ends before would cost both models;
//! - the model that gives a group up keeps groups that callers reach in two failure domains, or in all
//!   that it has.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{EndpointId, FabricDomainId, ModelId, Timestamp};

use super::provisioning::Provisioning;
use super::{Planner, PlannerInput, Step};
use crate::catalog::EngineModel;
use crate::directory::GroupKey;
use crate::endpoint::Endpoint;

/// How many times the loss a gain has to be.
pub(super) const GAIN_OVER_LOSS: f64 = 3.0;

/// The least gain for each group that is won, in groups that work needs all the time.
pub(super) const MIN_GAIN_PER_GROUP: f64 = 0.2;

/// Failure domains in which a model that gives up a group keeps others.
const KEPT_FAILURE_DOMAINS: usize = 2;

/// How long a group may take to end its requests before it counts as kept.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(8);

/// The changes that are under way or considered.
#[derive(Clone, Debug, Default)]
pub(super) struct Conversions {
    /// The groups that are being closed for another model's, and since when.
    retiring: IndexMap<GroupKey, Timestamp>,
    /// Since when a change from one model to another has been worth it.
    worthwhile: Option<(ModelId, ModelId, Timestamp)>,
    /// Since when a fabric domain has had engines left over.
    pub(super) left_over: IndexMap<FabricDomainId, Timestamp>,
}

impl Conversions {
    /// Returns whether a group is being closed for another model's.
    pub(super) fn retires(&self, key: &GroupKey) -> bool {
        self.retiring.contains_key(key)
    }

    /// Forgets groups that are gone or that can't be closed.
    pub(super) fn forget(&mut self, now: Timestamp, is_known: impl Fn(&GroupKey) -> bool) {
        self.retiring
            .retain(|key, since| is_known(key) && now.since(*since) < CLOSING_TIMEOUT);
    }

    /// Returns since when a change has been worth it, which it is now.
    fn worthwhile_since(&mut self, now: Timestamp, from: &ModelId, to: &ModelId) -> Timestamp {
        match &self.worthwhile {
            Some((known_from, known_to, since)) if known_from == from && known_to == to => *since,
            _ => {
                self.worthwhile = Some((from.clone(), to.clone(), now));
                now
            }
        }
    }
}

/// A group that may be closed, and the engines that it would leave to another model.
struct Change<'a> {
    from: &'a EngineModel,
    to: &'a EngineModel,
    key: GroupKey,
    members: Vec<EndpointId>,
    net: f64,
}

impl Planner {
    /// Gives engines to models that need them more.
    pub(super) fn convert(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        if !input.in_traffic || input.demand.is_none() || input.spec.models.len() < 2 {
            return;
        }
        let mut provisioning = self.provisioning(input);
        self.convert_left_over(now, input, free, &mut provisioning);
        self.convert_group(now, input, &provisioning, steps);
    }

    /// Returns whether the head of a group takes no more requests soon, as its engines change model.
    pub(super) fn is_retiring(&self, head: &Endpoint) -> bool {
        head.group_key()
            .is_some_and(|key| self.conversions.retires(&key))
    }

    /// Closes the group whose engines serve the most more in groups of another model.
    fn convert_group(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        provisioning: &Provisioning,
        steps: &mut Vec<Step>,
    ) {
        if !self.conversions.retiring.is_empty() {
            return;
        }
        let Some(change) = self.best_change(input, provisioning) else {
            self.conversions.worthwhile = None;
            return;
        };
        let (from, to) = (&change.from.model, &change.to.model);
        let since = self.conversions.worthwhile_since(now, from, to);
        if now.since(since) < change.to.load_time {
            return;
        }
        let engines = change.members.len() / change.to.group_size * change.to.group_size;
        if !self.has_room_for(input, engines) {
            return;
        }
        for member in change.members.iter().take(engines) {
            self.reserved.insert(member.clone(), to.clone());
        }
        self.conversions.retiring.insert(change.key.clone(), now);
        self.examined.insert(change.key.clone(), now);
        steps.push(Step::Retire {
            key: change.key,
            from: from.clone(),
            to: to.clone(),
        });
    }

    fn best_change<'a>(
        &self,
        input: &PlannerInput<'a>,
        provisioning: &Provisioning,
    ) -> Option<Change<'a>> {
        let mut best: Option<Change<'a>> = None;
        for from in &input.spec.models {
            for to in &input.spec.models {
                let won = from.group_size / to.group_size.max(1);
                if from.model == to.model || won == 0 {
                    continue;
                }
                let gain = provisioning.worth_of_change(&to.model, won as f64);
                let loss = -provisioning.worth_of_change(&from.model, -1.0);
                let is_worth_it =
                    gain >= MIN_GAIN_PER_GROUP * won as f64 && gain >= GAIN_OVER_LOSS * loss;
                let net = gain - loss;
                if !is_worth_it || best.as_ref().is_some_and(|best| best.net >= net) {
                    continue;
                }
                if let Some((key, members)) = self.group_to_close(input, from, to) {
                    best = Some(Change {
                        from,
                        to,
                        key,
                        members,
                        net,
                    });
                }
            }
        }
        best
    }

    /// Returns the group of a model that can be spared, in the failure domain where the other model has
    /// the fewest groups.
    fn group_to_close<'a>(
        &self,
        input: &PlannerInput<'a>,
        from: &'a EngineModel,
        to: &'a EngineModel,
    ) -> Option<(GroupKey, Vec<EndpointId>)> {
        let reachable = |model: &'a EngineModel| {
            input
                .directory
                .candidates(input.service, Some(&model.model))
        };
        let heads: Vec<&Arc<Endpoint>> = reachable(from).collect();
        let failure_domains: IndexSet<_> = heads.iter().map(|head| &head.failure_domain).collect();
        let kept = failure_domains.len().min(KEPT_FAILURE_DOMAINS);
        let candidates = heads.iter().filter(|head| {
            let others = heads.iter().filter(|other| other.id != head.id);
            let others: IndexSet<_> = others.map(|other| &other.failure_domain).collect();
            others.len() >= kept.max(1)
        });
        let chosen = candidates.min_by_key(|head| {
            let near = |other: &&Arc<Endpoint>| other.failure_domain == head.failure_domain;
            let served = reachable(to).filter(near).count();
            let left = heads.iter().copied().filter(near).count();
            (served, usize::MAX - left, head.id.clone())
        })?;
        let key = chosen.group_key()?;
        let members = input.directory.members(&key);
        let members: Vec<EndpointId> = members.map(|member| member.id.clone()).collect();
        (members.len() == from.group_size).then_some((key, members))
    }
}
