//! Holds the head of a streamed response back until its first events are there.
//!
//! A stream that fails before that is answered with a status. After the head, the only way to tell the caller is to
//! end its connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use sesamecart_edges::{BoxError, CallerBody, empty};

/// Waits for the first frame of a response's body.
///
/// # Errors
///
/// Returns the error with which the body ended before its first frame.
pub(super) async fn wait_for_first_frame(
    response: Response<CallerBody>,
) -> Result<Response<CallerBody>, BoxError> {
    let (head, mut body) = response.into_parts();
    let body = match body.frame().await {
        Some(first) => StartedBody {
            first: Some(first?),
            rest: body,
        }
        .boxed_unsync(),
        None => empty(),
    };
    Ok(Response::from_parts(head, body))
}

/// A body whose first frame was read.
struct StartedBody {
    first: Option<Frame<Bytes>>,
    rest: CallerBody,
}

impl Body for StartedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // The length of a stream isn't known.
        SizeHint::default()
    }
}
