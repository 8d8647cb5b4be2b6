//! The headers of requests that one node forwards for another, and of the responses.
//!
//! A request carries the caller's own head and body, and what the first node knows of it. docs/design/forwarding.md
//! lists the headers.

use std::time::Duration;

use derive_more::{Display, FromStr};
use http::{HeaderMap, HeaderName, HeaderValue};
use sesamecart_fleet::{CatalogVersion, Incarnation};
use sesamecart_vocabulary::EndpointId;

/// The milliseconds since the request arrived at the first node.
const ELAPSED_MS: HeaderName = HeaderName::from_static("x-sesamecart-elapsed-ms");
/// The number of attempts that the first node has made.
const ATTEMPTS: HeaderName = HeaderName::from_static("x-sesamecart-attempts");
/// The endpoints that may have run the request, separated by commas.
const RAN_AT: HeaderName = HeaderName::from_static("x-sesamecart-ran-at");
/// The version of the configuration that the first node used.
const CONFIGURATION: HeaderName = HeaderName::from_static("x-sesamecart-configuration");
/// The last event that the caller has received.
const RESUME_AFTER: HeaderName = HeaderName::from_static("x-sesamecart-resume-after");
/// What became of the request.
const RESULT: HeaderName = HeaderName::from_static("x-sesamecart-result");
/// The endpoint that responded.
const ENDPOINT: HeaderName = HeaderName::from_static("x-sesamecart-endpoint");

/// Set if the endpoint that responded leaves: its incarnation, or nothing if that isn't known.
const LEAVING: HeaderName = HeaderName::from_static("x-sesamecart-leaving");

const REQUEST_HEADERS: [HeaderName; 5] =
    [ELAPSED_MS, ATTEMPTS, RAN_AT, CONFIGURATION, RESUME_AFTER];

/// What the first node tells the second one about a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct HopRequest {
    pub(super) elapsed: Duration,
    pub(super) attempts: u32,
    pub(super) ran_at: Vec<EndpointId>,
    pub(super) configuration: CatalogVersion,
    pub(super) resume_after: Option<String>,
}

/// What became of a request at the second node.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
pub(super) enum HopResult {
    /// The response is an endpoint's.
    Answered,
    /// The request hasn't run, and another node may be tried.
    Elsewhere,
    /// The request hasn't run, and the response is final.
    Refused,
    /// The request may have run.
    Unknown,
}

impl HopRequest {
    /// Adds the headers to a request, in place of any that the caller has sent.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        let elapsed_ms = u64::try_from(self.elapsed.as_millis()).unwrap_or(u64::MAX);
        headers.insert(ELAPSED_MS, HeaderValue::from(elapsed_ms));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        headers.insert(CONFIGURATION, HeaderValue::from(self.configuration.0));
        let ran_at: Vec<&str> = self.ran_at.iter().map(|id| id.as_str()).collect();
        insert_text(headers, RAN_AT, &ran_at.join(","));
        if let Some(last) = &self.resume_after {
            insert_text(headers, RESUME_AFTER, last);
        }
    }

    /// Takes the headers out of a request. Returns nothing if one is missing or invalid.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let ran_at = text(headers, &RAN_AT)?.split(',');
        let ran_at = ran_at.filter(|id| !id.is_empty()).map(str::parse);
        let req = Self {
            elapsed: Duration::from_millis(parse(headers, &ELAPSED_MS)?),
            attempts: parse(headers, &ATTEMPTS)?,
            ran_at: ran_at.collect::<Result<_, _>>().ok()?,
            configuration: CatalogVersion(parse(headers, &CONFIGURATION)?),
            resume_after: text(headers, &RESUME_AFTER).map(str::to_owned),
        };
        for name in REQUEST_HEADERS {
            headers.remove(name);
        }
        Some(req)
    }
}

/// Adds the headers of a response.
pub(super) fn write_result(
    headers: &mut HeaderMap,
    result: HopResult,
    endpoint: Option<&EndpointId>,
) {
    insert_text(headers, RESULT, &result.to_string());
    if let Some(endpoint) = endpoint {
        insert_text(headers, ENDPOINT, endpoint.as_str());
    }
}

/// Takes the headers out of a response. Returns nothing if it isn't the response of a node.
pub(super) fn take_result(headers: &mut HeaderMap) -> Option<(HopResult, Option<EndpointId>)> {
    let result = parse(headers, &RESULT)?;
    let endpoint = parse(headers, &ENDPOINT);
    headers.remove(RESULT);
    headers.remove(ENDPOINT);
    Some((result, endpoint))
}

/// Adds to a response that its endpoint leaves.
pub(super) fn write_leaving(headers: &mut HeaderMap, incarnation: Option<Incarnation>) {
    let incarnation = incarnation.map(|incarnation| incarnation.to_string());
    insert_text(headers, LEAVING, &incarnation.unwrap_or_default());
}

/// Takes out of a response whether its endpoint leaves, with the incarnation if that is known.
pub(super) fn take_leaving(headers: &mut HeaderMap) -> Option<Option<Incarnation>> {
    let value = headers.remove(LEAVING)?;
    Some(value.to_str().ok().and_then(|text| text.parse().ok()))
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
