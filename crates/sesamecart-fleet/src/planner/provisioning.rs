//! How well each model is provided with groups, and what another one would be worth.
//!
//! It answers work that is divided among models otherwise than the configuration expects. Before callers
//! have shown what they ask, a model needs its share of the engines; afterwards what is asked counts.

use indexmap::IndexMap;
use sesamecart_vocabulary::ModelId;

use super::engine::engines;
use super::{Planner, PlannerInput};
use crate::catalog::{EngineModel, EngineSpec};

/// The part of all engines that the work is taken to keep busy while it isn't known.
const PRESUMED_LOAD: f64 = 0.6;

/// The least that a model is taken to need, in groups: callers who ask seldom wait as long for a load.
const MIN_NEED: f64 = 0.25;

/// Groups for each one needed beyond which a further one only takes peaks.
const PEAKS_FROM: f64 = 1.0;

/// What a group that takes peaks is worth, in groups that work needs all the time.
const PEAKS_WORTH: f64 = 0.3;

/// Groups for each one needed beyond which a further one only waits for losses.
const RESERVE_FROM: f64 = 2.0;

/// What a group that waits for losses is worth, in groups that work needs all the time.
const RESERVE_WORTH: f64 = 0.05;

/// What one model needs and has, in groups.
#[derive(Clone, Copy, Debug, Default)]
struct Provision {
    need: f64,
    groups: f64,
}

/// What each model needs and has.
#[derive(Clone, Debug, Default)]
pub(super) struct Provisioning(IndexMap<ModelId, Provision>);

impl Provisioning {
    /// Returns the groups that a model has for each one that it needs.
    pub(super) fn ratio(&self, model: &ModelId) -> f64 {
        self.0.get(model).map_or(f64::INFINITY, |provision| {
            provision.groups / provision.need.max(MIN_NEED)
        })
    }

    /// Returns what a change of a model's groups is worth, in groups that work needs all the time.
    pub(super) fn worth_of_change(&self, model: &ModelId, groups: f64) -> f64 {
        let Some(provision) = self.0.get(model) else {
            return 0.0;
        };
        let need = provision.need.max(MIN_NEED);
        let served = |groups: f64| need * worth_of_ratio(groups.max(0.0) / need);
        served(provision.groups + groups) - served(provision.groups)
    }

    /// Counts groups that will be there.
    pub(super) fn add(&mut self, model: &ModelId, groups: f64) {
        if let Some(provision) = self.0.get_mut(model) {
            provision.groups += groups;
        }
    }
}

/// Returns what so many groups for each one needed are worth, where exactly enough are worth 1.
fn worth_of_ratio(ratio: f64) -> f64 {
    let needed = ratio.min(PEAKS_FROM);
    let for_peaks = (ratio.min(RESERVE_FROM) - PEAKS_FROM).max(0.0);
    let reserve = (ratio - RESERVE_FROM).max(0.0);
    needed + for_peaks * PEAKS_WORTH + reserve * RESERVE_WORTH
}

/// Returns the part of the work that each model is expected to get.
pub(super) fn expected_share(spec: &EngineSpec, model: &EngineModel) -> f64 {
    let all: f64 = spec.models.iter().map(EngineModel::share_or_zero).sum();
    if all > 0.0 {
        model.share_or_zero() / all
    } else {
        1.0 / spec.models.len().max(1) as f64
    }
}

impl Planner {
    /// Returns what each model needs, and the groups that its callers can reach or soon will.
    ///
    /// Groups of an evacuated failure domain take no requests, so they don't count: the callers of a
    /// model whose other groups are full would be turned away beside idle engines.
    pub(super) fn provisioning(&self, input: &PlannerInput<'_>) -> Provisioning {
        let engines_count = engines(input).count() as f64;
        let models = input.spec.models.iter();
        let provisions = models.map(|model| {
            let need = match input.demand {
                Some(demand) => demand.groups(&model.model),
                None => {
                    let share = expected_share(input.spec, model);
                    share * PRESUMED_LOAD * engines_count / model.group_size as f64
                }
            };
            let groups = self.reachable_groups(input, model);
            (model.model.clone(), Provision { need, groups })
        });
        Provisioning(provisions.collect())
    }

    fn reachable_groups(&self, input: &PlannerInput<'_>, model: &EngineModel) -> f64 {
        let open = input
            .directory
            .candidates(input.service, Some(&model.model));
        let open = open.filter(|head| !self.is_retiring(head));
        let forming = self.formations.values();
        let forming = forming.filter(|formation| formation.model == model.model);
        let forming = forming.filter(|formation| {
            let head = formation.members.first();
            let head = head.and_then(|id| input.directory.find(id));
            head.is_some_and(|head| input.directory.takes_work(head))
        });
        let reserved = self.reserved.values();
        let reserved = reserved.filter(|reserved| **reserved == model.model);
        (open.count() + forming.count() + reserved.count() / model.group_size) as f64
    }
}
