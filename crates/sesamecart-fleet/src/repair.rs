//! Decides from probes of a group's members whether the group must be given up.

use derive_more::Display;

use crate::endpoint::GroupState;

#[cfg(test)]
mod tests;

/// The result of probing one member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MemberProbe {
    /// The member belongs to this membership of the group.
    #[display("{_0}")]
    Member(GroupState),
    /// The member answers but belongs to a different membership or none.
    #[display("in another group")]
    OtherMembership,
    /// The member doesn't answer or refuses the connection.
    ///
    /// An endpoint that shuts down stops listening while it still finishes its requests, so a refused
    /// connection is no more evidence than a timeout.
    #[display("silent")]
    Unreachable,
}

/// The probe results of a group's members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupProbes {
    /// The result for the head.
    pub head: MemberProbe,
    /// The results for the other members. A member with an unknown address counts as unreachable.
    pub others: Vec<MemberProbe>,
}

/// The state of a group, derived from its probes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GroupHealth {
    /// The group serves or may serve soon.
    #[display("sound")]
    Healthy,
    /// The group can't serve any more. Its head answers and can be ordered to leave.
    #[display("lost, its head answers")]
    Lost,
    /// The group can't serve any more, and its head can't be reached. The head may be stalled or finishing
    /// its requests.
    #[display("lost, its head is silent")]
    HeadUnreachable,
    /// The node that probed the group reaches no other endpoint either, so it can't tell.
    #[display("unknown, this node reaches no endpoint")]
    Unknown,
}

impl GroupProbes {
    /// Returns whether only silent members speak against the group.
    ///
    /// A silent member may be unreachable for the probing node alone. A member that answers with another
    /// membership, or that its group is broken, is proof.
    #[must_use]
    pub fn is_silence_the_only_evidence(&self) -> bool {
        let is_proof = |probe: &MemberProbe| {
            matches!(
                probe,
                MemberProbe::OtherMembership | MemberProbe::Member(GroupState::Broken)
            )
        };
        let mut members = std::iter::once(&self.head).chain(&self.others);
        evaluate_group(self) != GroupHealth::Healthy && !members.any(is_proof)
    }
}

/// Determines the state of a group.
///
/// A head that can't be reached may still accept requests. If its members joined another group meanwhile,
/// they would be in two groups at once. Therefore groups whose head can be ordered to leave are
/// distinguished from groups whose members have to leave by themselves.
#[must_use]
pub fn evaluate_group(probes: &GroupProbes) -> GroupHealth {
    match probes.head {
        MemberProbe::Unreachable => GroupHealth::HeadUnreachable,
        MemberProbe::OtherMembership | MemberProbe::Member(GroupState::Broken) => GroupHealth::Lost,
        MemberProbe::Member(_) => {
            let is_complete = probes.others.iter().all(
                |other| matches!(other, MemberProbe::Member(state) if *state != GroupState::Broken),
            );
            if is_complete {
                GroupHealth::Healthy
            } else {
                GroupHealth::Lost
            }
        }
    }
}
