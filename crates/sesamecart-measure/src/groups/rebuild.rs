//! Baseline: lays all groups of a fabric domain out anew.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_groups::{AssignmentRequest, Assignments};
use sesamecart_vocabulary::{FabricDomainId, Generation, GroupId, Timestamp, VmId};

use super::layout::VMS_PER_GROUP;

/// How long a change must hold before it is acted on; the `grace_period` of the controller.
const PATIENCE: Duration = Duration::from_secs(5);

/// Watches fabric domains and lays them out anew after a change.
#[derive(Debug, Default)]
pub(super) struct Rebuilder {
    fabrics: IndexMap<FabricDomainId, Watch>,
}

#[derive(Debug)]
struct Watch {
    usable: IndexSet<VmId>,
    since: Timestamp,
    laid_out: bool,
}

impl Rebuilder {
    /// Returns the requests that lay a fabric domain out anew, if its usable VMs have changed in a
    /// way that breaks a group or allows one more.
    pub(super) fn plan<'a>(
        &mut self,
        fabric: &FabricDomainId,
        groups: &[GroupId],
        usable: impl Iterator<Item = &'a VmId> + Clone,
        assignments: &Assignments,
        now: Timestamp,
    ) -> Vec<AssignmentRequest> {
        let watch = self.fabrics.entry(fabric.clone()).or_insert_with(|| Watch {
            usable: usable.clone().cloned().collect(),
            since: now,
            laid_out: true,
        });
        if !watch.usable.iter().eq(usable.clone()) {
            watch.usable = usable.cloned().collect();
            watch.since = now;
            watch.laid_out = false;
        }
        if watch.laid_out || now.since(watch.since) < PATIENCE {
            return Vec::new();
        }
        watch.laid_out = true;
        let whole = |group: &&GroupId| {
            let assigned = assignments.group(group);
            assigned.is_some_and(|assigned| {
                assigned.members.len() == VMS_PER_GROUP
                    && assigned.members.iter().all(|vm| watch.usable.contains(vm))
            })
        };
        let possible = groups.len().min(watch.usable.len() / VMS_PER_GROUP);
        if groups.iter().filter(whole).count() == possible {
            return Vec::new();
        }
        lay_out(groups, &watch.usable, assignments)
    }
}

fn lay_out(
    groups: &[GroupId],
    usable: &IndexSet<VmId>,
    assignments: &Assignments,
) -> Vec<AssignmentRequest> {
    let mut requests = Vec::new();
    for group in groups {
        let generation = assignments.generation(group);
        for vm in assignments
            .group(group)
            .into_iter()
            .flat_map(|assigned| &assigned.members)
        {
            requests.push(AssignmentRequest::Unassign {
                vm: vm.clone(),
                group: group.clone(),
                generation,
            });
        }
    }
    let vms: Vec<VmId> = usable.iter().cloned().collect();
    for (group, vms) in groups.iter().zip(vms.chunks_exact(VMS_PER_GROUP)) {
        let version = assignments
            .group(group)
            .map(|assigned| assigned.version.clone());
        requests.push(AssignmentRequest::Assign {
            group: group.clone(),
            vms: vms.to_vec(),
            generation: Generation(assignments.generation(group).0 + 1),
            version: version.unwrap_or_default(),
        });
    }
    requests
}
