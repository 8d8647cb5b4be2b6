//! One attempt of a request at one endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;
use sesamecart_edges::{
    ACTION, ATTEMPT, ClientError, DEADLINE_MS, EPOCH, Exchange, GENERATION, HttpClient,
    IDEMPOTENCY_KEY, NOT_RUN, PRIORITY, REQUEST, RESUME_AT, Reuse, SendStatus,
};
use sesamecart_vocabulary::{AttemptId, Epoch, Generation, IdempotencyKey, Priority, RequestId};

/// What is sent in one attempt.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) id: AttemptId,
    pub(crate) request: &'a RequestId,
    pub(crate) peer: SocketAddr,
    pub(crate) method: &'a Method,
    pub(crate) path: &'a str,
    pub(crate) content_type: Option<&'a HeaderValue>,
    pub(crate) body: Bytes,
    pub(crate) priority: Priority,
    pub(crate) reuse: Reuse,
    pub(crate) action: Option<ActionTry<'a>>,
    /// The generation that the endpoint's group must run, where one is known.
    ///
    /// The node hears of a lost member a little late. An engine that was formed anew meanwhile refuses
    /// a request for its past generation, so that no answer comes from other VMs than were judged.
    pub(crate) generation: Option<Generation>,
    /// The number of tokens that the caller already has.
    pub(crate) resume_at: Option<u64>,
    pub(crate) limit: Duration,
}

/// The keyed action that an attempt carries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActionTry<'a> {
    /// The try that the key's owner allowed.
    pub(crate) id: &'a AttemptId,
    /// The epoch under which it did.
    pub(crate) epoch: Epoch,
    /// The caller's key.
    pub(crate) key: &'a IdempotencyKey,
}

/// How an attempt failed.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// Provably nothing ran: another endpoint may be tried.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

impl From<ClientError> for AttemptError {
    fn from(error: ClientError) -> Self {
        match error.sent {
            SendStatus::Nothing => Self::NotRun(error.to_string()),
            SendStatus::PossiblySent => Self::Unknown(error.to_string()),
        }
    }
}

impl Attempt<'_> {
    /// Sends the attempt and returns the answer when it belongs to it.
    pub(crate) async fn send(self, client: &HttpClient) -> Result<Exchange, AttemptError> {
        let id = self.id.clone();
        let peer = self.peer;
        let (reuse, limit) = (self.reuse, self.limit);
        let req = self.into_request()?;
        let exchange = client.send(peer, req, reuse, limit).await?;
        // An answer with another attempt's id is late or crossed. Passing it on would give a caller
        // somebody else's answer.
        let carried = exchange
            .response
            .headers()
            .get(ATTEMPT)
            .map(HeaderValue::as_bytes);
        if carried != Some(id.as_str().as_bytes()) {
            return Err(AttemptError::Unknown(format!(
                "{peer}: the answer is of another attempt"
            )));
        }
        if says_not_run(exchange.response.headers()) {
            let status = exchange.response.status();
            return Err(AttemptError::NotRun(format!(
                "{peer}: refused with {status}"
            )));
        }
        Ok(exchange)
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>, AttemptError> {
        let millis = u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX);
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.peer.to_string())
            .header(ATTEMPT, self.id.as_str())
            .header(REQUEST, self.request.as_str())
            .header(DEADLINE_MS, millis)
            .header(PRIORITY, u16::from(self.priority.0));
        if let Some(content_type) = self.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(generation) = self.generation {
            builder = builder.header(GENERATION, generation.0);
        }
        if let Some(resume_at) = self.resume_at {
            builder = builder.header(RESUME_AT, resume_at);
        }
        if let Some(action) = self.action {
            builder = builder
                .header(ACTION, action.id.as_str())
                .header(EPOCH, action.epoch.0)
                .header(IDEMPOTENCY_KEY, action.key.as_str());
        }
        if !self.body.is_empty() {
            builder = builder.header(CONTENT_LENGTH, self.body.len());
        }
        builder
            .body(Full::new(self.body))
            .map_err(|error| AttemptError::NotRun(format!("the request can't be sent: {error}")))
    }
}

fn says_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_RUN)
        .is_some_and(|value| value.as_bytes() == b"1")
}
