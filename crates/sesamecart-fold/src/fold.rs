//! Application of records to the state.

mod action;
mod group;
mod lease;
mod publish;

use sesamecart_vocabulary::{EndpointId, Epoch, Offset, ShardId};

use crate::action::ACTION_RETENTION_MS;
use crate::audit::{AuditEntry, AuditKind};
use crate::checkpoint::CheckpointPosition;
use crate::record::{DecodeError, Record};
use crate::state::State;
use crate::verdict::{Applied, Rejection};

/// A state and the rules by which records change it.
///
/// It is deterministic: it reads no clock and does no I/O, so every node that applies the same records
/// reaches the same state; see docs/design/fold.md.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: State,
}

/// The offset of a record in the log and the time of its append.
#[derive(Clone, Copy, Debug)]
struct Position {
    offset: Offset,
    logged_at_ms: u64,
}

impl Fold {
    /// Creates a fold with an empty state, before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    pub(crate) const fn with_state(state: State) -> Self {
        Self { state }
    }

    pub(crate) fn into_state(self) -> State {
        self.state
    }

    /// Returns the current state.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Applies the record at `offset` and returns its effect.
    ///
    /// A record that was already applied, or that follows a gap, changes nothing. A record that can't be
    /// decoded is skipped and added to the audit trail, since stopping there would block every later change
    /// on every node.
    pub fn apply(&mut self, offset: Offset, logged_at_ms: u64, data: &[u8]) -> Applied {
        let expected = self.state.next_offset;
        if offset < expected {
            return Applied::AlreadyApplied;
        }
        if offset > expected {
            return Applied::Gap { expected };
        }
        let at = Position {
            offset,
            logged_at_ms: logged_at_ms.max(self.state.logged_at_ms),
        };
        self.state.logged_at_ms = at.logged_at_ms;
        self.expire_actions(at.logged_at_ms);
        let applied = match Record::decode(data) {
            Ok(envelope) => self.apply_record(at, envelope.record),
            Err(error) => self.skip(at, error),
        };
        self.state.next_offset = offset.next();
        applied
    }

    fn expire_actions(&mut self, now_ms: u64) {
        self.state.actions.expire(now_ms);
        let complete_from_ms = self
            .state
            .actions_since_ms
            .saturating_add(ACTION_RETENTION_MS);
        if complete_from_ms < now_ms {
            self.state.actions_since_ms = 0;
        }
    }

    fn apply_record(&mut self, at: Position, record: Record) -> Applied {
        match record {
            Record::Publish { .. } => self.apply_publish(at, record),
            Record::Drain { .. } => self.apply_drain(at, record),
            Record::Claim { .. } => self.apply_claim(at, record),
            Record::Release {
                shard,
                holder,
                epoch,
            } => self.apply_release(at, shard, &holder, epoch),
            Record::Assign {
                group,
                vms,
                generation,
                shard_epoch,
                version,
            } => {
                let applied = self.apply_assign(at, group.clone(), vms, generation, shard_epoch);
                if matches!(applied, Applied::Assigned { .. }) {
                    self.state.versions.insert(group, version);
                }
                applied
            }
            Record::Unassign {
                vm,
                group,
                generation,
                shard_epoch,
            } => self.apply_unassign(at, vm, group, generation, shard_epoch),
            Record::OrderIssued {
                endpoint,
                epoch,
                order,
                ..
            } => self.apply_order(at, endpoint, epoch, order),
            Record::ActionIntents {
                shard,
                epoch,
                entries,
            } => self.apply_intents(at, shard, epoch, &entries),
            Record::ActionOutcomes { shard, entries, .. } => self.apply_outcomes(shard, &entries),
            Record::ActionBatch { parts } => self.apply_batch(at, &parts),
            Record::Checkpoint { state } => self.record_checkpoint(at, &state),
        }
    }

    fn apply_order(
        &mut self,
        at: Position,
        endpoint: EndpointId,
        epoch: Epoch,
        order: String,
    ) -> Applied {
        let newest = self.state.orders.get(&endpoint).copied();
        let mut entry = at.audit_entry(AuditKind::Order, &endpoint);
        entry.author = format!("epoch {epoch}");
        entry.new = order;
        if let Some(newest) = newest.filter(|newest| *newest > epoch) {
            return self.reject(entry, Rejection::StaleOrder { endpoint, newest });
        }
        self.accept(entry);
        self.state.orders.insert(endpoint.clone(), epoch);
        Applied::Ordered { endpoint }
    }

    /// Records the position of a checkpoint, whose state adds nothing for a node that has read every record
    /// before it.
    fn record_checkpoint(&mut self, at: Position, state: &State) -> Applied {
        let covers = state.next_offset;
        if covers > at.offset || state.revision > self.state.revision {
            let entry = at.audit_entry(AuditKind::Checkpoint, "checkpoint");
            return self.reject(entry, Rejection::CheckpointAhead { covers });
        }
        self.state.checkpoint = Some(CheckpointPosition {
            offset: at.offset,
            covers,
            logged_at_ms: at.logged_at_ms,
        });
        Applied::Checkpointed { covers }
    }

    fn skip(&mut self, at: Position, error: DecodeError) -> Applied {
        let mut entry = at.audit_entry(AuditKind::Unreadable, "record");
        entry.verdict = format!("skipped: {error}");
        self.state.audit.push(entry);
        Applied::Skipped(error)
    }

    /// Returns a rejection unless `epoch` is that of the shard's lease in force.
    ///
    /// A holder that was paused for longer than its lease may append records long after its successor has
    /// taken over. They must change nothing.
    fn reject_stale_epoch(&self, shard: ShardId, epoch: Epoch) -> Option<Rejection> {
        let lease = self.state.leases.get(&shard);
        let in_force = lease.is_some_and(|lease| lease.epoch == epoch && !lease.released);
        (!in_force).then(|| Rejection::StaleEpoch {
            shard,
            epoch,
            current: self.state.epoch(shard),
        })
    }

    fn accept(&mut self, mut entry: AuditEntry) {
        "accepted".clone_into(&mut entry.verdict);
        self.state.audit.push(entry);
    }

    fn reject(&mut self, mut entry: AuditEntry, rejection: Rejection) -> Applied {
        entry.verdict = format!("rejected: {rejection}");
        self.state.audit.push(entry);
        Applied::Rejected(rejection)
    }
}

impl Position {
    /// Creates an audit entry with the offset and time of the record.
    fn audit_entry(self, kind: AuditKind, subject: impl std::fmt::Display) -> AuditEntry {
        AuditEntry {
            offset: self.offset,
            logged_at_ms: self.logged_at_ms,
            kind,
            author: String::new(),
            from: String::new(),
            subject: subject.to_string(),
            old: String::new(),
            new: String::new(),
            verdict: String::new(),
        }
    }
}
