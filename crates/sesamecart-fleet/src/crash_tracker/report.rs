//! The evidence about crashes that nodes publish to each other.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{CustomerId, EndpointId, Fingerprint, PromptPartId};

use super::suspects::Suspects;

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
    /// The parts of the request's prompt that aren't known to be harmless.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<SuspectedPart>,
    /// The customer that sent the request, if its prompt has such parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
}

/// A part of the prompt of a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectedPart {
    /// The part.
    pub part: Fingerprint,
    /// What the node knew about the part when it sent the request.
    #[serde(flatten)]
    pub suspicion: Suspicion,
}

impl CrashedRun {
    /// Returns whether the run stands for runs of several requests with one part in their prompts.
    pub(super) fn is_of_part_only(&self) -> bool {
        self.parts.iter().any(|part| part.part == self.request)
    }

    /// Returns the largest number of crashes that are attributed to the request or to a part of its prompt.
    pub(super) fn most_crashes(&self) -> u32 {
        let parts = self.parts.iter().map(|part| part.suspicion.crashes);
        parts.fold(self.suspicion.crashes, u32::max)
    }

    /// Returns the request and the suspected parts of its prompt.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().map(|part| part.part);
        std::iter::once(self.request).chain(parts)
    }

    /// Returns what was known about one of the suspects when the request was sent.
    pub(super) fn suspicion_of(&self, suspect: &Fingerprint) -> Option<Suspicion> {
        let mut parts = self.parts.iter();
        let part = parts.find(|part| part.part == *suspect);
        let of_part = part.map(|part| part.suspicion);
        of_part.or_else(|| (self.request == *suspect).then_some(self.suspicion))
    }

    /// Returns whether the crash may be attributed to a suspect.
    pub(super) fn concerns(&self, suspect: &Fingerprint) -> bool {
        self.request == *suspect || self.parts.iter().any(|part| part.part == *suspect)
    }
}

/// What operators need to find the sender of a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOrigin {
    /// The name of the route.
    pub route: String,
    /// The customer that sent the request, or nothing if the route needs no key.
    pub customer: Option<CustomerId>,
    /// The parts of its prompt, to name the one that is blocked.
    #[serde(skip)]
    pub parts: Vec<PromptPartId>,
}

impl RequestOrigin {
    /// Creates the origin of a request. The name of the route is cut off if it is very long.
    #[must_use]
    pub fn new(route: &str, suspects: &Suspects) -> Self {
        let end = route.floor_char_boundary(MAX_ROUTE_BYTES);
        Self {
            route: route[..end].to_owned(),
            customer: suspects.customer.clone(),
            parts: suspects.parts.iter().map(|part| part.id).collect(),
        }
    }
}

/// A request, or requests with one part in their prompts, that no node sends to an endpoint, because they have
/// crashed several endpoints in succession.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockedRequest {
    /// The request or the part.
    pub request: Fingerprint,
    /// The part as callers name it, or nothing if the block is of one request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
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
        self.runs.iter().any(|run| run.concerns(request))
            || self.blocks.iter().any(|block| block.request == *request)
    }
}

fn remove_oldest<T>(entries: &mut Vec<T>, max: usize) {
    entries.drain(..entries.len().saturating_sub(max));
}
