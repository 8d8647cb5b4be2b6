//! Error responses that the node itself sends to callers.

use std::time::Duration;

use derive_more::Display;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use sesamecart_edges::{CallerBody, whole};
use sesamecart_fleet::{DispatchRefusal, SuspectKind, Unavailable};
use sesamecart_platform::retry_after;
use sesamecart_vocabulary::Fingerprint;

#[cfg(test)]
mod tests;

/// A request that isn't sent to any endpoint because it may crash it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CrashRefusal {
    pub(crate) fingerprint: Fingerprint,
    /// Whether that is of the request or of a part of its prompt.
    pub(crate) kind: SuspectKind,
    /// Whether it is blocked, rather than still being checked.
    pub(crate) is_blocked: bool,
    pub(crate) retry_after: Duration,
}

/// The refusal of a node to which this one sent a request.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{message}")]
pub(crate) struct RelayedRefusal {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

impl std::fmt::Display for CrashRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            fingerprint, kind, ..
        } = self;
        if self.is_blocked {
            write!(
                f,
                "{kind} {fingerprint} is blocked because it crashed endpoints that ran it"
            )
        } else {
            write!(
                f,
                "it is being checked whether {kind} {fingerprint} crashed its endpoints"
            )
        }
    }
}

/// Why a request isn't answered by an endpoint.
///
/// The statuses 408, 429 and 503 guarantee that the request hasn't run; 502 and 504 guarantee nothing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is malformed.
    #[display("{_0}")]
    BadRequest(String),
    /// No route matches the path.
    #[display("no route serves this path")]
    NoRoute,
    /// The API key is missing or unknown.
    #[display("the key is missing or not known")]
    InvalidKey,
    /// The body exceeds the configured limit.
    #[display("{_0}")]
    TooLarge(String),
    /// The head exceeds the configured limit.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The body arrived too slowly.
    #[display("{_0}")]
    TooSlow(String),
    /// The node can't serve requests now.
    #[display("{_0}")]
    NotReady(&'static str),
    /// Requests of other callers take the node's memory. Other nodes can take it at once.
    #[display("{_0}")]
    NoMemory(&'static str),
    /// No endpoint can take the request.
    #[display("{_0}")]
    Unavailable(Unavailable),
    /// The dispatcher of the request's pool refuses it.
    #[display("{}", _0.cause)]
    Dispatched(DispatchRefusal),
    /// The request may crash its endpoint.
    #[display("{_0}")]
    Crashing(CrashRefusal),
    /// Another node refused the request in this node's place.
    #[display("{_0}")]
    Relayed(RelayedRefusal),
    /// All attempts failed before the request ran, and no further attempt is allowed.
    #[display("no attempt got through: {_0}")]
    NotRun(String),
    /// The request may have run, but no complete response arrived.
    #[display("the endpoint gave no whole answer: {_0}")]
    IncompleteResponse(String),
    /// The node is being stopped, and the request may last longer than that. Other nodes can take it at once.
    #[display("the node is leaving")]
    Leaving,
    /// The node stops before there is an answer. The request may have run.
    #[display("the node stops before the endpoint has answered")]
    Stopped,
    /// The deadline passed after the request was sent.
    #[display("the endpoint gave no answer in time")]
    TimedOut,
}

/// The minimum and maximum `Retry-After` when no endpoint is available. A group is repaired within about two
/// seconds.
const NO_ENDPOINT_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_500));

/// The `Retry-After` of a caller whom another node serves.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The minimum and maximum `Retry-After` when no fabric domain can hold the model. Engines have to be added
/// first, which takes minutes.
const UNSERVABLE_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_secs(60), Duration::from_secs(120));

impl Refusal {
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Relayed(refusal) => refusal.status,
            Self::Dispatched(refusal) => Self::Unavailable(refusal.cause.unavailable()).status(),
            Self::Unavailable(Unavailable::OverShare) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady(_)
            | Self::NoMemory(_)
            | Self::Leaving
            | Self::Unavailable(_)
            | Self::NotRun(_)
            | Self::Crashing(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::IncompleteResponse(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the kind of the cause, for the log.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad request",
            Self::NoRoute => "no route",
            Self::InvalidKey => "invalid key",
            Self::TooLarge(_) | Self::HeadTooLarge => "too large",
            Self::TooSlow(_) => "too slow",
            Self::NotReady(cause) | Self::NoMemory(cause) => cause,
            Self::Unavailable(Unavailable::NoEndpoint) => "no endpoint",
            Self::Unavailable(_) | Self::Dispatched(_) => "no room",
            Self::Crashing(_) => "crashing",
            Self::Relayed(_) => "another node",
            Self::NotRun(_) => "no attempt got through",
            Self::IncompleteResponse(_) => "incomplete response",
            Self::TimedOut => "timed out",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
        }
    }

    /// Returns whether the request was refused for lack of free slots or of permits, so that a retry can succeed as soon as
    /// other requests finish.
    pub(crate) const fn is_capacity_shortage(&self) -> bool {
        matches!(
            self,
            Self::Unavailable(Unavailable::Full | Unavailable::Limited | Unavailable::OverShare)
        )
    }

    /// Returns the time after which the caller may retry, if that doesn't depend on the load of endpoints.
    ///
    /// `jitter` is between 0 and 1 and spreads the retries of callers that were refused at the same time.
    pub(crate) fn retry_after(&self, jitter: f64) -> Option<Duration> {
        let (min, max) = match self {
            Self::Crashing(refusal) => return Some(refusal.retry_after),
            Self::Relayed(refusal) => return refusal.retry_after,
            Self::Dispatched(refusal) => return Some(refusal.retry_after),
            Self::NoMemory(_) => return Some(OTHER_NODE_RETRY_AFTER),
            Self::Unavailable(Unavailable::Unservable) => UNSERVABLE_RETRY_AFTER,
            Self::NotReady(_) | Self::Unavailable(Unavailable::NoEndpoint) | Self::NotRun(_) => {
                NO_ENDPOINT_RETRY_AFTER
            }
            _ => return None,
        };
        Some(min + (max - min).mul_f64(jitter))
    }

    /// Creates the response for the caller, with a `Retry-After` header if `delay` is given.
    pub(crate) fn to_response(&self, delay: Option<Duration>) -> Response<CallerBody> {
        let mut response = Response::new(whole(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if matches!(self, Self::NoMemory(_)) {
            // On the same connection the caller would come back to this node.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = delay {
            let (name, value) = retry_after(delay);
            headers.insert(name, value);
        }
        response
    }
}
