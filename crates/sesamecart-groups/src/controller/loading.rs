//! Which VM loads what, and how fast.

use sesamecart_vocabulary::{Bytes, GroupId, Timestamp, VmId};

use super::group::{Load, Preparation};
use super::{Controller, Effect, GroupPhase};
use crate::weights::{LoadRequest, allot};

/// A load that a group should have.
struct WantedLoad {
    vm: VmId,
    version: String,
}

impl Controller {
    pub(super) fn share_rate(&mut self, active: &[GroupId], effects: &mut Vec<Effect>) {
        let mut requests = Vec::new();
        for group in active {
            let wanted = self.wanted_loads(group);
            self.sync_loads(group, &wanted, effects);
            if !wanted.is_empty() {
                self.request_rates(group, &mut requests);
            }
        }
        if requests.is_empty() {
            return;
        }
        self.grant(&requests, effects);
    }

    /// Returns what the members, or the spares being prepared, should hold.
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
                let spares = repair.adopt.iter();
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

    /// Drops loads that nobody waits for and asks the store what is left of new ones.
    fn sync_loads(&mut self, group: &GroupId, wanted: &[WantedLoad], effects: &mut Vec<Effect>) {
        let Some((plan, _)) = self.plan_and_model(group) else {
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
        for want in wanted {
            if control.loads.contains_key(&want.vm) {
                continue;
            }
            let load = Load {
                version: want.version.clone(),
                remaining: None,
                granted: Bytes(0),
            };
            control.loads.insert(want.vm.clone(), load);
            effects.push(Effect::Load {
                group: group.clone(),
                vm: want.vm.clone(),
                model: model.clone(),
                version: want.version.clone(),
                bytes_per_s: Bytes(0),
            });
        }
    }

    fn request_rates(&self, group: &GroupId, requests: &mut Vec<LoadRequest>) {
        let (Some((_, model)), Some(control)) =
            (self.plan_and_model(group), self.groups.get(group))
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

    fn grant(&mut self, requests: &[LoadRequest], effects: &mut Vec<Effect>) {
        let grants = allot(requests, self.settings.store_rate, self.settings.vm_rate);
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

    pub(super) fn take_progress(
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

    pub(super) fn take_failure(&mut self, group: &GroupId, vm: &VmId, now: Timestamp) {
        if let Some(control) = self.groups.get_mut(group) {
            control.loads.swap_remove(vm);
        }
        self.suspects
            .insert(vm.clone(), now + self.settings.suspect_for);
    }
}
