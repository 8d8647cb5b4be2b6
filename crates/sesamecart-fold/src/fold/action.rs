//! Intents and outcomes of keyed actions.

use sesamecart_vocabulary::{Epoch, ShardId};

use super::{Fold, Position};
use crate::action::{ActionIntent, ActionKey, ActionOutcome, ActionPart};
use crate::audit::AuditKind;
use crate::verdict::Applied;

impl Fold {
    /// Records intents of the shard's lease holder.
    ///
    /// Intents are accepted only in the epoch in force. Otherwise a holder that resumes after a pause could
    /// send an action that its successor has already sent or reported to the caller.
    pub(super) fn apply_intents(
        &mut self,
        at: Position,
        shard: ShardId,
        epoch: Epoch,
        entries: &[ActionIntent],
    ) -> Applied {
        if let Some(rejection) = self.reject_stale_epoch(shard, epoch) {
            let mut entry = at.audit_entry(AuditKind::Action, format_args!("shard {shard}"));
            entry.author = format!("epoch {epoch}");
            entry.new = format!("{} intents", entries.len());
            return self.reject(entry, rejection);
        }
        let mut refused = Vec::new();
        for intent in entries {
            if !self.state.actions.begin(intent, epoch, at.logged_at_ms) {
                refused.push(intent.action_key());
            }
        }
        Applied::Intents { shard, refused }
    }

    /// Applies the outcomes and intents of several shards.
    ///
    /// Outcomes are applied first, so that a key whose attempt did not run can be retried in the same append.
    pub(super) fn apply_batch(&mut self, at: Position, parts: &[ActionPart]) -> Applied {
        let mut verdicts = Vec::new();
        for part in parts {
            if !part.outcomes.is_empty() {
                verdicts.push(self.apply_outcomes(part.shard, &part.outcomes));
            }
            if !part.intents.is_empty() {
                verdicts.push(self.apply_intents(at, part.shard, part.epoch, &part.intents));
            }
        }
        Applied::ActionBatch { verdicts }
    }

    /// Records outcomes, whatever their epoch.
    pub(super) fn apply_outcomes(&mut self, shard: ShardId, entries: &[ActionOutcome]) -> Applied {
        let mut ignored: Vec<ActionKey> = Vec::new();
        for outcome in entries {
            if !self.state.actions.finish(outcome) {
                ignored.push(outcome.action_key());
            }
        }
        Applied::Outcomes { shard, ignored }
    }
}
