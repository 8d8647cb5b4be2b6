//! The state that the log's records make.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sesamecart_config::{Configuration, EndpointKind};
use sesamecart_vocabulary::{
    EndpointId, Epoch, Generation, GroupId, Offset, PublishId, Revision, ShardId, VmId,
};

use crate::action::Actions;
use crate::audit::AuditTail;
use crate::checkpoint::CheckpointMark;
use crate::drain::{Drain, DrainTarget};
use crate::lease::{Assignment, LeaseRecord};
use crate::verdict::PublishVerdict;

/// What every node that has read the log up to `next_offset` agrees on.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The offset of the next record to apply.
    pub next_offset: Offset,
    /// The newest time of the log's clock that was seen, in milliseconds.
    pub logged_at_ms: u64,
    /// The number of configurations accepted so far.
    pub revision: Revision,
    /// Who published the configuration in force.
    pub author: String,
    /// When that was, in milliseconds of wall-clock time.
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
    /// The version of the model that each group's generation runs.
    #[serde(default)]
    pub versions: IndexMap<GroupId, String>,
    /// The newest epoch that gave each endpoint an order.
    pub orders: IndexMap<EndpointId, Epoch>,
    /// The keyed actions of the last hour.
    pub actions: Actions,
    /// The log's time from which on every keyed action is known; 0 once the whole hour is.
    #[serde(default)]
    pub actions_since_ms: u64,
    /// What became of the newest changes, by publish id.
    pub verdicts: IndexMap<PublishId, PublishVerdict>,
    /// The newest lines of the audit trail.
    pub audit: AuditTail,
    /// The newest checkpoint in the log.
    pub checkpoint: Option<CheckpointMark>,
}

impl State {
    /// Returns whether operators have taken an endpoint out of service.
    ///
    /// It is drained by name, with its group, with its VM or any VM of its group, or with its failure
    /// domain.
    #[must_use]
    pub fn is_drained(&self, endpoint: &EndpointId) -> bool {
        self.is_drained_by(endpoint, |target| self.drains.contains_key(target))
    }

    /// Returns whether an endpoint is out of service by drains that `has` knows.
    #[must_use]
    pub fn is_drained_by(&self, endpoint: &EndpointId, has: impl Fn(&DrainTarget) -> bool) -> bool {
        if has(&DrainTarget::Endpoint(endpoint.clone())) {
            return true;
        }
        let Some(found) = self.configuration.endpoints.get(endpoint) else {
            return false;
        };
        if has(&DrainTarget::FailureDomain(found.failure_domain.clone())) {
            return true;
        }
        let vm = found.vm.clone().map(DrainTarget::Vm);
        if vm.is_some_and(|vm| has(&vm)) {
            return true;
        }
        match &found.kind {
            EndpointKind::Group(group) => self.is_group_drained(group, has),
            EndpointKind::Service(_) => false,
        }
    }

    /// Returns whether every keyed action of the last hour is known.
    ///
    /// A node that started from a checkpoint doesn't know those before it. Until they have expired,
    /// it must refuse keys that it never heard of: one of them may have run.
    #[must_use]
    pub fn knows_actions(&self) -> bool {
        self.actions_since_ms == 0
    }

    /// Returns the state as the log's checkpoints hold it, without the keyed actions.
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

    /// Keeps what a node knew of keyed actions before it took a checkpoint that knows none.
    ///
    /// This node may itself have let some of them in, and would run them again if it forgot them.
    pub(crate) fn with_actions_of(mut self, own: Self) -> Self {
        if !self.knows_actions() && self.actions.is_empty() {
            self.actions = own.actions;
            self.actions.expire(self.logged_at_ms);
        }
        self
    }

    /// Returns the epoch of a shard's newest accepted claim, also if it was released since.
    #[must_use]
    pub fn epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.leases.get(&shard).map(|lease| lease.epoch)
    }

    /// Returns the VMs that belong to a group.
    pub fn members<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a VmId> {
        self.assignments
            .iter()
            .filter(move |(_, assignment)| assignment.group == *group)
            .map(|(vm, _)| vm)
    }

    /// Returns the shard whose owner controls a group: that of its fabric domain.
    ///
    /// Repair chooses among all groups and spares of a fabric domain. If each group had a shard of
    /// its own, two owners could take apart each other's groups at once; see
    /// docs/design/groups.md.
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

    fn is_group_drained(&self, group: &GroupId, has: impl Fn(&DrainTarget) -> bool) -> bool {
        let configured = self.configuration.groups.get(group);
        let mut vms = configured
            .into_iter()
            .flat_map(|group| &group.vms)
            .chain(self.members(group));
        has(&DrainTarget::Group(group.clone())) || vms.any(|vm| has(&DrainTarget::Vm(vm.clone())))
    }
}
