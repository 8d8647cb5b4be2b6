//! Checks whether an endpoint's response belongs to the request and whether the request ran.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use sesamecart_edges::{Exchange, PooledConnection, read_body};
use sesamecart_fleet::Endpoint;
use sesamecart_platform::{NotRunReason, ResponseHead};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId, RequestId};

use crate::clock;
use crate::crashes::{Liveness, probe};
use crate::traffic::body_memory::{BufferError, BufferedBody, MAX_RESPONSE_BYTES, buffer_body};
use crate::traffic::call::{AttemptError, Call, EndpointResponse};
use crate::traffic::flight::Flight;
use crate::traffic::in_flight::InFlightRequest;
use crate::traffic::refusal::Refusal;
use crate::traffic::timeout::MIN_RESPONSE_TIMEOUT;

/// The maximum size of a rejection's body, which is read only so that the connection can be reused.
const MAX_REJECTION_BODY: ByteSize = ByteSize(64 * 1024);

/// Idle connections of all nodes may use `1 / IDLE_CONNECTIONS_DIVISOR` of an endpoint's connections; the
/// others are left for requests in flight.
///
/// Without a limit, idle connections fill up the endpoint, which then resets the connection of the next
/// request.
const IDLE_CONNECTIONS_DIVISOR: usize = 2;

/// How long an endpoint is ejected after it rejected a request.
const REJECTED_EJECTION_TIME: Duration = Duration::from_millis(60);

/// How long an endpoint is ejected after another endpoint responded at its address. The registry shows the
/// change by then.
const MISDIRECTED_EJECTION_TIME: Duration = Duration::from_millis(500);

/// How long an endpoint that is silent after its answer is asked whether it still runs.
const STOP_CHECK_TIME: Duration = Duration::from_secs(3);

/// Interval between two of these questions.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why an answer that ended with its connection isn't used.
pub(super) const STOPPED: &str = "the endpoint stopped when its answer ended";

impl Call {
    /// Checks the head of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response proves that the request wasn't run, or if it isn't a valid response to this
    /// request, for example because it belongs to another one.
    pub(super) async fn check_response(
        &self,
        exchange: Exchange,
        mut in_flight: InFlightRequest,
    ) -> Result<EndpointResponse, AttemptError> {
        let (head, body) = exchange.response.into_parts();
        let response_head = ResponseHead::read(&head);
        if let Some(load) = response_head.load {
            let now = clock::now();
            self.state
                .loads()
                .record_report(now, &in_flight.endpoint.id, load);
        }
        if response_head.is_leaving {
            self.record_leaving(&in_flight.endpoint, &response_head);
        }
        self.limits.observe(
            &in_flight.endpoint,
            &self.metadata.id,
            in_flight.sent_at(),
            &response_head,
        );
        let is_backing_off = self.state.observe_backoff(
            &in_flight.endpoint,
            &self.metadata.id,
            in_flight.sent_at(),
            &response_head,
        );
        if let Some(not_run) = response_head.not_run {
            in_flight.mark_ended();
            if !is_backing_off {
                self.eject_rejecting(&in_flight.endpoint.id, not_run, &response_head);
            }
            // The connection can be reused only if the rest of the body arrives within this short time.
            if read_body(body, MAX_REJECTION_BODY, MIN_RESPONSE_TIMEOUT)
                .await
                .is_ok()
            {
                self.return_connection(exchange.lease);
            }
            let cause = format!("{not_run} ({})", response_head.status);
            return Err(AttemptError::new(cause, false));
        }
        if let Some(fault) = response_fault(&response_head, &self.metadata.id) {
            if is_backing_off {
                in_flight.mark_ended();
            } else {
                in_flight.mark_failed();
            }
            let cause = format!("{fault} ({})", response_head.status);
            return Err(AttemptError::new(cause, true));
        }
        in_flight.record_taken();
        in_flight.record_activity();
        if let Some((_, model)) = self.engine_model() {
            let time_to_head = in_flight.age();
            self.state
                .first_event_timeouts()
                .observe(&model.model, time_to_head);
        }
        Ok(EndpointResponse {
            status: response_head.status,
            ends_with_connection: response_head.ends_with_connection,
            headers: head.headers,
            body,
            lease: exchange.lease,
            in_flight: Flight::Endpoint(Box::new(in_flight)),
        })
    }

    /// Records that an endpoint has said that it leaves. Connections to it aren't used again.
    fn record_leaving(&self, endpoint: &Arc<Endpoint>, head: &ResponseHead) {
        self.client.retire_connections(endpoint.address);
        let request = self.metadata.id.as_str();
        let responder = head.responder.as_ref();
        match responder.filter(|responder| **responder != endpoint.id) {
            None => self.state.record_leaving(endpoint, request),
            // Another endpoint has the address now.
            Some(responder) => {
                let directory = self.state.directory.load_full();
                let responder = directory.find(responder);
                if let Some(other) = responder.filter(|other| other.address == endpoint.address) {
                    self.state.record_leaving(other, request);
                }
            }
        }
    }

    /// Ejects an endpoint that rejected a request.
    fn eject_rejecting(
        &self,
        endpoint: &EndpointId,
        not_run: NotRunReason,
        response_head: &ResponseHead,
    ) {
        let now = clock::now();
        let ejection_time = match not_run {
            NotRunReason::Misdirected => MISDIRECTED_EJECTION_TIME,
            NotRunReason::Full | NotRunReason::Rejected => REJECTED_EJECTION_TIME,
        };
        self.state.loads().eject(now, endpoint, ejection_time);
        if response_head
            .faulty_endpoint
            .as_ref()
            .is_some_and(|id| id != endpoint)
        {
            log::debug!(
                "traffic: {endpoint} rejected a request because of {:?}.",
                response_head.faulty_endpoint
            );
        }
    }

    /// Reads a response completely before it is forwarded.
    ///
    /// # Errors
    ///
    /// Fails if the body doesn't arrive completely.
    pub(crate) async fn buffer_response(
        &self,
        response: EndpointResponse,
    ) -> Result<Response<BufferedBody>, Refusal> {
        let EndpointResponse {
            status,
            headers,
            body,
            ends_with_connection,
            lease,
            mut in_flight,
        } = response;
        let body = buffer_body(
            body,
            &self.state.body_memory,
            MAX_RESPONSE_BYTES,
            self.time_left(),
        )
        .await;
        let is_cut = body.is_ok() && ends_with_connection && self.has_stopped(&in_flight).await;
        match body {
            Ok(_) if is_cut => {
                in_flight.mark_failed();
                self.wait_for_crash_check(&in_flight).await;
                Err(Refusal::IncompleteResponse(STOPPED.to_owned()))
            }
            Ok(body) => {
                if !ends_with_connection {
                    self.return_connection(lease);
                }
                if status.is_server_error() {
                    in_flight.mark_failed();
                } else {
                    in_flight.mark_succeeded();
                }
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(response)
            }
            Err(error) => {
                match &error {
                    // The endpoint isn't at fault.
                    BufferError::NoMemory => in_flight.mark_ended(),
                    BufferError::TooLarge(_) | BufferError::TooSlow(_) => in_flight.mark_failed(),
                    BufferError::Broken(_) => {
                        in_flight.mark_failed();
                        self.wait_for_crash_check(&in_flight).await;
                    }
                }
                Err(Refusal::IncompleteResponse(error.to_string()))
            }
        }
    }

    /// Has it checked whether an endpoint has crashed, if this node sent the request there itself.
    async fn wait_for_crash_check(&self, flight: &Flight) {
        if let Some(run) = flight.direct() {
            let check = self.check_for_crash(run);
            self.wait_for_check(&run.context, check).await;
        }
    }

    /// Returns whether the endpoint has stopped since it ended an answer by closing the connection.
    ///
    /// A crash closes connections like the end of such an answer, so the answer may be cut. That holds for an endpoint
    /// that leaves as well: a planned exit and a crash look the same. An endpoint that is silent
    /// is asked again, as only its answer shows that it hasn't stopped.
    pub(super) async fn has_stopped(&self, flight: &Flight) -> bool {
        let Some(run) = flight.direct() else {
            return false;
        };
        // Without an answer by the deadline, the endpoint counts as stopped.
        let is_running = with_timeout(self.time_left(), self.is_running(&run.endpoint)).await;
        !is_running.unwrap_or(false)
    }

    async fn is_running(&self, endpoint: &Endpoint) -> bool {
        let deadline = clock::now() + STOP_CHECK_TIME;
        loop {
            match probe(&self.client, endpoint.address, endpoint.incarnation).await {
                Liveness::Running => return true,
                Liveness::Stopped => return false,
                Liveness::Listening | Liveness::Unreachable => {}
            }
            if deadline.since(clock::now()) < STOP_CHECK_INTERVAL {
                return false;
            }
            sleep(STOP_CHECK_INTERVAL).await;
        }
    }

    /// Returns a connection to the pool, within this node's share of the endpoint's connections.
    pub(crate) fn return_connection(&self, lease: PooledConnection) {
        let service = self.service().and_then(|id| self.catalog.services.get(id));
        let max_connections = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.state.nodes.load().len();
        lease.return_to_pool_up_to(max_idle_connections(max_connections, nodes));
    }
}

/// Returns the number of idle connections that each of `nodes` nodes may keep to one endpoint.
pub(super) const fn max_idle_connections(max_connections: usize, nodes: usize) -> usize {
    let nodes = if nodes == 0 { 1 } else { nodes };
    max_connections / (nodes * IDLE_CONNECTIONS_DIVISOR)
}

/// Returns why a response isn't a valid one to a request, or `None` if it is.
pub(super) fn response_fault(head: &ResponseHead, request: &RequestId) -> Option<&'static str> {
    if head.request.as_ref() != Some(request) {
        Some("the answer belongs to another request")
    } else if head.is_encoded {
        Some("the answer's body is encoded")
    } else if implies_not_run(head.status) {
        Some("the answer's status promises what isn't proved")
    } else if head.status.is_success() && !head.is_sealed {
        Some("the answer has no seal")
    } else {
        None
    }
}

/// Returns whether a status implies that the request hasn't run.
fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

#[cfg(test)]
mod tests;
