//! Schedules model loads.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, FabricDomainId, Timestamp};

use super::engine::{engines, find_model, holds, needs_load};
use super::{Load, Planner, PlannerInput, Step};
use crate::catalog::EngineModel;
use crate::endpoint::Endpoint;

/// The fraction of the loads allowed by the operator in [`LOAD_RATE_WINDOW`] that one controller may start.
///
/// Two controllers may start loads in one window, since one that takes over counts from zero. Together they
/// stay 10 % below the operator's limit.
const LOAD_START_FRACTION: f64 = 0.45;

/// The window over which the rate of load starts is limited.
pub(super) const LOAD_RATE_WINDOW: Duration = Duration::from_secs(5);

/// How many times its usual duration a load may take before it counts as failed. Concurrent loads slow each
/// other down.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// The factor by which the platform runs loads faster before the first request than after it.
const EARLY_LOAD_SPEEDUP: u32 = 10;

/// A load that would make an engine useful.
struct WantedLoad<'a> {
    /// The number of engines that a group of the model still lacks.
    missing: usize,
    engine: &'a Arc<Endpoint>,
    model: &'a EngineModel,
}

/// The free engines of a fabric domain.
#[derive(Default)]
struct FreeEngines<'a> {
    /// Engines that hold or load a model that the domain serves.
    holding: Vec<(&'a Arc<Endpoint>, &'a EngineModel)>,
    empty: Vec<&'a Arc<Endpoint>>,
}

impl<'a> FreeEngines<'a> {
    /// Returns how many more engines have to hold a model until a group of it is complete.
    fn missing_for_group(&self, model: &EngineModel) -> usize {
        let holding = self.holding.iter();
        let held = holding.filter(|(_, held)| held.model == model.model);
        model.group_size.saturating_sub(held.count())
    }

    /// Returns how many engines the next group of a model lacks.
    fn missing_for_next_group(&self, model: &EngineModel) -> usize {
        // If enough engines for one group already hold or load the model, further engines are for another
        // group.
        match self.missing_for_group(model) {
            0 => model.group_size,
            missing => missing,
        }
    }

    /// Returns the engines holding other models that a group of this model needs in addition to the empty
    /// ones, or none if they wouldn't complete the group. Engines that are loading keep the model that they
    /// load.
    fn spares_for(
        &self,
        model: &EngineModel,
        is_loading: impl Fn(&Endpoint) -> bool,
    ) -> Vec<&'a Arc<Endpoint>> {
        let needed = self
            .missing_for_group(model)
            .saturating_sub(self.empty.len());
        let holding = self.holding.iter();
        let others = holding.filter(|(_, held)| held.model != model.model);
        let others = others.map(|(engine, _)| *engine);
        let spares: Vec<&Arc<Endpoint>> = others.filter(|engine| !is_loading(engine)).collect();
        if spares.len() < needed {
            return Vec::new();
        }
        spares.into_iter().take(needed).collect()
    }
}

impl Planner {
    /// Returns whether all remaining engines start their loads at once.
    ///
    /// Before the first request, a load takes a tenth of its usual time, and a load that has started stays
    /// that fast. When the first request will arrive is unknown. So once half of the engines hold a model,
    /// which is enough to serve the first requests, the others start to load together. If they waited their
    /// turn, they would still be loading seconds after traffic starts.
    pub(super) fn is_load_limit_lifted(&self, input: &PlannerInput<'_>) -> bool {
        if input.has_traffic {
            return false;
        }
        let total = engines(input).count();
        let loaded = engines(input).filter(|engine| {
            let models = input.spec.models.iter();
            models.map(|model| &model.model).any(|id| holds(engine, id))
        });
        loaded.count() * 2 >= total
    }

    /// Preloads the model of each domain onto free engines that hold no useful model.
    pub(super) fn stage_models(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        let waits_for_groups = !input.has_traffic && !self.is_load_limit_lifted(input);
        if waits_for_groups && (self.is_forming() || !self.domain_sizes.is_stable(now)) {
            // Groups come first: leftover engines wait while a group is being formed or the sizes of the
            // domains still change. They are loaded afterwards, before the first request if possible: it
            // would otherwise find them empty, and loads take ten times longer from then on.
            return;
        }
        let mut wanted: Vec<WantedLoad<'_>> = Vec::new();
        for (domain, engines) in free {
            wanted.extend(self.wanted_loads(input, domain, engines));
        }
        // The group that lacks the fewest engines is complete soonest.
        wanted.sort_by_key(|load| (load.missing, load.engine.id.clone()));
        for WantedLoad { engine, model, .. } in wanted {
            if self.loading.len() >= input.spec.loads_at_once && !self.is_load_limit_lifted(input) {
                return;
            }
            if self.loading.contains_key(&engine.id) {
                continue;
            }
            if input.has_traffic && self.recent_load_starts.len() >= max_load_starts(input) {
                return;
            }
            self.record_load(now, input, &engine.id, model);
            steps.push(Step::Stage {
                endpoint: engine.id.clone(),
                model: model.model.clone(),
            });
        }
    }

    /// Returns the loads that make the free engines of a fabric domain useful.
    ///
    /// An engine that holds any model served in the domain, not only the one assigned to it, keeps that
    /// model: it replaces the next lost member of one of its groups. Only if it completes a group of another
    /// model does it load that model.
    fn wanted_loads<'a>(
        &self,
        input: &PlannerInput<'a>,
        domain: &FabricDomainId,
        engines: &[&'a Arc<Endpoint>],
    ) -> Vec<WantedLoad<'a>> {
        let assigned = self.domain_models.get(domain);
        let Some(own) = assigned.and_then(|id| find_model(input.spec, id)) else {
            return Vec::new();
        };
        let served = self.served_models(input, own, domain);
        let mut free = FreeEngines::default();
        let mut wanted = Vec::new();
        for engine in engines {
            if let Some(reserved) = self.reserved.get(&engine.id) {
                let model = find_model(input.spec, reserved);
                let model = model.filter(|model| needs_load(engine, model));
                wanted.extend(model.map(|model| WantedLoad {
                    missing: model.group_size,
                    engine,
                    model,
                }));
                continue;
            }
            match self.useful_model(&served, engine) {
                Some(model) => free.holding.push((engine, model)),
                None => free.empty.push(engine),
            }
        }
        let model = served.iter().copied();
        let Some(model) = model.min_by_key(|model| free.missing_for_next_group(model)) else {
            return wanted;
        };
        let spares = free.spares_for(model, |engine| self.loading.contains_key(&engine.id));
        let missing = free.missing_for_next_group(model);
        let empty = free.empty.iter().copied();
        wanted.extend(empty.chain(spares).map(|engine| WantedLoad {
            missing,
            engine,
            model,
        }));
        wanted
    }

    /// Returns the models with groups in a fabric domain, starting with the model assigned to it.
    fn served_models<'a>(
        &self,
        input: &PlannerInput<'a>,
        own: &'a EngineModel,
        domain: &FabricDomainId,
    ) -> Vec<&'a EngineModel> {
        let mut served = vec![own];
        let others = input.spec.models.iter().filter(|model| {
            let mut within =
                engines(input).filter(|engine| engine.fabric_domain.as_ref() == Some(domain));
            model.model != own.model
                && within
                    .any(|engine| engine.is_open_head() && engine.models.contains(&model.model))
        });
        served.extend(others);
        served
    }

    /// Returns which of the models served in its fabric domain a free engine holds or loads.
    fn useful_model<'a>(
        &self,
        served: &[&'a EngineModel],
        engine: &Endpoint,
    ) -> Option<&'a EngineModel> {
        let loading = self.loading.get(&engine.id).map(|load| &load.model);
        let mut served = served.iter().copied();
        served.find(|model| match loading {
            Some(loading) => *loading == model.model,
            None => holds(engine, &model.model),
        })
    }

    pub(super) fn record_load(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        endpoint: &EndpointId,
        model: &EngineModel,
    ) {
        if input.has_traffic {
            self.recent_load_starts.push_back(now);
        }
        let load = Load {
            model: model.model.clone(),
            deadline: now + load_duration(input, model) * LOAD_TIMEOUT_FACTOR,
        };
        self.loading.insert(endpoint.clone(), load);
    }
}

fn load_duration(input: &PlannerInput<'_>, model: &EngineModel) -> Duration {
    if input.has_traffic {
        model.load_time
    } else {
        model.load_time / EARLY_LOAD_SPEEDUP
    }
}

/// Returns the number of loads that may start in one window. It is at least one, since otherwise no engine
/// would ever be loaded.
fn max_load_starts(input: &PlannerInput<'_>) -> usize {
    let allowed = input.spec.loads_per_s * LOAD_RATE_WINDOW.as_secs_f64();
    ((allowed * LOAD_START_FRACTION) as usize).max(1)
}
