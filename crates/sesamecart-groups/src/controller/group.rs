//! One group under control.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    AdapterId, Bytes, Generation, GroupId, Incarnation, ModelId, Timestamp, VmId,
};

use super::event::Effect;

use crate::assignment::AssignedGroup;
use crate::fleet::ModelPlan;
use crate::order::OrderDesk;
use crate::repair::Repair;
use crate::settings::GroupSettings;
use crate::state::{GroupReport, NotRoutable, Routability, assess};

/// How far a group is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GroupPhase {
    /// It serves.
    Serving,
    /// It has all of its VMs and loads or starts.
    Recovering,
    /// It lacks VMs.
    #[default]
    Out,
}

/// A change that is prepared while the group still serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Preparation {
    /// Spares load, to take the place of VMs that leave.
    Replacement(Repair),
    /// All members load another version.
    Version(String),
}

/// A load that a group waits for.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) version: String,
    /// What is left, once the store has said so.
    pub(super) remaining: Option<Bytes>,
    pub(super) granted: Bytes,
}

impl Load {
    pub(super) fn is_done(&self, version: &str) -> bool {
        self.version == version && self.remaining == Some(Bytes(0))
    }
}

/// What the controller knows about one group.
#[derive(Debug, Default)]
pub(super) struct GroupControl {
    pub(super) desk: OrderDesk,
    pub(super) report: Option<GroupReport>,
    /// Since when this controller has the group.
    pub(super) since: Timestamp,
    /// Since when each member has been missing from reports.
    pub(super) unseen: IndexMap<VmId, Timestamp>,
    pub(super) loads: IndexMap<VmId, Load>,
    pub(super) preparation: Option<Preparation>,
    /// Since when the engine of the current generation hasn't been ready.
    pub(super) out_since: Option<Timestamp>,
    /// The last start order, and when it was sent.
    pub(super) ordered: Option<StartOrder>,
    /// No order before this time: a serving group was taken apart for this one.
    pub(super) hold_until: Timestamp,
    pub(super) adapters: Adapters,
    pub(super) published: Option<Routability>,
    pub(super) phase: GroupPhase,
    /// When routability was last decided.
    pub(super) decided_at: Option<Timestamp>,
}

/// A start order that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartOrder {
    pub(super) generation: Generation,
    pub(super) at: Timestamp,
}

/// The adapters that one life of an engine was told to load.
#[derive(Debug, Default)]
pub(super) struct Adapters {
    pub(super) incarnation: Incarnation,
    pub(super) ordered: IndexSet<AdapterId>,
    /// Whether none is left to be ordered.
    pub(super) told_all: bool,
}

impl GroupControl {
    /// Takes in a report; an older one than the last is dropped.
    pub(super) fn take_report(&mut self, report: GroupReport, members: &IndexSet<VmId>) {
        if let Some(last) = &self.report
            && report.asked_at < last.asked_at
        {
            return;
        }
        self.desk.state_read(report.asked_at);
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

    /// Returns the members that a report has missed for longer than the patience.
    pub(super) fn unseen_for(&self, settings: &GroupSettings, now: Timestamp) -> Vec<VmId> {
        let late = |since: &Timestamp| now.since(*since) >= settings.patience;
        let unseen = self.unseen.iter().filter(|(_, since)| late(since));
        unseen.map(|(vm, _)| vm.clone()).collect()
    }

    /// Decides whether the group may be given work and notes since when it may not.
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
        let routability = assess(assigned, size, report, lost, now, settings.validity);
        if routability.is_routable(now) {
            self.out_since = None;
            self.ordered = None;
        } else {
            self.out_since.get_or_insert(now);
        }
        routability
    }

    /// Returns the routability if it differs in kind from what was published last.
    pub(super) fn take_change(&mut self, routability: Routability) -> Option<Routability> {
        let same = match (&self.published, &routability) {
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
            (Some(Routability::Not(a)), Routability::Not(b)) => a == b,
            _ => false,
        };
        self.published = Some(routability.clone());
        (!same).then_some(routability)
    }

    /// Notes the phase that follows from the last decision.
    pub(super) fn update_phase(&mut self, usable: usize, size: usize) {
        self.phase = match &self.published {
            Some(Routability::Routable { .. }) => GroupPhase::Serving,
            Some(Routability::Not(NotRoutable::Lost(_) | NotRoutable::Missing(_))) => {
                GroupPhase::Out
            }
            Some(Routability::Not(_)) if usable < size => GroupPhase::Out,
            Some(Routability::Not(_)) | None => GroupPhase::Recovering,
        };
    }

    /// Returns whether the engine must be told to start the assigned generation.
    ///
    /// An engine of the current generation that isn't ready is left alone for the patience: it may
    /// only have paused, and a start would make it load what it still holds.
    pub(super) fn needs_start(
        &self,
        assigned: &AssignedGroup,
        settings: &GroupSettings,
        now: Timestamp,
    ) -> bool {
        if now < self.hold_until {
            return false;
        }
        let ordered = self.ordered.is_some_and(|order| {
            order.generation == assigned.generation && now.since(order.at) < settings.start_timeout
        });
        if ordered {
            return false;
        }
        let Some(report) = &self.report else {
            return false;
        };
        if report.generation != assigned.generation {
            return true;
        }
        self.out_since
            .is_some_and(|since| now.since(since) >= settings.patience)
    }

    /// Returns the generation in which the engine already serves with these members, if it does.
    pub(super) fn serving_generation(&self, members: &IndexSet<VmId>) -> Option<Generation> {
        let report = self.report.as_ref()?;
        let is_ready = |vm| report.members.get(vm).is_some_and(|member| member.ready);
        let same = report.members.len() == members.len() && members.iter().all(is_ready);
        (report.ready && same).then_some(report.generation)
    }

    /// Returns whether the engine still serves an older generation with the same members.
    pub(super) fn same_members(&self, assigned: &AssignedGroup) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.ready
                && report.members.len() == assigned.members.len()
                && assigned
                    .members
                    .iter()
                    .all(|vm| report.members.contains_key(vm))
        })
    }

    /// Drops a load, and stops it if it still runs: one that nobody counts any more would use up
    /// rate that other loads are granted.
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
