//! The state of one controlled group.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    AdapterId, Bytes, Generation, GroupId, Incarnation, ModelId, Timestamp, VmId,
};

use super::event::Effect;

use crate::assignment::AssignedGroup;
use crate::fleet::ModelPlan;
use crate::order::OrderSequencer;
use crate::repair::Repair;
use crate::settings::GroupSettings;
use crate::state::{GroupReport, NotRoutableReason, Routability, assess};

/// The phase of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GroupPhase {
    /// The group is serving.
    Serving,
    /// It has all of its VMs and is loading weights or starting.
    Recovering,
    /// It has too few usable VMs.
    #[default]
    Incomplete,
}

/// A change that is prepared while the group is still serving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Preparation {
    /// Spares load the weights to replace VMs that are leaving.
    Replacement(Repair),
    /// All members load the given version.
    Version(String),
}

/// A load of weights by one VM for a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) version: String,
    /// The bytes still to load, once the store has reported them.
    pub(super) remaining: Option<Bytes>,
    /// The granted rate per second.
    pub(super) granted: Bytes,
}

impl Load {
    pub(super) fn is_done(&self, version: &str) -> bool {
        self.version == version && self.remaining == Some(Bytes(0))
    }
}

/// The controller's state of one group.
#[derive(Debug, Default)]
pub(super) struct GroupControl {
    pub(super) sequencer: OrderSequencer,
    pub(super) report: Option<GroupReport>,
    /// Since when this controller has controlled the group.
    pub(super) controlled_since: Timestamp,
    /// Since when each member has been missing from reports.
    pub(super) unseen: IndexMap<VmId, Timestamp>,
    pub(super) loads: IndexMap<VmId, Load>,
    pub(super) preparation: Option<Preparation>,
    /// Since when the group hasn't been routable.
    pub(super) unavailable_since: Option<Timestamp>,
    /// The last start order.
    pub(super) start_order: Option<StartOrder>,
    /// The earliest time for a start order, set when a serving group was preempted for this one.
    pub(super) start_not_before: Timestamp,
    pub(super) adapters: Adapters,
    pub(super) published: Option<Routability>,
    pub(super) phase: GroupPhase,
    /// When routability was last assessed.
    pub(super) assessed_at: Option<Timestamp>,
}

/// A start order that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartOrder {
    pub(super) generation: Generation,
    pub(super) sent_at: Timestamp,
}

/// The adapters that one incarnation of an engine was ordered to load.
#[derive(Debug, Default)]
pub(super) struct Adapters {
    pub(super) incarnation: Incarnation,
    pub(super) ordered: IndexSet<AdapterId>,
    /// Whether all adapters of the model were ordered.
    pub(super) all_ordered: bool,
}

impl GroupControl {
    /// Records a report unless it is older than the last one.
    pub(super) fn record_report(&mut self, report: GroupReport, members: &IndexSet<VmId>) {
        if let Some(last) = &self.report
            && report.asked_at < last.asked_at
        {
            return;
        }
        self.sequencer.record_state_read(report.asked_at);
        for vm in members {
            if report.members.contains_key(vm) {
                self.unseen.swap_remove(vm);
            } else {
                self.unseen.entry(vm.clone()).or_insert(report.asked_at);
            }
        }
        self.unseen.retain(|vm, _| members.contains(vm));
        self.report = Some(report);
    }

    /// Returns the members that have been missing from reports for the grace period.
    pub(super) fn unseen_members(&self, settings: &GroupSettings, now: Timestamp) -> Vec<VmId> {
        let is_overdue = |since: &Timestamp| now.since(*since) >= settings.grace_period;
        let unseen = self.unseen.iter().filter(|(_, since)| is_overdue(since));
        unseen.map(|(vm, _)| vm.clone()).collect()
    }

    /// Decides whether work may be sent to the group and records since when it may not.
    pub(super) fn assess(
        &mut self,
        assigned: &AssignedGroup,
        model: &ModelPlan,
        lost: &IndexSet<VmId>,
        settings: &GroupSettings,
        now: Timestamp,
    ) -> Routability {
        let size = model.vms_per_group;
        let report = self.report.as_ref();
        let routability = assess(assigned, size, report, lost, now, settings.report_validity);
        if routability.is_routable(now) {
            self.unavailable_since = None;
            self.start_order = None;
        } else {
            self.unavailable_since.get_or_insert(now);
        }
        routability
    }

    /// Stores the routability and returns it if it differs from the last one by more than its expiry.
    pub(super) fn update_published(&mut self, routability: Routability) -> Option<Routability> {
        let is_same = match (&self.published, &routability) {
            (
                Some(Routability::Routable {
                    generation: a,
                    incarnation: b,
                    ..
                }),
                Routability::Routable {
                    generation: c,
                    incarnation: d,
                    ..
                },
            ) => a == c && b == d,
            (Some(Routability::NotRoutable(a)), Routability::NotRoutable(b)) => a == b,
            _ => false,
        };
        self.published = Some(routability.clone());
        (!is_same).then_some(routability)
    }

    /// Updates the phase from the last published routability.
    pub(super) fn update_phase(&mut self, usable: usize, size: usize) {
        self.phase = match &self.published {
            Some(Routability::Routable { .. }) => GroupPhase::Serving,
            Some(Routability::NotRoutable(
                NotRoutableReason::MemberLost(_) | NotRoutableReason::MissingVms(_),
            )) => GroupPhase::Incomplete,
            Some(Routability::NotRoutable(_)) if usable < size => GroupPhase::Incomplete,
            Some(Routability::NotRoutable(_)) | None => GroupPhase::Recovering,
        };
    }

    /// Returns whether the engine must be ordered to start the assigned generation.
    ///
    /// An engine of the current generation that isn't ready gets no order during the grace period: it may
    /// only be paused, and a start would make it reload weights that it still has.
    pub(super) fn needs_start(
        &self,
        assigned: &AssignedGroup,
        settings: &GroupSettings,
        now: Timestamp,
    ) -> bool {
        if now < self.start_not_before {
            return false;
        }
        let is_ordered = self.start_order.is_some_and(|order| {
            order.generation == assigned.generation
                && now.since(order.sent_at) < settings.start_timeout
        });
        if is_ordered {
            return false;
        }
        let Some(report) = &self.report else {
            return false;
        };
        if report.generation != assigned.generation {
            return true;
        }
        self.unavailable_since
            .is_some_and(|since| now.since(since) >= settings.grace_period)
    }

    /// Returns the generation in which the engine is already serving with these members, if it is.
    pub(super) fn find_serving_generation(&self, members: &IndexSet<VmId>) -> Option<Generation> {
        let report = self.report.as_ref()?;
        let is_ready = |vm| report.members.get(vm).is_some_and(|member| member.ready);
        let is_same = report.members.len() == members.len() && members.iter().all(is_ready);
        (report.ready && is_same).then_some(report.generation)
    }

    /// Returns whether the engine is still serving with the same members, for example in an older generation.
    pub(super) fn has_same_members(&self, assigned: &AssignedGroup) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.ready
                && report.members.len() == assigned.members.len()
                && assigned
                    .members
                    .iter()
                    .all(|vm| report.members.contains_key(vm))
        })
    }

    /// Removes a load and stops it if it has been granted a rate. Otherwise it would go on using bandwidth
    /// that is granted to other loads.
    pub(super) fn drop_load(
        &mut self,
        group: &GroupId,
        vm: &VmId,
        model: &ModelId,
    ) -> Option<Effect> {
        let load = self.loads.swap_remove(vm)?;
        (load.granted > Bytes(0)).then(|| Effect::Load {
            group: group.clone(),
            vm: vm.clone(),
            model: model.clone(),
            version: load.version,
            bytes_per_s: Bytes(0),
        })
    }
}
