//! Computes how well each model is provisioned with groups and the marginal value of another one.
//!
//! The distribution of work among models can differ from what the configuration expects. Until demand has
//! been observed, each model needs its configured share of the engines. After that, the observed demand
//! determines the need.

use indexmap::IndexMap;
use sesamecart_vocabulary::ModelId;

use super::engine::engines;
use super::{Planner, PlannerInput};
use crate::catalog::{EngineModel, EngineSpec};

/// The fraction of all engines that is assumed to be busy while the demand is unknown.
const ASSUMED_UTILIZATION: f64 = 0.6;

/// The minimum need of a model, in groups. Callers of a rarely used model wait just as long for a load.
const MIN_NEEDED_GROUPS: f64 = 0.25;

/// The ratio of groups to needed groups above which an additional group only serves peaks.
const PEAK_RATIO: f64 = 1.0;

/// The value of a group that only serves peaks, relative to a group with sustained load.
const PEAK_GROUP_VALUE: f64 = 0.3;

/// The ratio of groups to needed groups above which an additional group is only a reserve for losses.
const RESERVE_RATIO: f64 = 2.0;

/// The value of a group that is only a reserve for losses, relative to a group with sustained load.
const RESERVE_GROUP_VALUE: f64 = 0.05;

/// The number of groups that a model needs and the number that it has.
#[derive(Clone, Copy, Debug, Default)]
struct Provision {
    needed_groups: f64,
    groups: f64,
}

/// The provision of each model.
#[derive(Clone, Debug, Default)]
pub(super) struct Provisioning(IndexMap<ModelId, Provision>);

impl Provisioning {
    /// Returns the ratio of groups that a model has to groups that it needs.
    pub(super) fn ratio(&self, model: &ModelId) -> f64 {
        self.0.get(model).map_or(f64::INFINITY, |provision| {
            provision.groups / provision.needed_groups.max(MIN_NEEDED_GROUPS)
        })
    }

    /// Returns the value of changing the number of a model's groups by `groups`, in units of one group with
    /// sustained load.
    pub(super) fn value_of_change(&self, model: &ModelId, groups: f64) -> f64 {
        let Some(provision) = self.0.get(model) else {
            return 0.0;
        };
        let needed_groups = provision.needed_groups.max(MIN_NEEDED_GROUPS);
        let value = |groups: f64| needed_groups * value_of_ratio(groups.max(0.0) / needed_groups);
        value(provision.groups + groups) - value(provision.groups)
    }

    /// Adds groups that will be available soon.
    pub(super) fn add(&mut self, model: &ModelId, groups: f64) {
        if let Some(provision) = self.0.get_mut(model) {
            provision.groups += groups;
        }
    }
}

/// Returns the value of a ratio of groups to needed groups, where a ratio of 1 has the value 1.
fn value_of_ratio(ratio: f64) -> f64 {
    let sustained = ratio.min(PEAK_RATIO);
    let peak = (ratio.min(RESERVE_RATIO) - PEAK_RATIO).max(0.0);
    let reserve = (ratio - RESERVE_RATIO).max(0.0);
    sustained + peak * PEAK_GROUP_VALUE + reserve * RESERVE_GROUP_VALUE
}

/// Returns the fraction of the work that a model is expected to get.
pub(super) fn expected_share(spec: &EngineSpec, model: &EngineModel) -> f64 {
    let total: f64 = spec.models.iter().map(EngineModel::share_or_zero).sum();
    if total > 0.0 {
        model.share_or_zero() / total
    } else {
        1.0 / spec.models.len().max(1) as f64
    }
}

impl Planner {
    /// Returns what each model needs, and the groups that its callers can reach now or soon.
    ///
    /// Groups in an evacuated failure domain take no requests and aren't counted. Otherwise, callers of a
    /// model whose other groups are full would be refused while engines are idle.
    pub(super) fn provisioning(&self, input: &PlannerInput<'_>) -> Provisioning {
        let engines_count = engines(input).count() as f64;
        let models = input.spec.models.iter();
        let provisions = models.map(|model| {
            let needed_groups = match input.demand {
                Some(demand) => demand.groups(&model.model),
                None => {
                    let share = expected_share(input.spec, model);
                    share * ASSUMED_UTILIZATION * engines_count / model.group_size as f64
                }
            };
            let groups = self.reachable_groups(input, model);
            (
                model.model.clone(),
                Provision {
                    needed_groups,
                    groups,
                },
            )
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
        let open: f64 = open.map(|head| input.capacities.of(&head.id)).sum();
        open + (forming.count() + reserved.count() / model.group_size) as f64
    }
}
