//! Who changed what, when, from where, and what became of it.

use std::collections::VecDeque;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::Offset;

/// The number of operators' changes that a state keeps.
const KEPT_CHANGES: usize = 512;
/// The number of the system's own moves that a state keeps.
const KEPT_MOVES: usize = 1_024;

/// One line of the audit trail.
///
/// It is made from the log alone, so it is the same on every node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Where the record stands in the log.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// What kind of change it is.
    pub kind: AuditKind,
    /// The operator or node that made it.
    pub author: String,
    /// The address that it came from, if an operator made it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// What it is about.
    pub subject: String,
    /// What stood before.
    pub old: String,
    /// What was asked for.
    pub new: String,
    /// What became of it.
    pub verdict: String,
}

/// The kinds of audited changes.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum AuditKind {
    /// A configuration.
    Publish,
    /// A drain or its end.
    Drain,
    /// A lease claimed or released.
    Lease,
    /// A VM that joined or left a group.
    Assignment,
    /// A fenced order.
    Order,
    /// Keyed actions that were refused.
    Action,
    /// A checkpoint that was refused.
    Checkpoint,
    /// A record that couldn't be read.
    Unreadable,
}

impl AuditKind {
    /// Returns whether operators made the change, or must hear of it.
    const fn is_change(self) -> bool {
        matches!(
            self,
            Self::Publish | Self::Drain | Self::Unreadable | Self::Checkpoint
        )
    }
}

/// The newest lines of the audit trail.
///
/// Operators' changes and the system's own moves are kept apart: a rolling restart moves hundreds of
/// leases, which would otherwise push out the change that an operator looks for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditTail {
    changes: VecDeque<AuditEntry>,
    moves: VecDeque<AuditEntry>,
}

impl AuditTail {
    /// Returns the lines that are kept, the oldest first.
    #[must_use]
    pub fn entries(&self) -> Vec<&AuditEntry> {
        let mut entries: Vec<_> = self.changes.iter().chain(&self.moves).collect();
        entries.sort_by_key(|entry| entry.offset);
        entries
    }

    pub(crate) fn push(&mut self, entry: AuditEntry) {
        let (tail, kept) = if entry.kind.is_change() {
            (&mut self.changes, KEPT_CHANGES)
        } else {
            (&mut self.moves, KEPT_MOVES)
        };
        tail.push_back(entry);
        while tail.len() > kept {
            tail.pop_front();
        }
    }
}
