//! One completion request, with all that a further attempt of it needs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method};
use sesamecart_edges::{Exchange, RESUME_AT, Reuse};
use sesamecart_vocabulary::{
    AttemptId, CustomerId, EndpointId, ModelId, RequestClass, RequestId, Timestamp,
};

use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::route::Flight;

/// The most attempts of one request, the resumptions of its stream included.
const MAX_ATTEMPTS: usize = 6;

/// The most endpoints that refuse or fail in a row before the request is given up.
const MAX_FAILURES: usize = 3;

/// A completion request; it owns all it needs, since its stream outlives the call that began it.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) handler: Handler,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) customer: CustomerId,
    pub(crate) model: ModelId,
    pub(crate) id: RequestId,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) class: RequestClass,
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

/// The attempts that a request has used up.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    made: usize,
    /// The endpoints that failed since the last token.
    failed: Vec<EndpointId>,
}

/// An attempt whose answer's head has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) exchange: Exchange,
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) flight: Flight,
}

impl Attempts {
    /// Notes that an endpoint failed in the middle of an answer.
    pub(crate) fn note_failure(&mut self, endpoint: EndpointId) {
        self.failed.push(endpoint);
    }

    /// Notes that an endpoint made progress, so that earlier failures count no more.
    ///
    /// Only the total of attempts still bounds the request; else a long stream that breaks three
    /// times within minutes would be given up though each group served it well for a while.
    pub(crate) fn note_progress(&mut self) {
        self.failed.clear();
    }

    fn are_left(&self) -> bool {
        self.made < MAX_ATTEMPTS && self.failed.len() < MAX_FAILURES
    }
}

impl CompletionRequest {
    pub(crate) fn left(&self) -> Duration {
        self.arrived + self.limit - self.handler.shared.clock.now()
    }

    /// Tries endpoints until one answers. A completion changes nothing, so it may be tried again
    /// even when an endpoint may have begun it.
    ///
    /// With `resume_at`, only an endpoint counts that confirms that it goes on from that token.
    pub(crate) async fn attempt(
        &self,
        attempts: &mut Attempts,
        resume_at: Option<u64>,
    ) -> Result<Answered, Refusal> {
        let shared = &self.handler.shared;
        let mut failed = Refusal::NoEndpoint;
        let Some(customer) = self.snapshot.configuration.customers.get(&self.customer) else {
            return Err(failed);
        };
        while attempts.are_left() && !self.left().is_zero() {
            attempts.made += 1;
            let candidates = self.snapshot.model_endpoints(customer, &self.model);
            let home = &shared.settings.failure_domain;
            let chosen = self
                .handler
                .in_flight
                .choose(candidates, home, &attempts.failed);
            let Some((flight, endpoint_id, endpoint)) = chosen else {
                break;
            };
            let attempt = Attempt {
                id: shared.identity.attempt_id(),
                request: &self.id,
                peer: endpoint.address,
                method: &Method::POST,
                path: &self.path,
                content_type: Some(&HeaderValue::from_static("application/json")),
                body: self.body.clone(),
                priority: self.class.priority(),
                reuse: Reuse::Allowed,
                action: None,
                resume_at,
                limit: self.left(),
            };
            let id = attempt.id.clone();
            match attempt.send(&self.handler.client).await {
                Ok(exchange) if resumes(&exchange, resume_at) => {
                    return Ok(Answered {
                        exchange,
                        attempt: id,
                        endpoint: endpoint_id.clone(),
                        flight,
                    });
                }
                Ok(_) => {
                    let reason = format!("{endpoint_id} does not resume streams");
                    failed = Refusal::NoAnswer(reason);
                }
                Err(AttemptError::NotRun(reason)) => {
                    let id = &self.id;
                    log::info!("traffic: {id} was not run at {endpoint_id}: {reason}.");
                    failed = Refusal::NotReached(reason);
                }
                Err(AttemptError::Unknown(reason)) => {
                    let id = &self.id;
                    log::warn!("traffic: {id} got no answer of {endpoint_id}: {reason}.");
                    failed = Refusal::NoAnswer(reason);
                }
            }
            attempts.failed.push(endpoint_id.clone());
        }
        Err(failed)
    }
}

/// Returns whether an answer begins where it was asked to.
///
/// An engine that ignores the wish begins at the first token, and the caller would get the beginning
/// twice.
fn resumes(exchange: &Exchange, resume_at: Option<u64>) -> bool {
    let Some(resume_at) = resume_at else {
        return true;
    };
    let confirmed = exchange.response.headers().get(RESUME_AT);
    let confirmed = confirmed.and_then(|value| value.to_str().ok());
    confirmed.and_then(|text| text.parse().ok()) == Some(resume_at)
}
