//! The headers that nodes, endpoints and callers exchange.

use http::HeaderName;

/// The attempt id; an answer without it is dropped.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-sesamecart-attempt");
/// The request id, for following one request over nodes.
pub const REQUEST: HeaderName = HeaderName::from_static("x-sesamecart-request");
/// Milliseconds that are left for the request.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-sesamecart-deadline-ms");
/// The priority of the request at the engine; lower goes first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-sesamecart-priority");
/// The fencing number under which the request was let in.
pub const EPOCH: HeaderName = HeaderName::from_static("x-sesamecart-epoch");
/// The generation of the serving group that the node chose.
pub const GENERATION: HeaderName = HeaderName::from_static("x-sesamecart-generation");
/// The number of tokens already passed on, when a broken stream is resumed.
pub const RESUME_AT: HeaderName = HeaderName::from_static("x-sesamecart-resume-at");
/// Set on an answer that says that nothing was run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-sesamecart-not-run");
/// What became of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sesamecart-outcome");
/// The one try of a keyed action, by which an endpoint can be asked what became of it.
pub const ACTION: HeaderName = HeaderName::from_static("x-sesamecart-action");
/// Set on an answer that was given before to a request with the same idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// The class that a caller asks for.
pub const CLASS: HeaderName = HeaderName::from_static("x-sesamecart-class");
/// The caller's key for an action that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
