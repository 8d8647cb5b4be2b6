//! Backoff that endpoints request.
//!
//! An endpoint that rejects a request may state for how long it wants no requests from this node. That says nothing
//! about its health, so it is kept apart from ejections and failures. After the backoff the endpoint gets few requests
//! at first, in case it isn't able to serve all of them yet. docs/design/endpoint-backoff.md describes the rules.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::endpoint_backoff::slow_start::{SlowStart, SlowStartTicket};
use crate::number::Incarnation;

pub(crate) mod slow_start;
#[cfg(test)]
mod tests;

/// The longest backoff that is honored at a time. An endpoint that states more can request it again afterwards.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// The shortest extension of a backoff that is reported. Each rejected request that was under way extends it a
/// little.
const MIN_REPORTED_EXTENSION: Duration = Duration::from_millis(500);

/// The bounds of the time over which callers return that were refused during a backoff.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(500);
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(2_500);

/// The shortest delay after which a refused caller returns.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(50);

/// Returns the delay after which a caller may retry that was refused because all endpoints back off until `end`.
///
/// `draw` is a random number between 0 and 1. Few callers return right after the end, and then more and more. The
/// longer the backoff, the more callers wait for its end, and the more their returns are spread.
#[must_use]
pub fn return_delay(now: Timestamp, end: Timestamp, draw: f64) -> Duration {
    let remaining = end.since(now);
    let spread = remaining.clamp(MIN_RETURN_SPREAD, MAX_RETURN_SPREAD);
    (remaining + spread.mul_f64(draw.sqrt())).max(MIN_RETURN_DELAY)
}

/// What a response says about its endpoint's backoff.
#[derive(Clone, Debug, PartialEq)]
pub struct BackoffRequest<'a> {
    /// The endpoint that sent the response.
    pub endpoint: &'a EndpointId,
    /// The incarnation to which the request was sent.
    pub incarnation: Option<Incarnation>,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// How long the endpoint wants no requests.
    pub duration: Duration,
}

/// A change of an endpoint's backoff.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackoffChange {
    /// It has begun, with this time remaining.
    Started(Duration),
    /// It ends later than before, with this time remaining.
    Extended(Duration),
}

/// Whether a request may be sent to an endpoint now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendDecision {
    /// The endpoint takes requests as usual.
    Unrestricted,
    /// The request is one of the first after a backoff.
    SlowStart {
        /// Identifies the request when its response arrives or it ends.
        ticket: SlowStartTicket,
        /// How long the backoff was, if this is the first request after it.
        ended_backoff: Option<Duration>,
    },
    /// The endpoint wants no requests, or no further ones until those of its slow start are answered.
    Withheld,
}

/// The newest backoff of one endpoint.
#[derive(Clone, Debug)]
struct Backoff {
    incarnation: Option<Incarnation>,
    since: Timestamp,
    until: Timestamp,
    /// The end that was reported last.
    reported_until: Timestamp,
    /// The requests after its end.
    slow_start: SlowStart,
}

impl Backoff {
    fn new(now: Timestamp, incarnation: Option<Incarnation>, until: Timestamp, round: u64) -> Self {
        Self {
            incarnation,
            since: now,
            until,
            reported_until: until,
            slow_start: SlowStart::new(round),
        }
    }

    /// Returns whether this is about an earlier incarnation than `incarnation`.
    fn is_before(&self, incarnation: Option<Incarnation>) -> bool {
        let known = self.incarnation.zip(incarnation);
        known.is_some_and(|(known, current)| known < current)
    }

    /// Returns whether this is about a later incarnation than `incarnation`.
    fn is_after(&self, incarnation: Option<Incarnation>) -> bool {
        let known = self.incarnation.zip(incarnation);
        known.is_some_and(|(known, observed)| observed < known)
    }
}

/// The backoffs that endpoints have requested from this node.
#[derive(Debug, Default)]
pub struct BackoffTracker {
    backoffs: IndexMap<EndpointId, Backoff>,
    /// The number of backoffs so far.
    rounds: u64,
}

impl BackoffTracker {
    /// Applies what a response says. Returns the change if it is worth reporting.
    ///
    /// A response never shortens a backoff. One to a request that was sent before the begin of an ended backoff may be
    /// as old as that backoff, and is ignored if the endpoint has taken later requests.
    pub fn observe(&mut self, now: Timestamp, req: &BackoffRequest<'_>) -> Option<BackoffChange> {
        let duration = req.duration.min(MAX_BACKOFF);
        if duration.is_zero() {
            return None;
        }
        let until = now + duration;
        if let Some(known) = self.backoffs.get_mut(req.endpoint) {
            let is_outdated =
                known.until <= now && req.sent_at < known.since && known.slow_start.has_taken();
            if known.is_after(req.incarnation) {
                return None;
            }
            if !known.is_before(req.incarnation) {
                if is_outdated {
                    return None;
                }
                if known.until > now {
                    return extend(known, now, until);
                }
            }
        }
        self.rounds += 1;
        let backoff = Backoff::new(now, req.incarnation, until, self.rounds);
        self.backoffs.insert(req.endpoint.clone(), backoff);
        Some(BackoffChange::Started(duration))
    }

    /// Returns the end of an endpoint's backoff, if it wants no requests now.
    #[must_use]
    pub fn end(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Option<Incarnation>,
    ) -> Option<Timestamp> {
        let backoff = self.backoffs.get(endpoint)?;
        let is_active = backoff.until > now && !backoff.is_before(incarnation);
        is_active.then_some(backoff.until)
    }

    /// Returns the earliest time at which an endpoint may take a request, or `None` if it takes one now.
    #[must_use]
    pub fn withheld_until(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Option<Incarnation>,
    ) -> Option<Timestamp> {
        let backoff = self.backoffs.get(endpoint)?;
        if backoff.is_before(incarnation) {
            return None;
        }
        let is_available = backoff.until <= now && backoff.slow_start.has_room(now);
        (!is_available).then(|| backoff.until.max(now))
    }

    /// Decides whether a request may be sent to an endpoint, which has started with `incarnation`.
    pub fn start(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Option<Incarnation>,
    ) -> SendDecision {
        if self.withheld_until(now, endpoint, incarnation).is_some() {
            return SendDecision::Withheld;
        }
        let backoff = self.backoffs.get_mut(endpoint);
        let Some(backoff) = backoff.filter(|backoff| !backoff.is_before(incarnation)) else {
            return SendDecision::Unrestricted;
        };
        let is_first = !backoff.slow_start.has_begun();
        match backoff.slow_start.start(now) {
            Some(ticket) => SendDecision::SlowStart {
                ticket,
                ended_backoff: is_first.then(|| backoff.until.since(backoff.since)),
            },
            None => SendDecision::Unrestricted,
        }
    }

    /// Records that an endpoint has taken one of the first requests after its backoff.
    pub fn record_taken(&mut self, endpoint: &EndpointId, ticket: SlowStartTicket) {
        if let Some(backoff) = self.backoffs.get_mut(endpoint) {
            backoff.slow_start.record_taken(ticket);
        }
    }

    /// Records that one of the first requests after an endpoint's backoff has ended without an answer.
    pub fn record_unanswered(&mut self, endpoint: &EndpointId, ticket: SlowStartTicket) {
        if let Some(backoff) = self.backoffs.get_mut(endpoint) {
            backoff.slow_start.record_unanswered(ticket);
        }
    }

    /// Returns whether no endpoint has requested a backoff.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }

    /// Removes endpoints that are no longer known.
    pub fn prune(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.backoffs.retain(|id, _| is_known(id));
    }
}

fn extend(known: &mut Backoff, now: Timestamp, until: Timestamp) -> Option<BackoffChange> {
    known.until = known.until.max(until);
    if known.until.since(known.reported_until) < MIN_REPORTED_EXTENSION {
        return None;
    }
    known.reported_until = known.until;
    Some(BackoffChange::Extended(known.until.since(now)))
}
