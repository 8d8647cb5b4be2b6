//! Determines the loads of each VM and their rates.

use sesamecart_vocabulary::{Bytes, GroupId, Timestamp, VmId};

use super::group::{Load, Preparation};
use super::{Controller, Effect, GroupPhase};
use crate::weights::{LoadRequest, allocate_rates};

/// A load that a group should have.
struct WantedLoad {
    vm: VmId,
    version: String,
}

impl Controller {
    pub(super) fn allocate_load_rates(&mut self, active: &[GroupId], effects: &mut Vec<Effect>) {
        let mut requests = Vec::new();
        for group in active {
            let wanted = self.wanted_loads(group);
            self.sync_loads(group, &wanted, effects);
            if !wanted.is_empty() {
                self.collect_load_requests(group, &mut requests);
            }
        }
        if requests.is_empty() {
            return;
        }
        self.grant_rates(&requests, effects);
    }

    /// Returns the weights that the members, or the spares being prepared, should have loaded.
    fn wanted_loads(&self, group: &GroupId) -> Vec<WantedLoad> {
        let (Some(control), Some(assigned)) =
            (self.groups.get(group), self.assignments.group(group))
        else {
            return Vec::new();
        };
        let load = |vm: &VmId, version: &str| WantedLoad {
            vm: vm.clone(),
            version: version.to_owned(),
        };
        if self.phase(group) == Some(GroupPhase::Recovering) && !self.is_pending(group) {
            let members = assigned.members.iter();
            return members.map(|vm| load(vm, &assigned.version)).collect();
        }
        match &control.preparation {
            Some(Preparation::Replacement(repair)) => {
                let spares = repair.acquire.iter();
                spares
                    .map(|spare| load(&spare.vm, &assigned.version))
                    .collect()
            }
            Some(Preparation::Version(version)) => assigned
                .members
                .iter()
                .map(|vm| load(vm, version))
                .collect(),
            None => Vec::new(),
        }
    }

    /// Drops loads that are no longer wanted and starts new ones at a rate of zero, to learn from the store
    /// how many bytes remain.
    fn sync_loads(&mut self, group: &GroupId, wanted: &[WantedLoad], effects: &mut Vec<Effect>) {
        let Some((plan, _)) = self.group_and_model(group) else {
            return;
        };
        let model = plan.model.clone();
        let Some(control) = self.groups.get_mut(group) else {
            return;
        };
        let is_wanted = |vm: &VmId, load: &Load| {
            wanted
                .iter()
                .any(|w| w.vm == *vm && w.version == load.version)
        };
        let unwanted = control
            .loads
            .iter()
            .filter(|(vm, load)| !is_wanted(vm, load));
        let stopped: Vec<VmId> = unwanted.map(|(vm, _)| vm.clone()).collect();
        for vm in &stopped {
            effects.extend(control.drop_load(group, vm, &model));
        }
        for wanted_load in wanted {
            if control.loads.contains_key(&wanted_load.vm) {
                continue;
            }
            let load = Load {
                version: wanted_load.version.clone(),
                remaining: None,
                granted: Bytes(0),
            };
            control.loads.insert(wanted_load.vm.clone(), load);
            effects.push(Effect::Load {
                group: group.clone(),
                vm: wanted_load.vm.clone(),
                model: model.clone(),
                version: wanted_load.version.clone(),
                bytes_per_s: Bytes(0),
            });
        }
    }

    fn collect_load_requests(&self, group: &GroupId, requests: &mut Vec<LoadRequest>) {
        let (Some((_, model)), Some(control)) =
            (self.group_and_model(group), self.groups.get(group))
        else {
            return;
        };
        let serving = self.phase(group) == Some(GroupPhase::Serving);
        for (vm, load) in &control.loads {
            requests.push(LoadRequest {
                group: group.clone(),
                vm: vm.clone(),
                remaining: load.remaining.unwrap_or(model.bytes_per_vm),
                value: model.value,
                urgent: !serving && !self.is_drained(vm),
            });
        }
    }

    fn grant_rates(&mut self, requests: &[LoadRequest], effects: &mut Vec<Effect>) {
        let grants = allocate_rates(requests, self.settings.store_rate, self.settings.vm_rate);
        for request in requests {
            let granted = grants
                .iter()
                .find(|grant| grant.vm == request.vm && grant.group == request.group)
                .map_or(Bytes(0), |grant| grant.bytes_per_s);
            let model = self
                .fleet
                .groups
                .get(&request.group)
                .map(|plan| plan.model.clone());
            let load = self
                .groups
                .get_mut(&request.group)
                .and_then(|control| control.loads.get_mut(&request.vm));
            let (Some(model), Some(load)) = (model, load) else {
                continue;
            };
            if load.granted == granted || request.remaining == Bytes(0) {
                continue;
            }
            load.granted = granted;
            effects.push(Effect::Load {
                group: request.group.clone(),
                vm: request.vm.clone(),
                model,
                version: load.version.clone(),
                bytes_per_s: granted,
            });
        }
    }

    pub(super) fn on_load_progress(
        &mut self,
        group: &GroupId,
        vm: &VmId,
        version: &str,
        remaining: Bytes,
    ) {
        let load = self
            .groups
            .get_mut(group)
            .and_then(|control| control.loads.get_mut(vm));
        if let Some(load) = load
            && load.version == version
        {
            load.remaining = Some(remaining);
        }
    }

    pub(super) fn on_load_failed(&mut self, group: &GroupId, vm: &VmId, now: Timestamp) {
        if let Some(control) = self.groups.get_mut(group) {
            control.loads.swap_remove(vm);
        }
        self.suspect_vms
            .insert(vm.clone(), now + self.settings.suspect_duration);
    }
}
