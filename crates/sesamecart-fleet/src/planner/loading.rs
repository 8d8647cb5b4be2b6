//! Which loads begin when.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, FabricDomainId, Timestamp};

use super::engine::{engines, find_model, holds, needs_load};
use super::{Load, Planner, PlannerInput, Step};
use crate::catalog::EngineModel;
use crate::endpoint::Endpoint;

/// The part of the loads that the operator allows in [`LOAD_WINDOW`] that one controller begins: less
/// than half, since a controller that takes over counts anew.
const LOAD_STARTS_PART: f64 = 0.45;

pub(super) const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// How much longer than alone a load may take before it counts as failed: loads slow each other.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// Loads before the first request take this part of their time.
const EARLY_LOADS_FASTER: u32 = 10;

/// A load that would make an engine useful.
struct Wanted<'a> {
    /// The engines that a group of the model still lacks.
    lacking: usize,
    engine: &'a Arc<Endpoint>,
    model: &'a EngineModel,
}

/// The free engines of a fabric domain.
#[derive(Default)]
struct FreeEngines<'a> {
    /// Those that hold or load a model which the domain serves.
    holding: Vec<(&'a Arc<Endpoint>, &'a EngineModel)>,
    empty: Vec<&'a Arc<Endpoint>>,
}

impl<'a> FreeEngines<'a> {
    /// Returns how many engines that hold a model are missing for a group of it.
    fn missing(&self, model: &EngineModel) -> usize {
        let holding = self.holding.iter();
        let held = holding.filter(|(_, held)| held.model == model.model);
        model.group_size.saturating_sub(held.count())
    }

    /// Returns how many engines the next group of a model lacks.
    fn lacking(&self, model: &EngineModel) -> usize {
        // With as many engines as a group needs held or loading, the next ones are for another group.
        match self.missing(model) {
            0 => model.group_size,
            missing => missing,
        }
    }

    /// Returns the engines that hold other models and that a group of this one needs beside the empty ones;
    /// none where it can't be made whole. Those that are loading stay with what they load.
    fn spares_for(
        &self,
        model: &EngineModel,
        is_loading: impl Fn(&Endpoint) -> bool,
    ) -> Vec<&'a Arc<Endpoint>> {
        let needed = self.missing(model).saturating_sub(self.empty.len());
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
    /// Returns whether all engines that are left begin their loads at once.
    ///
    /// Before the first request a load takes a tenth of its time, and one that has begun keeps that.
    /// When the first requests come is not known. So once half of the engines hold a model, which
    /// serves the first requests, the others begin all together; those that waited for their turn
    /// would load for seconds of traffic.
    pub(super) fn loads_the_rest(&self, input: &PlannerInput<'_>) -> bool {
        if input.in_traffic {
            return false;
        }
        let all = engines(input).count();
        let loaded = engines(input).filter(|engine| {
            let models = input.spec.models.iter();
            models.map(|model| &model.model).any(|id| holds(engine, id))
        });
        loaded.count() * 2 >= all
    }

    /// Loads the domain's model ahead onto free engines that hold nothing useful.
    pub(super) fn stage(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        let comes_after_groups = !input.in_traffic && !self.loads_the_rest(input);
        if comes_after_groups && (self.is_forming() || !self.sizes.are_settled(now)) {
            // What is left over is loaded after whole groups, or when none can be formed: the first
            // requests would find its engines empty, and loads take ten times longer by then.
            return;
        }
        let mut wanted: Vec<Wanted<'_>> = Vec::new();
        for (domain, engines) in free {
            wanted.extend(self.wanted_in(input, domain, engines));
        }
        // The group that lacks least is whole soonest.
        wanted.sort_by_key(|load| (load.lacking, load.engine.id.clone()));
        for Wanted { engine, model, .. } in wanted {
            if self.loading.len() >= input.spec.loads_at_once && !self.loads_the_rest(input) {
                return;
            }
            if self.loading.contains_key(&engine.id) {
                continue;
            }
            if input.in_traffic && self.starts.len() >= load_starts(input) {
                return;
            }
            self.note_load(now, input, &engine.id, model);
            steps.push(Step::Stage {
                endpoint: engine.id.clone(),
                model: model.model.clone(),
            });
        }
    }

    /// Returns the loads that make a fabric domain's free engines useful.
    ///
    /// An engine that holds a model which the domain serves, if only beside its own, keeps it, as it mends the
    /// next group of it that loses a member. Where a whole group waits for it, it loads that group's model.
    fn wanted_in<'a>(
        &self,
        input: &PlannerInput<'a>,
        domain: &FabricDomainId,
        engines: &[&'a Arc<Endpoint>],
    ) -> Vec<Wanted<'a>> {
        let primary = self.primaries.get(domain);
        let Some(own) = primary.and_then(|id| find_model(input.spec, id)) else {
            return Vec::new();
        };
        let served = self.served_in(input, own, domain);
        let mut free = FreeEngines::default();
        let mut wanted = Vec::new();
        for engine in engines {
            if let Some(reserved) = self.reserved.get(&engine.id) {
                let model = find_model(input.spec, reserved);
                let model = model.filter(|model| needs_load(engine, model));
                wanted.extend(model.map(|model| Wanted {
                    lacking: model.group_size,
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
        let Some(model) = model.min_by_key(|model| free.lacking(model)) else {
            return wanted;
        };
        let spares = free.spares_for(model, |engine| self.loading.contains_key(&engine.id));
        let lacking = free.lacking(model);
        let empty = free.empty.iter().copied();
        wanted.extend(empty.chain(spares).map(|engine| Wanted {
            lacking,
            engine,
            model,
        }));
        wanted
    }

    /// Returns the models that a fabric domain has groups of, its own first.
    fn served_in<'a>(
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

    /// Returns the model, of those that its fabric domain serves, that a free engine holds or loads.
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

    pub(super) fn note_load(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        endpoint: &EndpointId,
        model: &EngineModel,
    ) {
        if input.in_traffic {
            self.starts.push_back(now);
        }
        let load = Load {
            model: model.model.clone(),
            give_up_at: now + loading_time(input, model) * LOAD_TIMEOUT_FACTOR,
        };
        self.loading.insert(endpoint.clone(), load);
    }
}

fn loading_time(input: &PlannerInput<'_>, model: &EngineModel) -> Duration {
    if input.in_traffic {
        model.load_time
    } else {
        model.load_time / EARLY_LOADS_FASTER
    }
}

/// Returns the loads that may begin in a window; one at least, or no engine would ever be loaded.
fn load_starts(input: &PlannerInput<'_>) -> usize {
    let allowed = input.spec.loads_per_s * LOAD_WINDOW.as_secs_f64();
    ((allowed * LOAD_STARTS_PART) as usize).max(1)
}
