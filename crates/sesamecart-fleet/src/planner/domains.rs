//! Assigns a model to each fabric domain.

use std::sync::Arc;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, ModelId, Timestamp};

use super::assignment::{Placement, spread_models};
use super::domain_sizes::EnginesByDomain;
use super::engine::{engines, find_model, is_ready};
use super::provisioning::expected_share;
use super::{Planner, PlannerInput};
use crate::catalog::{EngineModel, EngineSpec};
use crate::endpoint::Endpoint;

/// Models whose engines in groups, relative to their share of the work, are within this factor of the minimum
/// count as equally underprovisioned.
const SHARE_TOLERANCE: f64 = 1.05;

impl Planner {
    /// Assigns a model to each fabric domain.
    ///
    /// Domains whose engines already hold a model keep it, so that a controller that takes over doesn't
    /// reload them. Each other domain gets, of the models that fit, the one whose whole groups are furthest
    /// below its share of the work. Counting engines instead of whole groups would give a model with large
    /// groups too little, because its domains have leftover engines. A model that fits in no domain has no
    /// groups however many domains it is assigned, so it must not be a candidate: it would be assigned to
    /// every domain, and no engine would serve any requests.
    pub(super) fn assign_domains(&mut self, now: Timestamp, input: &PlannerInput<'_>) {
        let mut domains: EnginesByDomain<'_> = IndexMap::new();
        for endpoint in engines(input) {
            if let Some(domain) = &endpoint.fabric_domain {
                domains.entry(domain).or_default().push(endpoint);
            }
        }
        self.domain_sizes.update(now, &domains);
        self.domain_models.clear();
        self.active_domains.clear();
        let mut placements = Vec::new();
        let mut empty = Vec::new();
        for (domain, engines) in &domains {
            let failure_domain = &engines[0].failure_domain;
            let Some(model) = self.resident_model(now, input.spec, domain, engines) else {
                let fitting = self.fitting_models(input.spec, engines);
                empty.push(EmptyDomain {
                    domain,
                    failure_domain,
                    fitting,
                });
                continue;
            };
            self.active_domains.insert((*domain).clone());
            placements.push(self.assign(domain, failure_domain, model, Vec::new()));
        }
        for empty in interleave_failure_domains(empty) {
            if let Some(model) = self.most_underprovisioned(input.spec, &empty.fitting) {
                placements.push(self.assign(
                    empty.domain,
                    empty.failure_domain,
                    model,
                    empty.fitting,
                ));
            }
        }
        spread_models(input.spec, &mut placements);
        for placement in placements {
            let model = placement.model.model.clone();
            self.domain_models.insert(placement.domain.clone(), model);
        }
    }

    /// Assigns a model to a domain, so that it is counted when the following domains are assigned.
    fn assign<'a>(
        &mut self,
        domain: &'a FabricDomainId,
        failure_domain: &'a FailureDomainId,
        model: &'a EngineModel,
        candidates: Vec<&'a EngineModel>,
    ) -> Placement<'a> {
        self.domain_models
            .insert(domain.clone(), model.model.clone());
        Placement {
            domain,
            failure_domain,
            engines: self.domain_sizes.size_of(domain),
            model,
            candidates,
        }
    }

    /// Returns the models of which the engines of a domain can form a group.
    ///
    /// A domain that is too small for any model may still grow. Its engines load a model that fits in the
    /// largest domain or, if there is none, the model with the smallest groups.
    fn fitting_models<'a>(
        &self,
        spec: &'a EngineSpec,
        engines: &[&Arc<Endpoint>],
    ) -> Vec<&'a EngineModel> {
        let free = engines
            .iter()
            .filter(|engine| is_ready(engine) && engine.group.is_none());
        let mut fitting = models_that_fit(spec, free.count());
        if fitting.is_empty() {
            fitting = models_that_fit(spec, self.domain_sizes.largest());
        }
        if fitting.is_empty() {
            let smallest = spec.models.iter().min_by_key(|model| model.group_size);
            fitting.extend(smallest);
        }
        fitting
    }

    /// Returns the model that most engines of a domain hold or load, unless they are too few for a group of
    /// it.
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
        let mut resident_models = counts.keys().filter_map(|id| find_model(spec, id));
        let dominant = resident_models.next()?;
        // Loading another model takes about this long, so the domain gets as much time to recover.
        let loads = spec.models.iter().map(|model| model.load_time);
        let recovery_time = loads.min().unwrap_or_default();
        let is_undersized = !can_form(engines, dominant);
        if !self
            .domain_sizes
            .is_undersized_for(now, domain, is_undersized, recovery_time)
        {
            return Some(dominant);
        }
        resident_models.find(|model| can_form(engines, model))
    }

    /// Returns which of the given models has the fewest engines in groups, relative to its share of the work.
    fn most_underprovisioned<'a>(
        &self,
        spec: &EngineSpec,
        models: &[&'a EngineModel],
    ) -> Option<&'a EngineModel> {
        let engines_per_share = |model: &EngineModel| {
            let domains = self
                .domain_models
                .iter()
                .filter(|(_, id)| **id == model.model);
            let groups = domains
                .map(|(domain, _)| self.domain_sizes.size_of(domain) / model.group_size.max(1));
            let share = expected_share(spec, model).max(f64::EPSILON);
            groups.sum::<usize>() as f64 * model.group_size as f64 / share
        };
        let ratios = models.iter().map(|model| engines_per_share(model));
        let lowest = ratios.fold(f64::INFINITY, f64::min);
        let underprovisioned = models
            .iter()
            .filter(|model| engines_per_share(model) <= lowest * SHARE_TOLERANCE);
        // Of equally underprovisioned models, the one with the larger groups goes first: each lost engine
        // costs it a whole group, and fewer of the remaining domains have room for one.
        underprovisioned
            .max_by_key(|model| model.group_size)
            .copied()
    }

    /// Returns whether groups may be formed in a domain. Before traffic starts, the domain has to be
    /// complete.
    pub(super) fn may_form_groups(
        &self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        domain: &FabricDomainId,
    ) -> bool {
        let sizes = input.spec.models.iter().map(|model| model.group_size);
        let largest_group = sizes.max().unwrap_or(0);
        input.has_traffic || self.domain_sizes.is_complete(now, domain, largest_group)
    }

    /// Returns the models that can't be served because no fabric domain has enough engines for a group of
    /// them.
    #[must_use]
    pub fn unservable_models<'a>(
        &self,
        now: Timestamp,
        spec: &'a EngineSpec,
    ) -> Vec<&'a EngineModel> {
        if !self.domain_sizes.is_stable(now) {
            return Vec::new();
        }
        let largest = self.domain_sizes.largest();
        let models = spec.models.iter();
        models.filter(|model| model.group_size > largest).collect()
    }
}

/// Returns whether a domain has enough engines for a group of a model, not counting engines in groups of
/// other models.
fn can_form(engines: &[&Arc<Endpoint>], model: &EngineModel) -> bool {
    let usable = engines.iter().filter(|engine| {
        let is_own = engine.models.first() == Some(&model.model);
        is_ready(engine) && (is_own || engine.group.is_none())
    });
    usable.count() >= model.group_size
}

fn models_that_fit(spec: &EngineSpec, engines: usize) -> Vec<&EngineModel> {
    let models = spec.models.iter();
    models.filter(|model| model.group_size <= engines).collect()
}

/// A domain whose engines hold no model that it has room for.
struct EmptyDomain<'a> {
    domain: &'a FabricDomainId,
    failure_domain: &'a FailureDomainId,
    fitting: Vec<&'a EngineModel>,
}

/// Orders domains so that those with fewer fitting models come first and those of the same failure domain
/// aren't adjacent. Each model is then assigned in several failure domains, and the loss of one removes no
/// model.
fn interleave_failure_domains(mut domains: Vec<EmptyDomain<'_>>) -> Vec<EmptyDomain<'_>> {
    domains.sort_by_key(|empty| (empty.domain, empty.failure_domain));
    let mut positions: IndexMap<&FailureDomainId, usize> = IndexMap::new();
    let mut ordered: Vec<(usize, usize, EmptyDomain<'_>)> = Vec::new();
    for empty in domains {
        let position = positions.entry(empty.failure_domain).or_default();
        ordered.push((empty.fitting.len(), *position, empty));
        *position += 1;
    }
    ordered.sort_by_key(|(fitting, position, empty)| (*fitting, *position, empty.domain));
    ordered.into_iter().map(|(_, _, empty)| empty).collect()
}
