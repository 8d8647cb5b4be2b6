//! Bodies of requests and responses, read within limits of size and time.

use std::time::Duration;

use bytes::{Buf as _, Bytes};
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::Bytes as ByteSize;

/// The boxed error of a body or a client call.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BoxError>;

/// Creates a body from bytes in memory.
#[must_use]
pub fn whole(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty() -> CallerBody {
    whole(Bytes::new())
}

/// The reason why a body could not be read.
#[derive(Debug, Display, Error)]
pub enum ReadBodyError {
    /// The body exceeds the maximum size.
    #[display("the body has more than {_0} bytes")]
    TooLarge(#[error(not(source))] ByteSize),
    /// The body did not arrive within the timeout.
    #[display("the body did not arrive within {} ms", _0.as_millis())]
    TooSlow(#[error(not(source))] Duration),
    /// The connection failed before the end of the body.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] BoxError),
}

/// Reads the rest of a request that is refused, so that its caller gets the answer.
///
/// A connection that is closed before all of a request is read is reset, and a caller that is still sending loses the
/// answer. Returns once the body ends or exceeds `max` bytes, or after `timeout`.
pub async fn discard_body<B>(mut body: B, max: ByteSize, timeout: Duration)
where
    B: Body + Unpin,
{
    let discard = async {
        let mut len = 0;
        while len <= max.0
            && let Some(Ok(frame)) = body.frame().await
        {
            len += frame.data_ref().map_or(0, |data| data.remaining() as u64);
        }
    };
    // What is still to come then, is lost with the connection.
    let _elapsed = with_timeout(timeout, discard).await;
}

/// Reads a body to its end.
///
/// Without the limits, a caller that never stops sending, or that stalls in the middle, would hold memory
/// indefinitely.
///
/// # Errors
///
/// Returns an error if the body exceeds `max` bytes, takes longer than `timeout` or ends early.
pub async fn read_body<B>(body: B, max: ByteSize, timeout: Duration) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let max_len = usize::try_from(max.0).unwrap_or(usize::MAX);
    match with_timeout(timeout, Limited::new(body, max_len).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge(max)),
        Ok(Err(error)) => Err(ReadBodyError::Broken(error)),
        Err(_) => Err(ReadBodyError::TooSlow(timeout)),
    }
}
