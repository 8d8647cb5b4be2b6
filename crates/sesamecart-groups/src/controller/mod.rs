//! The controller of serving groups: events in, effects out.

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
use crate::order::OrderAnswer;
use crate::settings::GroupSettings;
use crate::state::{GroupReport, Routability};

pub use event::{Effect, Event, VmState};
use group::GroupControl;
pub use group::GroupPhase;

/// Controls the groups of the shards that this node holds.
///
/// One controller sees all groups of a fabric domain, because their shard is the fabric domain's.
/// It acts only on a [`Event::Tick`]; other events are taken in, and at most make a group not
/// routable at once.
#[derive(Debug)]
pub struct Controller {
    settings: GroupSettings,
    fleet: Arc<Fleet>,
    assignments: Arc<Assignments>,
    listed: Option<IndexMap<VmId, VmState>>,
    /// The VMs that the list calls leaving.
    leaving: IndexSet<VmId>,
    suspects: IndexMap<VmId, Timestamp>,
    drained: IndexSet<FailureDomainId>,
    epochs: IndexMap<ShardId, Epoch>,
    highest_epochs: IndexMap<ShardId, Epoch>,
    groups: IndexMap<GroupId, GroupControl>,
    fabrics: IndexMap<FabricDomainId, Fabric>,
    pending: IndexMap<AssignmentRequest, Timestamp>,
    /// The number of configured replicas of each model.
    replicas: IndexMap<ModelId, u64>,
    /// Whether the fleet or the assignments changed since the two were last compared.
    compare: bool,
    /// The models of which a controlled group runs another version than wanted.
    behind: IndexMap<ModelId, String>,
}

/// The groups and VMs of a fabric domain whose shard is held.
#[derive(Debug, Default)]
struct Fabric {
    groups: Vec<GroupId>,
    vms: Vec<VmId>,
}

impl Controller {
    /// Makes a controller that holds no shard yet.
    #[must_use]
    pub fn new(settings: GroupSettings) -> Self {
        Self {
            settings,
            fleet: Arc::default(),
            assignments: Arc::default(),
            listed: None,
            leaving: IndexSet::new(),
            suspects: IndexMap::new(),
            drained: IndexSet::new(),
            epochs: IndexMap::new(),
            highest_epochs: IndexMap::new(),
            groups: IndexMap::new(),
            fabrics: IndexMap::new(),
            pending: IndexMap::new(),
            replicas: IndexMap::new(),
            compare: true,
            behind: IndexMap::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Fleet(fleet) => {
                self.fleet = fleet;
                self.sync_groups(now);
            }
            Event::Assignments(assignments) => {
                self.take_assignments(assignments, now, &mut effects)
            }
            Event::Rejected(request) => {
                self.pending.shift_remove(&request);
            }
            Event::VmList(list) => self.take_list(list, now, &mut effects),
            Event::Report(report) => self.take_report(report, now, &mut effects),
            Event::OrderAnswered { group, answer } => self.take_answer(&group, answer),
            Event::LoadProgress {
                group,
                vm,
                version,
                remaining,
            } => {
                self.take_progress(&group, &vm, &version, remaining);
            }
            Event::LoadFailed { group, vm } => self.take_failure(&group, &vm, now),
            Event::StoreRate(rate) => self.settings.store_rate = rate,
            Event::Drained(drained) => self.drained = drained,
            Event::EpochGained { shard, epoch } => self.gain(shard, epoch, now),
            Event::EpochLost(shard) => self.lose(shard),
            Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    /// Returns whether a group may be given work; nothing for a group that isn't controlled here.
    #[must_use]
    pub fn routability(&self, group: &GroupId) -> Option<&Routability> {
        self.groups.get(group)?.published.as_ref()
    }

    /// Returns how far each controlled group is.
    pub fn phases(&self) -> impl Iterator<Item = (&GroupId, GroupPhase)> {
        self.groups
            .iter()
            .map(|(group, control)| (group, control.phase))
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.expire(now);
        self.suspect_unseen(now, effects);
        self.publish_all(now, effects);
        self.plan(now, effects);
        let active = self.active_groups();
        self.share_rate(&active, effects);
        self.send_orders(&active, now, effects);
    }

    /// Returns the groups that may need loads or orders; on a quiet day there are none.
    fn active_groups(&self) -> Vec<GroupId> {
        let is_active = |control: &GroupControl| {
            control.phase != GroupPhase::Serving
                || control.preparation.is_some()
                || !control.loads.is_empty()
                || !control.adapters.told_all
        };
        let active = self.groups.iter().filter(|(_, control)| is_active(control));
        active.map(|(group, _)| group.clone()).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        let append_timeout = self.settings.append_timeout;
        self.pending
            .retain(|_, since| now.since(*since) < append_timeout);
        self.suspects.retain(|_, until| now < *until);
        for control in self.groups.values_mut() {
            control.desk.expire(self.settings.longest_order, now);
        }
    }

    fn suspect_unseen(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let until = now + self.settings.suspect_for;
        for (group, control) in &mut self.groups {
            for vm in control.unseen_for(&self.settings, now) {
                control.unseen.swap_remove(&vm);
                control.decided_at = None;
                if let Some(plan) = self.fleet.groups.get(group) {
                    effects.extend(control.drop_load(group, &vm, &plan.model));
                }
                self.suspects.insert(vm, until);
            }
        }
    }

    fn take_assignments(
        &mut self,
        assignments: Arc<Assignments>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.assignments = assignments;
        let assignments = &self.assignments;
        self.pending
            .retain(|request, _| !assignments.has_settled(request));
        self.forget_decisions();
        self.publish_all(now, effects);
    }

    /// Makes sure that all groups are decided on anew, since what the decisions rest on has changed.
    fn forget_decisions(&mut self) {
        for control in self.groups.values_mut() {
            control.decided_at = None;
        }
    }

    fn take_list(
        &mut self,
        list: IndexMap<VmId, VmState>,
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for (group, control) in &mut self.groups {
            let Some(plan) = self.fleet.groups.get(group) else {
                continue;
            };
            let gone = control.loads.keys().filter(|vm| !list.contains_key(*vm));
            let gone: Vec<VmId> = gone.cloned().collect();
            for vm in &gone {
                effects.extend(control.drop_load(group, vm, &plan.model));
            }
        }
        if self.listed.as_ref() == Some(&list) {
            return;
        }
        let leaving = list.iter().filter(|(_, state)| **state == VmState::Leaving);
        self.leaving = leaving.map(|(vm, _)| vm.clone()).collect();
        self.listed = Some(list);
        self.forget_decisions();
        self.publish_all(now, effects);
    }

    fn take_report(&mut self, report: GroupReport, now: Timestamp, effects: &mut Vec<Effect>) {
        let group = report.group.clone();
        let Some(control) = self.groups.get_mut(&group) else {
            return;
        };
        for vm in report.members.keys() {
            self.suspects.swap_remove(vm);
        }
        // Members of another generation say nothing about those that are assigned now.
        let no_members = IndexSet::new();
        let members = match self.assignments.group(&group) {
            Some(assigned) if assigned.generation == report.generation => &assigned.members,
            _ => &no_members,
        };
        control.take_report(report, members);
        self.publish(&group, now, effects);
    }

    fn take_answer(&mut self, group: &GroupId, answer: OrderAnswer) {
        let Some(control) = self.groups.get_mut(group) else {
            return;
        };
        control.desk.answered(answer);
        if answer != OrderAnswer::Taken {
            control.ordered = None;
        }
    }

    fn gain(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
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

    fn lose(&mut self, shard: ShardId) {
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

    /// Makes the controlled groups those of the fleet whose shard is held.
    fn sync_groups(&mut self, now: Timestamp) {
        let fleet = Arc::clone(&self.fleet);
        self.groups
            .retain(|group, _| fleet.groups.contains_key(group));
        self.compare = true;
        self.fabrics.clear();
        self.replicas.clear();
        for (group, plan) in &fleet.groups {
            *self.replicas.entry(plan.model.clone()).or_default() += 1;
            let Some(epoch) = self.epochs.get(&plan.shard()) else {
                continue;
            };
            let control = self
                .groups
                .entry(group.clone())
                .or_insert_with(|| GroupControl {
                    since: now,
                    ..GroupControl::default()
                });
            let longest = self.settings.longest_order;
            control.desk.gain(*epoch, plan.checks_epoch, longest, now);
            let fabric = self.fabrics.entry(plan.fabric_domain.clone()).or_default();
            fabric.groups.push(group.clone());
        }
        for (vm, place) in &fleet.vms {
            if let Some(fabric) = self.fabrics.get_mut(&place.fabric_domain) {
                fabric.vms.push(vm.clone());
            }
        }
    }

    /// Decides on all groups that weren't decided on at this very moment.
    fn publish_all(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let open = self
            .groups
            .iter()
            .filter(|(_, control)| control.decided_at != Some(now));
        let groups: Vec<GroupId> = open.map(|(group, _)| group.clone()).collect();
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
        let change = control.take_change(routability);
        control.decided_at = Some(now);
        control.update_phase(usable, model.vms_per_group);
        if let Some(routability) = change {
            effects.push(Effect::Publish {
                group: group.clone(),
                routability,
            });
        }
    }

    /// Says whether a VM is known not to work: gone from the list, or unseen for the patience.
    fn is_lost(&self, vm: &VmId) -> bool {
        let gone = self
            .listed
            .as_ref()
            .is_some_and(|list| !list.contains_key(vm));
        gone || self.suspects.contains_key(vm)
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        self.leaving.contains(vm)
    }

    fn is_drained(&self, vm: &VmId) -> bool {
        let place = self.fleet.vms.get(vm);
        place.is_some_and(|place| self.drained.contains(&place.failure_domain))
    }

    fn phase(&self, group: &GroupId) -> Option<GroupPhase> {
        Some(self.groups.get(group)?.phase)
    }

    fn plan_and_model(&self, group: &GroupId) -> Option<(&GroupPlan, &ModelPlan)> {
        let plan = self.fleet.groups.get(group)?;
        Some((plan, self.fleet.models.get(&plan.model)?))
    }
}

#[cfg(test)]
mod tests;
