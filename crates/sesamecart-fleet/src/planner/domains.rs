//! Which model each fabric domain is kept to.

use std::sync::Arc;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, ModelId, Timestamp};

use super::assignment::{Placement, spread};
use super::domain_sizes::Domains;
use super::engine::{engines, find_model, is_ready};
use super::provisioning::expected_share;
use super::{Planner, PlannerInput};
use crate::catalog::{EngineModel, EngineSpec};
use crate::endpoint::Endpoint;

/// Models whose groups for their share differ by less than this count as equally far behind.
const SHARE_TOLERANCE: f64 = 1.05;

impl Planner {
    /// Gives each fabric domain the model that its groups should serve.
    ///
    /// What engines hold already goes first, so that a controller that takes over doesn't reload. The
    /// others get, of the models that they can hold a group of, the one whose whole groups are furthest
    /// behind what its share of the work needs. Counting engines instead of whole groups would give a
    /// model with large groups too little, as its domains have engines left over. A model that no domain
    /// can hold has no groups for ever: left in the choice it would take every domain, and no engine
    /// would serve anybody.
    pub(super) fn assign_domains(&mut self, now: Timestamp, input: &PlannerInput<'_>) {
        let mut domains: Domains<'_> = IndexMap::new();
        for endpoint in engines(input) {
            if let Some(domain) = &endpoint.fabric_domain {
                domains.entry(domain).or_default().push(endpoint);
            }
        }
        self.sizes.follow(now, &domains);
        self.primaries.clear();
        self.begun.clear();
        let mut placements = Vec::new();
        let mut empty = Vec::new();
        for (domain, engines) in &domains {
            let failure_domain = &engines[0].failure_domain;
            let Some(model) = self.resident_model(now, input.spec, domain, engines) else {
                let fitting = self.fitting(input.spec, engines);
                empty.push(EmptyDomain {
                    domain,
                    failure_domain,
                    fitting,
                });
                continue;
            };
            self.begun.insert((*domain).clone());
            placements.push(self.place(domain, failure_domain, model, Vec::new()));
        }
        for empty in by_turns(empty) {
            if let Some(model) = self.most_underprovisioned(input.spec, &empty.fitting) {
                placements.push(self.place(
                    empty.domain,
                    empty.failure_domain,
                    model,
                    empty.fitting,
                ));
            }
        }
        spread(input.spec, &mut placements);
        for placement in placements {
            let model = placement.model.model.clone();
            self.primaries.insert(placement.domain.clone(), model);
        }
    }

    /// Gives a domain a model, so that it counts for the domains that come after it.
    fn place<'a>(
        &mut self,
        domain: &'a FabricDomainId,
        failure_domain: &'a FailureDomainId,
        model: &'a EngineModel,
        choices: Vec<&'a EngineModel>,
    ) -> Placement<'a> {
        self.primaries.insert(domain.clone(), model.model.clone());
        Placement {
            domain,
            failure_domain,
            engines: self.sizes.of(domain),
            model,
            choices,
        }
    }

    /// Returns the models of which a domain's engines can form a group.
    ///
    /// A domain that is too small for all of them may still grow, so its engines load what the others
    /// serve, or the model that needs the fewest more.
    fn fitting<'a>(
        &self,
        spec: &'a EngineSpec,
        engines: &[&Arc<Endpoint>],
    ) -> Vec<&'a EngineModel> {
        let free = engines
            .iter()
            .filter(|engine| is_ready(engine) && engine.group.is_none());
        let mut fitting = models_within(spec, free.count());
        if fitting.is_empty() {
            fitting = models_within(spec, self.sizes.largest());
        }
        if fitting.is_empty() {
            let least = spec.models.iter().min_by_key(|model| model.group_size);
            fitting.extend(least);
        }
        fitting
    }

    /// Returns the model that most engines of a domain hold or load, unless they are too few for it.
    fn resident_model<'a>(
        &mut self,
        now: Timestamp,
        spec: &'a EngineSpec,
        domain: &FabricDomainId,
        engines: &[&Arc<Endpoint>],
    ) -> Option<&'a EngineModel> {
        let mut counts: IndexMap<&ModelId, usize> = IndexMap::new();
        for engine in engines {
            let loading = self.loading.get(&engine.id).map(|load| &load.model);
            if let Some(model) = loading.or(engine.models.first()).or(engine.staged.first()) {
                *counts.entry(model).or_default() += 1;
            }
        }
        counts.sort_by(|_, a, _, b| b.cmp(a));
        let mut held = counts.keys().filter_map(|id| find_model(spec, id));
        let most = held.next()?;
        // Another model costs a load, so its engines are waited for about as long.
        let loads = spec.models.iter().map(|model| model.load_time);
        let wait = loads.min().unwrap_or_default();
        let is_short = !can_form(engines, most);
        if !self.sizes.is_short_for(now, domain, is_short, wait) {
            return Some(most);
        }
        held.find(|model| can_form(engines, model))
    }

    /// Returns which of some models has domains with the fewest groups for its share of the work.
    fn most_underprovisioned<'a>(
        &self,
        spec: &EngineSpec,
        models: &[&'a EngineModel],
    ) -> Option<&'a EngineModel> {
        let groups_for_share = |model: &EngineModel| {
            let domains = self.primaries.iter().filter(|(_, id)| **id == model.model);
            let groups = domains.map(|(domain, _)| self.sizes.of(domain) / model.group_size.max(1));
            let share = expected_share(spec, model).max(f64::EPSILON);
            groups.sum::<usize>() as f64 * model.group_size as f64 / share
        };
        let all = models.iter().map(|model| groups_for_share(model));
        let least = all.fold(f64::INFINITY, f64::min);
        let behind = models
            .iter()
            .filter(|model| groups_for_share(model) <= least * SHARE_TOLERANCE);
        // Of those about equally far behind the one with the larger groups: it loses one to every
        // engine that is lost, and finds fewer domains with room later.
        behind.max_by_key(|model| model.group_size).copied()
    }

    /// Returns whether groups may be formed in a domain: before traffic, once it is complete.
    pub(super) fn may_begin(
        &self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        domain: &FabricDomainId,
    ) -> bool {
        let sizes = input.spec.models.iter().map(|model| model.group_size);
        let largest_group = sizes.max().unwrap_or(0);
        input.in_traffic || self.sizes.is_complete(now, domain, largest_group)
    }

    /// Returns the models that nothing can serve: no fabric domain holds a group of them.
    #[must_use]
    pub fn unservable<'a>(&self, now: Timestamp, spec: &'a EngineSpec) -> Vec<&'a EngineModel> {
        if !self.sizes.are_settled(now) {
            return Vec::new();
        }
        let largest = self.sizes.largest();
        let models = spec.models.iter();
        models.filter(|model| model.group_size > largest).collect()
    }
}

/// Returns whether a domain has enough engines for a group of a model that no other model's group has.
fn can_form(engines: &[&Arc<Endpoint>], model: &EngineModel) -> bool {
    let usable = engines.iter().filter(|engine| {
        let is_own = engine.models.first() == Some(&model.model);
        is_ready(engine) && (is_own || engine.group.is_none())
    });
    usable.count() >= model.group_size
}

fn models_within(spec: &EngineSpec, engines: usize) -> Vec<&EngineModel> {
    let models = spec.models.iter();
    models.filter(|model| model.group_size <= engines).collect()
}

/// A domain whose engines hold nothing that it has room for.
struct EmptyDomain<'a> {
    domain: &'a FabricDomainId,
    failure_domain: &'a FailureDomainId,
    fitting: Vec<&'a EngineModel>,
}

/// Orders domains so that those that have less choice of models come first, and those of one failure
/// domain don't follow each other: each model then lies in several of them, and the loss of one takes
/// none away.
fn by_turns(mut domains: Vec<EmptyDomain<'_>>) -> Vec<EmptyDomain<'_>> {
    domains.sort_by_key(|empty| (empty.domain, empty.failure_domain));
    let mut turns: IndexMap<&FailureDomainId, usize> = IndexMap::new();
    let mut ordered: Vec<(usize, usize, EmptyDomain<'_>)> = Vec::new();
    for empty in domains {
        let turn = turns.entry(empty.failure_domain).or_default();
        ordered.push((empty.fitting.len(), *turn, empty));
        *turn += 1;
    }
    ordered.sort_by_key(|(choices, turn, empty)| (*choices, *turn, empty.domain));
    ordered.into_iter().map(|(_, _, empty)| empty).collect()
}
