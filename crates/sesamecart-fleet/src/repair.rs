//! What the members of a group say, and whether the group must be given up.

use derive_more::Display;

use crate::endpoint::GroupState;

#[cfg(test)]
mod tests;

/// What one member answered when it was asked.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MemberProbe {
    /// It is in this membership.
    #[display("{_0}")]
    Member(GroupState),
    /// It answers, and is in another membership or none.
    #[display("in another group")]
    Elsewhere,
    /// It doesn't answer, or nothing listens there.
    ///
    /// An endpoint that leaves stops listening while it still works on what it has, so a refused
    /// connection says no more than silence does.
    #[display("silent")]
    Silent,
}

/// The members of a group, asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What the head answered.
    pub head: MemberProbe,
    /// What each other member answered; one whose address isn't known is silent.
    pub others: Vec<MemberProbe>,
}

/// What follows for a group.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// It serves, or may serve soon.
    #[display("sound")]
    Sound,
    /// It can't serve any more; the head answers and can be told to leave.
    #[display("lost, its head answers")]
    Lost,
    /// It can't serve any more, and its head can't be reached: it may stand still or end its work.
    #[display("lost, its head is silent")]
    HeadSilent,
}

/// Judges a group.
///
/// A head that can't be reached may still be open, and members that join elsewhere meanwhile would be
/// in two groups at once. So a group whose head can be told to leave is told apart from one whose
/// members have to leave by themselves.
#[must_use]
pub fn judge(finding: &Finding) -> Verdict {
    match finding.head {
        MemberProbe::Silent => Verdict::HeadSilent,
        MemberProbe::Elsewhere | MemberProbe::Member(GroupState::Broken) => Verdict::Lost,
        MemberProbe::Member(_) => {
            let whole = finding.others.iter().all(
                |other| matches!(other, MemberProbe::Member(state) if *state != GroupState::Broken),
            );
            if whole { Verdict::Sound } else { Verdict::Lost }
        }
    }
}
