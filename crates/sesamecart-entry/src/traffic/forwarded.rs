//! Handles requests that other nodes send because they don't reach the endpoints.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::header::{CONTENT_TYPE, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use sesamecart_edges::{CallerBody, whole};
use sesamecart_fleet::Unavailable;
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::EndpointId;

use crate::clock;
use crate::metrics::ForwardingPart;
use crate::reach::ForwardingPermit;
use crate::state::EntryState;
use crate::traffic::handler::{Handler, Refused, discard_rest};
use crate::traffic::hop::{HopRequest, HopResult, write_leaving, write_result};
use crate::traffic::refusal::Refusal;

/// Interval at which the delay of the traffic thread is measured while it forwards requests of other nodes.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The endpoint that responded, as an extension of the response.
#[derive(Clone, Debug)]
pub(super) struct RespondingEndpoint(pub(super) EndpointId);

/// Handles the requests of other nodes.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedHandler {
    state: Arc<EntryState>,
    handler: Handler,
    tasks: Tasks,
    /// Whether a task measures the delay of the traffic thread.
    is_measuring: Arc<AtomicBool>,
}

/// What makes a request one that another node has sent.
#[derive(Debug)]
pub(crate) struct Hop {
    pub(super) req: HopRequest,
    /// The other node's address.
    pub(super) from: IpAddr,
    pub(super) _permit: ForwardingPermit,
}

impl ForwardedHandler {
    pub(crate) fn new(state: Arc<EntryState>, handler: Handler, tasks: Tasks) -> Self {
        Self {
            state,
            handler,
            tasks,
            is_measuring: Arc::default(),
        }
    }

    /// Handles a request of another node. The response says whether the request may have run, and whether yet
    /// another node may be tried.
    pub(crate) async fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<CallerBody> {
        let (mut head, body) = req.into_parts();
        match self.accept(&mut head, &body, peer.ip()) {
            Ok(hop) => self.respond(head, body, hop).await,
            Err((status, reason)) => {
                discard_rest(&head, body).await;
                self.reject(status, reason)
            }
        }
    }

    /// Decides whether this node takes a request of another one.
    ///
    /// # Errors
    ///
    /// Returns the status and the reason for which it doesn't.
    fn accept(
        &self,
        head: &mut Parts,
        body: &Incoming,
        from: IpAddr,
    ) -> Result<Hop, (StatusCode, &'static str)> {
        if !self.is_node(from) {
            return Err((StatusCode::FORBIDDEN, "only nodes may forward requests\n"));
        }
        let Some(hop) = HopRequest::take(&mut head.headers) else {
            return Err((StatusCode::BAD_REQUEST, "a header for nodes is missing\n"));
        };
        let catalog = self.state.catalog.load();
        let version = catalog.as_ref().map(|catalog| catalog.version);
        if version.is_none_or(|version| version < hop.configuration) {
            let reason = "this node's configuration is older\n";
            return Err((StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        let body_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let permit = self.state.try_forward(body_bytes);
        self.measure_delay();
        let Some(permit) = permit else {
            let reason = "this node has no room for requests of others\n";
            return Err((StatusCode::SERVICE_UNAVAILABLE, reason));
        };
        self.state.metrics.count_forwarded(ForwardingPart::Accepted);
        Ok(Hop {
            req: hop,
            from,
            _permit: permit,
        })
    }

    /// Returns whether an address is that of a known node.
    fn is_node(&self, address: IpAddr) -> bool {
        let nodes = self.state.nodes.load();
        nodes.iter().any(|node| node.links.ip() == address)
    }

    async fn respond(&self, head: Parts, body: Incoming, hop: Hop) -> Response<CallerBody> {
        let arrived_at = clock::now() - hop.req.elapsed;
        match self
            .handler
            .try_handle(arrived_at, head, body, Some(hop))
            .await
        {
            Ok(mut response) => {
                let endpoint = response.extensions_mut().remove::<RespondingEndpoint>();
                let endpoint = endpoint.map(|RespondingEndpoint(endpoint)| endpoint);
                let headers = response.headers_mut();
                write_result(headers, HopResult::Answered, endpoint.as_ref());
                self.write_whether_it_leaves(headers, endpoint.as_ref());
                response
            }
            Err(refused) => {
                let result = result_of(&refused);
                let mut response = self.handler.refuse(arrived_at, &refused);
                write_result(response.headers_mut(), result, None);
                response
            }
        }
    }

    /// Tells the other node whether the endpoint that responded leaves.
    fn write_whether_it_leaves(&self, headers: &mut HeaderMap, endpoint: Option<&EndpointId>) {
        let directory = self.state.directory.load();
        let endpoint = endpoint.and_then(|id| directory.find(id));
        if let Some(endpoint) = endpoint.filter(|endpoint| directory.is_leaving(endpoint)) {
            write_leaving(headers, endpoint.incarnation);
        }
    }

    /// Responds that the request wasn't run here and that another node may be tried.
    fn reject(&self, status: StatusCode, reason: &'static str) -> Response<CallerBody> {
        self.state.metrics.count_forwarded(ForwardingPart::Rejected);
        let mut response = Response::new(whole(reason));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        write_result(headers, HopResult::Elsewhere, None);
        response
    }

    /// Starts to measure the delay of this thread, unless it is being measured.
    fn measure_delay(&self) {
        if self.is_measuring.swap(true, Ordering::AcqRel) {
            return;
        }
        let (state, is_measuring) = (Arc::clone(&self.state), Arc::clone(&self.is_measuring));
        self.tasks.spawn(async move {
            measure_thread_delay(&state).await;
            is_measuring.store(false, Ordering::Release);
        });
    }
}

/// Measures the delay of the thread as long as the limits on forwarding need it.
async fn measure_thread_delay(state: &EntryState) {
    while state.reach.gate().needs_measurement() {
        let started_at = Instant::now();
        sleep(DELAY_CHECK_INTERVAL).await;
        let delay = started_at.elapsed().saturating_sub(DELAY_CHECK_INTERVAL);
        state.reach.gate().record_delay(delay);
    }
}

fn result_of(refused: &Refused) -> HopResult {
    match &refused.refusal {
        Refusal::IncompleteResponse(_) | Refusal::TimedOut => HopResult::Unknown,
        Refusal::NotReady(_)
        | Refusal::NoMemory(_)
        | Refusal::NotRun(_)
        | Refusal::Unavailable(Unavailable::NoEndpoint | Unavailable::BackingOff) => {
            HopResult::Elsewhere
        }
        _ => HopResult::Refused,
    }
}

#[cfg(test)]
mod tests;
