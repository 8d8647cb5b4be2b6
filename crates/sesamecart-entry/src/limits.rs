//! Rate limits that endpoints name: what this node learns from responses and from other nodes.
//!
//! The rules are in [`sesamecart_fleet::KnownLimits`] and [`sesamecart_fleet::LimitAuthority`];
//! docs/design/endpoint-limits.md describes them.

mod client;
mod message;

use std::sync::{Mutex, MutexGuard};

use indexmap::IndexSet;
use serde::Serialize;
use sesamecart_fleet::{
    Directory, Endpoint, GroupCapacities, KnownLimits, LimitAuthority, LimitChange,
    LimitObservation, LimitStatus,
};
use sesamecart_links::feed::EndpointLimit;
use sesamecart_platform::{NamedLimit, NotRunReason, ResponseHead};
use sesamecart_vocabulary::{EndpointId, RequestId, RequestRate, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
pub(crate) use crate::limits::client::LimitClient;
use crate::limits::message::{decode_limit, encode_limit};
pub(crate) use crate::limits::message::{decode_report, decode_request, encode_permit};
use crate::lock::lock;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// The limits that a node knows of, shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Mutex<KnownLimits>,
    /// Decides for all nodes about the endpoints that this node is the authority for.
    authority: Mutex<LimitAuthority>,
    /// The endpoints whose invalid limits were logged.
    invalid: Mutex<IndexSet<EndpointId>>,
}

impl Limits {
    pub(crate) fn known(&self) -> MutexGuard<'_, KnownLimits> {
        lock(&self.known)
    }

    fn authority(&self) -> MutexGuard<'_, LimitAuthority> {
        lock(&self.authority)
    }

    pub(crate) fn prune(&self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.known().prune(now, &is_known);
        self.authority().prune(now, &is_known);
        lock(&self.invalid).retain(|id| is_known(id));
    }

    /// Returns what a node that follows this one doesn't know yet: the changes after the first `after` ones.
    pub(crate) fn updates(&self, after: u64) -> (Vec<EndpointLimit>, u64) {
        let known = self.known();
        let changed = known.changes_after(after);
        (
            changed.map(|limit| encode_limit(&limit)).collect(),
            known.changes(),
        )
    }
}

/// A limited endpoint, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitedEndpoint {
    /// The endpoint.
    pub endpoint: String,
    /// The limit, in requests per second.
    pub per_s: f64,
    /// How long this node has known that the endpoint is limited, in milliseconds.
    pub limited_ms: u64,
    /// The node that admits the requests of all nodes, as far as this node knows.
    pub authority: String,
    /// The requests of all nodes that this node has admitted as the authority, if it is or was that.
    pub admitted_by_authority: Option<u64>,
    /// The requests of all nodes that this node has denied as the authority, if it is or was that.
    pub denied_by_authority: Option<u64>,
    /// The requests that this node has sent within the limit.
    pub sent: u64,
    /// The callers' requests that this node has refused because of the limit.
    pub refused: u64,
}

impl EntryState {
    /// Returns whether a request may be sent to an endpoint, as far as this node knows.
    pub(crate) fn limit_status(&self, now: Timestamp, endpoint: &Endpoint) -> LimitStatus {
        let known = self.limits.known();
        known.status(now, &endpoint.id, endpoint.incarnation)
    }

    /// Returns the capacity of the groups whose heads are limited or back off.
    pub(crate) fn group_capacities(
        &self,
        now: Timestamp,
        directory: &Directory,
    ) -> GroupCapacities {
        let mut capacities = GroupCapacities::default();
        let known = self.limits.known();
        let demand = self.demand();
        for (id, known) in known.limited() {
            let head = directory.find(id).filter(|head| head.is_open_head());
            let model = head.and_then(|head| head.models.first());
            let group_time = model.and_then(|model| demand.mean_group_time(now, model));
            if let (Some(limit), Some(group_time)) = (known.limit(), group_time) {
                capacities.limit(id.clone(), limit, group_time);
            }
        }
        drop(demand);
        drop(known);
        self.exclude_backing_off(now, directory, &mut capacities);
        capacities
    }

    /// Returns the endpoints that are limited, as operators see them.
    #[must_use]
    pub fn limited_endpoints(&self) -> Vec<LimitedEndpoint> {
        let now = clock::now();
        let known = self.limits.known();
        let limited = known.limited().filter_map(|(id, known)| {
            let authority = self.limit_authority(id);
            let counts = self.limits.authority().counts(id);
            Some(LimitedEndpoint {
                endpoint: id.to_string(),
                per_s: known.limit()?.per_s(),
                limited_ms: millis(now.since(known.since())),
                authority: authority.map_or_else(String::new, |peer| peer.node.to_string()),
                admitted_by_authority: counts.map(|counts| counts.admitted),
                denied_by_authority: counts.map(|counts| counts.denied),
                sent: known.admitted(),
                refused: known.refused(),
            })
        });
        limited.collect()
    }

    /// Learns from a response to `request`, which was sent to `endpoint` at `sent_at`. Returns what the response
    /// says if that is new to this node.
    fn observe_limit(
        &self,
        endpoint: &Endpoint,
        request: &RequestId,
        sent_at: Timestamp,
        head: &ResponseHead,
    ) -> Option<LimitObservation> {
        if let NamedLimit::Invalid(value) = &head.limit {
            self.log_invalid_limit(&endpoint.id, request, value);
        }
        let observation = LimitObservation {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            limit: stated_limit(head, request)?,
            sent_at,
        };
        let change = self.limits.known().observe(clock::now(), &observation)?;
        self.record_limit_change(&endpoint.id, request.as_str(), change);
        Some(observation)
    }

    /// Learns what another node says about limits.
    pub(crate) fn learn_limits(&self, limits: &[EndpointLimit]) {
        for limit in limits {
            match decode_limit(limit) {
                Some(hint) => self.learn_limit(&hint),
                None => log::warn!(
                    "limits: another node's limit of {} is invalid.",
                    limit.endpoint
                ),
            }
        }
    }

    fn learn_limit(&self, hint: &LimitObservation) {
        let change = self.limits.known().apply_hint(clock::now(), hint);
        if let Some(change) = change {
            self.record_limit_change(&hint.endpoint, "", change);
        }
    }

    pub(crate) fn record_limit_change(
        &self,
        endpoint: &EndpointId,
        request: &str,
        change: LimitChange,
    ) {
        let endpoint = endpoint.as_str();
        match change {
            LimitChange::Limited(limit) => self.events.write(&Event::EndpointLimited {
                endpoint,
                request,
                per_s: limit.per_s(),
            }),
            LimitChange::Ended(duration) => self.events.write(&Event::EndpointUnlimited {
                endpoint,
                request,
                limited_ms: millis(duration),
            }),
        }
        let limited = self.limits.known().limited().count();
        self.metrics.record_limited(limited);
        // The nodes that follow this one learn of the change.
        self.feed.notify();
    }

    /// Logs the first invalid limit of an endpoint.
    fn log_invalid_limit(&self, endpoint: &EndpointId, request: &RequestId, value: &str) {
        if lock(&self.limits.invalid).insert(endpoint.clone()) {
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
