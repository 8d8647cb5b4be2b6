//! Handling of intents and outcomes once it is known whether they are durable.

use sesamecart_fold::{ActionEnd, ActionIntent, ActionKey, ActionOutcome};
use sesamecart_vocabulary::{AttemptId, BodyDigest};

use super::entry::{Entry, Phase};
use super::{Effect, Owner, OwnerContext, allows_new_attempt, decide_logged_entry};
use crate::commit::{CommitItem, CommitResult, IntentStatus, intent_status};
use crate::decision::{Decision, RefusalReason};

impl Owner {
    /// Records whether an item that was to be stored is durable.
    pub fn on_commit_result(
        &mut self,
        cx: OwnerContext<'_>,
        durable: &CommitResult,
        out: &mut Vec<Effect>,
    ) {
        match durable {
            CommitResult::Logged(CommitItem::Intent { intent, .. }) => {
                let verdict = intent_status(cx.actions, intent);
                self.intent_committed(cx, intent, verdict, out);
            }
            CommitResult::Mirrored(CommitItem::Intent { intent, .. }) => {
                self.intent_committed(cx, intent, IntentStatus::Accepted, out);
            }
            CommitResult::Lost(CommitItem::Intent { intent, .. }) => {
                self.intent_lost(cx, intent, out);
            }
            CommitResult::Logged(CommitItem::Outcome { outcome, .. }) => {
                self.outcome_logged(cx, outcome, out);
            }
            CommitResult::Mirrored(CommitItem::Outcome { .. })
            | CommitResult::Lost(CommitItem::Outcome { .. }) => {}
        }
    }

    /// Grants the attempt if its intent was accepted, and otherwise decides by the log's state of the key.
    pub(super) fn intent_committed(
        &mut self,
        cx: OwnerContext<'_>,
        intent: &ActionIntent,
        verdict: IntentStatus,
        out: &mut Vec<Effect>,
    ) {
        let key = intent.action_key();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Phase::Committing { call_id, until } = entry.phase else {
            return;
        };
        if entry.attempt != intent.attempt {
            return;
        }
        if verdict == IntentStatus::Accepted {
            entry.phase = Phase::Granted { until };
            let epoch = self.epoch;
            out.push(Effect::Reply(call_id, Decision::Send { epoch }));
            return;
        }
        let entry = self.entries.shift_remove(&key);
        let decision = match cx.actions.get(&key) {
            Some(logged_entry) if !allows_new_attempt(logged_entry) => {
                decide_logged_entry(logged_entry, intent.body_digest)
            }
            _ => Decision::NotOwner,
        };
        out.push(Effect::Reply(call_id, decision));
        for waiter in entry.into_iter().flat_map(|entry| entry.waiters) {
            self.begin(cx, waiter.call_id, waiter.req, out);
        }
    }

    /// Abandons an attempt whose intent isn't known to be stored anywhere.
    ///
    /// The intent may still reach the log, for example if only the reply to the append was lost. Nothing was
    /// sent, so the outcome "not run" is correct, and it allows the caller's next attempt.
    pub(super) fn intent_lost(
        &mut self,
        cx: OwnerContext<'_>,
        intent: &ActionIntent,
        out: &mut Vec<Effect>,
    ) {
        let key = intent.action_key();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Phase::Committing { call_id, .. } = entry.phase else {
            return;
        };
        if entry.attempt != intent.attempt {
            return;
        }
        let (_, waiters) = entry.set_outcome(ActionEnd::NotRun, cx.now);
        self.commit_outcome(&key, out);
        let refusal = self.refuse(RefusalReason::NotDurable);
        out.push(Effect::Reply(call_id, refusal.clone()));
        for waiter in waiters {
            out.push(Effect::Reply(waiter.call_id, refusal.clone()));
        }
    }

    /// Handles an outcome that was read back from the log; it is durable only if the fold accepted it.
    ///
    /// The fold ignores an outcome that precedes the intent of its attempt in the log, which happens if an
    /// owner is replaced during an outage. The node that reported the outcome must then report it again.
    pub(super) fn outcome_logged(
        &mut self,
        cx: OwnerContext<'_>,
        outcome: &ActionOutcome,
        out: &mut Vec<Effect>,
    ) {
        let key = outcome.action_key();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.attempt != outcome.attempt {
            return;
        }
        let logged_entry = cx.actions.get(&key);
        let logged_entry = logged_entry.filter(|logged| logged.attempt == outcome.attempt);
        let is_accepted = logged_entry.is_some_and(|logged| logged.end.is_some());
        // The log has no intent for this attempt, so "not run" need not be recorded.
        let is_redundant = logged_entry.is_none() && outcome.outcome == ActionEnd::NotRun;
        if is_accepted || is_redundant {
            entry.mark_logged();
        }
        for call_id in entry.recorders.drain(..) {
            out.push(Effect::AckOutcome(call_id, is_accepted || is_redundant));
        }
    }

    /// Returns the key's entry, and creates it from the log's state if there is none.
    pub(super) fn entry_for_outcome(
        &mut self,
        cx: OwnerContext<'_>,
        key: &ActionKey,
        attempt: &AttemptId,
    ) -> &mut Entry {
        let digest = cx.actions.get(key).map(|entry| entry.body_digest);
        self.entries.entry(key.clone()).or_insert_with(|| Entry {
            body_digest: digest.unwrap_or_else(|| BodyDigest::of(&[])),
            attempt: attempt.clone(),
            phase: Phase::Ended {
                end: ActionEnd::Unknown,
                logged: true,
            },
            waiters: Vec::new(),
            recorders: Vec::new(),
            updated_at: cx.now,
        })
    }

    pub(super) fn commit_intent(&self, intent: ActionIntent, out: &mut Vec<Effect>) {
        out.push(Effect::Commit(CommitItem::Intent {
            shard: self.shard,
            epoch: self.epoch,
            intent,
        }));
    }

    pub(super) fn commit_outcome(&self, key: &ActionKey, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if let Phase::Ended { end, .. } = &entry.phase {
            let outcome = action_outcome(key, entry.attempt.clone(), end.clone());
            out.push(Effect::Commit(self.outcome_item(outcome)));
        }
    }

    pub(super) const fn outcome_item(&self, outcome: ActionOutcome) -> CommitItem {
        CommitItem::Outcome {
            shard: self.shard,
            epoch: self.epoch,
            outcome,
        }
    }
}

pub(super) fn action_outcome(
    key: &ActionKey,
    attempt: AttemptId,
    outcome: ActionEnd,
) -> ActionOutcome {
    ActionOutcome {
        customer: key.customer.clone(),
        service: key.service.clone(),
        key: key.key.clone(),
        attempt,
        outcome,
    }
}
