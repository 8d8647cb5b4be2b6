//! Completions: parsed far enough to route them, passed on, and checked to be whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};
use http_body_util::BodyExt as _;
use serde::Deserialize;
use sesamecart_edges::{CallerBody, Exchange, OUTCOME, Reuse, read_whole, whole};
use sesamecart_vocabulary::{AttemptId, EndpointId, ModelId, RequestClass, RequestId, Timestamp};

use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::relay::Relay;
use crate::traffic::route::Flight;

/// The most endpoints that one request is tried at.
const MAX_ATTEMPTS: usize = 3;

/// The fields of a completion request that routing needs; the rest is passed on as it came.
#[derive(Debug, Deserialize)]
struct Completion {
    model: ModelId,
    #[serde(default)]
    stream: bool,
}

/// A completion request of one caller.
#[derive(Debug)]
pub(crate) struct ModelRequest<'a> {
    pub(crate) snapshot: &'a Snapshot,
    pub(crate) caller: Caller<'a>,
    pub(crate) id: &'a RequestId,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
    pub(crate) class: RequestClass,
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

/// An attempt whose answer's head has arrived.
struct Answered {
    exchange: Exchange,
    attempt: AttemptId,
    flight: Flight,
}

impl ModelRequest<'_> {
    /// Passes the request on and returns the answer.
    pub(crate) async fn run(self, handler: &Handler) -> Result<Response<CallerBody>, Refusal> {
        let completion: Completion = serde_json::from_slice(&self.body)
            .map_err(|error| Refusal::BadRequest(format!("the body can't be read: {error}")))?;
        let model = completion.model;
        if !self.caller.customer.models.contains(&model) {
            return Err(Refusal::UnknownModel(model.to_string()));
        }
        let answered = self.attempt(handler, &model).await?;
        if completion.stream {
            return Ok(self.stream(&handler.shared, answered));
        }
        self.whole(&handler.shared, answered).await
    }

    /// Tries endpoints until one answers. A completion changes nothing, so it may be tried again
    /// even when an endpoint may have begun it.
    async fn attempt(&self, handler: &Handler, model: &ModelId) -> Result<Answered, Refusal> {
        let shared = &handler.shared;
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut failed = Refusal::NoEndpoint;
        while tried.len() < MAX_ATTEMPTS {
            let left = self.limit.saturating_sub(shared.clock.now() - self.arrived);
            let candidates = self.snapshot.model_endpoints(self.caller.customer, model);
            let home = &shared.settings.failure_domain;
            let Some((flight, endpoint_id, endpoint)) =
                handler.in_flight.choose(candidates, home, &tried)
            else {
                break;
            };
            let attempt = Attempt {
                id: shared.identity.attempt_id(),
                request: self.id,
                peer: endpoint.address,
                method: &Method::POST,
                path: self.path,
                content_type: Some(&HeaderValue::from_static("application/json")),
                body: self.body.clone(),
                priority: self.class.priority(),
                reuse: Reuse::Allowed,
                action: None,
                limit: left,
            };
            let id = attempt.id.clone();
            match attempt.send(&handler.client).await {
                Ok(exchange) => {
                    return Ok(Answered {
                        exchange,
                        attempt: id,
                        flight,
                    });
                }
                Err(AttemptError::NotRun(reason)) => {
                    log::info!(
                        "traffic: {} was not run at {endpoint_id}: {reason}.",
                        self.id
                    );
                    failed = Refusal::NotReached(reason);
                }
                Err(AttemptError::Unknown(reason)) => {
                    log::warn!(
                        "traffic: {} got no answer of {endpoint_id}: {reason}.",
                        self.id
                    );
                    failed = Refusal::NoAnswer(reason);
                }
            }
            tried.push(endpoint_id.clone());
        }
        Err(failed)
    }

    fn stream(&self, shared: &Arc<Shared>, answered: Answered) -> Response<CallerBody> {
        let Answered {
            exchange,
            attempt,
            flight,
        } = answered;
        let (head, incoming) = exchange.response.into_parts();
        let relay = Relay::new(
            Arc::clone(shared),
            incoming,
            exchange.lease,
            attempt,
            self.arrived,
            flight,
        );
        let mut response = Response::new(relay.boxed_unsync());
        *response.status_mut() = head.status;
        copy_content_type(&head.headers, &mut response);
        response
    }

    async fn whole(
        &self,
        shared: &Shared,
        answered: Answered,
    ) -> Result<Response<CallerBody>, Refusal> {
        let (head, incoming) = answered.exchange.response.into_parts();
        let left = self.limit.saturating_sub(shared.clock.now() - self.arrived);
        let body = read_whole(incoming, shared.settings.bounds.max_answer_bytes, left)
            .await
            .map_err(|error| Refusal::NoAnswer(error.to_string()))?;
        answered.exchange.lease.give_back();
        let mut response = Response::new(whole(body));
        *response.status_mut() = head.status;
        response
            .headers_mut()
            .insert(OUTCOME, HeaderValue::from_static("answered"));
        copy_content_type(&head.headers, &mut response);
        Ok(response)
    }
}

fn copy_content_type(from: &http::HeaderMap, to: &mut Response<CallerBody>) {
    if let Some(content_type) = from.get(CONTENT_TYPE) {
        to.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
}
