//! What an owner does once intents and ends are durable, or are known not to be.

use sesamecart_fold::{ActionEnd, ActionIntent, ActionKey, ActionOutcome};
use sesamecart_vocabulary::{AttemptId, BodyDigest};

use super::entry::{Entry, Phase};
use super::{Effect, KnownActions, Owner, decide_standing, may_begin_again};
use crate::asking::{Decision, RefusalReason};
use crate::commit::{CommitItem, Durable, IntentVerdict, verdict_of};

impl Owner {
    /// Notes what became of an item that was to be made durable.
    pub fn committed(&mut self, known: KnownActions<'_>, durable: &Durable, out: &mut Vec<Effect>) {
        match durable {
            Durable::Logged(CommitItem::Intent { intent, .. }) => {
                let verdict = verdict_of(known.actions, intent);
                self.intent_done(known, intent, verdict, out);
            }
            Durable::Mirrored(CommitItem::Intent { intent, .. }) => {
                self.intent_done(known, intent, IntentVerdict::Stands, out);
            }
            Durable::Lost(CommitItem::Intent { intent, .. }) => {
                self.intent_lost(known, intent, out);
            }
            Durable::Logged(CommitItem::Outcome { outcome, .. }) => {
                self.end_logged(known, outcome, out);
            }
            Durable::Mirrored(CommitItem::Outcome { .. })
            | Durable::Lost(CommitItem::Outcome { .. }) => {}
        }
    }

    pub(super) fn intent_done(
        &mut self,
        known: KnownActions<'_>,
        intent: &ActionIntent,
        verdict: IntentVerdict,
        out: &mut Vec<Effect>,
    ) {
        let key = intent.action_key();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Phase::Committing { ticket, until } = entry.phase else {
            return;
        };
        if entry.attempt != intent.attempt {
            return;
        }
        if verdict == IntentVerdict::Stands {
            entry.phase = Phase::Granted { until };
            let epoch = self.epoch;
            out.push(Effect::Reply(ticket, Decision::Send { epoch }));
            return;
        }
        let entry = self.entries.shift_remove(&key);
        let decision = match known.actions.get(&key) {
            Some(standing) if !may_begin_again(standing) => {
                decide_standing(standing, intent.body_digest)
            }
            _ => Decision::NotOwner,
        };
        out.push(Effect::Reply(ticket, decision));
        for waiter in entry.into_iter().flat_map(|entry| entry.waiters) {
            self.begin(known, waiter.ticket, waiter.asking, out);
        }
    }

    /// Nobody is known to keep the intent, and the try is given up.
    ///
    /// Its record may still reach the log, as when the append's answer was lost. Since nothing was
    /// sent, the end "not run" is true, and it makes room for the caller's next try.
    pub(super) fn intent_lost(
        &mut self,
        known: KnownActions<'_>,
        intent: &ActionIntent,
        out: &mut Vec<Effect>,
    ) {
        let key = intent.action_key();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Phase::Committing { ticket, .. } = entry.phase else {
            return;
        };
        if entry.attempt != intent.attempt {
            return;
        }
        let (_, waiters) = entry.end_with(ActionEnd::NotRun, known.now);
        self.commit_end(&key, out);
        let refused = self.refuse(RefusalReason::NotDurable);
        out.push(Effect::Reply(ticket, refused.clone()));
        for waiter in waiters {
            out.push(Effect::Reply(waiter.ticket, refused.clone()));
        }
    }

    /// An end was read back, but it counts only if the fold took it.
    ///
    /// An end that stands in the log before the intent of its try is passed over, as when an owner
    /// was replaced in an outage. The node that told it must then tell it again.
    pub(super) fn end_logged(
        &mut self,
        known: KnownActions<'_>,
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
        let standing = known.actions.get(&key);
        let standing = standing.filter(|standing| standing.attempt == outcome.attempt);
        let counts = standing.is_some_and(|standing| standing.end.is_some());
        // Nothing was begun by the log, so there is nothing to end.
        let moot = standing.is_none() && outcome.outcome == ActionEnd::NotRun;
        if counts || moot {
            entry.mark_logged();
        }
        for ticket in entry.recorders.drain(..) {
            out.push(Effect::Recorded(ticket, counts || moot));
        }
    }

    pub(super) fn entry_for_end(
        &mut self,
        known: KnownActions<'_>,
        key: &ActionKey,
        attempt: &AttemptId,
    ) -> &mut Entry {
        let digest = known.actions.get(key).map(|entry| entry.body_digest);
        self.entries.entry(key.clone()).or_insert_with(|| Entry {
            body_digest: digest.unwrap_or_else(|| BodyDigest::of(&[])),
            attempt: attempt.clone(),
            phase: Phase::Ended {
                end: ActionEnd::Unknown,
                logged: true,
            },
            waiters: Vec::new(),
            recorders: Vec::new(),
            touched: known.now,
        })
    }

    pub(super) fn commit_intent(&self, intent: ActionIntent, out: &mut Vec<Effect>) {
        out.push(Effect::Commit(CommitItem::Intent {
            shard: self.shard,
            epoch: self.epoch,
            intent,
        }));
    }

    pub(super) fn commit_end(&self, key: &ActionKey, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if let Phase::Ended { end, .. } = &entry.phase {
            let outcome = outcome_of(key, entry.attempt.clone(), end.clone());
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

pub(super) fn outcome_of(key: &ActionKey, attempt: AttemptId, outcome: ActionEnd) -> ActionOutcome {
    ActionOutcome {
        customer: key.customer.clone(),
        service: key.service.clone(),
        key: key.key.clone(),
        attempt,
        outcome,
    }
}
