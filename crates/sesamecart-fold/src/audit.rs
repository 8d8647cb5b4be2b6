//! The audit trail: who changed what, when and from where, and with which result.

use std::collections::VecDeque;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::Offset;

/// The maximum number of operator changes in the trail.
const MAX_OPERATOR_CHANGES: usize = 512;
/// The maximum number of automatic changes in the trail.
const MAX_AUTOMATIC_CHANGES: usize = 1_024;

/// An entry of the audit trail.
///
/// It is derived only from the log, so it is identical on every node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The offset of the record in the log.
    pub offset: Offset,
    /// When the record was appended, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// The kind of change.
    pub kind: AuditKind,
    /// The operator or node that made the change.
    pub author: String,
    /// The operator's address; empty if a node made the change.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// The object that was changed.
    pub subject: String,
    /// The previous value.
    pub old: String,
    /// The requested value.
    pub new: String,
    /// The result, with the reason for a rejection.
    pub verdict: String,
}

/// The kind of an audited change.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum AuditKind {
    /// The publication of a configuration.
    Publish,
    /// The start or end of a drain.
    Drain,
    /// The claim or release of a lease.
    Lease,
    /// A VM that was added to or removed from a group.
    Assignment,
    /// A fenced order to an endpoint.
    Order,
    /// Rejected intents of keyed actions.
    Action,
    /// A rejected checkpoint.
    Checkpoint,
    /// A record that could not be decoded.
    Unreadable,
}

impl AuditKind {
    /// Returns whether an operator made the change or must notice it.
    const fn concerns_operators(self) -> bool {
        matches!(
            self,
            Self::Publish | Self::Drain | Self::Unreadable | Self::Checkpoint
        )
    }
}

/// The newest entries of the audit trail.
///
/// Operator changes and automatic changes have separate limits. A rolling restart moves hundreds of leases,
/// which would otherwise evict the change that an operator looks for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditTail {
    changes: VecDeque<AuditEntry>,
    moves: VecDeque<AuditEntry>,
}

impl AuditTail {
    /// Returns the retained entries, the oldest first.
    #[must_use]
    pub fn entries(&self) -> Vec<&AuditEntry> {
        let mut entries: Vec<_> = self.changes.iter().chain(&self.moves).collect();
        entries.sort_by_key(|entry| entry.offset);
        entries
    }

    pub(crate) fn push(&mut self, entry: AuditEntry) {
        let (tail, max_entries) = if entry.kind.concerns_operators() {
            (&mut self.changes, MAX_OPERATOR_CHANGES)
        } else {
            (&mut self.moves, MAX_AUTOMATIC_CHANGES)
        };
        tail.push_back(entry);
        while tail.len() > max_entries {
            tail.pop_front();
        }
    }
}
