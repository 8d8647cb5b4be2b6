//! The limits that a node knows of.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, RequestRate, Timestamp};

use super::LimitObservation;
use super::observed::{Applied, ObservedLimit};
use crate::number::Incarnation;

/// How long the end of a limit is remembered, so that a delayed response doesn't bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How long a node prefers what it has observed itself to what other nodes say.
const OWN_OBSERVATION_PRECEDENCE: Duration = Duration::from_secs(1);

/// The shortest and the longest time for which an endpoint isn't asked for after a denial. The authority's
/// answer may be outdated by then, because permits go to whoever asks first.
const MIN_DENIAL_TIME: Duration = Duration::from_millis(10);
const MAX_DENIAL_TIME: Duration = Duration::from_secs(1);

/// A change of what a node knows about an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint is limited now, or its limit has changed.
    Limited(RequestRate),
    /// The limit has ended after this time.
    Ended(Duration),
}

/// Whether a request may be sent to an endpoint, as far as this node knows.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitStatus {
    /// The endpoint has no limit.
    Unlimited,
    /// The request needs a permit.
    NeedsPermit(LimitObservation),
    /// There is no permit at the moment.
    UsedUp,
}

/// What a node knows about the limit of one endpoint.
#[derive(Clone, Debug)]
pub struct KnownLimit {
    observed: ObservedLimit,
    /// When a response to this node has last confirmed the limit or its end.
    own_observation_at: Option<Timestamp>,
    /// Whether this node knows the limit only from another node.
    is_hint: bool,
    denied_until: Timestamp,
    /// Orders the changes, for nodes that follow this one.
    changed: u64,
    admitted: u64,
    refused: u64,
}

impl KnownLimit {
    /// Returns the limit, or `None` if it has ended.
    #[must_use]
    pub const fn limit(&self) -> Option<RequestRate> {
        self.observed.limit
    }

    /// Returns when this node learned that the limit has begun or ended.
    #[must_use]
    pub const fn since(&self) -> Timestamp {
        self.observed.since
    }

    /// Returns the number of requests that this node has sent within the limit.
    #[must_use]
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the number of callers' requests that this node has refused because of the limit.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}

/// The limits that a node knows of.
#[derive(Debug, Default)]
pub struct KnownLimits {
    limits: IndexMap<EndpointId, KnownLimit>,
    /// The number of changes so far.
    changes: u64,
}

impl KnownLimits {
    /// Applies what a response of an endpoint says. Returns the change if this node learned something new.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observation: &LimitObservation,
    ) -> Option<LimitChange> {
        let change = self.apply(now, observation);
        if let Some(known) = self.limits.get_mut(&observation.endpoint)
            && known.observed.sent_at == observation.sent_at
        {
            known.own_observation_at = Some(now);
            known.is_hint = false;
        }
        change
    }

    /// Applies what another node says, unless this node has just observed the endpoint itself.
    pub fn apply_hint(&mut self, now: Timestamp, hint: &LimitObservation) -> Option<LimitChange> {
        let known = self.limits.get(&hint.endpoint);
        let own_at = known.and_then(|known| known.own_observation_at);
        if own_at.is_some_and(|at| now.since(at) < OWN_OBSERVATION_PRECEDENCE) {
            return None;
        }
        // Only the order of a node's own observations is known. A hint counts as newer than all of them.
        let sent_at = known.map_or(Timestamp::ZERO, |known| known.observed.sent_at);
        let hint = LimitObservation {
            sent_at,
            ..hint.clone()
        };
        let change = self.apply(now, &hint);
        if change.is_some()
            && let Some(known) = self.limits.get_mut(&hint.endpoint)
        {
            known.is_hint = true;
        }
        change
    }

    fn apply(&mut self, now: Timestamp, observation: &LimitObservation) -> Option<LimitChange> {
        let change = self.apply_to_entry(now, observation);
        if change.is_some() {
            self.changes += 1;
            if let Some(known) = self.limits.get_mut(&observation.endpoint) {
                known.changed = self.changes;
            }
        }
        change
    }

    fn apply_to_entry(
        &mut self,
        now: Timestamp,
        observation: &LimitObservation,
    ) -> Option<LimitChange> {
        let Some(known) = self.limits.get_mut(&observation.endpoint) else {
            let limit = observation.limit?;
            let known = KnownLimit {
                observed: ObservedLimit::new(now, observation),
                own_observation_at: None,
                is_hint: false,
                denied_until: Timestamp::ZERO,
                changed: 0,
                admitted: 0,
                refused: 0,
            };
            self.limits.insert(observation.endpoint.clone(), known);
            return Some(LimitChange::Limited(limit));
        };
        let before = known.observed;
        match known.observed.apply(now, observation) {
            Applied::Outdated | Applied::Unchanged => None,
            Applied::Changed | Applied::Restarted => {
                known.denied_until = Timestamp::ZERO;
                match (before.limit, observation.limit) {
                    (before, Some(limit)) if before != Some(limit) => {
                        Some(LimitChange::Limited(limit))
                    }
                    (Some(_), None) => Some(LimitChange::Ended(now.since(before.since))),
                    _ => None,
                }
            }
        }
    }

    /// Returns whether a request may be sent to an endpoint, which has started with `incarnation`.
    #[must_use]
    pub fn status(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Option<Incarnation>,
    ) -> LimitStatus {
        let Some(known) = self.limits.get(endpoint) else {
            return LimitStatus::Unlimited;
        };
        if known.limit().is_none() || known.observed.is_before(incarnation) {
            return LimitStatus::Unlimited;
        }
        if known.denied_until > now {
            return LimitStatus::UsedUp;
        }
        let mut observation = known.observed.as_hint(endpoint);
        if !known.is_hint {
            observation.sent_at = known.observed.sent_at;
        }
        LimitStatus::NeedsPermit(observation)
    }

    /// Records that the authority admitted a request to an endpoint.
    pub fn record_admitted(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.limits.get_mut(endpoint) {
            known.admitted += 1;
        }
    }

    /// Records that the authority denied a request to an endpoint.
    pub fn record_denied(&mut self, now: Timestamp, endpoint: &EndpointId, retry_after: Duration) {
        if let Some(known) = self.limits.get_mut(endpoint) {
            known.denied_until = now + retry_after.clamp(MIN_DENIAL_TIME, MAX_DENIAL_TIME);
        }
    }

    /// Records that a caller's request was refused because an endpoint is limited.
    pub fn record_refused(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.limits.get_mut(endpoint) {
            known.refused += 1;
        }
    }

    /// Records that the authority knows that a limit has ended.
    pub fn record_unlimited(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
    ) -> Option<LimitChange> {
        let observed = self.limits.get(endpoint)?.observed;
        let ended = LimitObservation {
            limit: None,
            sent_at: observed.sent_at,
            ..observed.as_hint(endpoint)
        };
        self.apply(now, &ended)
    }

    /// Returns the endpoints that are limited.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointId, &KnownLimit)> {
        let limits = self.limits.iter();
        limits.filter(|(_, known)| known.limit().is_some())
    }

    /// Returns what has changed after the first `after` changes, as other nodes are told.
    pub fn changes_after(&self, after: u64) -> impl Iterator<Item = LimitObservation> {
        let changed = self.limits.iter();
        let changed = changed.filter(move |(_, known)| known.changed > after);
        changed.map(|(endpoint, known)| known.observed.as_hint(endpoint))
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Removes endpoints that are no longer known, and limits that ended long ago.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.limits.retain(|id, known| {
            let is_ended = known.limit().is_none();
            is_known(id) && !(is_ended && now.since(known.since()) >= ENDED_RETENTION)
        });
    }
}
