//! Selects the free engines that form the next group.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, FabricDomainId, GroupId, Timestamp};

use super::engine::{engines, group_size, join_time, needs_load};
use super::{
    Formation, JOIN_TIMEOUT_MARGIN, ORDERS_TIME_LIMIT, Phase, Planner, PlannerInput, Step,
};
use crate::catalog::EngineModel;
use crate::directory::GroupKey;
use crate::endpoint::Endpoint;
use crate::number::{FencingToken, GroupEpoch};

/// The fraction of a group's loads that may exceed the number of loads that the weight store serves at full
/// speed.
///
/// The loads of a group start together. Waiting until all of them fit would leave the weight store partly
/// idle, while starting many groups at once would make all of them wait for each other.
const LOAD_OVERCOMMIT_FRACTION: f64 = 0.5;

/// A domain keeps its spare engines for its own model if the groups of that model are at least this many
/// times as large as those of the other model.
///
/// One spare makes a large group whole again soon after a loss, but it is only a fraction of a small group.
/// Once the spares are used up by small groups, each loss takes down a large group, and its remaining engines
/// are idle because one engine is missing.
const SPARE_RESERVATION_RATIO: usize = 2;

/// The size of the epoch range of one controller. The next fencing token starts the next range.
const EPOCHS_PER_FENCE: u64 = 1_000_000;

/// Returns the epoch of the group that is the `formed_count`th under a fencing token.
pub(super) const fn epoch_of(fence: FencingToken, formed_count: u64) -> GroupEpoch {
    GroupEpoch(fence.0 * EPOCHS_PER_FENCE + formed_count)
}

/// Whether the free engines of a domain can form a group of a model now.
enum Feasibility {
    /// They can. The group takes this long to join.
    Possible(Duration),
    /// They could, but the weight store has no capacity for the loads.
    AwaitingLoads,
    /// They can't.
    Impossible,
}

/// The outcome of an attempt to form one group of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FormOutcome {
    Formed,
    Deferred,
    Impossible,
}

impl Planner {
    /// Forms as many groups as the free engines allow, starting with the most underprovisioned model.
    pub(super) fn form_groups(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &mut IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        loop {
            let provisioning = self.provisioning(input);
            let mut models: Vec<&EngineModel> = input.spec.models.iter().collect();
            models.sort_by(|a, b| {
                let ratio = |model: &EngineModel| provisioning.ratio(&model.model);
                ratio(a).total_cmp(&ratio(b))
            });
            let outcome = models
                .into_iter()
                .map(|model| self.try_form_group(now, input, model, free, steps))
                .find(|outcome| *outcome != FormOutcome::Impossible);
            if outcome != Some(FormOutcome::Formed) {
                return;
            }
        }
    }

    fn try_form_group(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        model: &EngineModel,
        free: &mut IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) -> FormOutcome {
        let mut is_deferred = false;
        let mut best: Option<(Duration, bool, usize, FabricDomainId)> = None;
        for (domain, engines) in free.iter() {
            let time = match self.feasibility(input, domain, model, engines) {
                Feasibility::Possible(time) => time,
                Feasibility::AwaitingLoads => {
                    is_deferred = true;
                    continue;
                }
                Feasibility::Impossible => continue,
            };
            // The size of a domain is known only when all of its engines have registered. Until then, groups
            // are formed in few domains, so that the others remain available to the model that needs them.
            let is_active = self.active_domains.contains(domain);
            let groups = self.nearby_groups(input, model, engines);
            let cost = (time, !is_active, groups);
            let is_best = best
                .as_ref()
                .is_none_or(|(time, is_new, groups, _)| cost < (*time, *is_new, *groups));
            if is_best {
                best = Some((time, !is_active, groups, domain.clone()));
            }
        }
        let Some((time, _, _, domain)) = best else {
            // If a model with smaller groups were tried next, it would take each load that the weight store
            // can serve, and the most underprovisioned model would never get room for all of its loads.
            return if is_deferred {
                FormOutcome::Deferred
            } else {
                FormOutcome::Impossible
            };
        };
        let engines = &mut free[&domain];
        engines.sort_by_key(|engine| {
            let is_reserved_for_other = !self.may_serve(&engine.id, &model.model);
            (
                is_reserved_for_other,
                join_time(engine, model),
                engine.id.clone(),
            )
        });
        let members: Vec<EndpointId> = engines
            .drain(..model.group_size)
            .map(|engine| engine.id.clone())
            .collect();
        for id in &members {
            self.reserved.swap_remove(id);
        }
        for id in &members {
            let engine = input.directory.find(id);
            if engine.is_some_and(|engine| needs_load(engine, model)) {
                self.record_load(now, input, id, model);
            }
        }
        let margin = if input.has_traffic {
            JOIN_TIMEOUT_MARGIN
        } else {
            // The first loads take a tenth of their usual time, but many at once slow each other down.
            JOIN_TIMEOUT_MARGIN + JOIN_TIMEOUT_MARGIN
        };
        self.formed_count += 1;
        let formation = Formation {
            key: self.next_key(),
            model: model.model.clone(),
            members,
            phase: Phase::Joining,
            time_limit: time + margin,
            deadline: now + ORDERS_TIME_LIMIT,
        };
        self.formations
            .insert(formation.key.clone(), formation.clone());
        steps.push(Step::Join(formation));
        FormOutcome::Formed
    }

    fn next_key(&self) -> GroupKey {
        let name = format!("g{}-{}", self.fence, self.formed_count);
        // The name consists of `g`, digits and a hyphen, all of which are valid in a name.
        let group = name.parse::<GroupId>().unwrap_or_else(|_| unreachable!());
        GroupKey {
            group,
            epoch: epoch_of(self.fence, self.formed_count),
        }
    }

    /// Returns whether a group of a domain's free engines may be formed now, and how long its members need to
    /// join.
    fn feasibility(
        &self,
        input: &PlannerInput<'_>,
        domain: &FabricDomainId,
        model: &EngineModel,
        engines: &[&Arc<Endpoint>],
    ) -> Feasibility {
        let usable = engines
            .iter()
            .filter(|engine| self.may_serve(&engine.id, &model.model));
        let mut times: Vec<Duration> = usable.map(|engine| join_time(engine, model)).collect();
        if times.len() < model.group_size {
            return Feasibility::Impossible;
        }
        times.sort();
        let members = &times[..model.group_size];
        let time = members[model.group_size - 1];
        let loads = members.iter().filter(|time| **time >= model.load_time);
        let loads = loads.count();
        if loads == 0 {
            return Feasibility::Possible(time);
        }
        let is_own_model = self.domain_models.get(domain) == Some(&model.model);
        // Engines that the domain's own model can still use aren't given to another model.
        let assigned_model = self.domain_models.get(domain);
        let assigned_size = assigned_model.and_then(|id| group_size(input.spec, id));
        let keeps_spares = assigned_size.is_some_and(|size| {
            engines.len() >= size || size >= model.group_size * SPARE_RESERVATION_RATIO
        });
        if input.has_traffic || (!is_own_model && keeps_spares) {
            return Feasibility::Impossible;
        }
        let overcommit = (model.group_size as f64 * LOAD_OVERCOMMIT_FRACTION) as usize;
        let max_loads = input.spec.loads_at_once + overcommit;
        let has_room = self.loading.is_empty() || self.loading.len() + loads <= max_loads;
        if has_room || self.is_load_limit_lifted(input) {
            Feasibility::Possible(time)
        } else {
            Feasibility::AwaitingLoads
        }
    }

    /// Counts the groups of a model in the failure domain of the given engines, to spread groups across
    /// failure domains.
    fn nearby_groups(
        &self,
        input: &PlannerInput<'_>,
        model: &EngineModel,
        nearby: &[&Arc<Endpoint>],
    ) -> usize {
        let Some(failure_domain) = nearby.first().map(|engine| &engine.failure_domain) else {
            return 0;
        };
        let is_nearby = |engine: &Endpoint| engine.failure_domain == *failure_domain;
        let open = engines(input).filter(|engine| {
            engine.is_open_head() && engine.models.contains(&model.model) && is_nearby(engine)
        });
        let forming = self.formations.values().filter(|formation| {
            let head = formation.members.first();
            let head = head.and_then(|id| input.directory.find(id));
            formation.model == model.model && head.is_some_and(|head| is_nearby(head))
        });
        open.count() + forming.count()
    }
}
