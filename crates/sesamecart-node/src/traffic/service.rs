//! Requests to plain services, some of which must run at most once.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};
use sesamecart_config::Service;
use sesamecart_edges::{CallerBody, OUTCOME, Reuse, read_whole, whole};
use sesamecart_vocabulary::{EndpointId, RequestClass, RequestId, ServiceId, Timestamp};

use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;

/// The most endpoints that one request is tried at.
const MAX_ATTEMPTS: usize = 3;

/// A request of one caller to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceRequest<'a> {
    pub(crate) snapshot: &'a Snapshot,
    pub(crate) caller: Caller<'a>,
    pub(crate) id: &'a RequestId,
    pub(crate) service: &'a ServiceId,
    pub(crate) method: &'a Method,
    pub(crate) path: &'a str,
    pub(crate) content_type: Option<&'a HeaderValue>,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

impl ServiceRequest<'_> {
    /// Passes the request on and returns the answer.
    pub(crate) async fn run(self, handler: &Handler) -> Result<Response<CallerBody>, Refusal> {
        let unknown = || Refusal::UnknownService(self.service.to_string());
        if !self.caller.customer.services.contains(self.service) {
            return Err(unknown());
        }
        let service = self
            .snapshot
            .configuration
            .services
            .get(self.service)
            .ok_or_else(unknown)?;
        let idempotent = service.idempotent_methods.contains(self.method.as_str());
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut failed = Refusal::NoEndpoint;
        while tried.len() < MAX_ATTEMPTS {
            let candidates = self
                .snapshot
                .service_endpoints(self.caller.customer, self.service);
            let home = &handler.shared.settings.failure_domain;
            let Some((_flight, endpoint_id, endpoint)) =
                handler.in_flight.choose(candidates, home, &tried)
            else {
                break;
            };
            match self
                .attempt(handler, service, endpoint.address, idempotent)
                .await
            {
                Ok(response) => return Ok(response),
                Err(AttemptError::NotRun(reason)) => failed = Refusal::NotReached(reason),
                // It may have run: sending it again could run it twice.
                Err(AttemptError::Unknown(reason)) if !idempotent => {
                    let (id, customer) = (self.id, self.caller.id);
                    log::warn!(
                        "traffic: {id} of {customer} may have run at {endpoint_id}: {reason}."
                    );
                    return Err(Refusal::NoAnswer(reason));
                }
                Err(AttemptError::Unknown(reason)) => failed = Refusal::NoAnswer(reason),
            }
            tried.push(endpoint_id.clone());
        }
        Err(failed)
    }

    async fn attempt(
        &self,
        handler: &Handler,
        service: &Service,
        peer: std::net::SocketAddr,
        idempotent: bool,
    ) -> Result<Response<CallerBody>, AttemptError> {
        let shared = &handler.shared;
        let class = if idempotent {
            RequestClass::Interactive
        } else {
            service.class
        };
        let limit = self.limit.saturating_sub(shared.clock.now() - self.arrived);
        let attempt = Attempt {
            id: shared.identity.attempt_id(),
            request: self.id,
            peer,
            method: self.method,
            path: self.path,
            content_type: self.content_type,
            body: self.body.clone(),
            priority: class.priority(),
            reuse: if idempotent {
                Reuse::Allowed
            } else {
                Reuse::Never
            },
            action: None,
            limit,
        };
        let exchange = attempt.send(&handler.client).await?;
        let (head, incoming) = exchange.response.into_parts();
        let left = self.limit.saturating_sub(shared.clock.now() - self.arrived);
        let body = read_whole(incoming, shared.settings.bounds.max_answer_bytes, left)
            .await
            .map_err(|error| AttemptError::Unknown(format!("{peer}: {error}")))?;
        exchange.lease.give_back();
        let mut response = Response::new(whole(body));
        *response.status_mut() = head.status;
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static("answered"));
        if let Some(content_type) = head.headers.get(CONTENT_TYPE) {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        Ok(response)
    }
}
