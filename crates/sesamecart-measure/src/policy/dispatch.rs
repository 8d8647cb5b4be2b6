//! The policies behind one interface, so that a run treats all alike.

use derive_more::Display;

use super::baseline::Choice;

/// A policy that plays are run with.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub(super) enum Policy {
    Ours,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
}

impl Policy {
    pub(super) const ALL: [Self; 4] = [
        Self::Ours,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::TwoChoices,
    ];

    pub(super) const fn choice(self) -> Option<Choice> {
        match self {
            Self::Ours => None,
            Self::RoundRobin => Some(Choice::RoundRobin),
            Self::LeastOutstanding => Some(Choice::LeastOutstanding),
            Self::TwoChoices => Some(Choice::TwoChoices),
        }
    }
}

/// What a policy decides about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decision {
    Start { job: usize, endpoint: usize },
    Wait,
    Refuse { job: usize },
}
