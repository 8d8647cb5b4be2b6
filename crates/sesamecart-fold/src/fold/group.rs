//! Assignment of VMs to serving groups.

use sesamecart_vocabulary::{Epoch, Generation, GroupId, VmId};

use super::{Fold, Position};
use crate::audit::{AuditEntry, AuditKind};
use crate::lease::Assignment;
use crate::verdict::{Applied, Rejection};

impl Fold {
    /// Assigns VMs to a group if none of them belongs to another group.
    ///
    /// The owners of two groups may select the same spare VM concurrently. The first record wins on every
    /// node, so a VM never serves two groups. VMs that already belong to the group get the new generation.
    pub(super) fn apply_assign(
        &mut self,
        at: Position,
        group: GroupId,
        vms: Vec<VmId>,
        generation: Generation,
        shard_epoch: Epoch,
    ) -> Applied {
        let mut entry = self.assignment_audit(at, &group, shard_epoch);
        entry.new = format!("{} in generation {generation}", join_names(&vms));
        if let Some(rejection) = self.assign_rejection(&group, &vms, generation, shard_epoch) {
            return self.reject(entry, rejection);
        }
        self.accept(entry);
        self.state.generations.insert(group.clone(), generation);
        for vm in vms {
            let assignment = Assignment {
                group: group.clone(),
                generation,
            };
            self.state.assignments.insert(vm, assignment);
        }
        Applied::Assigned { group, generation }
    }

    /// Removes a VM from a group, unless the VM has a newer generation than the record.
    pub(super) fn apply_unassign(
        &mut self,
        at: Position,
        vm: VmId,
        group: GroupId,
        generation: Generation,
        shard_epoch: Epoch,
    ) -> Applied {
        let mut entry = self.assignment_audit(at, &group, shard_epoch);
        entry.new = format!("without {vm}");
        if let Some(rejection) =
            self.reject_stale_epoch(self.state.group_shard(&group), shard_epoch)
        {
            return self.reject(entry, rejection);
        }
        let assigned = self.state.assignments.get(&vm);
        let matches =
            assigned.is_some_and(|found| found.group == group && found.generation <= generation);
        if !matches {
            return self.reject(entry, Rejection::NotAssigned { vm, group });
        }
        self.accept(entry);
        self.state.assignments.shift_remove(&vm);
        Applied::Unassigned { vm }
    }

    /// Returns the rule that an assignment breaks, if any.
    fn assign_rejection(
        &self,
        group: &GroupId,
        vms: &[VmId],
        generation: Generation,
        shard_epoch: Epoch,
    ) -> Option<Rejection> {
        if let Some(rejection) = self.reject_stale_epoch(self.state.group_shard(group), shard_epoch)
        {
            return Some(rejection);
        }
        let last = self.state.generations.get(group).copied();
        if let Some(last) = last.filter(|last| generation <= *last) {
            return Some(Rejection::PastGeneration {
                group: group.clone(),
                generation,
                last,
            });
        }
        vms.iter().find_map(|vm| {
            let found = self.state.assignments.get(vm)?;
            (found.group != *group).then(|| Rejection::VmInOtherGroup {
                vm: vm.clone(),
                group: found.group.clone(),
            })
        })
    }

    fn assignment_audit(&self, at: Position, group: &GroupId, epoch: Epoch) -> AuditEntry {
        let shard = self.state.group_shard(group);
        let lease = self.state.leases.get(&shard);
        let mut entry = at.audit_entry(AuditKind::Assignment, format_args!("group {group}"));
        entry.author = match lease.filter(|lease| lease.epoch == epoch) {
            Some(lease) => lease.holder.to_string(),
            None => format!("epoch {epoch}"),
        };
        let members: Vec<_> = self.state.members(group).cloned().collect();
        entry.old = join_names(&members);
        entry
    }
}

fn join_names(vms: &[VmId]) -> String {
    if vms.is_empty() {
        return "no VM".to_owned();
    }
    let names: Vec<_> = vms.iter().map(VmId::as_str).collect();
    names.join(", ")
}
