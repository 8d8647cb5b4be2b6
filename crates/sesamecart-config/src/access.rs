//! Who may administer the system, as settings say.

use derive_more::{Display, FromStr};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{KeyHash, TeamId};

/// Who may use the administration API, and how often.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdministrationAccess {
    /// The operators; without any, the API refuses every request.
    pub operators: Vec<Operator>,
    /// The requests per second that one operator may send on average.
    pub requests_per_s: u32,
}

impl Default for AdministrationAccess {
    fn default() -> Self {
        Self {
            operators: Vec::new(),
            requests_per_s: 50,
        }
    }
}

/// One operator, or a program that acts as one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the audit trail shows.
    pub name: String,
    /// The hash of the bearer token; the token itself is never kept.
    pub token: KeyHash,
    /// What the operator may do.
    pub role: Role,
    /// The teams whose customers and services the operator sees and changes; empty for the whole
    /// platform.
    #[serde(default)]
    pub teams: IndexSet<TeamId>,
}

/// What an operator may do; each role may do what the one before may.
#[derive(
    Clone, Copy, Debug, Display, Eq, FromStr, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Look at everything.
    Viewer,
    /// Drain, and end drains.
    OnCall,
    /// Publish configurations, and change customers and their keys.
    Operator,
}
