//! Names of the HTTP headers that nodes, endpoints and callers use.

use http::HeaderName;

/// The attempt id; a response without it is discarded.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-sesamecart-attempt");
/// The request id, used to trace a request across nodes.
pub const REQUEST: HeaderName = HeaderName::from_static("x-sesamecart-request");
/// The milliseconds that remain until the request's deadline.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-sesamecart-deadline-ms");
/// The request's priority at the engine; lower values are served first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-sesamecart-priority");
/// The fencing token (lease epoch) under which the request was admitted.
pub const EPOCH: HeaderName = HeaderName::from_static("x-sesamecart-epoch");
/// The generation of the serving group that the node chose.
pub const GENERATION: HeaderName = HeaderName::from_static("x-sesamecart-generation");
/// The number of tokens that were already forwarded when a broken stream is resumed.
pub const RESUME_AT: HeaderName = HeaderName::from_static("x-sesamecart-resume-at");
/// Set on a response if no part of the request was run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-sesamecart-not-run");
/// The outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sesamecart-outcome");
/// The attempt id of a keyed action, used to query its outcome at an endpoint.
pub const ACTION: HeaderName = HeaderName::from_static("x-sesamecart-action");
/// Set on a stored response that is replayed for a request with the same idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// The traffic class that a caller requests.
pub const CLASS: HeaderName = HeaderName::from_static("x-sesamecart-class");
/// The caller's idempotency key for an action that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
