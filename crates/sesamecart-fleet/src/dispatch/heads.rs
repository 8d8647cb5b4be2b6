//! What the dispatcher knows of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

use super::cold::RecentSends;
use super::message::{AttemptEnd, PoolHead, PoolSpec, TicketKey};
use super::prediction::StartOverhead;
use super::slowness::{Slowness, overdue_factor};
use crate::millis::to_millis;
use crate::step_model::TokenCounts;

/// The time in which a node has to report that it holds an assigned request.
const MAX_UNREPORTED: Duration = Duration::from_millis(1_500);

/// An attempt at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) tokens: TokenCounts,
    pub(super) sent_at: Timestamp,
    /// When it ends at the latest.
    pub(super) ends_by: Timestamp,
    /// The predicted time to its first event as the step model gives it, without the learned parts.
    pub(super) modelled_ms: f64,
    /// When its node last reported it.
    pub(super) reported_at: Option<Timestamp>,
    pub(super) has_started: bool,
}

impl Attempt {
    fn is_over(&self, now: Timestamp) -> bool {
        let is_lost = self.reported_at.is_none() && now.since(self.sent_at) >= MAX_UNREPORTED;
        is_lost || self.ends_by <= now
    }
}

/// A prompt that the endpoint hasn't read yet.
#[derive(Clone, Debug)]
struct Unread {
    key: TicketKey,
    tokens: f64,
}

/// An endpoint with its attempts.
#[derive(Clone, Debug)]
pub(super) struct Head {
    /// Its properties while it takes requests.
    pub(super) properties: Option<PoolHead>,
    attempts: IndexMap<TicketKey, Attempt>,
    unread: VecDeque<Unread>,
    read_until: Timestamp,
    sends: RecentSends,
    slowness: Slowness,
    /// The factor by which it was slower than predicted when it was last looked at.
    factor: f64,
}

impl Head {
    pub(super) fn new() -> Self {
        Self {
            properties: None,
            attempts: IndexMap::new(),
            unread: VecDeque::new(),
            read_until: Timestamp::ZERO,
            sends: RecentSends::default(),
            slowness: Slowness::new(),
            factor: 1.0,
        }
    }

    /// Removes the prompts that the endpoint has read by now, and attempts that are over. Returns the latter.
    pub(super) fn advance(
        &mut self,
        now: Timestamp,
        spec: &PoolSpec,
        overhead: StartOverhead,
    ) -> Vec<TicketKey> {
        let over = self.remove_where(|_, attempt| attempt.is_over(now));
        self.factor = self.current_factor(now, overhead);
        let token_ms = spec.token_ms(self.running()) * self.factor;
        let mut read = millis_since(now, self.read_until) / token_ms;
        while let Some(prompt) = self.unread.front_mut() {
            let part = read.min(prompt.tokens);
            prompt.tokens -= part;
            read -= part;
            if prompt.tokens > 0.0 {
                break;
            }
            self.unread.pop_front();
        }
        self.read_until = self.read_until.max(now);
        over
    }

    /// Adds an attempt. Its prompt is read after those that are there.
    pub(super) fn insert(&mut self, now: Timestamp, key: TicketKey, attempt: Attempt) {
        self.sends.record(now, attempt.sent_at);
        if !attempt.has_started {
            let tokens = attempt.tokens.prompt;
            self.unread.push_back(Unread {
                key: key.clone(),
                tokens,
            });
        }
        self.attempts.insert(key, attempt);
    }

    /// Records the first event of an attempt. Returns what it took beyond the time of the step model, unless the
    /// endpoint is slow.
    pub(super) fn record_start(
        &mut self,
        now: Timestamp,
        key: &TicketKey,
        started_after: Duration,
        overhead: StartOverhead,
    ) -> Option<f64> {
        let attempt = self
            .attempts
            .get_mut(key)
            .filter(|attempt| !attempt.has_started)?;
        attempt.has_started = true;
        let modelled_ms = attempt.modelled_ms;
        self.unread.retain(|prompt| prompt.key != *key);
        let observed_ms = to_millis(started_after);
        self.slowness
            .record_start(now, observed_ms, modelled_ms + overhead.base_ms());
        Some(observed_ms - modelled_ms)
    }

    /// Records that an attempt's node has reported it.
    pub(super) fn confirm(&mut self, now: Timestamp, key: &TicketKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.reported_at = Some(now);
        }
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(
        &mut self,
        now: Timestamp,
        key: &TicketKey,
        end: AttemptEnd,
        overhead: StartOverhead,
    ) {
        let Some(attempt) = self.remove(key) else {
            return;
        };
        if !attempt.has_started && attempt.reported_at.is_some() {
            let age_ms = millis_since(now, attempt.sent_at);
            let predicted_ms = attempt.modelled_ms + overhead.base_ms();
            self.slowness
                .record_end_without_start(now, end, age_ms, predicted_ms);
        }
    }

    /// Removes an attempt without learning from its end.
    pub(super) fn remove(&mut self, key: &TicketKey) -> Option<Attempt> {
        self.unread.retain(|prompt| prompt.key != *key);
        self.attempts.swap_remove(key)
    }

    /// Removes attempts without learning from their ends. Returns them.
    pub(super) fn remove_where(
        &mut self,
        is_over: impl Fn(&TicketKey, &Attempt) -> bool,
    ) -> Vec<TicketKey> {
        let over =
            |(key, attempt): (&TicketKey, &Attempt)| is_over(key, attempt).then(|| key.clone());
        let over: Vec<TicketKey> = self.attempts.iter().filter_map(over).collect();
        for key in &over {
            self.remove(key);
        }
        over
    }

    /// Returns whether the endpoint takes requests or may count towards what it gets when it returns.
    pub(super) fn is_needed(&self, now: Timestamp) -> bool {
        self.properties.is_some() || !self.attempts.is_empty() || self.sends.are_recent(now)
    }

    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn running(&self) -> usize {
        self.attempts.len() - self.unread.len()
    }

    pub(super) fn unread_tokens(&self) -> f64 {
        self.unread.iter().map(|prompt| prompt.tokens).sum()
    }

    pub(super) fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Returns the tokens that all attempts take at most.
    pub(super) fn held_tokens(&self) -> f64 {
        let tokens = |attempt: &Attempt| attempt.tokens.prompt + attempt.tokens.answer;
        self.attempts.values().map(tokens).sum()
    }

    /// Returns the factor by which the endpoint is slower than predicted.
    pub(super) const fn factor(&self) -> f64 {
        self.factor
    }

    fn current_factor(&self, now: Timestamp, overhead: StartOverhead) -> f64 {
        let waiting = self
            .attempts
            .values()
            .filter(|attempt| !attempt.has_started);
        let overdue = waiting.map(|attempt| {
            let age_ms = millis_since(now, attempt.sent_at);
            overdue_factor(age_ms, attempt.modelled_ms + overhead.base_ms())
        });
        self.slowness.factor(now, overdue.fold(1.0, f64::max))
    }

    /// Returns whether the endpoint may be slow and has a request that will show whether it still is.
    pub(super) fn is_being_probed(&self, now: Timestamp) -> bool {
        let is_waiting = self.attempts.values().any(|attempt| !attempt.has_started);
        is_waiting && self.slowness.needs_probe(now)
    }

    /// Returns when the endpoint may get a request if it is cold. It may get none while it is cold if nothing is
    /// returned.
    pub(super) fn cold_allowed_at(&self) -> Option<Timestamp> {
        match self.properties.as_ref().and_then(|head| head.cold_per_s) {
            Some(cold_per_s) => self.sends.allowed_at(cold_per_s),
            None => Some(Timestamp::ZERO),
        }
    }
}

pub(super) fn millis_since(now: Timestamp, earlier: Timestamp) -> f64 {
    to_millis(now.since(earlier))
}
