//! The endpoints that have said in their responses that they leave.
//!
//! What an endpoint has said holds for its process: a registry entry that says otherwise doesn't end it, and a
//! process that starts at the same address or with the same ID doesn't leave.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::endpoint::Endpoint;
use crate::number::Incarnation;

#[cfg(test)]
mod tests;

/// How long it is kept that an endpoint leaves that isn't in the registry any more. Its entry may return.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// The share of the drain time for which an endpoint that leaves may still be used if there is no other one. The
/// rest is for requests that are still on their way when it ends.
const LAST_RESORT_SHARE: f64 = 0.75;

/// A process of an endpoint that has said that it leaves.
#[derive(Clone, Debug)]
struct LeavingProcess {
    incarnation: Option<Incarnation>,
    address: SocketAddr,
    /// When it first said so.
    since: Timestamp,
}

impl LeavingProcess {
    /// Returns whether an endpoint with the same ID is this process. Without incarnations, its address tells.
    fn is(&self, endpoint: &Endpoint) -> bool {
        match (self.incarnation, endpoint.incarnation) {
            (Some(own), Some(other)) => own == other,
            _ => self.address == endpoint.address,
        }
    }
}

/// The endpoints that have said in their responses that they leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingEndpoints(IndexMap<EndpointId, Vec<LeavingProcess>>);

impl LeavingEndpoints {
    /// Records that an endpoint has said that it leaves. Returns whether that is new.
    pub(crate) fn record(&mut self, now: Timestamp, endpoint: &Endpoint) -> bool {
        if self.since(endpoint).is_some() {
            return false;
        }
        let process = LeavingProcess {
            incarnation: endpoint.incarnation,
            address: endpoint.address,
            since: now,
        };
        self.0.entry(endpoint.id.clone()).or_default().push(process);
        true
    }

    /// Returns when an endpoint first said that it leaves.
    pub(crate) fn since(&self, endpoint: &Endpoint) -> Option<Timestamp> {
        if self.0.is_empty() {
            return None;
        }
        let mut processes = self.0.get(&endpoint.id)?.iter();
        let process = processes.find(|process| process.is(endpoint))?;
        Some(process.since)
    }

    /// Returns whether an endpoint that leaves may still be used if there is no other one.
    pub(crate) fn is_last_resort(
        &self,
        now: Timestamp,
        drain_time: Duration,
        endpoint: &Endpoint,
    ) -> bool {
        let since = self.since(endpoint);
        since.is_some_and(|since| now.since(since) < drain_time.mul_f64(LAST_RESORT_SHARE))
    }

    /// Returns the IDs of the endpoints.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.0.keys()
    }

    /// Removes the endpoints that aren't known any more, after some time.
    pub(crate) fn prune(&mut self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.0.retain(|id, processes| {
            let is_recent =
                |process: &LeavingProcess| now.since(process.since) < UNLISTED_RETENTION;
            is_known(id) || processes.iter().any(is_recent)
        });
    }
}
