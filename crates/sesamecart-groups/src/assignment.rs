//! Which VM belongs to which group, as the fold of the log has it.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fold::Record;
use sesamecart_vocabulary::{Epoch, Generation, GroupId, VmId};

/// A change of a group's members or version, to be appended to the log.
///
/// The fold accepts it only under the epoch in force of the group's shard, so that the request of an
/// earlier owner that was paused changes nothing. A request that is appended twice after a lost
/// answer has no second effect: the generation is past, or the VM is no member any more.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
pub enum AssignmentRequest {
    /// The group gets these members; those that are new must be free.
    #[display("assign {} VMs to {group} in generation {generation}", vms.len())]
    Assign {
        /// The group.
        group: GroupId,
        /// All members, also those that it keeps.
        vms: Vec<VmId>,
        /// The new generation.
        generation: Generation,
        /// The version of the model that it runs.
        version: String,
    },
    /// A member becomes free.
    #[display("unassign {vm} from {group} in generation {generation}")]
    Unassign {
        /// The VM.
        vm: VmId,
        /// The group.
        group: GroupId,
        /// The generation that is meant.
        generation: Generation,
    },
}

impl AssignmentRequest {
    /// Returns the group that is changed.
    #[must_use]
    pub fn group(&self) -> &GroupId {
        match self {
            Self::Assign { group, .. } | Self::Unassign { group, .. } => group,
        }
    }

    /// Makes the record that is appended under a shard's epoch.
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

    /// Returns whether the request would make a VM a member.
    #[must_use]
    pub fn assigns(&self, vm: &VmId) -> bool {
        match self {
            Self::Assign { vms, .. } => vms.contains(vm),
            Self::Unassign { .. } => false,
        }
    }
}

/// A group as the fold has it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AssignedGroup {
    /// The newest generation.
    pub generation: Generation,
    /// The version of its model, empty where no record says it.
    pub version: String,
    /// Its members.
    pub members: IndexSet<VmId>,
}

/// All groups' members, the same on every node that has read the log this far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignments {
    groups: IndexMap<GroupId, AssignedGroup>,
    owners: IndexMap<VmId, GroupId>,
}

impl Assignments {
    /// Makes a picture of the fold's groups.
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

    /// Returns a group that was assigned at least once.
    #[must_use]
    pub fn group(&self, group: &GroupId) -> Option<&AssignedGroup> {
        self.groups.get(group)
    }

    /// Returns a group's generation, zero before its first assignment.
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

    /// Returns whether a request has had its effect, or can have none any more.
    #[must_use]
    pub fn has_settled(&self, request: &AssignmentRequest) -> bool {
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
