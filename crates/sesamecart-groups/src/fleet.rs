//! What should run where, as group control needs it.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    AdapterId, Bytes, FabricDomainId, FailureDomainId, GroupId, ModelId, ShardId, VmId, Weight,
};

/// The part of the day's configuration that concerns serving groups.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// The VMs that may hold members of groups.
    pub vms: IndexMap<VmId, VmPlace>,
    /// The models.
    pub models: IndexMap<ModelId, ModelPlan>,
    /// The groups that should run.
    pub groups: IndexMap<GroupId, GroupPlan>,
}

/// Where a VM lies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmPlace {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomainId,
}

/// What one replica of a model needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelPlan {
    /// The version of the weights that should run.
    pub version: String,
    /// The number of VMs of one replica.
    pub vms_per_group: usize,
    /// What one member VM loads from the weight store.
    pub bytes_per_vm: Bytes,
    /// How much the service of this model matters beside the other models.
    pub value: Weight,
    /// The adapters to load beside it.
    pub adapters: IndexSet<AdapterId>,
}

/// One serving group that should run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupPlan {
    /// The model that it serves.
    pub model: ModelId,
    /// The fabric domain that all of its VMs lie in.
    pub fabric_domain: FabricDomainId,
    /// The VMs that the configuration gives it at first.
    pub vms: IndexSet<VmId>,
    /// Whether its endpoint refuses an order with an old fencing number.
    pub checks_epoch: bool,
}

impl GroupPlan {
    /// Returns the shard whose owner controls this group.
    ///
    /// It is the fabric domain's and not the group's own: repair chooses among all groups and
    /// spares of a fabric domain, and two owners there could take apart each other's groups.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        ShardId::of(self.fabric_domain.as_str())
    }
}

impl Fleet {
    /// Returns the model of a group.
    #[must_use]
    pub fn model_of(&self, group: &GroupId) -> Option<&ModelPlan> {
        self.models.get(&self.groups.get(group)?.model)
    }

    /// Returns the groups of one fabric domain.
    pub fn groups_in(
        &self,
        fabric: &FabricDomainId,
    ) -> impl Iterator<Item = (&GroupId, &GroupPlan)> {
        self.groups
            .iter()
            .filter(move |(_, plan)| plan.fabric_domain == *fabric)
    }

    /// Returns the VMs of one fabric domain.
    pub fn vms_in(&self, fabric: &FabricDomainId) -> impl Iterator<Item = (&VmId, &VmPlace)> {
        self.vms
            .iter()
            .filter(move |(_, place)| place.fabric_domain == *fabric)
    }
}
