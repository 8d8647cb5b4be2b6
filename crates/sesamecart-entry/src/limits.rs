//! Rate limits that endpoints name: what this node learns from responses, and what it asks of other nodes.
//!
//! The rules are in [`sesamecart_fleet::KnownLimits`]; docs/design/endpoint-limits.md describes them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use sesamecart_fleet::{Endpoint, KnownLimits, LimitChange, LimitObservation};
use sesamecart_platform::{NamedLimit, NotRunReason, ResponseHead};
use sesamecart_vocabulary::{EndpointId, RequestId, RequestRate, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// The limits that a node knows of, shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Mutex<KnownLimits>,
    /// The endpoints whose invalid limits were logged.
    invalid: Mutex<IndexSet<EndpointId>>,
}

impl Limits {
    pub(crate) fn known(&self) -> MutexGuard<'_, KnownLimits> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn invalid(&self) -> MutexGuard<'_, IndexSet<EndpointId>> {
        self.invalid.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn prune(&self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.known().prune(now, &is_known);
        self.invalid().retain(|id| is_known(id));
    }
}

impl EntryState {
    /// Learns from a response to `request`, which was sent to `endpoint` at `sent_at`.
    pub(crate) fn observe_limit(
        &self,
        endpoint: &Endpoint,
        request: &RequestId,
        sent_at: Timestamp,
        head: &ResponseHead,
    ) {
        if let NamedLimit::Invalid(value) = &head.limit {
            self.log_invalid_limit(&endpoint.id, request, value);
        }
        let Some(limit) = stated_limit(head, request) else {
            return;
        };
        let observation = LimitObservation {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            limit,
            sent_at,
        };
        let change = self.limits.known().observe(clock::now(), &observation);
        if let Some(change) = change {
            self.log_limit_change(&endpoint.id, request, change);
        }
    }

    fn log_limit_change(&self, endpoint: &EndpointId, request: &RequestId, change: LimitChange) {
        match change {
            LimitChange::Limited(limit) => self.events.write(&Event::EndpointLimited {
                endpoint: endpoint.as_str(),
                request: request.as_str(),
                per_s: limit.per_s(),
            }),
            LimitChange::Ended(duration) => self.events.write(&Event::EndpointUnlimited {
                endpoint: endpoint.as_str(),
                request: request.as_str(),
                limited_ms: millis(duration),
            }),
        }
        let limited = self.limits.known().limited().count();
        self.metrics.record_limited(limited);
    }

    /// Logs the first invalid limit of an endpoint.
    fn log_invalid_limit(&self, endpoint: &EndpointId, request: &RequestId, value: &str) {
        if self.limits.invalid().insert(endpoint.clone()) {
            self.events.write(&Event::LimitIgnored {
                endpoint: endpoint.as_str(),
                request: request.as_str(),
                value,
            });
        }
    }
}

/// Returns what a response states about its endpoint's limit, or `None` if it states nothing: a response of
/// another endpoint or to another request, or one without a limit that isn't a success.
///
/// An endpoint that fails or rejects requests may leave out the limit although it stands.
fn stated_limit(head: &ResponseHead, request: &RequestId) -> Option<Option<RequestRate>> {
    let is_misdirected = head.not_run == Some(NotRunReason::Misdirected);
    if is_misdirected || head.request.as_ref().is_some_and(|id| id != request) {
        return None;
    }
    match &head.limit {
        NamedLimit::Rate(limit) => Some(Some(*limit)),
        NamedLimit::Absent if head.status.is_success() && head.is_sealed => Some(None),
        NamedLimit::Absent | NamedLimit::Invalid(_) => None,
    }
}
