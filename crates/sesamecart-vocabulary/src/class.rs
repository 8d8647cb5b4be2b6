//! Classes of requests, in the order in which they are let in.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// What kind of work a request is, which decides who goes first under load.
///
/// Stock and payment actions come first because a lost or late one costs a user a truck or a
/// refund; see docs/policy.md.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Stock and payment actions.
    Action,
    /// Requests a person waits for.
    Interactive,
    /// Work that nobody waits for.
    Batch,
}

impl RequestClass {
    /// All classes, the first to be served first.
    pub const ALL: [Self; 3] = [Self::Action, Self::Interactive, Self::Batch];

    /// Returns the priority that is passed on to engines.
    #[must_use]
    pub const fn priority(self) -> Priority {
        match self {
            Self::Action => Priority(0),
            Self::Interactive => Priority(1),
            Self::Batch => Priority(2),
        }
    }
}

/// A priority as engines take it; lower goes first.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);
