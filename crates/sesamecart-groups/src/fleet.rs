//! The desired state of groups, models and VMs, as needed by group control.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    AdapterId, Bytes, FabricDomainId, FailureDomainId, GroupId, ModelId, ShardId, VmId, Weight,
};

/// The part of the current configuration that concerns serving groups.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// The VMs that may hold members of groups.
    pub vms: IndexMap<VmId, VmLocation>,
    /// The models.
    pub models: IndexMap<ModelId, ModelPlan>,
    /// The groups that should run.
    pub groups: IndexMap<GroupId, GroupPlan>,
}

/// The location of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmLocation {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomainId,
}

/// The desired state of a model and the resources of one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelPlan {
    /// The version of the weights that should run.
    pub version: String,
    /// The number of VMs of one replica.
    pub vms_per_group: usize,
    /// The bytes that each member VM loads from the weight store.
    pub bytes_per_vm: Bytes,
    /// The importance of this model relative to other models.
    pub value: Weight,
    /// The adapters to load in addition to the model.
    pub adapters: IndexSet<AdapterId>,
}

/// The desired state of one serving group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupPlan {
    /// The model that it serves.
    pub model: ModelId,
    /// The fabric domain that contains all of its VMs.
    pub fabric_domain: FabricDomainId,
    /// The VMs that the configuration assigns to it initially.
    pub vms: IndexSet<VmId>,
    /// Whether its endpoint refuses an order with an outdated fencing token.
    pub checks_epoch: bool,
}

impl GroupPlan {
    /// Returns the shard whose owner controls this group.
    ///
    /// There is one shard per fabric domain and not per group: repair selects from all groups and spares of a
    /// fabric domain, and with two owners in it each could preempt the other's groups.
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
    pub fn vms_in(&self, fabric: &FabricDomainId) -> impl Iterator<Item = (&VmId, &VmLocation)> {
        self.vms
            .iter()
            .filter(move |(_, place)| place.fabric_domain == *fabric)
    }
}
