//! Bodies of requests and answers, read within bounds.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use sesamecart_runtime::within;
use sesamecart_vocabulary::Bytes as ByteSize;

/// An error of any body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BoxError>;

/// Makes a body of bytes that are all there.
#[must_use]
pub fn whole(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body without bytes.
#[must_use]
pub fn empty() -> CallerBody {
    whole(Bytes::new())
}

/// Why a body couldn't be read.
#[derive(Debug, Display, Error)]
pub enum ReadBodyError {
    /// The body is larger than what is taken.
    #[display("the body has more than {_0} bytes")]
    TooLarge(#[error(not(source))] ByteSize),
    /// The other side sent it too slowly.
    #[display("the body did not arrive within {} ms", _0.as_millis())]
    TooSlow(#[error(not(source))] Duration),
    /// The connection broke.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] BoxError),
}

/// Reads a body to its end.
///
/// Both bounds are there because one caller that sends without end, or stops in the middle, would
/// otherwise hold memory for as long as it likes.
///
/// # Errors
///
/// Returns an error when the body passes a bound or breaks off.
pub async fn read_whole<B>(body: B, max: ByteSize, limit: Duration) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let max_len = usize::try_from(max.0).unwrap_or(usize::MAX);
    match within(limit, Limited::new(body, max_len).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge(max)),
        Ok(Err(error)) => Err(ReadBodyError::Broken(error)),
        Err(_) => Err(ReadBodyError::TooSlow(limit)),
    }
}
