//! The owner of a shard's keys, which decides which attempts are sent, which calls wait for another attempt,
//! and which receive a stored response.

mod durable;
mod entry;

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fold::{ActionEnd, ActionEntry, ActionIntent, ActionKey, Actions, EncodedBody};
use sesamecart_vocabulary::{AttemptId, BodyDigest, Epoch, ShardId, Timestamp};

use crate::commit::CommitItem;
use crate::decision::{Answer, AttemptRequest, CallId, Decision, RefusalReason};
use crate::key_time::{KeyTime, key_time};
use durable::action_outcome;
use entry::{Entry, Phase, Waiter};

/// The limits and timeouts of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerConfig {
    /// The maximum number of keys that are in flight or not yet in the log.
    pub max_entries: usize,
    /// The maximum number of calls that wait for one key's response; further calls are told to retry.
    pub max_waiters: usize,
    /// The time after a request's deadline during which its outcome may still be reported.
    pub outcome_grace_period: Duration,
    /// The delay after which a refused or rejected call should be retried.
    pub retry_after: Duration,
    /// How long keys are retained, in milliseconds of the log's clock.
    pub horizon_ms: u64,
}

impl Default for OwnerConfig {
    fn default() -> Self {
        Self {
            max_entries: 16_384,
            max_waiters: 64,
            outcome_grace_period: Duration::from_secs(2),
            retry_after: Duration::from_millis(250),
            horizon_ms: sesamecart_fold::ACTION_RETENTION_MS,
        }
    }
}

/// The inputs to one decision of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerContext<'a> {
    /// The current time on this process's clock.
    pub now: Timestamp,
    /// The wall-clock time in milliseconds.
    pub wall_ms: u64,
    /// The state of all keyed actions in the log.
    pub actions: &'a Actions,
    /// Whether the group commit accepts new actions.
    pub has_room: bool,
}

/// An effect that the caller must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Reply to a call with a decision.
    Reply(CallId, Decision),
    /// Tell a node whether the outcome that it reported is durable.
    AckOutcome(CallId, bool),
    /// Store this item durably.
    Commit(CommitItem),
}

/// Whether an owner may begin actions whose keys it doesn't know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The intents at the previous owner's voters aren't recovered yet.
    Recovering,
    /// Every action that an earlier owner began is known.
    Ready,
    /// An action that an earlier owner began may be unknown until this time.
    Uncertain { until: Timestamp },
}

/// The owner of one shard's keys under one epoch.
///
/// A successor creates a new instance. Safety doesn't depend on the lease's duration: an intent is effective
/// once the fold has accepted it or a majority of voters has stored it, and both happen in one order for all
/// owners. An owner that resumes after a pause can therefore refuse requests or return stored responses, but
/// can't begin an action that its successor doesn't know of.
#[derive(Debug)]
pub struct Owner {
    shard: ShardId,
    epoch: Epoch,
    /// The first of the consecutive epochs that this owner has held.
    since: Epoch,
    config: OwnerConfig,
    readiness: Readiness,
    entries: IndexMap<ActionKey, Entry>,
}

impl Owner {
    /// Creates the owner for a newly acquired lease; it refuses new actions until
    /// [`Self::complete_takeover`] is called.
    #[must_use]
    pub fn new(shard: ShardId, epoch: Epoch, config: OwnerConfig) -> Self {
        Self {
            shard,
            epoch,
            since: epoch,
            config,
            readiness: Readiness::Recovering,
            entries: IndexMap::new(),
        }
    }

    /// Returns the epoch of the lease.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Continues under a new epoch that this owner claimed itself, for example to replace its voters.
    ///
    /// Before it claims, the caller must make sure that the log has every intent of the old epoch, because
    /// the next owner queries only the new voters.
    pub const fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Returns whether this owner holds or has held the epoch.
    #[must_use]
    pub fn has_held(&self, epoch: Epoch) -> bool {
        self.since <= epoch && epoch <= self.epoch
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the number of keys that the owner holds in memory, in addition to those in the log.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of keys whose attempt hasn't ended.
    #[must_use]
    pub fn in_flight_count(&self) -> usize {
        let ended = |entry: &&Entry| matches!(entry.phase, Phase::Ended { .. });
        self.entries.values().filter(|entry| !ended(entry)).count()
    }

    /// Returns whether the owner holds no keys in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the owner is still waiting for the intents at the previous owner's voters.
    #[must_use]
    pub const fn is_recovering(&self) -> bool {
        matches!(self.readiness, Readiness::Recovering)
    }

    /// Takes over the intents recovered from the previous owner's voters, and starts to accept new actions.
    ///
    /// Each recovered action may have run, so its outcome is unknown until it is reported. If too many voters
    /// are lost, `is_complete` is false, and unknown keys are refused until the retention horizon has passed,
    /// because an action could otherwise run twice.
    pub fn complete_takeover(
        &mut self,
        cx: OwnerContext<'_>,
        intents: Vec<ActionIntent>,
        is_complete: bool,
        out: &mut Vec<Effect>,
    ) {
        self.readiness = if is_complete {
            Readiness::Ready
        } else {
            let until = cx.now + Duration::from_millis(self.config.horizon_ms);
            Readiness::Uncertain { until }
        };
        for intent in intents {
            let key = intent.action_key();
            if cx.actions.get(&key).is_some() {
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
                updated_at: cx.now,
            };
            self.entries.insert(key, entry);
            self.commit_intent(intent, out);
        }
    }

    /// Decides on a node's request to send an action.
    pub fn begin(
        &mut self,
        cx: OwnerContext<'_>,
        call_id: CallId,
        req: AttemptRequest,
        out: &mut Vec<Effect>,
    ) {
        let decision = match key_time(&req.key.key, cx.wall_ms, self.config.horizon_ms) {
            KeyTime::Expired => Some(Decision::Expired),
            KeyTime::Future => Some(self.refuse(RefusalReason::FutureKey)),
            KeyTime::NoTimestamp | KeyTime::Fresh => None,
        };
        if let Some(decision) = decision {
            out.push(Effect::Reply(call_id, decision));
            return;
        }
        if self.entries.contains_key(&req.key) {
            self.decide_local(cx, call_id, req, out);
            return;
        }
        match cx.actions.get(&req.key) {
            Some(entry) if !allows_new_attempt(entry) => {
                let decision = self.decide_logged(entry, &req);
                out.push(Effect::Reply(call_id, decision));
            }
            Some(entry) if entry.attempt == req.attempt => {
                let decision = self.refuse(RefusalReason::AttemptEnded);
                out.push(Effect::Reply(call_id, decision));
            }
            _ => self.begin_new(cx, call_id, req, out),
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        cx: OwnerContext<'_>,
        call_id: CallId,
        key: &ActionKey,
        attempt: &AttemptId,
        end: ActionEnd,
        out: &mut Vec<Effect>,
    ) {
        let local = self.entries.get(key).map(|entry| &entry.attempt);
        let logged = cx.actions.get(key).map(|entry| &entry.attempt);
        match local.or(logged) {
            Some(known_attempt) if known_attempt == attempt => {}
            // Another attempt is current, so this one was never granted or is superseded.
            Some(_) => {
                out.push(Effect::AckOutcome(call_id, true));
                return;
            }
            // The intent may not have been recovered yet, and an outcome takes effect only after its intent.
            None => {
                let is_redundant = end == ActionEnd::NotRun && !self.is_recovering();
                out.push(Effect::AckOutcome(call_id, is_redundant));
                return;
            }
        }
        if let Some(entry) = cx.actions.get(key)
            && entry.attempt == *attempt
            && !matches!(entry.end, None | Some(ActionEnd::Unknown))
        {
            out.push(Effect::AckOutcome(call_id, true));
            return;
        }
        let entry = self.entry_for_outcome(cx, key, attempt);
        let (is_new, waiters) = entry.set_outcome(end, cx.now);
        if !is_new && entry.is_logged() {
            out.push(Effect::AckOutcome(call_id, true));
            return;
        }
        entry.recorders.push(call_id);
        if is_new {
            self.commit_outcome(key, out);
        }
        for waiter in waiters {
            self.begin(cx, waiter.call_id, waiter.req, out);
        }
    }

    /// Ends attempts whose deadline has passed, and removes entries that the log has.
    pub fn tick(&mut self, cx: OwnerContext<'_>, out: &mut Vec<Effect>) {
        let horizon = Duration::from_millis(self.config.horizon_ms);
        let mut timed_out = Vec::new();
        self.entries.retain(|key, entry| match &entry.phase {
            Phase::Committing { .. } => true,
            Phase::Granted { until } => {
                if cx.now >= *until {
                    timed_out.push(key.clone());
                }
                true
            }
            Phase::Ended { end, logged } => {
                let in_log = cx.actions.get(key).is_some() || *end == ActionEnd::NotRun;
                !(*logged && in_log) && cx.now < entry.updated_at + horizon
            }
        });
        for key in timed_out {
            self.time_out(cx, &key, out);
        }
        if let Readiness::Uncertain { until } = self.readiness
            && cx.now >= until
        {
            self.readiness = Readiness::Ready;
        }
    }

    /// Ends the ownership, and tells all waiting calls to ask the next owner.
    pub fn step_down(self, out: &mut Vec<Effect>) {
        for entry in self.entries.into_values() {
            if let Phase::Committing { call_id, .. } = entry.phase {
                out.push(Effect::Reply(call_id, Decision::NotOwner));
            }
            for waiter in entry.waiters {
                out.push(Effect::Reply(waiter.call_id, Decision::NotOwner));
            }
            for call_id in entry.recorders {
                out.push(Effect::AckOutcome(call_id, false));
            }
        }
    }

    /// Ends an attempt whose outcome wasn't reported in time.
    ///
    /// The node that was granted the attempt may have crashed before or after sending it, so the outcome is
    /// unknown. Waiting calls are notified at once.
    fn time_out(&mut self, cx: OwnerContext<'_>, key: &ActionKey, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let (_, waiters) = entry.set_outcome(ActionEnd::Unknown, cx.now);
        // An intent without an outcome in the log already means "unknown".
        entry.mark_logged();
        let attempt = entry.attempt.clone();
        for waiter in waiters {
            let attempt = attempt.clone();
            out.push(Effect::Reply(waiter.call_id, Decision::Unknown { attempt }));
        }
    }

    /// Begins an action whose key is unknown, or refuses it.
    fn begin_new(
        &mut self,
        cx: OwnerContext<'_>,
        call_id: CallId,
        req: AttemptRequest,
        out: &mut Vec<Effect>,
    ) {
        let refusal = match self.readiness {
            Readiness::Recovering => Some(RefusalReason::TakingOver),
            Readiness::Uncertain { .. } => Some(RefusalReason::Uncertain),
            Readiness::Ready if !cx.has_room || self.entries.len() >= self.config.max_entries => {
                Some(RefusalReason::Full)
            }
            Readiness::Ready => None,
        };
        if let Some(reason) = refusal {
            out.push(Effect::Reply(call_id, self.refuse(reason)));
            return;
        }
        let intent = ActionIntent {
            customer: req.key.customer.clone(),
            service: req.key.service.clone(),
            key: req.key.key.clone(),
            body_digest: req.body_digest,
            attempt: req.attempt.clone(),
            at_ms: cx.wall_ms,
        };
        let entry = Entry {
            body_digest: req.body_digest,
            attempt: req.attempt,
            phase: Phase::Committing {
                call_id,
                until: req.deadline + self.config.outcome_grace_period,
            },
            waiters: Vec::new(),
            recorders: Vec::new(),
            updated_at: cx.now,
        };
        self.entries.insert(req.key, entry);
        self.commit_intent(intent, out);
    }

    /// Decides on a key that the owner holds in memory, because its attempt is in flight here or the log may not
    /// have its outcome yet.
    fn decide_local(
        &mut self,
        cx: OwnerContext<'_>,
        call_id: CallId,
        req: AttemptRequest,
        out: &mut Vec<Effect>,
    ) {
        let epoch = self.epoch;
        let max_waiters = self.config.max_waiters;
        let retry_after = self.config.retry_after;
        let reason = RefusalReason::AttemptEnded;
        let entry = &mut self.entries[&req.key];
        let is_same_attempt = entry.attempt == req.attempt;
        let decision = match &mut entry.phase {
            // A key whose last attempt wasn't run may be reused with a different body.
            Phase::Ended {
                end: ActionEnd::NotRun,
                ..
            } if is_same_attempt => Decision::Refused {
                reason,
                retry_after,
            },
            Phase::Ended {
                end: ActionEnd::NotRun,
                ..
            } => return self.begin_retry(cx, call_id, req, out),
            _ if !entry.body_digest.matches(&req.body_digest) => Decision::Mismatch,
            Phase::Ended { end, .. } => decide_ended(end, &entry.attempt),
            // The reply was lost, and the node repeats its call for an attempt that it hasn't sent.
            Phase::Granted { .. } if is_same_attempt => Decision::Send { epoch },
            Phase::Committing {
                call_id: pending, ..
            } if is_same_attempt => {
                *pending = call_id;
                return;
            }
            Phase::Granted { .. } | Phase::Committing { .. } => {
                if entry.add_waiter(Waiter { call_id, req }, max_waiters) {
                    return;
                }
                Decision::Running { retry_after }
            }
        };
        out.push(Effect::Reply(call_id, decision));
    }

    /// Begins another attempt for a key whose last attempt wasn't run.
    ///
    /// The last outcome is committed again before the new intent. Its first copy may still be in flight, and
    /// the fold would then reject the new intent.
    fn begin_retry(
        &mut self,
        cx: OwnerContext<'_>,
        call_id: CallId,
        req: AttemptRequest,
        out: &mut Vec<Effect>,
    ) {
        let key = req.key.clone();
        let last = self.entries.shift_remove(&key);
        let mut effects = Vec::new();
        self.begin_new(cx, call_id, req, &mut effects);
        let Some(mut last) = last else {
            out.append(&mut effects);
            return;
        };
        if self.entries.contains_key(&key) {
            let outcome = action_outcome(&key, last.attempt.clone(), ActionEnd::NotRun);
            out.push(Effect::Commit(self.outcome_item(outcome)));
            self.entries[&key].recorders.append(&mut last.recorders);
        } else {
            self.entries.insert(key, last);
        }
        out.append(&mut effects);
    }

    fn decide_logged(&self, entry: &ActionEntry, req: &AttemptRequest) -> Decision {
        if !entry.body_digest.matches(&req.body_digest) {
            return Decision::Mismatch;
        }
        match &entry.end {
            // An earlier owner granted the attempt, but its reply was lost; the node hasn't sent the request.
            None if entry.attempt == req.attempt => Decision::Send { epoch: self.epoch },
            None => Decision::Unknown {
                attempt: entry.attempt.clone(),
            },
            Some(end) => decide_ended(end, &entry.attempt),
        }
    }

    const fn refuse(&self, reason: RefusalReason) -> Decision {
        Decision::Refused {
            reason,
            retry_after: self.config.retry_after,
        }
    }
}

/// Returns whether another attempt may begin, which requires that the last one provably wasn't run.
fn allows_new_attempt(entry: &ActionEntry) -> bool {
    entry.end == Some(ActionEnd::NotRun)
}

fn decide_logged_entry(entry: &ActionEntry, body_digest: BodyDigest) -> Decision {
    if !entry.body_digest.matches(&body_digest) {
        return Decision::Mismatch;
    }
    let end = entry.end.as_ref().unwrap_or(&ActionEnd::Unknown);
    decide_ended(end, &entry.attempt)
}

fn decide_ended(end: &ActionEnd, attempt: &AttemptId) -> Decision {
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
