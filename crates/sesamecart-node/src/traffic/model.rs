//! Completions: parsed far enough to route them, passed on, and checked to be whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};
use http_body_util::BodyExt as _;
use serde::Deserialize;
use sesamecart_decisions::retry::{FailedAttempt, Progress, RetryDecision};
use sesamecart_edges::{CallerBody, Exchange, OUTCOME, Reuse, read_whole, whole};
use sesamecart_vocabulary::{AttemptId, ModelId, RequestClass, RequestId, Timestamp};

use crate::pools::{Entry, PoolKey, Turn};
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::relay::Relay;
use crate::traffic::weigh::{self, Patience};

/// The fields of a completion request that routing needs; the rest is passed on as it came.
#[derive(Debug, Deserialize)]
struct Completion {
    model: ModelId,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

impl Completion {
    /// Returns the most tokens that the answer may have, if the caller says it.
    fn answer_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
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

/// An attempt that was sent, with its answer's head.
struct SentAttempt {
    exchange: Exchange,
    attempt: AttemptId,
}

/// An attempt whose answer's head has arrived, and the turn that it takes until its end.
struct Answered {
    exchange: Exchange,
    attempt: AttemptId,
    turn: Turn,
}

impl ModelRequest<'_> {
    /// Passes the request on and returns the answer.
    pub(crate) async fn run(self, handler: &Handler) -> Result<Response<CallerBody>, Refusal> {
        let completion: Completion = serde_json::from_slice(&self.body)
            .map_err(|error| Refusal::BadRequest(format!("the body can't be read: {error}")))?;
        let model = completion.model.clone();
        if !self.caller.customer.models.contains(&model) {
            return Err(Refusal::UnknownModel(model.to_string()));
        }
        let answered = self
            .attempt(handler, &model, completion.answer_limit())
            .await?;
        if completion.stream {
            return Ok(self.stream(&handler.shared, answered));
        }
        self.whole(&handler.shared, answered).await
    }

    /// Tries endpoints until one answers. A completion changes nothing, so it may be tried again
    /// even when an endpoint may have begun it.
    async fn attempt(
        &self,
        handler: &Handler,
        model: &ModelId,
        answer: Option<u64>,
    ) -> Result<Answered, Refusal> {
        let shared = &handler.shared;
        let patience = Patience {
            arrived: self.arrived,
            limit: self.limit,
        };
        let request = weigh::completion(self.caller, self.class, &self.body, answer, patience);
        let mut attempts = 0;
        let mut failed = None;
        loop {
            let entry = Entry {
                key: PoolKey::model(model, self.caller.customer),
                request: request.clone(),
                again: attempts > 0,
            };
            let entered = shared.pools.enter(self.snapshot, entry).await;
            // What an earlier attempt may have run isn't undone by a refusal of the next.
            let mut turn = match entered {
                Ok(turn) => turn,
                Err(refusal) => return Err(failed.unwrap_or(refusal)),
            };
            attempts += 1;
            let (error, refusal) = match self.send(handler, &turn).await {
                Ok(sent) => {
                    return Ok(Answered {
                        exchange: sent.exchange,
                        attempt: sent.attempt,
                        turn,
                    });
                }
                Err(AttemptError::NotRun(reason)) => {
                    (Progress::NotRun, Refusal::NotReached(reason))
                }
                Err(AttemptError::Unknown(reason)) => (Progress::Sent, Refusal::NoAnswer(reason)),
            };
            log::info!(
                "traffic: {} failed at {}: {refusal}.",
                self.id,
                turn.endpoint()
            );
            let decision = turn.fail(FailedAttempt {
                progress: error,
                idempotent: true,
                attempts,
                start_by: request.start_by(),
            });
            if !matches!(failed, Some(Refusal::NoAnswer(_))) {
                failed = Some(refusal);
            }
            if decision != RetryDecision::Retry {
                return Err(failed.unwrap_or(Refusal::NoEndpoint));
            }
        }
    }

    async fn send(&self, handler: &Handler, turn: &Turn) -> Result<SentAttempt, AttemptError> {
        let shared = &handler.shared;
        let endpoint = turn.endpoint();
        let endpoints = &self.snapshot.configuration.endpoints;
        let Some(known) = endpoints.get(&endpoint) else {
            return Err(AttemptError::NotRun(format!("{endpoint} is new")));
        };
        let left = self.limit.saturating_sub(shared.clock.now() - self.arrived);
        let attempt = Attempt {
            id: shared.identity.attempt_id(),
            request: self.id,
            peer: known.address,
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
        let exchange = attempt.send(&handler.client).await?;
        Ok(SentAttempt {
            exchange,
            attempt: id,
        })
    }

    fn stream(&self, shared: &Arc<Shared>, answered: Answered) -> Response<CallerBody> {
        let Answered {
            exchange,
            attempt,
            turn,
        } = answered;
        let (head, incoming) = exchange.response.into_parts();
        let relay = Relay::new(
            Arc::clone(shared),
            incoming,
            exchange.lease,
            attempt,
            self.arrived,
            turn,
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
        let mut turn = answered.turn;
        let read = read_whole(incoming, shared.settings.bounds.max_answer_bytes, left).await;
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                turn.break_off();
                return Err(Refusal::NoAnswer(error.to_string()));
            }
        };
        answered.exchange.lease.give_back();
        turn.finish_stream();
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
