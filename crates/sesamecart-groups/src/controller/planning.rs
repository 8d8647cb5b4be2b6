//! From what is known about groups to requests for the log.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FabricDomainId, Generation, GroupId, ModelId, Timestamp, VmId};

use super::group::Preparation;
use super::{Controller, Effect, GroupPhase};
use crate::assignment::AssignmentRequest;
use crate::repair::{GroupHealth, Repair, RepairView, plan_repairs, plan_replacements};

/// Fractions of a replica's worth are counted in this many parts of a model's value.
const WORTH_SCALE: u64 = 1_000;

/// Requests of one round, and the groups that they change.
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
        if self.compare {
            self.assign_new(&mut batch, now);
            self.release_removed(&mut batch);
            self.behind = self.find_behind();
            self.compare = self.has_unassigned() || !self.pending.is_empty();
        }
        let serving = self.serving_replicas();
        let fabrics: Vec<FabricDomainId> = self.fabrics.keys().cloned().collect();
        for fabric in &fabrics {
            self.plan_fabric(fabric, &serving, &mut batch, now);
        }
        self.plan_versions(&mut batch);
        for request in batch.requests {
            self.pending.insert(request.clone(), now);
            effects.push(Effect::Append(request));
        }
    }

    /// Gives a group that was never assigned the VMs of the configuration.
    ///
    /// An engine that already serves with them keeps its generation: a system that is put in front
    /// of running engines must not restart them all.
    fn assign_new(&self, batch: &mut Batch, now: Timestamp) {
        for (group, control) in &self.groups {
            if self.assignments.group(group).is_some() || self.is_pending(group) {
                continue;
            }
            let Some((plan, model)) = self.plan_and_model(group) else {
                continue;
            };
            let waited = now.since(control.since) >= self.settings.append_timeout;
            let heard = control.report.is_some() || waited;
            let free = plan
                .vms
                .iter()
                .all(|vm| self.assignments.owner(vm).is_none());
            if !heard || !free {
                continue;
            }
            let serving = control.serving_generation(&plan.vms);
            batch.push(AssignmentRequest::Assign {
                group: group.clone(),
                vms: plan.vms.iter().cloned().collect(),
                generation: serving.unwrap_or(Generation(1)),
                version: model.version.clone(),
            });
        }
    }

    fn has_unassigned(&self) -> bool {
        let mut groups = self.groups.keys();
        groups.any(|group| self.assignments.group(group).is_none())
    }

    /// Frees the VMs of groups that the configuration doesn't name any more.
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
        let Some(view) = self.view(fabric, serving, batch) else {
            return;
        };
        let repairs = plan_repairs(&view, &self.settings.repair);
        for repair in &repairs {
            self.request_repair(repair, batch);
            let from_serving = repair.adopt.iter().any(|adoption| adoption.from_serving);
            if from_serving && let Some(control) = self.groups.get_mut(&repair.group) {
                control.hold_until = now + self.settings.append_timeout + self.settings.validity;
            }
        }
        let mut rest = view;
        let adopted = |vm: &VmId| repairs.iter().flat_map(|r| &r.adopt).any(|a| a.vm == *vm);
        rest.free
            .retain(|vm| !adopted(vm) && !self.is_reserved(fabric, vm));
        for replacement in plan_replacements(&rest, &self.settings.repair) {
            if let Some(control) = self.groups.get_mut(&replacement.group) {
                control.preparation = Some(Preparation::Replacement(replacement));
            }
        }
    }

    /// Returns the fabric domain as repair sees it, or nothing if there is nothing to repair.
    fn view(
        &self,
        fabric: &FabricDomainId,
        serving: &IndexMap<ModelId, u64>,
        batch: &Batch,
    ) -> Option<RepairView> {
        let members = self.fabrics.get(fabric)?;
        let leaving = !self.leaving.is_empty() && members.vms.iter().any(|vm| self.is_leaving(vm));
        let serves = |group| self.phase(group) == Some(GroupPhase::Serving);
        if !leaving && members.groups.iter().all(serves) {
            return None;
        }
        let groups: Vec<GroupHealth> = members
            .groups
            .iter()
            .filter_map(|group| self.health(group, serving, batch))
            .collect();
        let needed = |g: &GroupHealth| {
            !g.lost.is_empty() || !g.leaving.is_empty() || g.usable.len() < g.size
        };
        if !groups.iter().any(needed) {
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

    fn health(
        &self,
        group: &GroupId,
        serving: &IndexMap<ModelId, u64>,
        batch: &Batch,
    ) -> Option<GroupHealth> {
        let (plan, model) = self.plan_and_model(group)?;
        let assigned = self.assignments.group(group)?;
        let drained = assigned.members.iter().any(|vm| self.is_drained(vm));
        let serves = self.phase(group)? == GroupPhase::Serving;
        let (usable, rest): (Vec<VmId>, Vec<VmId>) = assigned
            .members
            .iter()
            .cloned()
            .partition(|vm| !self.is_lost(vm) && !self.is_leaving(vm));
        let (lost, leaving) = if serves {
            (Vec::new(), rest)
        } else {
            (rest, Vec::new())
        };
        let others = serving.get(&plan.model).copied().unwrap_or(0) - u64::from(serves);
        let preparing = self.groups.get(group)?.preparation.is_some();
        Some(GroupHealth {
            group: group.clone(),
            worth: u64::from(model.value.0) * WORTH_SCALE / (others + 1),
            size: model.vms_per_group,
            scarce: others <= 1,
            serving: serves,
            busy: drained || preparing || self.is_pending(group) || batch.changed.contains(group),
            usable,
            lost,
            leaving,
        })
    }

    /// Counts the serving replicas of each model; those controlled elsewhere are taken to serve.
    fn serving_replicas(&self) -> IndexMap<ModelId, u64> {
        let mut serving = self.replicas.clone();
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

    /// Requests what a repair needs: VMs are freed first, since the fold gives away only free ones.
    fn request_repair(&self, repair: &Repair, batch: &mut Batch) {
        let Some(assigned) = self.assignments.group(&repair.group) else {
            return;
        };
        for adoption in &repair.adopt {
            if let Some(donor) = &adoption.from {
                self.request_release(batch, donor, &adoption.vm);
            }
        }
        for vm in &repair.release {
            self.request_release(batch, &repair.group, vm);
        }
        let kept = assigned
            .members
            .iter()
            .filter(|vm| !repair.release.contains(vm));
        let adopted = repair.adopt.iter().map(|adoption| &adoption.vm);
        let vms = kept.chain(adopted).cloned().collect();
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

    /// Carries out replacements whose spares have loaded, and gives up those that make no sense
    /// any more.
    fn finish_replacements(&mut self, fabric: &FabricDomainId, batch: &mut Batch) {
        for group in self.preparing() {
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
            let loaded = self.assignments.group(&group).is_some_and(|assigned| {
                let is_done = |vm| {
                    control
                        .loads
                        .get(vm)
                        .is_some_and(|load| load.is_done(&assigned.version))
                };
                repair.adopt.iter().all(|adoption| is_done(&adoption.vm))
            });
            let serves = self.phase(&group) == Some(GroupPhase::Serving);
            let valid = serves
                && repair.release.iter().all(|vm| self.is_leaving(vm))
                && repair
                    .adopt
                    .iter()
                    .all(|adoption| self.is_free(&adoption.vm));
            if valid && loaded {
                self.request_repair(&repair, batch);
            }
            if (!valid || loaded)
                && let Some(control) = self.groups.get_mut(&group)
            {
                control.preparation = None;
            }
        }
    }

    pub(super) fn preparing(&self) -> Vec<GroupId> {
        let preparing = self
            .groups
            .iter()
            .filter(|(_, control)| control.preparation.is_some());
        preparing.map(|(group, _)| group.clone()).collect()
    }

    pub(super) fn is_pending(&self, group: &GroupId) -> bool {
        self.pending.keys().any(|request| request.group() == group)
    }

    /// Says whether a VM can be used as a spare.
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
                    repair.adopt.iter().any(|adoption| adoption.vm == *vm)
                }
                Some(Preparation::Version(_)) | None => false,
            }
        })
    }
}
