//! The configuration and the fold's assignments, as the controller takes them.

use indexmap::IndexMap;
use sesamecart_config::{Configuration, EndpointKind};
use sesamecart_fold::State;
use sesamecart_groups::{AssignedGroup, Assignments, Fleet, GroupPlan, ModelPlan, VmLocation};
use sesamecart_vocabulary::{Bytes, EndpointId, GroupId, ModelId, Weight};

/// What a member is taken to load until the store has said how much it is.
const EXPECTED_BYTES_PER_VM: Bytes = Bytes(70_000_000_000);

/// Reads a configuration as the fleet that should run.
pub(super) fn fleet_of(cfg: &Configuration) -> Fleet {
    let mut fleet = Fleet::default();
    for (vm, place) in &cfg.vms {
        let place = VmLocation {
            failure_domain: place.failure_domain.clone(),
            fabric_domain: place.fabric_domain.clone(),
        };
        fleet.vms.insert(vm.clone(), place);
    }
    for (id, model) in &cfg.models {
        let plan = ModelPlan {
            version: model.version.clone(),
            vms_per_group: usize::try_from(model.vms_per_group).unwrap_or(usize::MAX),
            bytes_per_vm: EXPECTED_BYTES_PER_VM,
            value: value_of(cfg, id),
            adapters: model.adapters.clone(),
        };
        fleet.models.insert(id.clone(), plan);
    }
    for (id, group) in &cfg.groups {
        let fabric = group.vms.iter().find_map(|vm| cfg.vms.get(vm));
        let Some(fabric) = fabric.map(|place| place.fabric_domain.clone()) else {
            continue;
        };
        let endpoint = endpoint_of(cfg, id).and_then(|id| cfg.endpoints.get(id));
        let plan = GroupPlan {
            model: group.model.clone(),
            fabric_domain: fabric,
            vms: group.vms.clone(),
            checks_epoch: endpoint.is_some_and(|endpoint| endpoint.checks_epoch),
        };
        fleet.groups.insert(id.clone(), plan);
    }
    fleet
}

/// Returns what a model's service is worth: the weights of the customers that may use it.
fn value_of(cfg: &Configuration, model: &ModelId) -> Weight {
    let users = cfg
        .customers
        .values()
        .filter(|customer| customer.models.contains(model));
    let sum = users.fold(0_u32, |sum, customer| sum.saturating_add(customer.weight.0));
    Weight(sum.max(1))
}

/// Returns the endpoint that is a group's front.
pub(super) fn endpoint_of<'a>(cfg: &'a Configuration, group: &GroupId) -> Option<&'a EndpointId> {
    let fronts = cfg.endpoints.iter();
    let mut fronts = fronts.filter(|(_, endpoint)| match &endpoint.kind {
        EndpointKind::Group(of) => of == group,
        EndpointKind::Service(_) => false,
    });
    fronts.next().map(|(id, _)| id)
}

/// Reads the fold's assignments.
pub(super) fn assignments_of(state: &State) -> Assignments {
    let mut groups: IndexMap<GroupId, AssignedGroup> = IndexMap::new();
    for (group, generation) in &state.generations {
        let assigned = AssignedGroup {
            generation: *generation,
            version: state.versions.get(group).cloned().unwrap_or_default(),
            members: indexmap::IndexSet::new(),
        };
        groups.insert(group.clone(), assigned);
    }
    for (vm, assignment) in &state.assignments {
        if let Some(assigned) = groups.get_mut(&assignment.group) {
            assigned.members.insert(vm.clone());
        }
    }
    Assignments::new(groups)
}
