//! The evidence about crashes that nodes publish to each other.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{CustomerId, EndpointId, Fingerprint};

use crate::endpoint::Endpoint;
use crate::number::Incarnation;

/// The maximum number of blocked requests and of clearances in one report.
const MAX_REPORTED: usize = 64;

/// The maximum length of a route's name in a report.
const MAX_ROUTE_BYTES: usize = 64;

/// What a node knew about a request when it sent it to an endpoint.
///
/// A crash counts as a further one only if the sender knew of the earlier ones. Copies of a request that
/// crash at the same moment, as in the loss of a failure domain, therefore count as one crash.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The number of successive crashes that are attributed to the request.
    pub crashes: u32,
    /// How often the request was cleared. Evidence from before the last clearance is void.
    pub clearances: u32,
}

/// The end of one incarnation of an endpoint.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{endpoint}")]
pub struct EndpointCrash {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that ended.
    pub incarnation: Option<Incarnation>,
}

impl EndpointCrash {
    /// Returns the end of the current incarnation of an endpoint.
    #[must_use]
    pub fn of(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        }
    }
}

/// A request that was in flight at an endpoint when the endpoint crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashedRun {
    /// The request.
    pub request: Fingerprint,
    /// The crash.
    #[serde(flatten)]
    pub crash: EndpointCrash,
    /// What the node knew about the request when it sent it.
    #[serde(flatten)]
    pub suspicion: Suspicion,
    /// Milliseconds from the first sign of the response to the crash; 0 if there was none.
    pub ran_ms: u32,
}

/// What operators need to find the sender of a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOrigin {
    /// The name of the route.
    pub route: String,
    /// The customer that sent the request, or nothing if the route needs no key.
    pub customer: Option<CustomerId>,
}

impl RequestOrigin {
    /// Creates the origin of a request. The name of the route is cut off if it is very long.
    #[must_use]
    pub fn new(route: &str, customer: Option<CustomerId>) -> Self {
        let end = route.floor_char_boundary(MAX_ROUTE_BYTES);
        Self {
            route: route[..end].to_owned(),
            customer,
        }
    }
}

/// A request that no node sends to an endpoint, because it has crashed several endpoints in succession.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockedRequest {
    /// The request.
    pub request: Fingerprint,
    /// How often the request had been cleared before.
    pub clearances: u32,
    /// Who sends it.
    #[serde(flatten)]
    pub origin: RequestOrigin,
    /// The endpoints that it crashed.
    pub endpoints: Vec<EndpointId>,
    /// Milliseconds from the first sign of its last response to the crash.
    pub ran_ms: u32,
    /// The Unix time in milliseconds since which it is blocked.
    pub since_unix_ms: u64,
}

/// Why a request isn't suspected any more.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClearanceCause {
    /// An endpoint ran it to the end.
    #[display("completed")]
    Completed,
    /// An operator lifted the block.
    #[display("lifted")]
    Lifted,
}

/// A statement that the evidence about a request up to now is void.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The request.
    pub request: Fingerprint,
    /// The number of clearances of the request, including this one.
    pub number: u32,
    /// The cause.
    pub cause: ClearanceCause,
}

/// The evidence that one node has observed itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CrashReport {
    /// The requests that were in flight when an endpoint crashed.
    pub runs: Vec<CrashedRun>,
    /// The requests that the node has blocked.
    pub blocks: Vec<BlockedRequest>,
    /// The requests that the node has cleared.
    pub clearances: Vec<Clearance>,
}

impl CrashReport {
    /// Returns whether the report contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.blocks.is_empty() && self.clearances.is_empty()
    }

    /// Removes what exceeds the limits of a report, the oldest entries first.
    pub(super) fn truncate(&mut self, max_runs: usize) {
        remove_oldest(&mut self.runs, max_runs);
        remove_oldest(&mut self.blocks, MAX_REPORTED);
        remove_oldest(&mut self.clearances, MAX_REPORTED);
    }

    /// Returns whether the report contains evidence about a request from after its clearance `number - 1`.
    pub(super) fn concerns(&self, request: &Fingerprint) -> bool {
        self.runs.iter().any(|run| run.request == *request)
            || self.blocks.iter().any(|block| block.request == *request)
    }
}

fn remove_oldest<T>(entries: &mut Vec<T>, max: usize) {
    entries.drain(..entries.len().saturating_sub(max));
}
