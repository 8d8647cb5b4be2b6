//! Who calls: the customer behind a key, and what the request's headers ask for.

use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sesamecart_config::Customer;
use sesamecart_edges::{CLASS, DEADLINE_MS};
use sesamecart_vocabulary::{CustomerId, KeyHash, RequestClass};

use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;

/// The customer who calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller<'a> {
    pub(crate) id: &'a CustomerId,
    pub(crate) customer: &'a Customer,
}

impl<'a> Caller<'a> {
    /// Finds the customer by the bearer key, which is compared as a hash only.
    pub(crate) fn find(snapshot: &'a Snapshot, headers: &HeaderMap) -> Result<Self, Refusal> {
        let key = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "))
            .ok_or(Refusal::Key)?;
        let hash = KeyHash::of(key.trim().as_bytes());
        let (id, customer) = snapshot.customer(&hash).ok_or(Refusal::Key)?;
        Ok(Self { id, customer })
    }
}

/// Returns the class that a model request asks for; stock and payment actions are never model
/// requests, so a caller can't ask for their class.
pub(crate) fn model_class(headers: &HeaderMap) -> RequestClass {
    match headers.get(CLASS).map(http::HeaderValue::as_bytes) {
        Some(b"batch") => RequestClass::Batch,
        _ => RequestClass::Interactive,
    }
}

/// Returns how long the caller gives the request, at most `limit`.
pub(crate) fn time_limit(headers: &HeaderMap, limit: Duration) -> Duration {
    headers
        .get(DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(limit, |millis| Duration::from_millis(millis).min(limit))
}
