//! Plans assignment requests from the known state of groups.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FabricDomainId, Generation, GroupId, ModelId, Timestamp, VmId};

use super::group::Preparation;
use super::{Controller, Effect, GroupPhase};
use crate::assignment::AssignmentRequest;
use crate::repair::{GroupHealth, Repair, RepairView, plan_repairs, plan_replacements};

/// Fixed-point scale of a replica's marginal value, in parts per unit of a model's value.
const VALUE_SCALE: u64 = 1_000;

/// The requests of one planning round and the groups that they change.
#[derive(Default)]
pub(super) struct Batch {
    requests: Vec<AssignmentRequest>,
    pub(super) changed: IndexSet<GroupId>,
}

impl Batch {
    fn push(&mut self, request: AssignmentRequest) {
        self.changed.insert(request.group().clone());
        self.requests.push(request);
    }
}

impl Controller {
    pub(super) fn plan(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let mut batch = Batch::default();
        if self.needs_reconciliation {
            self.assign_new(&mut batch, now);
            self.release_removed(&mut batch);
            self.outdated_models = self.find_outdated_models();
            self.needs_reconciliation = self.has_unassigned_groups() || !self.pending.is_empty();
        }
        let serving = self.serving_replicas();
        let fabrics: Vec<FabricDomainId> = self.fabrics.keys().cloned().collect();
        for fabric in &fabrics {
            self.plan_fabric(fabric, &serving, &mut batch, now);
        }
        self.plan_version_updates(&mut batch);
        for request in batch.requests {
            self.pending.insert(request.clone(), now);
            effects.push(Effect::Append(request));
        }
    }

    /// Assigns the configured VMs to each group that was never assigned.
    ///
    /// An engine that is already serving with these VMs keeps its generation, so that deploying the system in
    /// front of running engines doesn't restart them all.
    fn assign_new(&self, batch: &mut Batch, now: Timestamp) {
        for (group, control) in &self.groups {
            if self.assignments.group(group).is_some() || self.is_pending(group) {
                continue;
            }
            let Some((plan, model)) = self.group_and_model(group) else {
                continue;
            };
            let has_timed_out = now.since(control.controlled_since) >= self.settings.append_timeout;
            let may_assign = control.report.is_some() || has_timed_out;
            let are_vms_free = plan
                .vms
                .iter()
                .all(|vm| self.assignments.owner(vm).is_none());
            if !may_assign || !are_vms_free {
                continue;
            }
            let serving = control.find_serving_generation(&plan.vms);
            batch.push(AssignmentRequest::Assign {
                group: group.clone(),
                vms: plan.vms.iter().cloned().collect(),
                generation: serving.unwrap_or(Generation(1)),
                version: model.version.clone(),
            });
        }
    }

    fn has_unassigned_groups(&self) -> bool {
        let mut groups = self.groups.keys();
        groups.any(|group| self.assignments.group(group).is_none())
    }

    /// Frees the VMs of groups that are no longer configured.
    fn release_removed(&self, batch: &mut Batch) {
        for (group, assigned) in self.assignments.groups() {
            if self.fleet.groups.contains_key(group) || self.is_pending(group) {
                continue;
            }
            for vm in &assigned.members {
                let place = self.fleet.vms.get(vm);
                if place.is_some_and(|place| self.fabrics.contains_key(&place.fabric_domain)) {
                    self.request_release(batch, group, vm);
                }
            }
        }
    }

    fn plan_fabric(
        &mut self,
        fabric: &FabricDomainId,
        serving: &IndexMap<ModelId, u64>,
        batch: &mut Batch,
        now: Timestamp,
    ) {
        self.finish_replacements(fabric, batch);
        let Some(view) = self.repair_view(fabric, serving, batch) else {
            return;
        };
        let repairs = plan_repairs(&view, &self.settings.repair);
        for repair in &repairs {
            self.request_repair(repair, batch);
            let from_serving = repair.acquire.iter().any(|acquired| acquired.from_serving);
            if from_serving && let Some(control) = self.groups.get_mut(&repair.group) {
                control.start_not_before =
                    now + self.settings.append_timeout + self.settings.report_validity;
            }
        }
        let mut remaining = view;
        let is_acquired = |vm: &VmId| repairs.iter().flat_map(|r| &r.acquire).any(|a| a.vm == *vm);
        remaining
            .free
            .retain(|vm| !is_acquired(vm) && !self.is_reserved(fabric, vm));
        for replacement in plan_replacements(&remaining, &self.settings.repair) {
            if let Some(control) = self.groups.get_mut(&replacement.group) {
                control.preparation = Some(Preparation::Replacement(replacement));
            }
        }
    }

    /// Returns the state of a fabric domain as input to repair, or `None` if there is nothing to repair.
    fn repair_view(
        &self,
        fabric: &FabricDomainId,
        serving: &IndexMap<ModelId, u64>,
        batch: &Batch,
    ) -> Option<RepairView> {
        let members = self.fabrics.get(fabric)?;
        let leaving = !self.leaving.is_empty() && members.vms.iter().any(|vm| self.is_leaving(vm));
        let is_serving = |group| self.phase(group) == Some(GroupPhase::Serving);
        if !leaving && members.groups.iter().all(is_serving) {
            return None;
        }
        let groups: Vec<GroupHealth> = members
            .groups
            .iter()
            .filter_map(|group| self.group_health(group, serving, batch))
            .collect();
        let needs_repair = |g: &GroupHealth| {
            !g.lost.is_empty() || !g.leaving.is_empty() || g.usable.len() < g.size
        };
        if !groups.iter().any(needs_repair) {
            return None;
        }
        let free = members
            .vms
            .iter()
            .filter(|vm| self.is_free(vm))
            .cloned()
            .collect();
        Some(RepairView {
            load_time: self.load_time(&members.groups),
            groups,
            free,
        })
    }

    fn group_health(
        &self,
        group: &GroupId,
        serving: &IndexMap<ModelId, u64>,
        batch: &Batch,
    ) -> Option<GroupHealth> {
        let (plan, model) = self.group_and_model(group)?;
        let assigned = self.assignments.group(group)?;
        let is_drained = assigned.members.iter().any(|vm| self.is_drained(vm));
        let is_serving = self.phase(group)? == GroupPhase::Serving;
        let (usable, unusable): (Vec<VmId>, Vec<VmId>) = assigned
            .members
            .iter()
            .cloned()
            .partition(|vm| !self.is_lost(vm) && !self.is_leaving(vm));
        let (lost, leaving) = if is_serving {
            (Vec::new(), unusable)
        } else {
            (unusable, Vec::new())
        };
        let others = serving.get(&plan.model).copied().unwrap_or(0) - u64::from(is_serving);
        let is_preparing = self.groups.get(group)?.preparation.is_some();
        Some(GroupHealth {
            group: group.clone(),
            marginal_value: u64::from(model.value.0) * VALUE_SCALE / (others + 1),
            size: model.vms_per_group,
            scarce: others <= 1,
            serving: is_serving,
            busy: is_drained
                || is_preparing
                || self.is_pending(group)
                || batch.changed.contains(group),
            usable,
            lost,
            leaving,
        })
    }

    /// Counts the serving replicas of each model. Replicas controlled by other nodes are assumed to be
    /// serving.
    fn serving_replicas(&self) -> IndexMap<ModelId, u64> {
        let mut serving = self.replica_counts.clone();
        for (group, control) in &self.groups {
            if control.phase == GroupPhase::Serving {
                continue;
            }
            let plan = self.fleet.groups.get(group);
            if let Some(count) = plan.and_then(|plan| serving.get_mut(&plan.model)) {
                *count -= 1;
            }
        }
        serving
    }

    fn load_time(&self, groups: &[GroupId]) -> Duration {
        let bytes = groups
            .iter()
            .filter_map(|group| self.fleet.model_of(group))
            .map(|model| model.bytes_per_vm.0)
            .max()
            .unwrap_or(0);
        Duration::from_secs(bytes / self.settings.vm_rate.0.max(1))
    }

    /// Adds the requests of a repair. VMs are freed first, since the fold only assigns free VMs.
    fn request_repair(&self, repair: &Repair, batch: &mut Batch) {
        let Some(assigned) = self.assignments.group(&repair.group) else {
            return;
        };
        for acquired in &repair.acquire {
            if let Some(donor) = &acquired.from {
                self.request_release(batch, donor, &acquired.vm);
            }
        }
        for vm in &repair.release {
            self.request_release(batch, &repair.group, vm);
        }
        let kept = assigned
            .members
            .iter()
            .filter(|vm| !repair.release.contains(vm));
        let acquired_vms = repair.acquire.iter().map(|acquired| &acquired.vm);
        let vms = kept.chain(acquired_vms).cloned().collect();
        self.request_members(batch, &repair.group, vms, &assigned.version);
    }

    fn request_release(&self, batch: &mut Batch, group: &GroupId, vm: &VmId) {
        batch.push(AssignmentRequest::Unassign {
            vm: vm.clone(),
            group: group.clone(),
            generation: self.assignments.generation(group),
        });
    }

    fn request_members(&self, batch: &mut Batch, group: &GroupId, vms: Vec<VmId>, version: &str) {
        batch.push(AssignmentRequest::Assign {
            group: group.clone(),
            vms,
            generation: self.assignments.generation(group).next(),
            version: version.to_owned(),
        });
    }

    pub(super) fn request_version(&self, batch: &mut Batch, group: &GroupId, version: &str) {
        if let Some(assigned) = self.assignments.group(group) {
            let vms = assigned.members.iter().cloned().collect();
            self.request_members(batch, group, vms, version);
        }
    }

    /// Requests the replacements whose spares have loaded, and cancels those that are no longer valid.
    fn finish_replacements(&mut self, fabric: &FabricDomainId, batch: &mut Batch) {
        for group in self.groups_in_preparation() {
            let plan = self.fleet.groups.get(&group);
            if plan.is_none_or(|plan| plan.fabric_domain != *fabric) {
                continue;
            }
            let Some(control) = self.groups.get(&group) else {
                continue;
            };
            let Some(Preparation::Replacement(repair)) = &control.preparation else {
                continue;
            };
            let repair = repair.clone();
            let is_loaded = self.assignments.group(&group).is_some_and(|assigned| {
                let is_done = |vm| {
                    control
                        .loads
                        .get(vm)
                        .is_some_and(|load| load.is_done(&assigned.version))
                };
                repair.acquire.iter().all(|acquired| is_done(&acquired.vm))
            });
            let is_serving = self.phase(&group) == Some(GroupPhase::Serving);
            let is_valid = is_serving
                && repair.release.iter().all(|vm| self.is_leaving(vm))
                && repair
                    .acquire
                    .iter()
                    .all(|acquired| self.is_free(&acquired.vm));
            if is_valid && is_loaded {
                self.request_repair(&repair, batch);
            }
            if (!is_valid || is_loaded)
                && let Some(control) = self.groups.get_mut(&group)
            {
                control.preparation = None;
            }
        }
    }

    pub(super) fn groups_in_preparation(&self) -> Vec<GroupId> {
        let preparing = self
            .groups
            .iter()
            .filter(|(_, control)| control.preparation.is_some());
        preparing.map(|(group, _)| group.clone()).collect()
    }

    pub(super) fn is_pending(&self, group: &GroupId) -> bool {
        self.pending.keys().any(|request| request.group() == group)
    }

    /// Returns whether a VM can be used as a spare.
    fn is_free(&self, vm: &VmId) -> bool {
        self.assignments.owner(vm).is_none()
            && !self.is_lost(vm)
            && !self.is_leaving(vm)
            && !self.is_drained(vm)
            && !self.pending.keys().any(|request| request.assigns(vm))
    }

    fn is_reserved(&self, fabric: &FabricDomainId, vm: &VmId) -> bool {
        let groups = self
            .fabrics
            .get(fabric)
            .map_or(&[][..], |fabric| &fabric.groups);
        groups.iter().any(|group| {
            let preparation = self.groups.get(group).and_then(|g| g.preparation.as_ref());
            match preparation {
                Some(Preparation::Replacement(repair)) => {
                    repair.acquire.iter().any(|acquired| acquired.vm == *vm)
                }
                Some(Preparation::Version(_)) | None => false,
            }
        })
    }
}
