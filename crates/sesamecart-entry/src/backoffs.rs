//! Backoff that endpoints request: what this node learns from responses.
//!
//! The rules are in [`sesamecart_fleet::BackoffTracker`]; docs/design/endpoint-backoff.md describes them.

use std::sync::{Mutex, MutexGuard};

use indexmap::IndexSet;
use sesamecart_fleet::{
    BackoffChange, BackoffRequest, BackoffTracker, Directory, Endpoint, GroupCapacities,
    SendDecision, SlowStartTicket,
};
use sesamecart_platform::{RequestedBackoff, ResponseHead};
use sesamecart_vocabulary::{EndpointId, RequestId, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::lock::lock;
use crate::metrics::BackoffOutcome;
use crate::state::EntryState;

/// The backoffs that endpoints have requested from this node, shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    tracker: Mutex<BackoffTracker>,
    /// The endpoints whose invalid values were logged.
    invalid: Mutex<IndexSet<EndpointId>>,
}

impl Backoffs {
    pub(crate) fn tracker(&self) -> MutexGuard<'_, BackoffTracker> {
        lock(&self.tracker)
    }

    pub(crate) fn prune(&self, is_known: impl Fn(&EndpointId) -> bool) {
        self.tracker().prune(&is_known);
        lock(&self.invalid).retain(|id| is_known(id));
    }
}

impl EntryState {
    /// Learns from a response to `request`, which was sent to `endpoint` at `sent_at`, whether the endpoint requests
    /// a backoff. Returns whether one is in force now.
    pub(crate) fn observe_backoff(
        &self,
        endpoint: &Endpoint,
        request: &RequestId,
        sent_at: Timestamp,
        head: &ResponseHead,
    ) -> bool {
        if head.request.as_ref().is_some_and(|id| id != request) {
            return false;
        }
        match &head.backoff {
            RequestedBackoff::Absent => false,
            RequestedBackoff::Invalid(value) => {
                self.ignore_backoff(&endpoint.id, request, value);
                false
            }
            RequestedBackoff::Time(duration) => {
                let req = BackoffRequest {
                    endpoint: &endpoint.id,
                    incarnation: endpoint.incarnation,
                    sent_at,
                    duration: *duration,
                };
                let now = clock::now();
                let mut tracker = self.backoffs.tracker();
                let change = tracker.observe(now, &req);
                let end = tracker.end(now, &endpoint.id, endpoint.incarnation);
                drop(tracker);
                if let Some(change) = change {
                    self.record_backoff(&endpoint.id, request, change);
                }
                end.is_some()
            }
        }
    }

    /// Returns the earliest time at which an endpoint may take a request, or `None` if it takes one now.
    pub(crate) fn withheld_until(&self, now: Timestamp, endpoint: &Endpoint) -> Option<Timestamp> {
        let tracker = self.backoffs.tracker();
        tracker.withheld_until(now, &endpoint.id, endpoint.incarnation)
    }

    /// Decides whether `request` may be sent to an endpoint right now.
    pub(crate) fn start_send(&self, endpoint: &Endpoint, request: &RequestId) -> SendDecision {
        let mut tracker = self.backoffs.tracker();
        let decision = tracker.start(clock::now(), &endpoint.id, endpoint.incarnation);
        drop(tracker);
        if let SendDecision::SlowStart {
            ended_backoff: Some(duration),
            ..
        } = decision
        {
            self.events.write(&Event::EndpointBackoffEnded {
                endpoint: endpoint.id.as_str(),
                request: request.as_str(),
                backoff_ms: millis(duration),
            });
        }
        decision
    }

    /// Records that an endpoint has taken one of the first requests after its backoff.
    pub(crate) fn record_taken(&self, endpoint: &EndpointId, ticket: SlowStartTicket) {
        self.backoffs.tracker().record_taken(endpoint, ticket);
    }

    /// Records that one of the first requests after an endpoint's backoff has ended without an answer.
    pub(crate) fn record_unanswered(&self, endpoint: &EndpointId, ticket: SlowStartTicket) {
        self.backoffs.tracker().record_unanswered(endpoint, ticket);
    }

    /// Excludes the groups whose heads back off from the capacity that is there now.
    pub(crate) fn exclude_backing_off(
        &self,
        now: Timestamp,
        directory: &Directory,
        capacities: &mut GroupCapacities,
    ) {
        let tracker = self.backoffs.tracker();
        if tracker.is_empty() {
            return;
        }
        let heads = directory
            .listed()
            .filter(|endpoint| endpoint.is_open_head());
        for head in heads {
            if tracker.end(now, &head.id, head.incarnation).is_some() {
                capacities.exclude(head.id.clone());
            }
        }
    }

    fn record_backoff(&self, endpoint: &EndpointId, request: &RequestId, change: BackoffChange) {
        let (outcome, remaining) = match change {
            BackoffChange::Started(remaining) => (BackoffOutcome::Started, remaining),
            BackoffChange::Extended(remaining) => (BackoffOutcome::Extended, remaining),
        };
        self.metrics.count_backoff(outcome);
        self.events.write(&Event::EndpointBackoffRequested {
            endpoint: endpoint.as_str(),
            request: request.as_str(),
            backoff_ms: millis(remaining),
            is_extension: outcome == BackoffOutcome::Extended,
        });
    }

    /// Counts an invalid value, and logs the first one of an endpoint.
    fn ignore_backoff(&self, endpoint: &EndpointId, request: &RequestId, value: &str) {
        self.metrics.count_backoff(BackoffOutcome::Ignored);
        if lock(&self.backoffs.invalid).insert(endpoint.clone()) {
            self.events.write(&Event::BackoffIgnored {
                endpoint: endpoint.as_str(),
                request: request.as_str(),
                value,
            });
        }
    }

    /// Records in the metrics how many endpoints want no requests from this node now.
    pub(crate) fn record_backing_off(&self) {
        let now = clock::now();
        let directory = self.directory.load();
        let tracker = self.backoffs.tracker();
        let backing_off = directory.listed().filter(|endpoint| {
            let end = tracker.end(now, &endpoint.id, endpoint.incarnation);
            end.is_some()
        });
        self.metrics.record_backing_off(backing_off.count());
    }
}
