//! The controller of serving groups, a state machine that turns events into effects.

mod event;
mod group;
mod loading;
mod ordering;
mod planning;
mod versions;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    Epoch, FabricDomainId, FailureDomainId, GroupId, ModelId, ShardId, Timestamp, VmId,
};

use crate::assignment::{AssignmentRequest, Assignments};
use crate::fleet::{Fleet, GroupPlan, ModelPlan};
use crate::order::OrderOutcome;
use crate::settings::GroupSettings;
use crate::state::{GroupReport, Routability};

pub use event::{Effect, Event, VmState};
use group::GroupControl;
pub use group::GroupPhase;

/// Controls the groups of the shards that this node holds.
///
/// One controller manages all groups of a fabric domain, because there is one shard per fabric domain. It
/// plans changes, sends orders and allocates load rates only on an [`Event::Tick`]. Other events update its
/// state, publish changed routability and stop loads that are no longer needed.
#[derive(Debug)]
pub struct Controller {
    settings: GroupSettings,
    fleet: Arc<Fleet>,
    assignments: Arc<Assignments>,
    vm_list: Option<IndexMap<VmId, VmState>>,
    /// The VMs that the VM list shows as leaving.
    leaving: IndexSet<VmId>,
    suspect_vms: IndexMap<VmId, Timestamp>,
    drained_domains: IndexSet<FailureDomainId>,
    epochs: IndexMap<ShardId, Epoch>,
    highest_epochs: IndexMap<ShardId, Epoch>,
    groups: IndexMap<GroupId, GroupControl>,
    fabrics: IndexMap<FabricDomainId, Fabric>,
    pending: IndexMap<AssignmentRequest, Timestamp>,
    /// The number of configured replicas of each model.
    replica_counts: IndexMap<ModelId, u64>,
    /// Whether the fleet and the assignments must be compared in the next planning round.
    needs_reconciliation: bool,
    /// The target version of each model of which a controlled group runs another version.
    outdated_models: IndexMap<ModelId, String>,
}

/// The groups and VMs of a fabric domain whose shard this node holds.
#[derive(Debug, Default)]
struct Fabric {
    groups: Vec<GroupId>,
    vms: Vec<VmId>,
}

impl Controller {
    /// Creates a controller that holds no shard.
    #[must_use]
    pub fn new(settings: GroupSettings) -> Self {
        Self {
            settings,
            fleet: Arc::default(),
            assignments: Arc::default(),
            vm_list: None,
            leaving: IndexSet::new(),
            suspect_vms: IndexMap::new(),
            drained_domains: IndexSet::new(),
            epochs: IndexMap::new(),
            highest_epochs: IndexMap::new(),
            groups: IndexMap::new(),
            fabrics: IndexMap::new(),
            pending: IndexMap::new(),
            replica_counts: IndexMap::new(),
            needs_reconciliation: true,
            outdated_models: IndexMap::new(),
        }
    }

    /// Handles an event and returns the effects to execute.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Fleet(fleet) => {
                self.fleet = fleet;
                self.sync_groups(now);
            }
            Event::Assignments(assignments) => self.on_assignments(assignments, now, &mut effects),
            Event::Rejected(request) => {
                self.pending.shift_remove(&request);
            }
            Event::VmList(list) => self.on_vm_list(list, now, &mut effects),
            Event::Report(report) => self.on_report(report, now, &mut effects),
            Event::OrderAnswered { group, answer } => self.on_order_answer(&group, answer),
            Event::LoadProgress {
                group,
                vm,
                version,
                remaining,
            } => {
                self.on_load_progress(&group, &vm, &version, remaining);
            }
            Event::LoadFailed { group, vm } => self.on_load_failed(&group, &vm, now),
            Event::StoreRate(rate) => self.settings.store_rate = rate,
            Event::Drained(drained) => self.drained_domains = drained,
            Event::EpochGained { shard, epoch } => self.on_epoch_gained(shard, epoch, now),
            Event::EpochLost(shard) => self.on_epoch_lost(shard),
            Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    /// Returns whether work may be sent to a group, or `None` for a group that isn't controlled by this node.
    #[must_use]
    pub fn routability(&self, group: &GroupId) -> Option<&Routability> {
        self.groups.get(group)?.published.as_ref()
    }

    /// Returns the phase of each controlled group.
    pub fn phases(&self) -> impl Iterator<Item = (&GroupId, GroupPhase)> {
        self.groups
            .iter()
            .map(|(group, control)| (group, control.phase))
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.expire_timeouts(now);
        self.suspect_unseen(now, effects);
        self.publish_all(now, effects);
        self.plan(now, effects);
        let active = self.active_groups();
        self.allocate_load_rates(&active, effects);
        self.send_orders(&active, now, effects);
    }

    /// Returns the groups that may need loads or orders. There are none while all groups serve unchanged.
    fn active_groups(&self) -> Vec<GroupId> {
        let is_active = |control: &GroupControl| {
            control.phase != GroupPhase::Serving
                || control.preparation.is_some()
                || !control.loads.is_empty()
                || !control.adapters.all_ordered
        };
        let active = self.groups.iter().filter(|(_, control)| is_active(control));
        active.map(|(group, _)| group.clone()).collect()
    }

    fn expire_timeouts(&mut self, now: Timestamp) {
        let append_timeout = self.settings.append_timeout;
        self.pending
            .retain(|_, since| now.since(*since) < append_timeout);
        self.suspect_vms.retain(|_, until| now < *until);
        for control in self.groups.values_mut() {
            control
                .sequencer
                .expire_in_flight(self.settings.max_order_latency, now);
        }
    }

    fn suspect_unseen(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let until = now + self.settings.suspect_duration;
        for (group, control) in &mut self.groups {
            for vm in control.unseen_members(&self.settings, now) {
                control.unseen.swap_remove(&vm);
                control.assessed_at = None;
                if let Some(plan) = self.fleet.groups.get(group) {
                    effects.extend(control.drop_load(group, &vm, &plan.model));
                }
                self.suspect_vms.insert(vm, until);
            }
        }
    }

    fn on_assignments(
        &mut self,
        assignments: Arc<Assignments>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.assignments = assignments;
        let assignments = &self.assignments;
        self.pending
            .retain(|request, _| !assignments.is_settled(request));
        self.invalidate_assessments();
        self.publish_all(now, effects);
    }

    /// Marks all groups to be assessed again because their inputs have changed.
    fn invalidate_assessments(&mut self) {
        for control in self.groups.values_mut() {
            control.assessed_at = None;
        }
    }

    fn on_vm_list(
        &mut self,
        list: IndexMap<VmId, VmState>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for (group, control) in &mut self.groups {
            let Some(plan) = self.fleet.groups.get(group) else {
                continue;
            };
            let unlisted = control.loads.keys().filter(|vm| !list.contains_key(*vm));
            let unlisted: Vec<VmId> = unlisted.cloned().collect();
            for vm in &unlisted {
                effects.extend(control.drop_load(group, vm, &plan.model));
            }
        }
        if self.vm_list.as_ref() == Some(&list) {
            return;
        }
        let leaving = list.iter().filter(|(_, state)| **state == VmState::Leaving);
        self.leaving = leaving.map(|(vm, _)| vm.clone()).collect();
        self.vm_list = Some(list);
        self.invalidate_assessments();
        self.publish_all(now, effects);
    }

    fn on_report(&mut self, report: GroupReport, now: Timestamp, effects: &mut Vec<Effect>) {
        let group = report.group.clone();
        let Some(control) = self.groups.get_mut(&group) else {
            return;
        };
        for vm in report.members.keys() {
            self.suspect_vms.swap_remove(vm);
        }
        // The members of another generation don't show which currently assigned VMs are missing.
        let no_members = IndexSet::new();
        let members = match self.assignments.group(&group) {
            Some(assigned) if assigned.generation == report.generation => &assigned.members,
            _ => &no_members,
        };
        control.record_report(report, members);
        self.publish(&group, now, effects);
    }

    fn on_order_answer(&mut self, group: &GroupId, answer: OrderOutcome) {
        let Some(control) = self.groups.get_mut(group) else {
            return;
        };
        control.sequencer.record_answer(answer);
        if answer != OrderOutcome::Accepted {
            control.start_order = None;
        }
    }

    fn on_epoch_gained(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
        if self
            .highest_epochs
            .get(&shard)
            .is_some_and(|highest| epoch <= *highest)
        {
            return;
        }
        self.highest_epochs.insert(shard, epoch);
        self.epochs.insert(shard, epoch);
        self.sync_groups(now);
    }

    fn on_epoch_lost(&mut self, shard: ShardId) {
        self.epochs.swap_remove(&shard);
        let fleet = &self.fleet;
        self.groups.retain(|group, _| {
            fleet
                .groups
                .get(group)
                .is_some_and(|plan| plan.shard() != shard)
        });
        self.fabrics
            .retain(|fabric, _| ShardId::of(fabric.as_str()) != shard);
    }

    /// Updates the controlled groups to those of the fleet whose shard is held.
    fn sync_groups(&mut self, now: Timestamp) {
        let fleet = Arc::clone(&self.fleet);
        self.groups
            .retain(|group, _| fleet.groups.contains_key(group));
        self.needs_reconciliation = true;
        self.fabrics.clear();
        self.replica_counts.clear();
        for (group, plan) in &fleet.groups {
            *self.replica_counts.entry(plan.model.clone()).or_default() += 1;
            let Some(epoch) = self.epochs.get(&plan.shard()) else {
                continue;
            };
            let control = self
                .groups
                .entry(group.clone())
                .or_insert_with(|| GroupControl {
                    controlled_since: now,
                    ..GroupControl::default()
                });
            let max_latency = self.settings.max_order_latency;
            control
                .sequencer
                .acquire_epoch(*epoch, plan.checks_epoch, max_latency, now);
            let fabric = self.fabrics.entry(plan.fabric_domain.clone()).or_default();
            fabric.groups.push(group.clone());
        }
        for (vm, place) in &fleet.vms {
            if let Some(fabric) = self.fabrics.get_mut(&place.fabric_domain) {
                fabric.vms.push(vm.clone());
            }
        }
    }

    /// Assesses all groups that haven't been assessed at `now` and publishes changes.
    fn publish_all(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let outdated = self
            .groups
            .iter()
            .filter(|(_, control)| control.assessed_at != Some(now));
        let groups: Vec<GroupId> = outdated.map(|(group, _)| group.clone()).collect();
        for group in &groups {
            self.publish(group, now, effects);
        }
    }

    fn publish(&mut self, group: &GroupId, now: Timestamp, effects: &mut Vec<Effect>) {
        let unassigned = crate::assignment::AssignedGroup::default();
        let assignments = Arc::clone(&self.assignments);
        let assigned = assignments.group(group).unwrap_or(&unassigned);
        let lost: IndexSet<VmId> = assigned
            .members
            .iter()
            .filter(|vm| self.is_lost(vm))
            .cloned()
            .collect();
        let fleet = Arc::clone(&self.fleet);
        let Some(model) = fleet.model_of(group) else {
            return;
        };
        let Some(control) = self.groups.get_mut(group) else {
            return;
        };
        let routability = control.assess(assigned, model, &lost, &self.settings, now);
        let usable = assigned.members.len() - lost.len();
        let change = control.update_published(routability);
        control.assessed_at = Some(now);
        control.update_phase(usable, model.vms_per_group);
        if let Some(routability) = change {
            effects.push(Effect::Publish {
                group: group.clone(),
                routability,
            });
        }
    }

    /// Returns whether a VM is known to have failed: it isn't in the VM list, its load failed, or it was
    /// missing from reports for the grace period.
    fn is_lost(&self, vm: &VmId) -> bool {
        let unlisted = self
            .vm_list
            .as_ref()
            .is_some_and(|list| !list.contains_key(vm));
        unlisted || self.suspect_vms.contains_key(vm)
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    fn is_drained(&self, vm: &VmId) -> bool {
        let place = self.fleet.vms.get(vm);
        place.is_some_and(|place| self.drained_domains.contains(&place.failure_domain))
    }

    fn phase(&self, group: &GroupId) -> Option<GroupPhase> {
        Some(self.groups.get(group)?.phase)
    }

    fn group_and_model(&self, group: &GroupId) -> Option<(&GroupPlan, &ModelPlan)> {
        let plan = self.fleet.groups.get(group)?;
        Some((plan, self.fleet.models.get(&plan.model)?))
    }
}

#[cfg(test)]
mod tests;
