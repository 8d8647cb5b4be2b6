//! Answers that the node gives by itself.

use std::time::Duration;

use derive_more::Display;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use sesamecart_edges::{CallerBody, whole};
use sesamecart_fleet::Unavailable;
use sesamecart_platform::retry_after;

#[cfg(test)]
mod tests;

/// Why a request gets no endpoint's answer.
///
/// The statuses 408, 429 and 503 promise that the request has not run; 502 and 504 promise nothing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request can't be read.
    #[display("{_0}")]
    BadRequest(String),
    /// No route begins the path.
    #[display("no route serves this path")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is missing or not known")]
    Key,
    /// The body is larger than the operator allows.
    #[display("{_0}")]
    TooLarge(String),
    /// The head is larger than the operator allows.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The body came too slowly.
    #[display("{_0}")]
    TooSlow(String),
    /// The node may not serve now.
    #[display("{_0}")]
    NotReady(&'static str),
    /// No endpoint takes it.
    #[display("{_0}")]
    Unavailable(Unavailable),
    /// Endpoints failed before they ran it, and no further attempt may follow.
    #[display("no attempt got through: {_0}")]
    NotRun(String),
    /// It may have run, and gave no whole answer.
    #[display("the endpoint gave no whole answer: {_0}")]
    NoAnswer(String),
    /// The time ran out after it was sent.
    #[display("the endpoint gave no answer in time")]
    TimedOut,
}

/// When callers may come back whom no endpoint takes, the shortest and the longest time: a group is mended within
/// about two seconds.
const ABSENT_RETRY: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_500));

/// The same where no fabric domain holds the model: engines have to be added first, which takes minutes.
const UNSERVABLE_RETRY: (Duration, Duration) = (Duration::from_secs(60), Duration::from_secs(120));

impl Refusal {
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Unavailable(Unavailable::OverShare) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady(_) | Self::Unavailable(_) | Self::NotRun(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoAnswer(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the caller finds a place as soon as others end their requests.
    pub(crate) const fn is_for_want_of_room(&self) -> bool {
        matches!(
            self,
            Self::Unavailable(Unavailable::Full | Unavailable::OverShare)
        )
    }

    /// Returns when the caller may come back, where that doesn't depend on how busy endpoints are; `draw` from 0
    /// to 1 spreads those turned away together.
    pub(crate) fn retry_after(&self, draw: f64) -> Option<Duration> {
        let (least, most) = match self {
            Self::Unavailable(Unavailable::Unservable) => UNSERVABLE_RETRY,
            Self::NotReady(_) | Self::Unavailable(Unavailable::NoEndpoint) | Self::NotRun(_) => {
                ABSENT_RETRY
            }
            _ => return None,
        };
        Some(least + (most - least).mul_f64(draw))
    }

    pub(crate) fn answer(&self, after: Option<Duration>) -> Response<CallerBody> {
        let mut response = Response::new(whole(format!("{self}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = after {
            let (name, value) = retry_after(after);
            headers.insert(name, value);
        }
        response
    }
}
