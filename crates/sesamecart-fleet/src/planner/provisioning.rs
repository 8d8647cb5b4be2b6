//! Computes how well each model is provisioned with groups and the marginal value of another one.
//!
//! The distribution of work among models can differ from what the configuration expects. Until demand has
//! been observed, each model needs its configured share of the engines. After that, the observed demand
//! determines the need, and where the routes of a service differ in urgency, which model goes first while one is
//! short.

use indexmap::IndexMap;
use sesamecart_vocabulary::ModelId;

use super::engine::engines;
use super::{Planner, PlannerInput};
use crate::catalog::{EngineModel, EngineSpec};
use crate::demand::{Demand, Urgency};

#[cfg(test)]
mod tests;

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

/// The fraction of the mean service of all models that callers of a less urgent model still get.
const MIN_FRACTION_OF_MEAN: f64 = 0.25;

/// The groups that a conversion takes from a model.
const GIVEN_UP_GROUPS: f64 = 1.0;

/// The groups that a model may lose before the planner could give it others.
const LOST_GROUPS: f64 = 1.0;

/// The number of groups that a model needs and the number that it has.
#[derive(Clone, Copy, Debug)]
struct Provision {
    needed_groups: f64,
    groups: f64,
    /// The urgency of what is asked of it, if anything is.
    urgency: Option<Urgency>,
}

impl Provision {
    fn ratio(self) -> f64 {
        self.ratio_of(self.groups)
    }

    fn ratio_of(self, groups: f64) -> f64 {
        groups.max(0.0) / self.needed_groups.max(MIN_NEEDED_GROUPS)
    }

    /// Returns whether the model, if it gave up a group to `other`, could get too few groups for its callers by the
    /// next loss.
    fn would_starve(self, other: &Self) -> bool {
        let mean_ratio = f64::midpoint(self.ratio(), other.ratio());
        let left = self.ratio_of(self.groups - GIVEN_UP_GROUPS - LOST_GROUPS);
        left < MIN_FRACTION_OF_MEAN * mean_ratio.min(PEAK_RATIO)
    }
}

/// The provision of each model.
#[derive(Clone, Debug, Default)]
pub(super) struct Provisioning(IndexMap<ModelId, Provision>);

impl Provisioning {
    /// Returns the ratio of groups that a model has to groups that it needs.
    pub(super) fn ratio(&self, model: &ModelId) -> f64 {
        self.0
            .get(model)
            .map_or(f64::INFINITY, |provision| provision.ratio())
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

    /// Returns the factor by which the loss of a group of `from` counts when a group of `to` is gained for it.
    ///
    /// Among models whose routes are equally urgent it is 1. A group of a more urgent model counts for more if its
    /// callers keep it busy. One of a less urgent model counts for less while `to` can't serve what is asked of it,
    /// unless callers of `from` would starve.
    pub(super) fn loss_factor(&self, from: &ModelId, to: &ModelId) -> f64 {
        let (Some(from), Some(to)) = (self.0.get(from), self.0.get(to)) else {
            return 1.0;
        };
        let (Some(from_urgency), Some(to_urgency)) = (from.urgency, to.urgency) else {
            return 1.0;
        };
        let counts_by_urgency = if from_urgency < to_urgency {
            let is_short = to.ratio() < PEAK_RATIO && to.ratio() < from.ratio();
            is_short && !from.would_starve(to)
        } else {
            from.ratio_of(from.groups - GIVEN_UP_GROUPS) < PEAK_RATIO
        };
        if counts_by_urgency {
            from_urgency.relative_to(to_urgency)
        } else {
            1.0
        }
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
            let urgency = |demand: &Demand| demand.urgency(&model.model);
            let provision = Provision {
                needed_groups,
                groups: self.reachable_groups(input, model),
                urgency: input.demand.and_then(urgency),
            };
            (model.model.clone(), provision)
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
