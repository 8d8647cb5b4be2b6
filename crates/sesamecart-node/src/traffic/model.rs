//! Completions: parsed far enough to route them, passed on, and checked to be whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Deserialize;
use sesamecart_edges::{CallerBody, OUTCOME, read_body, whole};
use sesamecart_vocabulary::{ModelId, RequestClass, RequestId, Timestamp};

use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::completion::{Answered, Attempts, CompletionRequest};
use crate::traffic::handler::Handler;
use crate::traffic::relay::Relay;

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

/// The field of a whole answer that tells whose it is.
#[derive(Debug, Deserialize)]
struct AnswerId<'a> {
    id: &'a str,
}

/// A completion request of one caller.
#[derive(Debug)]
pub(crate) struct ModelRequest<'a> {
    pub(crate) snapshot: &'a Arc<Snapshot>,
    pub(crate) caller: Caller<'a>,
    pub(crate) id: &'a RequestId,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
    pub(crate) class: RequestClass,
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

impl ModelRequest<'_> {
    /// Passes the request on and returns the answer.
    pub(crate) async fn run(self, handler: &Handler) -> Result<Response<CallerBody>, Refusal> {
        let completion: Completion = serde_json::from_slice(&self.body)
            .map_err(|error| Refusal::BadRequest(format!("the body can't be read: {error}")))?;
        let answer_limit = completion.answer_limit();
        let model = completion.model;
        if !self.caller.customer.models.contains(&model) {
            return Err(Refusal::UnknownModel(model.to_string()));
        }
        let request = CompletionRequest {
            handler: handler.clone(),
            snapshot: Arc::clone(self.snapshot),
            customer: self.caller.id.clone(),
            model,
            id: self.id.clone(),
            path: self.path.to_owned(),
            body: self.body,
            class: self.class,
            answer_limit,
            arrived: self.arrived,
            limit: self.limit,
        };
        let mut attempts = Attempts::default();
        if !completion.stream {
            return request.whole(&mut attempts).await;
        }
        let answered = request.attempt(&mut attempts, None).await?;
        // An error of the engine comes whole and isn't a stream.
        if !answered.exchange.response.status().is_success() {
            return request.pass_on(answered).await;
        }
        let head = answered.exchange.response.headers();
        let content_type = head.get(CONTENT_TYPE).cloned();
        let mut response = Response::new(Relay::new(request, attempts, answered).into_body());
        if let Some(content_type) = content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        Ok(response)
    }
}

impl CompletionRequest {
    /// Reads a whole answer, trying again while it breaks off or is another request's.
    async fn whole(&self, attempts: &mut Attempts) -> Result<Response<CallerBody>, Refusal> {
        loop {
            let answered = self.attempt(attempts, None).await?;
            let endpoint = answered.endpoint.clone();
            match self.pass_on(answered).await {
                Err(Refusal::NoAnswer(reason)) if attempts.are_left() => {
                    let id = &self.id;
                    log::warn!("traffic: {id} got no whole answer of {endpoint}: {reason}.");
                }
                answer => return answer,
            }
        }
    }

    async fn pass_on(&self, answered: Answered) -> Result<Response<CallerBody>, Refusal> {
        let (head, incoming) = answered.exchange.response.into_parts();
        let max = self.handler.shared.settings.bounds.max_answer_bytes;
        let mut turn = answered.turn;
        let body = match read_body(incoming, max, self.left()).await {
            Ok(body) => body,
            Err(error) => {
                turn.break_off();
                return Err(Refusal::NoAnswer(error.to_string()));
            }
        };
        answered.exchange.lease.return_to_pool();
        // The header may be right over another request's body, as when an engine mixes up two.
        if head.status == StatusCode::OK {
            let own = serde_json::from_slice::<AnswerId<'_>>(&body)
                .is_ok_and(|answer| answer.id == answered.attempt.as_str());
            if !own {
                turn.break_off();
                return Err(Refusal::NoAnswer("it is another request's".to_owned()));
            }
        }
        turn.finish_stream();
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
