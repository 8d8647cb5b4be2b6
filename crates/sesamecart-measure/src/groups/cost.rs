//! What each step of a day costs.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FabricDomainId, ModelId, ShardId, Timestamp, VmId};

use super::day::{Day, Members, Owner, SETTLE, STEP};
use super::layout::{ACCELERATORS_PER_VM, VMS_PER_GROUP};
use super::tally::Tally;

impl Day<'_> {
    /// Counts this step's cost; in a shard that sleeps all groups serve.
    pub(super) fn count(&mut self, awake: &[ShardId], now: Timestamp) {
        let mut step = Tally::default();
        let mut served: IndexMap<ModelId, bool> = IndexMap::new();
        for shard in awake {
            let owner = &self.owners[shard];
            let mut cost = Tally::default();
            for (fabric, members) in &owner.fabrics {
                cost += self.cost(owner, fabric, members, now, &mut served);
            }
            let amiss = cost.group_downtime_s > 0.0 || cost.stranded_accelerator_s > 0.0;
            step += cost;
            if amiss {
                let owner = &mut self.owners[shard];
                owner.awake_until = owner.awake_until.max(now + SETTLE);
            }
        }
        step.model_out_s = self.models_out(awake, &served);
        self.tally += step;
    }

    /// Counts the models that no group serves.
    fn models_out(&self, awake: &[ShardId], served: &IndexMap<ModelId, bool>) -> f64 {
        let asleep = |model: &ModelId| {
            let mut groups = self.layout.fleet.groups.values();
            groups.any(|plan| plan.model == *model && !awake.contains(&plan.shard()))
        };
        let out = served
            .iter()
            .filter(|(model, serves)| !**serves && !asleep(model));
        out.count() as f64 * STEP.as_secs_f64()
    }

    /// Returns the cost of this step in one fabric domain.
    ///
    /// The groups of a failure domain that operators have taken out don't count: no policy could
    /// keep them, and the domain's return counts from when it is taken in again.
    fn cost(
        &self,
        owner: &Owner,
        fabric: &FabricDomainId,
        members: &Members,
        now: Timestamp,
        served: &mut IndexMap<ModelId, bool>,
    ) -> Tally {
        let seconds = STEP.as_secs_f64();
        let mut cost = Tally::default();
        let drained = self.is_drained(members);
        let mut in_service: IndexSet<&VmId> = IndexSet::new();
        for group in &members.groups {
            let plan = &self.layout.fleet.groups[group];
            let published = owner.controller.routability(group);
            let routable = published.is_some_and(|routability| routability.is_routable(now));
            let whole = self.platform.serves(group, now);
            let serves = routable && whole;
            if serves {
                in_service.extend(
                    self.assignments
                        .group(group)
                        .into_iter()
                        .flat_map(|g| &g.members),
                );
            }
            *served.entry(plan.model.clone()).or_default() |= serves;
            if routable && !whole {
                cost.exposed_s += seconds;
            }
            if !drained && !serves {
                let value = self.layout.fleet.models[&plan.model].value;
                cost.group_downtime_s += seconds;
                cost.weighted_downtime_s += seconds * f64::from(value.0);
            }
        }
        let up = members.vms.iter().filter(|vm| self.platform.is_up(vm));
        let possible = up.clone().count() / VMS_PER_GROUP;
        let idle = up.filter(|vm| !in_service.contains(vm)).count();
        let spares = self.layout.spares.get(fabric).copied().unwrap_or(0);
        if !drained {
            cost.floor_s += members.groups.len().saturating_sub(possible) as f64 * seconds;
            let stranded = idle.saturating_sub(spares) as u64 * ACCELERATORS_PER_VM;
            cost.stranded_accelerator_s += stranded as f64 * seconds;
        }
        cost
    }

    fn is_drained(&self, members: &Members) -> bool {
        let domain = |vm: &VmId| &self.layout.fleet.vms[vm].failure_domain;
        let first = members.vms.first();
        first.is_some_and(|vm| self.platform.drained.contains(domain(vm)))
    }
}
