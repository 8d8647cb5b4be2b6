//! The owner of a shard's keys: who may send, who waits, and who gets the first answer.

mod durable;
mod entry;

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fold::{ActionEnd, ActionEntry, ActionIntent, ActionKey, Actions, EncodedBody};
use sesamecart_vocabulary::{AttemptId, BodyDigest, Epoch, ShardId, Timestamp};

use crate::asking::{Answer, Asking, Decision, RefusalReason, Ticket};
use crate::commit::CommitItem;
use crate::key_time::{KeyTime, key_time};
use durable::outcome_of;
use entry::{Asker, Entry, Phase};

/// The bounds of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerConfig {
    /// The most keys that are under way or not yet in the log.
    pub max_entries: usize,
    /// The most callers that wait for one key's first answer; more are told to ask again.
    pub max_waiters: usize,
    /// The time after a request's deadline in which its end may still be told.
    pub grace: Duration,
    /// When to ask again.
    pub retry_after: Duration,
    /// How long keys are remembered, in milliseconds of the log's clock.
    pub horizon_ms: u64,
}

impl Default for OwnerConfig {
    fn default() -> Self {
        Self {
            max_entries: 16_384,
            max_waiters: 64,
            grace: Duration::from_secs(2),
            retry_after: Duration::from_millis(250),
            horizon_ms: sesamecart_fold::ACTION_HORIZON_MS,
        }
    }
}

/// What an owner needs to know of the world for one decision.
#[derive(Clone, Copy, Debug)]
pub struct KnownActions<'a> {
    /// The time by this process's clock.
    pub now: Timestamp,
    /// The wall-clock time in milliseconds.
    pub wall_ms: u64,
    /// What the log tells.
    pub actions: &'a Actions,
    /// Whether the group commit takes new actions.
    pub has_room: bool,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Answer a call of a node that asked.
    Reply(Ticket, Decision),
    /// Tell a node whether the end that it told is durable.
    Recorded(Ticket, bool),
    /// Make this durable.
    Commit(CommitItem),
}

/// Whether an owner may begin actions that it has never heard of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The last owner's voters haven't all been heard.
    Gathering,
    /// Everything that an earlier owner began is known.
    Ready,
    /// Something that an earlier owner began may be unknown until this time.
    Uncertain { until: Timestamp },
}

/// The owner of one shard's keys under one epoch.
///
/// A successor makes a new one. Nothing here relies on the lease's time: an intent counts once the
/// fold says so, or once a majority of voters keeps it, and both are decided in one order for all
/// owners. A paused owner that wakes up late can thus refuse or repeat what is true, but not begin
/// anything that its successor doesn't know of.
#[derive(Debug)]
pub struct Owner {
    shard: ShardId,
    epoch: Epoch,
    /// The first of the epochs that this owner held without a break.
    since: Epoch,
    config: OwnerConfig,
    readiness: Readiness,
    entries: IndexMap<ActionKey, Entry>,
}

impl Owner {
    /// Makes the owner for a lease that was just won; it refuses until [`Self::adopt`].
    #[must_use]
    pub fn new(shard: ShardId, epoch: Epoch, config: OwnerConfig) -> Self {
        Self {
            shard,
            epoch,
            since: epoch,
            config,
            readiness: Readiness::Gathering,
            entries: IndexMap::new(),
        }
    }

    /// Returns the epoch of the lease.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Goes on under a new epoch that this owner itself claimed, as for fresh voters.
    ///
    /// The caller makes sure that nothing it began under the old epoch is missing in the log before
    /// it claims; the next owner asks only the new voters.
    pub const fn renew(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Returns whether this owner held the epoch.
    #[must_use]
    pub fn held(&self, epoch: Epoch) -> bool {
        self.since <= epoch && epoch <= self.epoch
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the number of keys that are held beside the log's.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of keys whose try hasn't ended.
    #[must_use]
    pub fn under_way(&self) -> usize {
        let ended = |entry: &&Entry| matches!(entry.phase, Phase::Ended { .. });
        self.entries.values().filter(|entry| !ended(entry)).count()
    }

    /// Returns whether no keys are held beside the log's.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the last owner's voters are still to be heard.
    #[must_use]
    pub const fn is_gathering(&self) -> bool {
        matches!(self.readiness, Readiness::Gathering)
    }

    /// Takes over what the last owner's voters kept, and begins to decide.
    ///
    /// Each such action may have run, so it is unknown until its end is told. If too many voters are
    /// lost, `complete` is false, and keys never heard of are refused for the horizon rather than
    /// run twice.
    pub fn adopt(
        &mut self,
        known: KnownActions<'_>,
        intents: Vec<ActionIntent>,
        complete: bool,
        out: &mut Vec<Effect>,
    ) {
        self.readiness = if complete {
            Readiness::Ready
        } else {
            let until = known.now + Duration::from_millis(self.config.horizon_ms);
            Readiness::Uncertain { until }
        };
        for intent in intents {
            let key = intent.action_key();
            if known.actions.get(&key).is_some() {
                continue;
            }
            let entry = Entry {
                body_digest: intent.body_digest,
                attempt: intent.attempt.clone(),
                phase: Phase::Ended {
                    end: ActionEnd::Unknown,
                    logged: true,
                },
                waiters: Vec::new(),
                recorders: Vec::new(),
                touched: known.now,
            };
            self.entries.insert(key, entry);
            self.commit_intent(intent, out);
        }
    }

    /// Decides on an action that a node asks for.
    pub fn begin(
        &mut self,
        known: KnownActions<'_>,
        ticket: Ticket,
        asking: Asking,
        out: &mut Vec<Effect>,
    ) {
        let decision = match key_time(&asking.key.key, known.wall_ms, self.config.horizon_ms) {
            KeyTime::Expired => Some(Decision::Expired),
            KeyTime::Future => Some(self.refuse(RefusalReason::FutureKey)),
            KeyTime::Unstated | KeyTime::Fresh => None,
        };
        if let Some(decision) = decision {
            out.push(Effect::Reply(ticket, decision));
            return;
        }
        if self.entries.contains_key(&asking.key) {
            self.join(known, ticket, asking, out);
            return;
        }
        match known.actions.get(&asking.key) {
            Some(entry) if !may_begin_again(entry) => {
                let decision = self.decide_logged(entry, &asking);
                out.push(Effect::Reply(ticket, decision));
            }
            Some(entry) if entry.attempt == asking.attempt => {
                let decision = self.refuse(RefusalReason::AttemptEnded);
                out.push(Effect::Reply(ticket, decision));
            }
            _ => self.begin_new(known, ticket, asking, out),
        }
    }

    /// Notes how a try ended.
    pub fn finish(
        &mut self,
        known: KnownActions<'_>,
        ticket: Ticket,
        key: &ActionKey,
        attempt: &AttemptId,
        end: ActionEnd,
        out: &mut Vec<Effect>,
    ) {
        let local = self.entries.get(key).map(|entry| &entry.attempt);
        let logged = known.actions.get(key).map(|entry| &entry.attempt);
        match local.or(logged) {
            Some(known_attempt) if known_attempt == attempt => {}
            // Another try stands, so this one was never allowed or is superseded.
            Some(_) => {
                out.push(Effect::Recorded(ticket, true));
                return;
            }
            // Its intent may be still to be heard of, and an end counts only after it.
            None => {
                let moot = end == ActionEnd::NotRun && !self.is_gathering();
                out.push(Effect::Recorded(ticket, moot));
                return;
            }
        }
        if let Some(entry) = known.actions.get(key)
            && entry.attempt == *attempt
            && !matches!(entry.end, None | Some(ActionEnd::Unknown))
        {
            out.push(Effect::Recorded(ticket, true));
            return;
        }
        let entry = self.entry_for_end(known, key, attempt);
        let (news, waiters) = entry.end_with(end, known.now);
        if !news && entry.is_logged() {
            out.push(Effect::Recorded(ticket, true));
            return;
        }
        entry.recorders.push(ticket);
        if news {
            self.commit_end(key, out);
        }
        for waiter in waiters {
            self.begin(known, waiter.ticket, waiter.asking, out);
        }
    }

    /// Ends what has been under way for longer than its deadline, and forgets what the log tells.
    pub fn tick(&mut self, known: KnownActions<'_>, out: &mut Vec<Effect>) {
        let horizon = Duration::from_millis(self.config.horizon_ms);
        let mut silent = Vec::new();
        self.entries.retain(|key, entry| match &entry.phase {
            Phase::Committing { .. } => true,
            Phase::Granted { until } => {
                if known.now >= *until {
                    silent.push(key.clone());
                }
                true
            }
            Phase::Ended { end, logged } => {
                let in_log = known.actions.get(key).is_some() || *end == ActionEnd::NotRun;
                !(*logged && in_log) && known.now < entry.touched + horizon
            }
        });
        for key in silent {
            self.give_up(known, &key, out);
        }
        if let Readiness::Uncertain { until } = self.readiness
            && known.now >= until
        {
            self.readiness = Readiness::Ready;
        }
    }

    /// Ends the ownership: everybody who waits must ask the next owner.
    pub fn depose(self, out: &mut Vec<Effect>) {
        for entry in self.entries.into_values() {
            if let Phase::Committing { ticket, .. } = entry.phase {
                out.push(Effect::Reply(ticket, Decision::NotOwner));
            }
            for waiter in entry.waiters {
                out.push(Effect::Reply(waiter.ticket, Decision::NotOwner));
            }
            for ticket in entry.recorders {
                out.push(Effect::Recorded(ticket, false));
            }
        }
    }

    /// The node that was allowed to send hasn't told the end in time: it may have died before or
    /// after sending. Whoever waits is told so at once.
    fn give_up(&mut self, known: KnownActions<'_>, key: &ActionKey, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let (_, waiters) = entry.end_with(ActionEnd::Unknown, known.now);
        // The log's intent without an end says the same.
        entry.mark_logged();
        let attempt = entry.attempt.clone();
        for waiter in waiters {
            let attempt = attempt.clone();
            out.push(Effect::Reply(waiter.ticket, Decision::Unknown { attempt }));
        }
    }

    fn begin_new(
        &mut self,
        known: KnownActions<'_>,
        ticket: Ticket,
        asking: Asking,
        out: &mut Vec<Effect>,
    ) {
        let refusal = match self.readiness {
            Readiness::Gathering => Some(RefusalReason::TakingOver),
            Readiness::Uncertain { .. } => Some(RefusalReason::Uncertain),
            Readiness::Ready
                if !known.has_room || self.entries.len() >= self.config.max_entries =>
            {
                Some(RefusalReason::Full)
            }
            Readiness::Ready => None,
        };
        if let Some(reason) = refusal {
            out.push(Effect::Reply(ticket, self.refuse(reason)));
            return;
        }
        let intent = ActionIntent {
            customer: asking.key.customer.clone(),
            service: asking.key.service.clone(),
            key: asking.key.key.clone(),
            body_digest: asking.body_digest,
            attempt: asking.attempt.clone(),
            at_ms: known.wall_ms,
        };
        let entry = Entry {
            body_digest: asking.body_digest,
            attempt: asking.attempt,
            phase: Phase::Committing {
                ticket,
                until: asking.until + self.config.grace,
            },
            waiters: Vec::new(),
            recorders: Vec::new(),
            touched: known.now,
        };
        self.entries.insert(asking.key, entry);
        self.commit_intent(intent, out);
    }

    /// Decides on a key that is under way here, or that the log may not tell of yet.
    fn join(
        &mut self,
        known: KnownActions<'_>,
        ticket: Ticket,
        asking: Asking,
        out: &mut Vec<Effect>,
    ) {
        let epoch = self.epoch;
        let max_waiters = self.config.max_waiters;
        let retry_after = self.config.retry_after;
        let ended = RefusalReason::AttemptEnded;
        let entry = &mut self.entries[&asking.key];
        let same = entry.attempt == asking.attempt;
        let decision = match &mut entry.phase {
            // A key whose first try wasn't run may come back with another body.
            Phase::Ended {
                end: ActionEnd::NotRun,
                ..
            } if same => Decision::Refused {
                reason: ended,
                retry_after,
            },
            Phase::Ended {
                end: ActionEnd::NotRun,
                ..
            } => return self.begin_again(known, ticket, asking, out),
            _ if !entry.body_digest.matches(&asking.body_digest) => Decision::Mismatch,
            Phase::Ended { end, .. } => decide_end(end, &entry.attempt),
            // The node lost our reply and asks again for the try that it hasn't made.
            Phase::Granted { .. } if same => Decision::Send { epoch },
            Phase::Committing {
                ticket: waiting, ..
            } if same => {
                *waiting = ticket;
                return;
            }
            Phase::Granted { .. } | Phase::Committing { .. } => {
                if entry.wait(Asker { ticket, asking }, max_waiters) {
                    return;
                }
                Decision::Running { retry_after }
            }
        };
        out.push(Effect::Reply(ticket, decision));
    }

    /// Begins a further try of a key whose last one wasn't run.
    ///
    /// The end goes out once more in front of the intent, since the first copy of it may still be on
    /// its way, and the fold would then refuse the new intent.
    fn begin_again(
        &mut self,
        known: KnownActions<'_>,
        ticket: Ticket,
        asking: Asking,
        out: &mut Vec<Effect>,
    ) {
        let key = asking.key.clone();
        let last = self.entries.shift_remove(&key);
        let mut effects = Vec::new();
        self.begin_new(known, ticket, asking, &mut effects);
        let Some(mut last) = last else {
            out.append(&mut effects);
            return;
        };
        if self.entries.contains_key(&key) {
            let outcome = outcome_of(&key, last.attempt.clone(), ActionEnd::NotRun);
            out.push(Effect::Commit(self.outcome_item(outcome)));
            self.entries[&key].recorders.append(&mut last.recorders);
        } else {
            self.entries.insert(key, last);
        }
        out.append(&mut effects);
    }

    fn decide_logged(&self, entry: &ActionEntry, asking: &Asking) -> Decision {
        if !entry.body_digest.matches(&asking.body_digest) {
            return Decision::Mismatch;
        }
        match &entry.end {
            // An earlier owner allowed it and its reply was lost; the node hasn't sent it.
            None if entry.attempt == asking.attempt => Decision::Send { epoch: self.epoch },
            None => Decision::Unknown {
                attempt: entry.attempt.clone(),
            },
            Some(end) => decide_end(end, &entry.attempt),
        }
    }

    const fn refuse(&self, reason: RefusalReason) -> Decision {
        Decision::Refused {
            reason,
            retry_after: self.config.retry_after,
        }
    }
}

/// Only a try that provably wasn't run makes room for another.
fn may_begin_again(entry: &ActionEntry) -> bool {
    entry.end == Some(ActionEnd::NotRun)
}

fn decide_standing(entry: &ActionEntry, body_digest: BodyDigest) -> Decision {
    if !entry.body_digest.matches(&body_digest) {
        return Decision::Mismatch;
    }
    let end = entry.end.as_ref().unwrap_or(&ActionEnd::Unknown);
    decide_end(end, &entry.attempt)
}

fn decide_end(end: &ActionEnd, attempt: &AttemptId) -> Decision {
    match end {
        ActionEnd::Answered {
            status,
            headers,
            body: EncodedBody(body),
        } => Decision::Answered(Answer {
            status: *status,
            headers: headers.clone(),
            body: EncodedBody(body.clone()),
        }),
        ActionEnd::Unknown | ActionEnd::NotRun => Decision::Unknown {
            attempt: attempt.clone(),
        },
    }
}
