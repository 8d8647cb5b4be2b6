//! One completion request, with all that a further attempt of it needs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method};
use sesamecart_config::Customer;
use sesamecart_decisions::admission::Request;
use sesamecart_decisions::retry::{AttemptProgress, FailedAttempt, RetryDecision};
use sesamecart_edges::{Exchange, RESUME_AT, Reuse};
use sesamecart_vocabulary::{
    AttemptId, CustomerId, EndpointId, ModelId, RequestClass, RequestId, Timestamp,
};

use crate::pools::{Entry, PoolKey, Turn};
use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::weigh::{self, Patience};

/// The most attempts of one request, the resumptions of its stream included.
const MAX_ATTEMPTS: u32 = 8;

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
    /// The most tokens that the answer may have, if the caller says it.
    pub(crate) answer_limit: Option<u64>,
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

/// The attempts that a request has used up.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    made: u32,
    /// Those since the last token.
    in_a_row: u32,
}

/// An attempt whose answer's head has arrived, and the turn that it takes until its end.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) exchange: Exchange,
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) turn: Turn,
}

impl Attempts {
    /// Notes that an endpoint made progress, so that earlier failures count no more.
    ///
    /// Only the total of attempts still bounds the request; else a long stream that breaks three
    /// times within minutes would be given up though each group served it well for a while.
    pub(crate) const fn note_progress(&mut self) {
        self.in_a_row = 0;
    }

    pub(crate) const fn are_left(&self) -> bool {
        self.made < MAX_ATTEMPTS
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
        let customers = &self.snapshot.configuration.customers;
        let Some(customer) = customers.get(&self.customer) else {
            return Err(Refusal::NoEndpoint);
        };
        let request = self.weigh(customer, resume_at);
        let mut failed = None;
        while attempts.are_left() {
            let entry = Entry {
                key: PoolKey::model(&self.model, customer),
                request: request.clone(),
                again: attempts.made > 0,
            };
            let entered = self.handler.shared.pools.enter(&self.snapshot, entry);
            // What an earlier attempt may have run isn't undone by a refusal of the next.
            let mut turn = match entered.await {
                Ok(turn) => turn,
                Err(refusal) => return Err(failed.unwrap_or(refusal)),
            };
            attempts.made += 1;
            attempts.in_a_row += 1;
            let endpoint = turn.endpoint();
            let (progress, refusal) = match self.send(&endpoint, resume_at).await {
                Ok((exchange, attempt)) => {
                    return Ok(Answered {
                        exchange,
                        attempt,
                        endpoint,
                        turn,
                    });
                }
                Err(AttemptError::NotRun(reason)) => {
                    (AttemptProgress::NotRun, Refusal::NotReached(reason))
                }
                Err(AttemptError::Unknown(reason)) => {
                    (AttemptProgress::Sent, Refusal::NoAnswer(reason))
                }
            };
            log::info!("traffic: {} failed at {endpoint}: {refusal}.", self.id);
            let decision = turn.fail(FailedAttempt {
                progress,
                idempotent: true,
                attempts: attempts.in_a_row,
                latest_start: request.latest_start(),
            });
            if !matches!(failed, Some(Refusal::NoAnswer(_))) {
                failed = Some(refusal);
            }
            if decision != RetryDecision::Retry {
                break;
            }
        }
        Err(failed.unwrap_or(Refusal::NoEndpoint))
    }

    /// Weighs the request; a stream that goes on is weighed from now on.
    fn weigh(&self, customer: &Customer, resume_at: Option<u64>) -> Request {
        let caller = Caller {
            id: &self.customer,
            customer,
        };
        let patience = match resume_at {
            None => Patience {
                arrived: self.arrived,
                limit: self.limit,
            },
            Some(_) => Patience {
                arrived: self.handler.shared.clock.now(),
                limit: self.left(),
            },
        };
        let answer = self.answer_limit;
        let left = answer.map(|answer| answer.saturating_sub(resume_at.unwrap_or(0)));
        weigh::completion(caller, self.class, &self.body, left, patience)
    }

    async fn send(
        &self,
        endpoint: &EndpointId,
        resume_at: Option<u64>,
    ) -> Result<(Exchange, AttemptId), AttemptError> {
        let endpoints = &self.snapshot.configuration.endpoints;
        let Some(known) = endpoints.get(endpoint) else {
            return Err(AttemptError::NotRun(format!("{endpoint} is new")));
        };
        let attempt = Attempt {
            id: self.handler.shared.identity.attempt_id(),
            request: &self.id,
            peer: known.address,
            method: &Method::POST,
            path: &self.path,
            content_type: Some(&HeaderValue::from_static("application/json")),
            body: self.body.clone(),
            priority: self.class.priority(),
            reuse: Reuse::Allowed,
            action: None,
            // The request may have waited: the generation of its own picture can be past.
            generation: self.handler.shared.snapshot.load().generation(endpoint),
            resume_at,
            limit: self.left(),
        };
        let id = attempt.id.clone();
        let exchange = attempt.send(&self.handler.client).await?;
        if !resumes(&exchange, resume_at) {
            let reason = format!("{endpoint} does not resume streams");
            return Err(AttemptError::Unknown(reason));
        }
        Ok((exchange, id))
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
