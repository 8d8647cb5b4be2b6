//! Which VM belongs to which group, as the fold of the log has it.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Generation, GroupId, VmId};

/// One change of a group's members or version, to be appended to the log.
///
/// It names the generation it builds on. Appends have no compare-and-set, so two controllers (an
/// old owner and a new one) can append at once; the one that comes second in the log builds on a
/// past generation and is rejected everywhere alike. Appending the same request twice, after a lost
/// answer, is harmless for the same reason.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{change} of {group} on generation {base}")]
pub struct AssignmentRequest {
    /// The group.
    pub group: GroupId,
    /// The generation that the change builds on; it makes the next one.
    pub base: Generation,
    /// What changes.
    pub change: AssignmentChange,
}

/// What changes in a group.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AssignmentChange {
    /// A free VM becomes a member.
    #[display("assign {_0}")]
    Assign(VmId),
    /// A member becomes free.
    #[display("unassign {_0}")]
    Unassign(VmId),
    /// The group is to run another version of its model.
    #[display("version {_0}")]
    Version(String),
}

/// Why the fold rejects a change.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum Rejection {
    /// The VM belongs to a group already; a second one would break both replicas.
    #[display("{vm} belongs to {group}")]
    #[error(ignore)]
    Taken {
        /// The VM.
        vm: VmId,
        /// The group that has it.
        group: GroupId,
    },
    /// The VM isn't a member.
    #[display("{_0} is no member")]
    #[error(ignore)]
    NoMember(VmId),
    /// The group has changed since the request was planned.
    #[display("the group is at generation {_0}")]
    #[error(ignore)]
    Stale(Generation),
}

/// A group as the fold has it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AssignedGroup {
    /// The count of its changes.
    pub generation: Generation,
    /// The version of its model, empty before the first.
    pub version: String,
    /// Its members.
    pub members: IndexSet<VmId>,
}

/// All groups' members, the same on every node that has read the log this far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignments {
    groups: IndexMap<GroupId, AssignedGroup>,
    owners: IndexMap<VmId, GroupId>,
}

impl Assignments {
    /// Applies a change if it is valid at this place in the log.
    ///
    /// # Errors
    ///
    /// Returns why the change has no effect.
    pub fn apply(&mut self, request: &AssignmentRequest) -> Result<Generation, Rejection> {
        let current = self.generation(&request.group);
        if request.base != current {
            return Err(Rejection::Stale(current));
        }
        match &request.change {
            AssignmentChange::Assign(vm) => self.assign(vm, &request.group)?,
            AssignmentChange::Unassign(vm) => self.unassign(vm, &request.group)?,
            AssignmentChange::Version(version) => {
                self.entry(&request.group).version.clone_from(version);
            }
        }
        let group = self.entry(&request.group);
        group.generation = current.next();
        Ok(group.generation)
    }

    fn entry(&mut self, group: &GroupId) -> &mut AssignedGroup {
        self.groups.entry(group.clone()).or_default()
    }

    fn assign(&mut self, vm: &VmId, group: &GroupId) -> Result<(), Rejection> {
        if let Some(owner) = self.owners.get(vm) {
            return Err(Rejection::Taken {
                vm: vm.clone(),
                group: owner.clone(),
            });
        }
        self.owners.insert(vm.clone(), group.clone());
        self.entry(group).members.insert(vm.clone());
        Ok(())
    }

    fn unassign(&mut self, vm: &VmId, group: &GroupId) -> Result<(), Rejection> {
        if self.owners.get(vm) != Some(group) {
            return Err(Rejection::NoMember(vm.clone()));
        }
        self.owners.swap_remove(vm);
        self.entry(group).members.shift_remove(vm);
        Ok(())
    }

    /// Returns a group that has been changed at least once.
    #[must_use]
    pub fn group(&self, group: &GroupId) -> Option<&AssignedGroup> {
        self.groups.get(group)
    }

    /// Returns a group's generation, zero before its first change.
    #[must_use]
    pub fn generation(&self, group: &GroupId) -> Generation {
        self.groups
            .get(group)
            .map_or(Generation::default(), |group| group.generation)
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
}

#[cfg(test)]
mod tests;
