//! Selects groups to close so that their engines can serve a model with higher demand.
//!
//! Demand can differ from the configured shares or shift for a long time. Each engine that changes its model
//! costs a load, during which it serves no requests. Therefore:
//!
//! - Loads of empty engines take precedence: a conversion starts only if the weight store has room for all of
//!   its loads.
//! - A group is closed only if its engines are worth much more in other groups, and only after that has been
//!   true for as long as the loads take. Converting groups for a burst or an evacuation that ends sooner
//!   would hurt both models.
//! - The model that gives up a group keeps reachable groups in two failure domains, or in all of its failure
//!   domains if it has fewer.
//! - A model that can't serve what is asked of it gets groups of a model whose routes are less urgent, as long as
//!   the callers of the latter don't starve.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{EndpointId, FabricDomainId, ModelId, Timestamp};

use super::provisioning::Provisioning;
use super::{Planner, PlannerInput, Step};
use crate::catalog::EngineModel;
use crate::directory::GroupKey;
use crate::endpoint::Endpoint;

/// The minimum ratio of gain to loss for a conversion.
pub(super) const MIN_GAIN_LOSS_RATIO: f64 = 3.0;

/// The minimum gain for each gained group, in units of one group with sustained load.
pub(super) const MIN_GAIN_PER_GROUP: f64 = 0.2;

/// The number of failure domains in which a model that gives up a group has to keep other groups.
const MIN_KEPT_FAILURE_DOMAINS: usize = 2;

/// How long a group may take to finish its requests in flight before its conversion is canceled.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(8);

/// The conversions in progress and under consideration.
#[derive(Clone, Debug, Default)]
pub(super) struct Conversions {
    /// The groups that are being closed for another model, and since when.
    retiring: IndexMap<GroupKey, Timestamp>,
    /// The best conversion between two models, and since when it has been worthwhile.
    candidate: Option<(ModelId, ModelId, Timestamp)>,
    /// Since when each fabric domain has had leftover engines.
    pub(super) leftover_since: IndexMap<FabricDomainId, Timestamp>,
}

impl Conversions {
    /// Returns whether a group is being closed for another model.
    pub(super) fn is_retiring(&self, key: &GroupKey) -> bool {
        self.retiring.contains_key(key)
    }

    /// Drops groups that are gone and groups that didn't close in time.
    pub(super) fn prune(&mut self, now: Timestamp, is_known: impl Fn(&GroupKey) -> bool) {
        self.retiring
            .retain(|key, since| is_known(key) && now.since(*since) < CLOSING_TIMEOUT);
    }

    /// Returns since when the conversion between two models, which is worthwhile now, has been so.
    fn candidate_since(&mut self, now: Timestamp, from: &ModelId, to: &ModelId) -> Timestamp {
        match &self.candidate {
            Some((known_from, known_to, since)) if known_from == from && known_to == to => *since,
            _ => {
                self.candidate = Some((from.clone(), to.clone(), now));
                now
            }
        }
    }
}

/// A group that could be closed, and the members that it would release to another model.
struct Conversion<'a> {
    from: &'a EngineModel,
    to: &'a EngineModel,
    key: GroupKey,
    members: Vec<EndpointId>,
    net_gain: f64,
}

impl Planner {
    /// Reassigns engines to models that need them more.
    pub(super) fn convert(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        if !input.has_traffic || input.demand.is_none() || input.spec.models.len() < 2 {
            return;
        }
        let mut provisioning = self.provisioning(input);
        self.convert_leftover(now, input, free, &mut provisioning);
        self.convert_group(now, input, &provisioning, steps);
    }

    /// Returns whether a group, given by its head, is being closed so that its engines can change model.
    pub(super) fn is_retiring(&self, head: &Endpoint) -> bool {
        head.group_key()
            .is_some_and(|key| self.conversions.is_retiring(&key))
    }

    /// Closes the group whose conversion to another model has the largest net gain.
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
        let Some(conversion) = self.best_conversion(input, provisioning) else {
            self.conversions.candidate = None;
            return;
        };
        let (from, to) = (&conversion.from.model, &conversion.to.model);
        let since = self.conversions.candidate_since(now, from, to);
        if now.since(since) < conversion.to.load_time {
            return;
        }
        let engines =
            conversion.members.len() / conversion.to.group_size * conversion.to.group_size;
        if !self.has_load_capacity(input, engines) {
            return;
        }
        for member in conversion.members.iter().take(engines) {
            self.reserved.insert(member.clone(), to.clone());
        }
        self.conversions
            .retiring
            .insert(conversion.key.clone(), now);
        self.examined.insert(conversion.key.clone(), now);
        steps.push(Step::Retire {
            key: conversion.key,
            from: from.clone(),
            to: to.clone(),
        });
    }

    fn best_conversion<'a>(
        &self,
        input: &PlannerInput<'a>,
        provisioning: &Provisioning,
    ) -> Option<Conversion<'a>> {
        let mut best: Option<Conversion<'a>> = None;
        for from in &input.spec.models {
            for to in &input.spec.models {
                let gained_groups = from.group_size / to.group_size.max(1);
                if from.model == to.model || gained_groups == 0 {
                    continue;
                }
                let gain = provisioning.value_of_change(&to.model, gained_groups as f64);
                let loss = -provisioning.value_of_change(&from.model, -1.0)
                    * provisioning.loss_factor(&from.model, &to.model);
                let is_worthwhile = gain >= MIN_GAIN_PER_GROUP * gained_groups as f64
                    && gain >= MIN_GAIN_LOSS_RATIO * loss;
                let net_gain = gain - loss;
                if !is_worthwhile || best.as_ref().is_some_and(|best| best.net_gain >= net_gain) {
                    continue;
                }
                if let Some((key, members)) = self.group_to_close(input, from, to) {
                    best = Some(Conversion {
                        from,
                        to,
                        key,
                        members,
                        net_gain,
                    });
                }
            }
        }
        best
    }

    /// Returns a group of `from` that can be spared, in the failure domain where `to` has the fewest groups.
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
        let required = failure_domains.len().min(MIN_KEPT_FAILURE_DOMAINS);
        let candidates = heads.iter().filter(|head| {
            let others = heads.iter().filter(|other| other.id != head.id);
            let others: IndexSet<_> = others.map(|other| &other.failure_domain).collect();
            others.len() >= required.max(1)
        });
        let chosen = candidates.min_by_key(|head| {
            let is_nearby = |other: &&Arc<Endpoint>| other.failure_domain == head.failure_domain;
            let served = reachable(to).filter(is_nearby).count();
            let remaining = heads.iter().copied().filter(is_nearby).count();
            (served, usize::MAX - remaining, head.id.clone())
        })?;
        let key = chosen.group_key()?;
        let members = input.directory.members(&key);
        let members: Vec<EndpointId> = members.map(|member| member.id.clone()).collect();
        (members.len() == from.group_size).then_some((key, members))
    }
}
