//! Decides whether a group is routable.

use std::time::Duration;

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Generation, GroupId, Incarnation, Timestamp, VmId};

use crate::assignment::AssignedGroup;

/// The state of a group and its members, as reported by the group's endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// When the request for the report was sent. Validity is counted from this time and not from the
    /// response, because the response may have been delayed for any time.
    pub asked_at: Timestamp,
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// The generation that the engine runs.
    pub generation: Generation,
    /// Whether the engine accepts requests.
    pub ready: bool,
    /// The members that the engine is connected to.
    pub members: IndexMap<VmId, MemberReport>,
}

/// The state of one member, as reported by the group's endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The incarnation of the engine that the member joined.
    pub incarnation: Incarnation,
    /// The generation that the member runs.
    pub generation: Generation,
    /// Whether it has loaded its part of the model and accepts work.
    pub ready: bool,
}

/// Whether work may be sent to a group, and if not, why.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Routability {
    /// Every member was ready in the same report.
    #[display("routable at generation {generation}")]
    Routable {
        /// The generation that requests must carry.
        generation: Generation,
        /// The incarnation of the engine, used to detect a restart.
        incarnation: Incarnation,
        /// When this expires unless a newer report arrives.
        until: Timestamp,
    },
    /// No new work may be sent to the group.
    #[display("not routable: {_0}")]
    NotRoutable(NotRoutableReason),
}

/// Why a group isn't routable.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NotRoutableReason {
    /// There is no report that is still valid.
    #[display("no fresh report")]
    StaleReport,
    /// The group has fewer VMs than a replica needs.
    #[display("{_0} VMs are missing")]
    MissingVms(usize),
    /// The report is for another generation.
    #[display("the engine runs generation {_0}")]
    OtherGeneration(Generation),
    /// A member isn't ready in this incarnation and generation of the engine.
    #[display("{_0} is not ready")]
    MemberNotReady(VmId),
    /// The engine doesn't accept requests.
    #[display("the engine is not ready")]
    EngineNotReady,
    /// A member is known to be lost.
    #[display("{_0} is lost")]
    MemberLost(VmId),
}

impl Routability {
    /// Returns whether work may be sent to the group at `now`.
    #[must_use]
    pub fn is_routable(&self, now: Timestamp) -> bool {
        matches!(self, Self::Routable { until, .. } if now < *until)
    }
}

/// Decides whether work may be sent to a group.
///
/// A replica with a lost or outdated member hangs or responds from only a part of the model, so callers would
/// receive truncated or wrong responses. Therefore every member must be ready in the same generation and the
/// same incarnation of the engine, in one report that is younger than `report_validity`. A member that is
/// known to be lost takes precedence over any report.
#[must_use]
pub fn assess(
    assigned: &AssignedGroup,
    vms_per_group: usize,
    report: Option<&GroupReport>,
    lost: &IndexSet<VmId>,
    now: Timestamp,
    validity: Duration,
) -> Routability {
    match check_report(assigned, vms_per_group, report, lost, now, validity) {
        Err(reason) => Routability::NotRoutable(reason),
        Ok(report) => Routability::Routable {
            generation: assigned.generation,
            incarnation: report.incarnation,
            until: report.asked_at + validity,
        },
    }
}

fn check_report<'a>(
    assigned: &AssignedGroup,
    vms_per_group: usize,
    report: Option<&'a GroupReport>,
    lost: &IndexSet<VmId>,
    now: Timestamp,
    validity: Duration,
) -> Result<&'a GroupReport, NotRoutableReason> {
    if assigned.members.len() != vms_per_group {
        let missing = vms_per_group.saturating_sub(assigned.members.len());
        return Err(NotRoutableReason::MissingVms(missing));
    }
    if let Some(vm) = assigned.members.iter().find(|vm| lost.contains(*vm)) {
        return Err(NotRoutableReason::MemberLost(vm.clone()));
    }
    let report = report.ok_or(NotRoutableReason::StaleReport)?;
    if report.asked_at + validity <= now {
        return Err(NotRoutableReason::StaleReport);
    }
    if report.generation != assigned.generation {
        return Err(NotRoutableReason::OtherGeneration(report.generation));
    }
    if let Some(vm) = assigned
        .members
        .iter()
        .find(|vm| !is_member_ready(report, vm))
    {
        return Err(NotRoutableReason::MemberNotReady((*vm).clone()));
    }
    if !report.ready {
        return Err(NotRoutableReason::EngineNotReady);
    }
    Ok(report)
}

fn is_member_ready(report: &GroupReport, vm: &VmId) -> bool {
    report.members.get(vm).is_some_and(|member| {
        member.ready
            && member.generation == report.generation
            && member.incarnation == report.incarnation
    })
}

#[cfg(test)]
mod tests;
