//! The limits that a node knows of.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, RequestRate, Timestamp};

use super::LimitObservation;
use super::observed::{Applied, ObservedLimit};

/// How long the end of a limit is remembered, so that a delayed response doesn't bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// A change of what a node knows about an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint is limited now, or its limit has changed.
    Limited(RequestRate),
    /// The limit has ended after this time.
    Ended(Duration),
}

/// What a node knows about the limit of one endpoint.
#[derive(Clone, Debug)]
pub struct KnownLimit {
    observed: ObservedLimit,
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
}

/// The limits that a node knows of.
#[derive(Debug, Default)]
pub struct KnownLimits {
    limits: IndexMap<EndpointId, KnownLimit>,
}

impl KnownLimits {
    /// Applies what a response of an endpoint says. Returns the change if this node learned something new.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observation: &LimitObservation,
    ) -> Option<LimitChange> {
        let Some(known) = self.limits.get_mut(&observation.endpoint) else {
            let limit = observation.limit?;
            let observed = ObservedLimit::new(now, observation);
            let known = KnownLimit { observed };
            self.limits.insert(observation.endpoint.clone(), known);
            return Some(LimitChange::Limited(limit));
        };
        let before = known.observed;
        match known.observed.apply(now, observation) {
            Applied::Outdated | Applied::Unchanged => None,
            Applied::Changed | Applied::Restarted => match (before.limit, observation.limit) {
                (before, Some(limit)) if before != Some(limit) => Some(LimitChange::Limited(limit)),
                (Some(_), None) => Some(LimitChange::Ended(now.since(before.since))),
                _ => None,
            },
        }
    }

    /// Returns the endpoints that are limited.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointId, &KnownLimit)> {
        self.limits
            .iter()
            .filter(|(_, known)| known.limit().is_some())
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Removes endpoints that are no longer known, and limits that ended long ago.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.limits.retain(|id, known| {
            is_known(id) && (known.limit().is_some() || now.since(known.since()) < ENDED_RETENTION)
        });
    }
}
