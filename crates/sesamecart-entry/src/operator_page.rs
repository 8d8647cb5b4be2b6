//! The pages at the metrics address: the metrics, the blocked requests, which operators may lift, the pools of
//! endpoints that this node doesn't reach, the endpoints that limit their requests, and those that leave.

use http::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use sesamecart_edges::{CallerBody, empty, whole};
use sesamecart_vocabulary::Fingerprint;

use crate::clock;
use crate::state::EntryState;

/// The path that lists the blocked requests. With a fingerprint appended, it is the path of one of them.
const BLOCKED_REQUESTS: &str = "/blocked-requests";

/// The path that lists the pools of endpoints that this node doesn't reach.
const UNREACHABLE_POOLS: &str = "/unreachable-pools";

/// The path that lists the endpoints that limit the requests of all nodes together.
const LIMITED_ENDPOINTS: &str = "/limited-endpoints";

/// The path that lists the endpoints that have said in responses that they leave.
const LEAVING_ENDPOINTS: &str = "/leaving-endpoints";

/// Responds to a request at the metrics address.
pub(crate) fn operator_page(state: &EntryState, req: &Request<Incoming>) -> Response<CallerBody> {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, UNREACHABLE_POOLS) => return json_page(&state.unreachable_pools()),
        (&Method::GET, LIMITED_ENDPOINTS) => return json_page(&state.limited_endpoints()),
        (&Method::GET, LEAVING_ENDPOINTS) => return json_page(&state.leaving_endpoints()),
        (_, UNREACHABLE_POOLS | LIMITED_ENDPOINTS | LEAVING_ENDPOINTS) => {
            return not_allowed("GET");
        }
        _ => {}
    }
    let Some(request) = path.strip_prefix(BLOCKED_REQUESTS) else {
        return metrics_page(state);
    };
    match (req.method(), request.strip_prefix('/')) {
        (&Method::GET, None) if request.is_empty() => json_page(&state.blocked_requests()),
        (&Method::DELETE, Some(fingerprint)) => lift(state, fingerprint),
        (_, None) if request.is_empty() => not_allowed("GET"),
        (_, Some(_)) => not_allowed("DELETE"),
        _ => text(StatusCode::NOT_FOUND, "there is no such page\n"),
    }
}

fn json_page(entries: &impl Serialize) -> Response<CallerBody> {
    match serde_json::to_vec(entries) {
        Ok(body) => {
            let mut response = Response::new(whole(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::error!("node: a page can't be serialized: {error}.");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            text(status, "the page can't be written\n")
        }
    }
}

/// Lifts a block at all nodes.
fn lift(state: &EntryState, fingerprint: &str) -> Response<CallerBody> {
    let Ok(fingerprint) = fingerprint.parse::<Fingerprint>() else {
        let reason = "the fingerprint must be 32 hexadecimal digits\n";
        return text(StatusCode::BAD_REQUEST, reason);
    };
    let is_lifted = state.crashes.tracker().lift(clock::now(), &fingerprint);
    if !is_lifted {
        return text(StatusCode::NOT_FOUND, "no such request is blocked\n");
    }
    state.crashes.notify();
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

fn metrics_page(state: &EntryState) -> Response<CallerBody> {
    state.record_backing_off();
    match state.metrics.render() {
        Ok(text) => Response::new(whole(text)),
        Err(error) => {
            log::error!("node: the metrics can't be rendered: {error}.");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            text(status, "the metrics can't be written\n")
        }
    }
}

fn not_allowed(allowed: &'static str) -> Response<CallerBody> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "the method isn't allowed\n");
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(ALLOW, allowed);
    response
}

fn text(status: StatusCode, reason: &'static str) -> Response<CallerBody> {
    let mut response = Response::new(whole(reason));
    *response.status_mut() = status;
    response
}
