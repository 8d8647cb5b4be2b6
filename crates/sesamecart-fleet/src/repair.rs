//! Decides from probes of a group's members whether the group must be given up.

use std::time::Duration;

use derive_more::Display;

use crate::endpoint::GroupState;

#[cfg(test)]
mod tests;

/// How long a member may be silent before its group counts as lost.
///
/// A sound endpoint may be silent for a second and then go on. A group that has lost a member gives up its requests
/// by itself only after several seconds.
const MAX_MEMBER_SILENCE: Duration = Duration::from_millis(1_500);

/// The result of probing one member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MemberProbe {
    /// The member belongs to this membership of the group.
    #[display("{_0}")]
    Member(GroupState),
    /// The member answers but belongs to a different membership or none.
    #[display("in another group")]
    OtherMembership,
    /// The member doesn't answer. It may go on later.
    #[display("silent")]
    Silent,
    /// The member refuses connections or has left the registry without an answer.
    ///
    /// It won't serve new requests. An endpoint that shuts down stops listening while it still finishes its
    /// requests, so this doesn't prove that it has ended.
    #[display("unreachable")]
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
    /// Some members don't answer, and may soon go on.
    #[display("suspected, a member is silent")]
    Suspected,
    /// The node that probed the group reaches no other endpoint either, so it can't tell.
    #[display("unknown, this node reaches no endpoint")]
    Unknown,
}

impl GroupProbes {
    /// Returns whether only members that can't be reached or don't answer speak against the group.
    ///
    /// Such a member may be unreachable for the probing node alone. A member that answers with another
    /// membership, or that its group is broken, is proof.
    #[must_use]
    pub fn is_silence_the_only_evidence(&self) -> bool {
        let is_proof = |probe: &MemberProbe| {
            matches!(
                probe,
                MemberProbe::OtherMembership | MemberProbe::Member(GroupState::Broken)
            )
        };
        evaluate_group(self) != GroupHealth::Healthy && !self.members().any(is_proof)
    }

    /// Returns whether only members that may soon go on speak against the group.
    fn may_go_on(&self) -> bool {
        let is_unreachable = |probe: &MemberProbe| *probe == MemberProbe::Unreachable;
        self.is_silence_the_only_evidence() && !self.members().any(is_unreachable)
    }

    fn members(&self) -> impl Iterator<Item = &MemberProbe> {
        std::iter::once(&self.head).chain(&self.others)
    }
}

/// Determines the state of a group whose members have been silent for up to `silence`.
///
/// A silence proves nothing until it has lasted longer than a sound endpoint is silent.
#[must_use]
pub fn evaluate_silent_group(probes: &GroupProbes, silence: Duration) -> GroupHealth {
    if probes.may_go_on() && silence < MAX_MEMBER_SILENCE {
        GroupHealth::Suspected
    } else {
        evaluate_group(probes)
    }
}

/// Determines the state of a group of which no more answers are awaited.
///
/// A head that can't be reached may still accept requests. If its members joined another group meanwhile,
/// they would be in two groups at once. Therefore groups whose head can be ordered to leave are
/// distinguished from groups whose members have to leave by themselves.
#[must_use]
pub fn evaluate_group(probes: &GroupProbes) -> GroupHealth {
    match probes.head {
        MemberProbe::Unreachable | MemberProbe::Silent => GroupHealth::HeadUnreachable,
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
