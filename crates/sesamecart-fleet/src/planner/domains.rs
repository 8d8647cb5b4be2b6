//! Which model each fabric domain is kept to.

use std::sync::Arc;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, ModelId};

use super::engine::engines;
use super::{Planner, PlannerInput};
use crate::catalog::EngineModel;
use crate::endpoint::Endpoint;

/// Models whose groups for their share differ by less than this count as equally far behind.
const ABOUT_EQUAL: f64 = 1.05;

impl Planner {
    /// Gives each fabric domain the model that its groups should serve.
    ///
    /// What engines hold already goes first, so that a controller that takes over doesn't reload. The
    /// others get the model whose groups, as many as domains of this size hold, are furthest behind
    /// what its share of the work needs. Counting engines instead of whole groups would give a model
    /// with large groups too little, as its domains have engines left over.
    pub(super) fn assign_domains(&mut self, input: &PlannerInput<'_>) {
        let mut domains: IndexMap<&FabricDomainId, Vec<&Arc<Endpoint>>> = IndexMap::new();
        for endpoint in engines(input) {
            if let Some(domain) = &endpoint.fabric_domain {
                domains.entry(domain).or_default().push(endpoint);
            }
        }
        let engines_each = domains.values().map(Vec::len).max().unwrap_or(0);
        self.primaries.clear();
        self.begun.clear();
        let mut empty = Vec::new();
        for (domain, engines) in &domains {
            match self.held_in(engines) {
                Some(model) => {
                    self.primaries.insert((*domain).clone(), model);
                    self.begun.insert((*domain).clone());
                }
                None => empty.push((*domain, &engines[0].failure_domain)),
            }
        }
        for domain in by_turns(empty) {
            if let Some(model) = self.behind(input, engines_each) {
                self.primaries.insert(domain.clone(), model);
            }
        }
    }

    /// Returns the model that most engines of a domain hold or load.
    fn held_in(&self, engines: &[&Arc<Endpoint>]) -> Option<ModelId> {
        let mut counts: IndexMap<&ModelId, usize> = IndexMap::new();
        for engine in engines {
            let loading = self.loading.get(&engine.id).map(|load| &load.model);
            if let Some(model) = loading.or(engine.models.first()).or(engine.staged.first()) {
                *counts.entry(model).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(model, _)| model.clone())
    }

    /// Returns the model whose domains hold the fewest groups for its share of the work.
    fn behind(&self, input: &PlannerInput<'_>, engines_each: usize) -> Option<ModelId> {
        let groups_for_share = |model: &EngineModel| {
            let domains = self.primaries.values().filter(|id| **id == model.model);
            let groups = domains.count() * (engines_each / model.group_size);
            groups as f64 * model.group_size as f64 / model.share.max(f64::EPSILON)
        };
        let models = || input.spec.models.iter();
        let least = models().map(groups_for_share).fold(f64::INFINITY, f64::min);
        let behind = models().filter(|model| groups_for_share(model) <= least * ABOUT_EQUAL);
        // Of those about equally far behind the one with the larger groups: it loses one to every
        // engine that is lost, and finds fewer domains with room later.
        let least = behind.max_by_key(|model| model.group_size);
        least.map(|model| model.model.clone())
    }
}

/// Orders domains so that those of one failure domain don't follow each other: each model then lies in
/// several of them, and the loss of one takes none away.
fn by_turns<'a>(
    mut domains: Vec<(&'a FabricDomainId, &'a FailureDomainId)>,
) -> Vec<&'a FabricDomainId> {
    domains.sort();
    let mut turns: IndexMap<&FailureDomainId, usize> = IndexMap::new();
    let mut ordered: Vec<(usize, &FabricDomainId)> = Vec::new();
    for (domain, failure_domain) in domains {
        let turn = turns.entry(failure_domain).or_default();
        ordered.push((*turn, domain));
        *turn += 1;
    }
    ordered.sort();
    ordered.into_iter().map(|(_, domain)| domain).collect()
}
