//! The newest known limit of one endpoint.

use sesamecart_vocabulary::{EndpointId, RequestRate, Timestamp};

use super::LimitObservation;
use crate::number::Incarnation;

/// How an observation has changed what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Applied {
    /// It is older than what is known.
    Outdated,
    /// It confirms what is known.
    Unchanged,
    /// The limit has begun, changed or ended.
    Changed,
    /// Another incarnation of the endpoint has sent it, so nothing known before holds any more.
    Restarted,
}

/// The newest known limit of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedLimit {
    incarnation: Option<Incarnation>,
    /// The limit; `None` once it has ended.
    pub(super) limit: Option<RequestRate>,
    /// When the request of the newest observation was sent. Zero if only another node has observed the limit.
    pub(super) sent_at: Timestamp,
    /// When this node learned that the limit has begun or ended.
    pub(super) since: Timestamp,
}

impl ObservedLimit {
    pub(super) fn new(now: Timestamp, observation: &LimitObservation) -> Self {
        Self {
            incarnation: observation.incarnation,
            limit: observation.limit,
            sent_at: observation.sent_at,
            since: now,
        }
    }

    /// Applies an observation.
    ///
    /// Observations are ordered by the times at which the requests were sent, because a response that was
    /// delayed may name a limit that has ended since.
    pub(super) fn apply(&mut self, now: Timestamp, observation: &LimitObservation) -> Applied {
        if let (Some(known), Some(observed)) = (self.incarnation, observation.incarnation)
            && known != observed
        {
            if observed < known {
                return Applied::Outdated;
            }
            *self = Self::new(now, observation);
            return Applied::Restarted;
        }
        if observation.sent_at < self.sent_at {
            return Applied::Outdated;
        }
        self.incarnation = observation.incarnation.or(self.incarnation);
        self.sent_at = observation.sent_at;
        if observation.limit == self.limit {
            return Applied::Unchanged;
        }
        if observation.limit.is_some() != self.limit.is_some() {
            self.since = now;
        }
        self.limit = observation.limit;
        Applied::Changed
    }

    /// Returns whether this is about an earlier incarnation than `incarnation`.
    pub(super) fn is_before(&self, incarnation: Option<Incarnation>) -> bool {
        let known = self.incarnation.zip(incarnation);
        known.is_some_and(|(known, current)| known < current)
    }

    /// Returns what other nodes are told.
    pub(super) fn as_hint(&self, endpoint: &EndpointId) -> LimitObservation {
        LimitObservation {
            endpoint: endpoint.clone(),
            incarnation: self.incarnation,
            limit: self.limit,
            sent_at: Timestamp::ZERO,
        }
    }
}
