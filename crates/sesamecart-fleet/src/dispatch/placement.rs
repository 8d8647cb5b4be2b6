//! Whether an endpoint can start a request in time, and which endpoint takes it.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::heads::Head;
use super::message::{DispatchRequest, PoolSpec};
use super::prediction::StartOverhead;
use crate::millis::{from_millis, to_millis};

/// The difference in predicted starts that is less than what a step or the way of a message takes. Within it, an
/// endpoint in the request's failure domain is preferred, because bytes between failure domains are dear.
const EQUAL_START_MS: f64 = 10.0;

/// The limits of a request's predicted start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartLimits {
    /// The time until its first event is late.
    pub(super) own_ms: f64,
    /// The promised time to the first event of the requests that must find room after it.
    pub(super) shared_ms: f64,
    /// The number of mean requests that it leaves room for at the endpoint. An idle endpoint is used in any case.
    pub(super) reserved: usize,
    /// The fraction of the endpoint's slots that it leaves free besides.
    pub(super) reserved_slots: f64,
}

/// When an endpoint can take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fit {
    /// It takes it now.
    Now {
        /// The predicted time to the first event.
        predicted_ms: f64,
    },
    /// It is expected to take it after a delay.
    After(Duration),
    /// It won't take it in time.
    Never,
}

/// The result of looking for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Search {
    /// An endpoint takes the request now.
    Found {
        /// The endpoint.
        endpoint: EndpointId,
        /// The predicted time to the first event.
        predicted_ms: f64,
    },
    /// An endpoint is expected to take it after a delay.
    Later(Duration),
    /// No endpoint takes it in time.
    TooLate,
    /// No endpoint may take it.
    NoEndpoint,
}

/// What all endpoints of the pool have in common at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool<'a> {
    pub(super) now: Timestamp,
    pub(super) spec: &'a PoolSpec,
    pub(super) overhead: StartOverhead,
    /// The slots of all endpoints together.
    pub(super) slots: u32,
}

impl Pool<'_> {
    /// Returns the least time in which a new request of mean size is predicted to start.
    pub(super) fn idle_start_ms(&self, heads: &IndexMap<EndpointId, Head>) -> f64 {
        let heads = heads.values().filter(|head| head.properties.is_some());
        let factors = heads.map(|head| head.factor());
        let factor = factors.fold(f64::INFINITY, f64::min);
        let factor = if factor.is_finite() { factor } else { 1.0 };
        factor * (self.start_ms(self.spec.steps.mean.prompt, 0) + self.overhead.margin_ms())
    }

    /// Returns the time that a mean prompt adds to the starts of those behind it.
    pub(super) fn mean_prompt_ms(&self, running: usize) -> f64 {
        self.spec.steps.mean.prompt * self.spec.token_ms(running)
    }

    /// Looks for the endpoint with the earliest start.
    pub(super) fn search(
        &self,
        heads: &IndexMap<EndpointId, Head>,
        req: &DispatchRequest,
        limits: StartLimits,
    ) -> Search {
        let mut best: Option<(&EndpointId, f64)> = None;
        let mut delay: Option<Duration> = None;
        let mut is_any_usable = false;
        for (id, head) in heads {
            if head.properties.is_none() || req.excluded.contains(id) {
                continue;
            }
            is_any_usable = true;
            match self.fit(head, req, limits) {
                Fit::Now { predicted_ms } => {
                    let rank_ms = predicted_ms - self.domain_preference_ms(head, req);
                    if best.is_none_or(|(_, best_ms)| rank_ms < best_ms) {
                        best = Some((id, rank_ms));
                    }
                }
                Fit::After(after) => delay = Some(delay.map_or(after, |known| known.min(after))),
                Fit::Never => {}
            }
        }
        match (best, delay) {
            (Some((id, rank_ms)), _) => Search::Found {
                endpoint: id.clone(),
                predicted_ms: rank_ms + self.domain_preference_ms(&heads[id], req),
            },
            (None, Some(delay)) => Search::Later(delay),
            (None, None) if is_any_usable => Search::TooLate,
            (None, None) => Search::NoEndpoint,
        }
    }

    /// Returns the time by which a start in the request's failure domain may be later.
    fn domain_preference_ms(&self, head: &Head, req: &DispatchRequest) -> f64 {
        let domain = head.properties.as_ref().map(|head| &head.failure_domain);
        if domain == Some(&req.failure_domain) {
            EQUAL_START_MS.max(self.spec.pace * self.spec.steps.step_ms)
        } else {
            0.0
        }
    }

    fn fit(&self, head: &Head, req: &DispatchRequest, limits: StartLimits) -> Fit {
        if head.is_being_probed(self.now) {
            return Fit::Never;
        }
        let Some(place_at) = self.place_free_at(head, req, limits) else {
            return Fit::Never;
        };
        let running = head.running();
        let factor = head.factor();
        let predicted_ms =
            factor * self.start_ms(head.unread_tokens() + req.tokens.prompt, running);
        let writing_ms = factor * self.spec.writing_ms(req.tokens.answer, running);
        if predicted_ms + writing_ms > to_millis(req.time_left) {
            return Fit::Never;
        }
        let counted_ms = self.counted_start_ms(head, factor);
        let is_in_time = counted_ms <= limits.own_ms
            && self.may_start_in_time(head, req.tokens.prompt, factor, limits.own_ms);
        if !is_in_time {
            return Fit::Never;
        }
        let mut delay_ms = to_millis(place_at.since(self.now));
        if head.has_unread() {
            let reserved_ms = limits.reserved as f64 * factor * self.mean_prompt_ms(running);
            delay_ms = delay_ms.max(counted_ms + reserved_ms - limits.shared_ms);
        }
        if delay_ms > 0.0 {
            Fit::After(from_millis(delay_ms))
        } else {
            Fit::Now { predicted_ms }
        }
    }

    /// Returns when the endpoint has a slot, memory and, while it is cold, allowance for the request.
    fn place_free_at(
        &self,
        head: &Head,
        req: &DispatchRequest,
        limits: StartLimits,
    ) -> Option<Timestamp> {
        let cold_at = head.cold_allowed_at()?;
        let slots = head.properties.as_ref()?.slots as usize;
        let tokens = req.tokens.prompt + req.tokens.answer;
        let capacity = self.spec.kv_capacity_tokens.unwrap_or(f64::INFINITY);
        if slots == 0 || tokens > capacity {
            return None;
        }
        let reserved = limits.reserved + (limits.reserved_slots * slots as f64).ceil() as usize;
        let usable = slots.saturating_sub(reserved).max(1);
        let is_full = head.attempt_count() >= usable || head.held_tokens() + tokens > capacity;
        if !is_full {
            return Some(cold_at.max(self.now));
        }
        let next_end = from_millis(self.end_interval_ms(head.running()));
        Some(cold_at.max(self.now + next_end))
    }

    /// Returns the mean time between two ends of requests at the endpoints of the pool while all slots are taken.
    pub(super) fn end_interval_ms(&self, running: usize) -> f64 {
        let answer_ms = self.spec.writing_ms(self.spec.steps.mean.answer, running);
        answer_ms / f64::from(self.slots.max(1))
    }

    fn start_ms(&self, tokens: f64, running: usize) -> f64 {
        self.overhead.base_ms() + self.spec.reading_ms(tokens, running)
    }

    /// Returns the time in which a mean request starts at the endpoint with a probability of 95 in 100. All
    /// requests count as mean ones, or the smallest would take the room of all others while the pool is busy.
    fn counted_start_ms(&self, head: &Head, factor: f64) -> f64 {
        let tokens = head.unread_tokens() + self.spec.steps.mean.prompt;
        factor * (self.start_ms(tokens, head.running()) + self.overhead.margin_ms())
    }

    /// Returns whether a prompt is more likely than not to start within `limit_ms`, or wouldn't do so at an idle
    /// endpoint either.
    fn may_start_in_time(&self, head: &Head, prompt: f64, factor: f64, limit_ms: f64) -> bool {
        let running = head.running();
        let start_ms = factor * self.start_ms(head.unread_tokens() + prompt, running);
        let idle_ms = factor * self.start_ms(prompt, running);
        idle_ms > limit_ms || start_ms + factor * self.overhead.likely_margin_ms() <= limit_ms
    }
}
