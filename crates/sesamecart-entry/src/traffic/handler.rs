//! Handles one request of a caller, from its head to the last byte of the response.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_lite::future;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue};
use http::request::Parts;
use http::{Request, Response, Version};
use hyper::body::{Body as _, Incoming};
use sesamecart_edges::{CallerBody, HttpClient, discard_body};
use sesamecart_fleet::Catalog;
use sesamecart_platform::{RequestMetadata, forwarded_headers};
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId, Timestamp};

use crate::clock;
use crate::crashes::SuspectClient;
use crate::dispatch::DispatchClient;
use crate::events::Event;
use crate::follower::millis;
use crate::limits::LimitClient;
use crate::start_steps::StartStep;
use crate::state::EntryState;
use crate::traffic::admission::{Admitted, admit};
use crate::traffic::body_memory::{
    BodyMemory, BufferError, BufferedBody, MAX_RESPONSE_BYTES, buffer_body,
};
use crate::traffic::call::{Attempts, Call, EndpointResponse, time_limit};
use crate::traffic::forwarded::{Hop, RespondingEndpoint};
use crate::traffic::pending::PendingRequest;
use crate::traffic::refusal::Refusal;
use crate::traffic::relay::Relay;
use crate::traffic::stream_start::wait_for_first_frame;

/// Handles callers' requests.
#[derive(Clone, Debug)]
pub(crate) struct Handler {
    state: Arc<EntryState>,
    client: HttpClient,
    limits: LimitClient,
    suspect_starts: SuspectClient,
    dispatcher: DispatchClient,
}

impl Handler {
    pub(crate) const fn new(
        state: Arc<EntryState>,
        client: HttpClient,
        limits: LimitClient,
        suspect_starts: SuspectClient,
        dispatcher: DispatchClient,
    ) -> Self {
        Self {
            state,
            client,
            limits,
            suspect_starts,
            dispatcher,
        }
    }

    /// Handles a request. Each failure is turned into a response whose status shows whether the request may
    /// have run.
    pub(crate) async fn handle(&self, req: Request<Incoming>) -> Response<CallerBody> {
        let arrived_at = clock::now();
        let (head, body) = req.into_parts();
        let mut response = match self.try_handle(arrived_at, head, body, None).await {
            Ok(response) => response,
            Err(refused) => {
                let status = refused.refusal.status().as_u16();
                self.state.metrics.count_response("node", status);
                self.refuse(arrived_at, &refused)
            }
        };
        if self.state.is_leaving() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Creates the response for a refused request, and logs the refusal.
    pub(super) fn refuse(&self, arrived_at: Timestamp, refused: &Refused) -> Response<CallerBody> {
        let Refused {
            id,
            refusal,
            retry_after,
        } = refused;
        let status = refusal.status().as_u16();
        self.state.refusals.count(refusal.kind());
        let catalog = self.state.catalog.load();
        self.state.events.write(&Event::Refused {
            request: id,
            status,
            cause: &refusal.to_string(),
            retry_after_ms: (*retry_after).map(millis),
            configuration: catalog.as_ref().map_or(0, |catalog| catalog.version.0),
            configuration_age_ms: self.state.configuration_age().map(millis),
            after_ms: millis(clock::now().since(arrived_at)),
        });
        refusal.to_response(*retry_after)
    }

    /// Handles a request of a caller, or with `hop` of another node.
    pub(super) async fn try_handle(
        &self,
        arrived_at: Timestamp,
        head: Parts,
        body: Incoming,
        hop: Option<Hop>,
    ) -> Result<Response<CallerBody>, Refused> {
        let metadata = match RequestMetadata::read(&head) {
            Ok(metadata) => metadata,
            Err(error) => {
                discard_rest(&head, body).await;
                let refusal = Refusal::BadRequest(error.to_string());
                return Err(Refused::new(String::new(), refusal));
            }
        };
        let pending = PendingRequest::new(Arc::clone(&self.state), metadata.id.clone(), arrived_at);
        let result = self
            .handle_read_head(arrived_at, head, metadata, body, hop)
            .await;
        pending.finish();
        result
    }

    async fn handle_read_head(
        &self,
        arrived_at: Timestamp,
        head: Parts,
        mut metadata: RequestMetadata,
        body: Incoming,
        hop: Option<Hop>,
    ) -> Result<Response<CallerBody>, Refused> {
        let id = metadata.id.to_string();
        let refused = |refusal| Refused::new(id.clone(), refusal);
        let admitted = match admit(&self.state, &head, &metadata) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                discard_rest(&head, body).await;
                return Err(refused(refusal));
            }
        };
        if let Some(refusal) = self.refusal_by_stop(arrived_at, &admitted, &metadata) {
            discard_rest(&head, body).await;
            return Err(refused(refusal));
        }
        let Some(request_memory) = self.state.body_memory.begin_request() else {
            discard_rest(&head, body).await;
            return Err(refused(Refusal::NoMemory(
                "the node has no memory left for another request",
            )));
        };
        self.state.record_request();
        if let Some(hop) = &hop {
            metadata.last_event.clone_from(&hop.req.resume_after);
            self.log_accepted(&metadata, hop);
        }
        let body = read_request_body(&admitted.catalog, &head, body, &self.state.body_memory)
            .await
            .map_err(refused)?;
        let (body, body_memory) = body.into_bytes();
        let call = Arc::new(Call {
            state: Arc::clone(&self.state),
            client: self.client.clone(),
            limits: self.limits.clone(),
            suspect_starts: self.suspect_starts.clone(),
            dispatcher: self.dispatcher.clone(),
            catalog: admitted.catalog,
            route: admitted.route,
            customer: admitted.customer,
            metadata,
            head,
            body,
            _body_memory: body_memory,
            _request_memory: request_memory,
            arrived_at,
            hop,
            suspects: OnceLock::new(),
            has_failed: Arc::default(),
        });
        // The demand of a caller counts at the node that it called.
        if call.hop.is_none() {
            call.record_demand();
        }
        let stopped = async {
            self.state.stop.wait_for_end().await;
            Err(Refusal::Stopped)
        };
        let served = future::or(serve(&call), stopped).await;
        served.map_err(|refusal| {
            call.record_failure();
            Refused {
                id: id.clone(),
                retry_after: call.retry_after(&refusal),
                refusal,
            }
        })
    }

    /// Returns the refusal of a request that may last longer than this node, which is being stopped, can serve it.
    fn refusal_by_stop(
        &self,
        now: Timestamp,
        admitted: &Admitted,
        metadata: &RequestMetadata,
    ) -> Option<Refusal> {
        let times = self.state.stop.times()?;
        let time_limit = time_limit(metadata, &admitted.route);
        let may_repeat = admitted.route.delivery.may_repeat();
        let is_taken = times.allow(now, time_limit, may_repeat);
        (!is_taken).then_some(Refusal::Leaving)
    }

    fn log_accepted(&self, metadata: &RequestMetadata, hop: &Hop) {
        let event = Event::ForwardingAccepted {
            request: metadata.id.as_str(),
            from: &hop.from.to_string(),
        };
        self.state.events.write_success(clock::now(), &event);
    }
}

/// A request that the node refuses.
pub(super) struct Refused {
    id: String,
    pub(super) refusal: Refusal,
    /// The time after which the caller may retry.
    retry_after: Option<Duration>,
}

impl Refused {
    fn new(id: String, refusal: Refusal) -> Self {
        let retry_after = refusal.retry_after(fastrand::f64());
        Self {
            id,
            refusal,
            retry_after,
        }
    }
}

/// The maximum size of the rest of a refused request that is read before the response.
const MAX_DISCARDED_BYTES: ByteSize = ByteSize(1024 * 1024);

/// How long the response to a refused request waits for the rest of its body.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Reads the rest of a request that is refused before its body is read. The answer would be lost with a connection that
/// is closed before its caller has sent all.
pub(super) async fn discard_rest(head: &Parts, body: Incoming) {
    // A caller that waits to be told to send its body isn't told so.
    if !head.headers.contains_key(EXPECT) {
        discard_body(body, MAX_DISCARDED_BYTES, DISCARD_TIME).await;
    }
}

/// Reads the body of a request within the configured limits and the node's memory.
async fn read_request_body(
    catalog: &Catalog,
    head: &Parts,
    mut body: Incoming,
    memory: &BodyMemory,
) -> Result<BufferedBody, Refusal> {
    let limits = &catalog.limits;
    if body.size_hint().lower() > limits.max_body_bytes.0 {
        discard_rest(head, body).await;
        return Err(Refusal::TooLarge(format!(
            "the body has more than {} bytes",
            limits.max_body_bytes
        )));
    }
    let max_bytes = usize::try_from(limits.max_body_bytes.0).unwrap_or(usize::MAX);
    let read = buffer_body(&mut body, memory, max_bytes, limits.idle_time).await;
    let error = match read {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    // By now the caller has been told to send its body.
    discard_body(body, MAX_DISCARDED_BYTES, DISCARD_TIME).await;
    Err(match error {
        BufferError::TooLarge(_) => Refusal::TooLarge(error.to_string()),
        BufferError::NoMemory => Refusal::NoMemory("the node has no memory left for long bodies"),
        BufferError::TooSlow(_) => Refusal::TooSlow(error.to_string()),
        BufferError::Broken(_) => Refusal::BadRequest(error.to_string()),
    })
}

/// Sends the request to endpoints and returns the response for the caller.
async fn serve(call: &Arc<Call>) -> Result<Response<CallerBody>, Refusal> {
    let mut attempts = call.first_attempts();
    let last_event = call.metadata.last_event.as_deref();
    loop {
        let received = call.send_with_retries(&mut attempts, last_event).await?;
        if call.route.delivery.is_stream() && received.status.is_success() {
            let response = start_stream(call, attempts, received).await;
            return with_length_for_http_1_0(call, response).await;
        }
        let endpoint = received.in_flight.endpoint().clone();
        let response = match call.buffer_response(received).await {
            Ok(response) => response,
            Err(refusal) => {
                attempts.record_incomplete(endpoint);
                if call.may_retry(&attempts) {
                    continue;
                }
                return Err(refusal);
            }
        };
        if !response.status().is_server_error() {
            return Ok(forward_response(call, &attempts, &endpoint, response));
        }
        attempts.record_incomplete(endpoint.clone());
        return Ok(retry_server_error(call, attempts, endpoint, response).await);
    }
}

/// Retries a repeatable request at another endpoint after a server error. If that attempt gives no response,
/// the first response is forwarded.
async fn retry_server_error(
    call: &Call,
    mut attempts: Attempts,
    endpoint: EndpointId,
    first: Response<BufferedBody>,
) -> Response<CallerBody> {
    if !call.may_retry(&attempts) {
        return forward_response(call, &attempts, &endpoint, first);
    }
    let last_event = call.metadata.last_event.as_deref();
    let Ok(received) = call.send_with_retries(&mut attempts, last_event).await else {
        return forward_response(call, &attempts, &endpoint, first);
    };
    let second_endpoint = received.in_flight.endpoint().clone();
    match call.buffer_response(received).await {
        Ok(response) => forward_response(call, &attempts, &second_endpoint, response),
        Err(_) => forward_response(call, &attempts, &endpoint, first),
    }
}

/// Starts streaming an endpoint's response to the caller, or responds with an error if it fails before its first event.
async fn start_stream(
    call: &Arc<Call>,
    attempts: Attempts,
    received: EndpointResponse,
) -> Response<CallerBody> {
    let response = stream_response(call, attempts, received);
    // The node that has sent the request does this for its caller.
    if call.hop.is_some() {
        return response;
    }
    wait_for_first_frame(response)
        .await
        .unwrap_or_else(|error| {
            let refusal = if call.time_left().is_zero() {
                Refusal::TimedOut
            } else {
                Refusal::IncompleteResponse(error.to_string())
            };
            refusal.to_response(None)
        })
}

/// Starts streaming an endpoint's response to the caller.
fn stream_response(
    call: &Arc<Call>,
    attempts: Attempts,
    received: EndpointResponse,
) -> Response<CallerBody> {
    let (status, headers) = (received.status, forwarded_headers(&received.headers));
    let endpoint = RespondingEndpoint(received.in_flight.endpoint().clone());
    let relay = Relay::new(Arc::clone(call), attempts, received);
    let mut response = Response::new(relay.into_body());
    response.extensions_mut().insert(endpoint);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Gives the response to a caller of HTTP/1.0 a length. It knows no chunks, so a stream that breaks off would look
/// complete.
async fn with_length_for_http_1_0(
    call: &Call,
    response: Response<CallerBody>,
) -> Result<Response<CallerBody>, Refusal> {
    if call.head.version != Version::HTTP_10 {
        return Ok(response);
    }
    let (mut head, body) = response.into_parts();
    // Without the type the compiler can't tell that the future may be sent to another thread.
    let memory = &call.state.body_memory;
    let body: Pin<Box<dyn Future<Output = _> + Send + '_>> = Box::pin(buffer_body(
        body,
        memory,
        MAX_RESPONSE_BYTES,
        call.time_left(),
    ));
    let body = body
        .await
        .map_err(|error| Refusal::IncompleteResponse(error.to_string()))?;
    head.headers
        .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    Ok(Response::from_parts(head, body.into_caller_body()))
}

/// Forwards an endpoint's complete response unchanged.
fn forward_response(
    call: &Call,
    attempts: &Attempts,
    endpoint: &EndpointId,
    response: Response<BufferedBody>,
) -> Response<CallerBody> {
    call.record_completion();
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let elapsed = call.elapsed();
    call.count_response("endpoint", status);
    call.record_first_response();
    call.state.reach_start_step(StartStep::FirstResponse);
    call.state.events.write_success(
        clock::now(),
        &Event::Answered {
            request: call.metadata.id.as_str(),
            endpoint: endpoint.as_str(),
            status,
            attempts: attempts.made,
            route: &call.route.name,
            first_ms: millis(elapsed),
            pause_ms: 0,
            total_ms: millis(elapsed),
        },
    );
    let len = body.len();
    let mut forwarded = Response::new(body.into_caller_body());
    let responding = RespondingEndpoint(endpoint.clone());
    forwarded.extensions_mut().insert(responding);
    *forwarded.status_mut() = head.status;
    *forwarded.headers_mut() = forwarded_headers(&head.headers);
    forwarded
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(len));
    forwarded
}
