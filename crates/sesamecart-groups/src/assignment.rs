//! The assignment of VMs to groups, as folded from the log.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fold::Record;
use sesamecart_vocabulary::{Epoch, Generation, GroupId, VmId};

/// A change to a group's members or version, to be appended to the log.
///
/// The fold accepts it only under the current epoch of the group's shard, so that a request of a previous
/// owner that was paused has no effect. A request that is appended twice after a lost response has no second
/// effect: its generation is no longer new, or the VM is no longer a member.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
pub enum AssignmentRequest {
    /// Sets the group's members. VMs that it doesn't have yet must be free.
    #[display("assign {} VMs to {group} in generation {generation}", vms.len())]
    Assign {
        /// The group.
        group: GroupId,
        /// All members, including those that it keeps.
        vms: Vec<VmId>,
        /// The new generation.
        generation: Generation,
        /// The version of the model that the group runs.
        version: String,
    },
    /// Frees a member.
    #[display("unassign {vm} from {group} in generation {generation}")]
    Unassign {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
        /// The generation that the request applies to.
        generation: Generation,
    },
}

impl AssignmentRequest {
    /// Returns the group that the request changes.
    #[must_use]
    pub fn group(&self) -> &GroupId {
        match self {
            Self::Assign { group, .. } | Self::Unassign { group, .. } => group,
        }
    }

    /// Converts the request to the record that is appended under a shard's epoch.
    #[must_use]
    pub fn into_record(self, shard_epoch: Epoch) -> Record {
        match self {
            Self::Assign {
                group,
                vms,
                generation,
                version,
            } => Record::Assign {
                group,
                vms,
                generation,
                shard_epoch,
                version,
            },
            Self::Unassign {
                vm,
                group,
                generation,
            } => Record::Unassign {
                vm,
                group,
                generation,
                shard_epoch,
            },
        }
    }

    /// Returns whether the request would make `vm` a member.
    #[must_use]
    pub fn assigns(&self, vm: &VmId) -> bool {
        match self {
            Self::Assign { vms, .. } => vms.contains(vm),
            Self::Unassign { .. } => false,
        }
    }
}

/// The folded state of one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AssignedGroup {
    /// The newest generation.
    pub generation: Generation,
    /// The version of its model; empty if no record specifies it.
    pub version: String,
    /// Its members.
    pub members: IndexSet<VmId>,
}

/// The members of all groups. Nodes that have read the log up to the same offset have equal assignments.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignments {
    groups: IndexMap<GroupId, AssignedGroup>,
    owners: IndexMap<VmId, GroupId>,
}

impl Assignments {
    /// Creates the assignments from the folded groups.
    #[must_use]
    pub fn new(groups: IndexMap<GroupId, AssignedGroup>) -> Self {
        let owner = |(group, assigned): (&GroupId, &AssignedGroup)| {
            let group = group.clone();
            let members = assigned.members.clone();
            members.into_iter().map(move |vm| (vm, group.clone()))
        };
        let owners = groups.iter().flat_map(owner).collect();
        Self { groups, owners }
    }

    /// Returns the state of a group, if it was ever assigned.
    #[must_use]
    pub fn group(&self, group: &GroupId) -> Option<&AssignedGroup> {
        self.groups.get(group)
    }

    /// Returns a group's generation, or zero before its first assignment.
    #[must_use]
    pub fn generation(&self, group: &GroupId) -> Generation {
        let assigned = self.groups.get(group);
        assigned.map_or(Generation::default(), |assigned| assigned.generation)
    }

    /// Returns the group that a VM belongs to.
    #[must_use]
    pub fn owner(&self, vm: &VmId) -> Option<&GroupId> {
        self.owners.get(vm)
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &AssignedGroup)> {
        self.groups.iter()
    }

    /// Returns whether a request has taken effect or can no longer take effect.
    #[must_use]
    pub fn is_settled(&self, request: &AssignmentRequest) -> bool {
        match request {
            AssignmentRequest::Assign {
                group, generation, ..
            } => {
                let assigned = self.groups.get(group);
                assigned.is_some_and(|assigned| assigned.generation >= *generation)
            }
            AssignmentRequest::Unassign { vm, group, .. } => self.owner(vm) != Some(group),
        }
    }
}

#[cfg(test)]
mod tests;
