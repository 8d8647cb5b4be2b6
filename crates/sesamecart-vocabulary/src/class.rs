//! Request classes, in the order of their admission.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// The class of a request, which determines its priority under load.
///
/// Stock and payment actions have the highest priority because a lost or late one costs a user a truck
/// delivery or a refund; see docs/policy.md.
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
    /// Requests that a person waits for.
    Interactive,
    /// Background work that nobody waits for.
    Batch,
}

impl RequestClass {
    /// All classes, from the highest to the lowest priority.
    pub const ALL: [Self; 3] = [Self::Action, Self::Interactive, Self::Batch];

    /// Returns the priority that is sent to engines.
    #[must_use]
    pub const fn priority(self) -> Priority {
        match self {
            Self::Action => Priority(0),
            Self::Interactive => Priority(1),
            Self::Batch => Priority(2),
        }
    }
}

/// A request priority of engines; lower values are served first.
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
