//! Requests to plain services, some of which must run at most once.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};
use sesamecart_decisions::retry::{AttemptProgress, FailedAttempt, RetryDecision};
use sesamecart_edges::{CallerBody, OUTCOME, Reuse, read_body, whole};
use sesamecart_vocabulary::{EndpointId, RequestClass, RequestId, ServiceId, Timestamp};

use crate::pools::{Entry, PoolKey};
use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::weigh::{self, Patience};

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
    /// Returns the request's class: one that may be repeated, such as a look-up, waits behind those
    /// that change stock or money.
    pub(crate) fn class(&self) -> RequestClass {
        let services = &self.snapshot.configuration.services;
        match services.get(self.service) {
            Some(service) if !service.idempotent_methods.contains(self.method.as_str()) => {
                service.class
            }
            _ => RequestClass::Interactive,
        }
    }

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
        let class = self.class();
        let patience = Patience {
            arrived: self.arrived,
            limit: self.limit,
        };
        let request = weigh::service(self.caller, class, &self.body, patience);
        let mut attempts = 0;
        let mut failed = None;
        loop {
            let entry = Entry {
                key: PoolKey::service(self.service, self.caller.customer),
                request: request.clone(),
                again: attempts > 0,
            };
            let mut turn = match handler.shared.pools.enter(self.snapshot, entry).await {
                Ok(turn) => turn,
                Err(refusal) => return Err(failed.unwrap_or(refusal)),
            };
            attempts += 1;
            let endpoint = turn.endpoint();
            let (progress, refusal) =
                match self.attempt(handler, &endpoint, class, idempotent).await {
                    Ok(response) => {
                        turn.finish_service();
                        return Ok(response);
                    }
                    Err(AttemptError::NotRun(reason)) => {
                        (AttemptProgress::NotRun, Refusal::NotReached(reason))
                    }
                    Err(AttemptError::Unknown(reason)) => {
                        (AttemptProgress::Sent, Refusal::NoAnswer(reason))
                    }
                };
            let (id, customer) = (self.id, self.caller.id);
            log::warn!("traffic: {id} of {customer} failed at {endpoint}: {refusal}.");
            let decision = turn.fail(FailedAttempt {
                progress,
                idempotent,
                attempts,
                latest_start: request.latest_start(),
            });
            if !matches!(failed, Some(Refusal::NoAnswer(_))) {
                failed = Some(refusal);
            }
            // What may have run and must not run twice isn't sent again.
            if decision != RetryDecision::Retry {
                return Err(failed.unwrap_or(Refusal::NoEndpoint));
            }
        }
    }

    async fn attempt(
        &self,
        handler: &Handler,
        endpoint: &EndpointId,
        class: RequestClass,
        idempotent: bool,
    ) -> Result<Response<CallerBody>, AttemptError> {
        let shared = &handler.shared;
        let endpoints = &self.snapshot.configuration.endpoints;
        let Some(known) = endpoints.get(endpoint) else {
            return Err(AttemptError::NotRun(format!("{endpoint} is new")));
        };
        let peer = known.address;
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
            generation: None,
            resume_at: None,
            limit,
        };
        let exchange = attempt.send(&handler.client).await?;
        let (head, incoming) = exchange.response.into_parts();
        let left = self.limit.saturating_sub(shared.clock.now() - self.arrived);
        let body = read_body(incoming, shared.settings.bounds.max_answer_bytes, left)
            .await
            .map_err(|error| AttemptError::Unknown(format!("{peer}: {error}")))?;
        exchange.lease.return_to_pool();
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
