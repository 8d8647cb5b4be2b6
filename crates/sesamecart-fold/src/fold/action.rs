//! Keyed actions that begin and end.

use sesamecart_vocabulary::{Epoch, ShardId};

use super::{Fold, Position};
use crate::action::{ActionIntent, ActionKey, ActionOutcome, ActionPart};
use crate::audit::AuditKind;
use crate::verdict::Applied;

impl Fold {
    /// Notes intents of the shard's holder.
    ///
    /// An intent counts only under the epoch in force. Otherwise a paused holder could come back and
    /// send an action that its successor has sent, or told the caller about, meanwhile.
    pub(super) fn apply_intents(
        &mut self,
        at: Position,
        shard: ShardId,
        epoch: Epoch,
        entries: &[ActionIntent],
    ) -> Applied {
        if let Some(rejection) = self.stale(shard, epoch) {
            let mut entry = at.audit(AuditKind::Action, format_args!("shard {shard}"));
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

    /// Applies the ends and intents that one append carries for several shards.
    ///
    /// Ends come first, so that a key whose try wasn't run can be begun again in the same append.
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
