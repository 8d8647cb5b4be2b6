//! Bodies of requests and answers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::Value;

use crate::server::Cut;

/// The largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The header that carries an attempt's id both ways.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-sesamecart-attempt");
/// The header that names the one try of a keyed action.
pub(crate) const ACTION: HeaderName = HeaderName::from_static("x-sesamecart-action");
/// The header of an answer that says that nothing was run.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-sesamecart-not-run");
/// The header that asks for a stream from a token on, and confirms it.
pub(crate) const RESUME_AT: HeaderName = HeaderName::from_static("x-sesamecart-resume-at");
/// The header that names a group's generation.
pub(crate) const GENERATION: HeaderName = HeaderName::from_static("x-sesamecart-generation");

/// The body of an answer; it can be cut off in the middle.
pub(crate) type Body = UnsyncBoxBody<Bytes, Cut>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("stand-ins' answers have text keys");
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(bytes))
        .expect("the parts are valid")
}

pub(crate) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Answers that nothing was run, as docs/design/platform.md states it.
pub(crate) fn not_run(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = error(status, message);
    response
        .headers_mut()
        .insert(NOT_RUN, http::HeaderValue::from_static("1"));
    response
}

/// Reads a whole body; a request that breaks off is cut off in turn.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Cut> {
    let limited = http_body_util::Limited::new(body, MAX_BODY_BYTES);
    let collected = limited.collect().await.map_err(|_| Cut)?;
    Ok(collected.to_bytes())
}

pub(crate) fn parse(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).unwrap_or(Value::Null)
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Finds a number in a query string.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
