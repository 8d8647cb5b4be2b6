//! Whether a group may be given work.

use std::time::Duration;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Generation, GroupId, Incarnation, Timestamp, VmId};

use crate::assignment::AssignedGroup;

/// What a group's front said about itself and its members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupReport {
    /// The group that was asked.
    pub group: GroupId,
    /// When the question was sent. Validity counts from here and not from the answer, because the
    /// answer may have been under way for any time.
    pub asked_at: Timestamp,
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The generation that the engine runs.
    pub generation: Generation,
    /// Whether the engine takes requests.
    pub ready: bool,
    /// The members that the engine is in touch with.
    pub members: IndexMap<VmId, MemberReport>,
}

/// What a group's front said about one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The engine life that the member joined.
    pub incarnation: Incarnation,
    /// The generation that the member runs.
    pub generation: Generation,
    /// Whether it holds its part of the model and takes work.
    pub ready: bool,
}

/// Whether a group may be given work, and if not, why.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Routability {
    /// Every member was seen ready together.
    #[display("routable at generation {generation}")]
    Routable {
        /// The generation that requests must name.
        generation: Generation,
        /// The engine's life, by which a restart is noticed.
        incarnation: Incarnation,
        /// When this stops to hold without a newer report.
        until: Timestamp,
    },
    /// No new work may go there.
    #[display("not routable: {_0}")]
    Not(NotRoutable),
}

/// Why a group gets no work.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NotRoutable {
    /// Nothing was heard within the validity.
    #[display("no fresh report")]
    Stale,
    /// It has fewer VMs than a replica needs.
    #[display("{_0} VMs are missing")]
    Missing(usize),
    /// The report is of another generation.
    #[display("the engine runs generation {_0}")]
    OtherGeneration(Generation),
    /// A member isn't ready in this life and generation of the engine.
    #[display("{_0} is not ready")]
    Member(VmId),
    /// The engine itself takes no requests.
    #[display("the engine is not ready")]
    Engine,
    /// A member was seen to be lost.
    #[display("{_0} is lost")]
    Lost(VmId),
}

impl Routability {
    /// Returns whether work may go there at `now`.
    #[must_use]
    pub fn is_routable(&self, now: Timestamp) -> bool {
        matches!(self, Self::Routable { until, .. } if now < *until)
    }
}

/// Decides whether a group may be given work.
///
/// A replica with a lost or stale member answers with a part of the model or hangs: callers would
/// see cut or wrong answers. Therefore every member must be seen ready in the same generation and
/// the same engine life, in one report that is younger than `validity`, and a member known to be
/// lost outweighs any report.
#[must_use]
pub fn assess(
    assigned: &AssignedGroup,
    vms_per_group: usize,
    report: Option<&GroupReport>,
    lost: &IndexSet<VmId>,
    now: Timestamp,
    validity: Duration,
) -> Routability {
    match refusal(assigned, vms_per_group, report, lost, now, validity) {
        Err(reason) => Routability::Not(reason),
        Ok(report) => Routability::Routable {
            generation: assigned.generation,
            incarnation: report.incarnation,
            until: report.asked_at + validity,
        },
    }
}

fn refusal<'a>(
    assigned: &AssignedGroup,
    vms_per_group: usize,
    report: Option<&'a GroupReport>,
    lost: &IndexSet<VmId>,
    now: Timestamp,
    validity: Duration,
) -> Result<&'a GroupReport, NotRoutable> {
    if assigned.members.len() != vms_per_group {
        let missing = vms_per_group.saturating_sub(assigned.members.len());
        return Err(NotRoutable::Missing(missing));
    }
    if let Some(vm) = assigned.members.iter().find(|vm| lost.contains(*vm)) {
        return Err(NotRoutable::Lost(vm.clone()));
    }
    let report = report.ok_or(NotRoutable::Stale)?;
    if report.asked_at + validity <= now {
        return Err(NotRoutable::Stale);
    }
    if report.generation != assigned.generation {
        return Err(NotRoutable::OtherGeneration(report.generation));
    }
    if let Some(vm) = assigned.members.iter().find(|vm| !joined(report, vm)) {
        return Err(NotRoutable::Member((*vm).clone()));
    }
    if !report.ready {
        return Err(NotRoutable::Engine);
    }
    Ok(report)
}

fn joined(report: &GroupReport, vm: &VmId) -> bool {
    report.members.get(vm).is_some_and(|member| {
        member.ready
            && member.generation == report.generation
            && member.incarnation == report.incarnation
    })
}

#[cfg(test)]
mod tests;
