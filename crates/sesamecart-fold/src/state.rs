//! The state that results from the records of the log.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sesamecart_config::{Configuration, EndpointKind};
use sesamecart_vocabulary::{
    EndpointId, Epoch, Generation, GroupId, Offset, PublishId, Revision, ShardId, VmId,
};

use crate::action::Actions;
use crate::audit::AuditTail;
use crate::checkpoint::CheckpointPosition;
use crate::drain::{Drain, DrainTarget};
use crate::lease::{Assignment, LeaseRecord};
use crate::verdict::PublishVerdict;

/// The state after all records before `next_offset`, identical on every node that has read them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The offset of the next record to apply.
    pub next_offset: Offset,
    /// The newest append time of any record, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// The revision in force, which is the number of accepted configurations.
    pub revision: Revision,
    /// The operator that published the configuration in force.
    pub author: String,
    /// When the configuration was published, in milliseconds of wall-clock time.
    pub published_at_ms: u64,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The drains in force.
    pub drains: IndexMap<DrainTarget, Drain>,
    /// The newest accepted claim of each shard.
    pub leases: IndexMap<ShardId, LeaseRecord>,
    /// The group that each VM belongs to.
    pub assignments: IndexMap<VmId, Assignment>,
    /// The newest generation of each group.
    pub generations: IndexMap<GroupId, Generation>,
    /// The model version that the newest generation of each group runs.
    #[serde(default)]
    pub versions: IndexMap<GroupId, String>,
    /// The epoch of the newest order to each endpoint.
    pub orders: IndexMap<EndpointId, Epoch>,
    /// The keyed actions of the last hour, as far as this node has read them.
    pub actions: Actions,
    /// The time of the log's clock from which on `actions` is complete; 0 if it covers the whole hour.
    #[serde(default)]
    pub actions_since_ms: u64,
    /// The verdicts on the newest changes, by publish id.
    pub verdicts: IndexMap<PublishId, PublishVerdict>,
    /// The newest entries of the audit trail.
    pub audit: AuditTail,
    /// The position of the newest checkpoint in the log.
    pub checkpoint: Option<CheckpointPosition>,
}

impl State {
    /// Returns whether an endpoint is drained.
    ///
    /// A drain applies to an endpoint if its target is the endpoint, its group, its VM, any VM of its group
    /// or its failure domain.
    #[must_use]
    pub fn is_drained(&self, endpoint: &EndpointId) -> bool {
        self.is_drained_by(endpoint, |target| self.drains.contains_key(target))
    }

    /// Returns whether an endpoint is drained by the targets for which `is_target` returns true.
    #[must_use]
    pub fn is_drained_by(
        &self,
        endpoint: &EndpointId,
        is_target: impl Fn(&DrainTarget) -> bool,
    ) -> bool {
        if is_target(&DrainTarget::Endpoint(endpoint.clone())) {
            return true;
        }
        let Some(config) = self.configuration.endpoints.get(endpoint) else {
            return false;
        };
        if is_target(&DrainTarget::FailureDomain(config.failure_domain.clone())) {
            return true;
        }
        let vm = config.vm.clone().map(DrainTarget::Vm);
        if vm.is_some_and(|vm| is_target(&vm)) {
            return true;
        }
        match &config.kind {
            EndpointKind::Group(group) => self.is_group_drained(group, is_target),
            EndpointKind::Service(_) => false,
        }
    }

    /// Returns whether the state includes every keyed action of the last hour.
    ///
    /// A node that started from a checkpoint lacks the actions before it. Until these have expired, the node
    /// must refuse unknown keys, because their actions may have run.
    #[must_use]
    pub fn has_all_actions(&self) -> bool {
        self.actions_since_ms == 0
    }

    /// Returns a copy without the keyed actions, as used for checkpoints in the log.
    pub(crate) fn without_actions(&self) -> Self {
        Self {
            next_offset: self.next_offset,
            logged_at_ms: self.logged_at_ms,
            revision: self.revision,
            author: self.author.clone(),
            published_at_ms: self.published_at_ms,
            configuration: Arc::clone(&self.configuration),
            drains: self.drains.clone(),
            leases: self.leases.clone(),
            assignments: self.assignments.clone(),
            generations: self.generations.clone(),
            versions: self.versions.clone(),
            orders: self.orders.clone(),
            actions: Actions::default(),
            actions_since_ms: self.logged_at_ms.max(1),
            verdicts: self.verdicts.clone(),
            audit: self.audit.clone(),
            checkpoint: self.checkpoint,
        }
    }

    /// Adds the keyed actions of a node's previous state to a checkpoint without actions.
    ///
    /// The node may have admitted some of these actions itself, and would run them again if it lost them.
    pub(crate) fn with_actions_of(mut self, previous: Self) -> Self {
        if !self.has_all_actions() && self.actions.is_empty() {
            self.actions = previous.actions;
            self.actions.expire(self.logged_at_ms);
        }
        self
    }

    /// Returns the epoch of a shard's newest accepted claim, even if the lease has been released.
    #[must_use]
    pub fn epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.leases.get(&shard).map(|lease| lease.epoch)
    }

    /// Returns the VMs that are assigned to a group.
    pub fn members<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a VmId> {
        self.assignments
            .iter()
            .filter(move |(_, assignment)| assignment.group == *group)
            .map(|(vm, _)| vm)
    }

    /// Returns the shard of a group's fabric domain, whose owner controls the group.
    ///
    /// Repair selects among all groups and spare VMs of a fabric domain. If each group had its own shard, two
    /// owners could dissolve each other's groups concurrently; see docs/design/groups.md.
    #[must_use]
    pub fn group_shard(&self, group: &GroupId) -> ShardId {
        let vms = &self.configuration.vms;
        let configured = self.configuration.groups.get(group);
        let configured = configured.into_iter().flat_map(|group| &group.vms);
        let vm = configured
            .chain(self.members(group))
            .find_map(|vm| vms.get(vm));
        ShardId::of(vm.map_or(group.as_str(), |vm| vm.fabric_domain.as_str()))
    }

    fn is_group_drained(&self, group: &GroupId, is_target: impl Fn(&DrainTarget) -> bool) -> bool {
        let configured = self.configuration.groups.get(group);
        let mut vms = configured
            .into_iter()
            .flat_map(|group| &group.vms)
            .chain(self.members(group));
        is_target(&DrainTarget::Group(group.clone()))
            || vms.any(|vm| is_target(&DrainTarget::Vm(vm.clone())))
    }
}
