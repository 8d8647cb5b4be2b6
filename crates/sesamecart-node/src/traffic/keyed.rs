//! Requests under an idempotency key: sent at most once, and answered alike through every node.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use sesamecart_actions::{Answer, AttemptRequest, Decision, RefusalReason};
use sesamecart_config::Service;
use sesamecart_decisions::retry::{AttemptProgress, FailedAttempt, RetryDecision};
use sesamecart_edges::{CallerBody, IDEMPOTENCY_KEY, OUTCOME, REPLAYED, Reuse, read_body, whole};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Header};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, EndpointId, Epoch, IdempotencyKey, RequestId, ServiceId, Timestamp,
};

use crate::actions::{Asked, Ending, UnderWay};
use crate::pools::{Entry, PoolKey};
use crate::snapshot::Snapshot;
use crate::traffic::answer::Refusal;
use crate::traffic::caller::Caller;
use crate::traffic::forward::{ActionTry, Attempt, AttemptError};
use crate::traffic::handler::Handler;
use crate::traffic::settle::Settled;
use crate::traffic::weigh::{self, Patience};

/// The largest answer that is kept to be given again, in bytes.
///
/// Kept answers lie in the log for an hour; a larger one is kept without its body.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// How often a request may begin anew after a try that provably wasn't run.
const MAX_TRIES: usize = 3;

/// A keyed action as its head says it.
#[derive(Debug)]
pub(crate) struct KeyedHead {
    snapshot: Arc<Snapshot>,
    key: ActionKey,
    service: Service,
    method: Method,
    content_type: Option<HeaderValue>,
}

/// A request that must run at most once under its caller's key.
///
/// It owns all it needs: once it may be sent, it goes on to its end also if its caller leaves, since
/// the caller will ask again under the same key and wants the first answer.
#[derive(Clone, Debug)]
pub(crate) struct KeyedAction {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) key: ActionKey,
    pub(super) service: Service,
    method: Method,
    content_type: Option<HeaderValue>,
    path: String,
    body: Bytes,
    pub(super) id: RequestId,
    arrived: Timestamp,
    limit: Duration,
}

impl KeyedAction {
    /// Reads a head; none if the request carries no key or may be repeated anyway.
    pub(crate) fn read(
        snapshot: &Arc<Snapshot>,
        caller: Caller<'_>,
        service_id: &ServiceId,
        head: &Parts,
    ) -> Result<Option<KeyedHead>, Refusal> {
        let Some(key) = read_key(&head.headers)? else {
            return Ok(None);
        };
        let unknown = || Refusal::UnknownService(service_id.to_string());
        if !caller.customer.services.contains(service_id) {
            return Err(unknown());
        }
        let services = &snapshot.configuration.services;
        let service = services.get(service_id).ok_or_else(unknown)?;
        if service.idempotent_methods.contains(head.method.as_str()) {
            return Ok(None);
        }
        Ok(Some(KeyedHead {
            snapshot: Arc::clone(snapshot),
            key: ActionKey {
                customer: caller.id.clone(),
                service: service_id.clone(),
                key,
            },
            service: service.clone(),
            method: head.method.clone(),
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
        }))
    }
}

impl KeyedHead {
    pub(crate) fn with_body(
        self,
        path: String,
        body: Bytes,
        id: RequestId,
        arrived: Timestamp,
        limit: Duration,
    ) -> KeyedAction {
        KeyedAction {
            snapshot: self.snapshot,
            key: self.key,
            service: self.service,
            method: self.method,
            content_type: self.content_type,
            path,
            body,
            id,
            arrived,
            limit,
        }
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let bad = || Refusal::BadRequest("the idempotency key can't be read".to_owned());
    let text = value.to_str().map_err(|_| bad())?;
    text.parse().map(Some).map_err(|_| bad())
}

/// How a try ended, for the key's owner and for the caller.
struct TryEnd {
    end: ActionEnd,
    answer: Result<Response<CallerBody>, Refusal>,
}

fn not_run(refusal: Refusal) -> TryEnd {
    TryEnd {
        end: ActionEnd::NotRun,
        answer: Err(refusal),
    }
}

impl KeyedAction {
    fn until(&self) -> Timestamp {
        self.arrived + self.limit
    }

    pub(super) fn left(&self, handler: &Handler) -> Duration {
        self.until() - handler.shared.clock.now()
    }

    /// Asks the key's owner and does what it decides.
    pub(crate) async fn run(self, handler: &Handler) -> Result<Response<CallerBody>, Refusal> {
        for _ in 0..MAX_TRIES {
            if let Some(answer) = self.run_once(handler).await {
                return answer;
            }
        }
        Err(Refusal::KeyUnknown)
    }

    /// Runs once; nothing means that the key may be begun anew.
    async fn run_once(&self, handler: &Handler) -> Option<Result<Response<CallerBody>, Refusal>> {
        let attempt = handler.shared.identity.attempt_id();
        let asking = AttemptRequest {
            key: self.key.clone(),
            body_digest: self.digest(),
            attempt: attempt.clone(),
            deadline: self.until(),
        };
        // The owner may have allowed the try though its reply was lost, so the guard is taken first.
        let guard = handler.desk.under_way();
        let decision = match handler.desk.ask(&asking).await {
            Asked::Decided(decision) => decision,
            Asked::NoOwner => {
                self.tell(handler, attempt, ActionEnd::NotRun, guard).await;
                return Some(Err(Refusal::KeyUnreachable));
            }
        };
        match decision {
            Decision::Send { epoch } => Some(self.send_on(handler, attempt, epoch, guard).await),
            Decision::Answered(answer) => Some(Ok(replay(answer))),
            Decision::Running { .. } => Some(Err(Refusal::KeyRunning)),
            Decision::Unknown { attempt } => self.settle_unknown(handler, attempt, guard).await,
            Decision::Mismatch => Some(Err(Refusal::KeyMismatch)),
            Decision::Expired => Some(Err(Refusal::KeyExpired)),
            Decision::NotOwner => Some(Err(Refusal::KeyUnreachable)),
            Decision::Refused { reason, .. } => Some(Err(refusal(reason))),
        }
    }

    fn digest(&self) -> BodyDigest {
        let head = format!("{}\n{}\n", self.method, self.path);
        BodyDigest::of(&[head.as_bytes(), &self.body].concat())
    }

    /// Sends in a task of its own, which goes on when the caller leaves.
    async fn send_on(
        &self,
        handler: &Handler,
        attempt: AttemptId,
        epoch: Epoch,
        guard: UnderWay,
    ) -> Result<Response<CallerBody>, Refusal> {
        let (reply, replied) = async_channel::bounded(1);
        let action = self.clone();
        let on = handler.clone();
        handler.tasks.spawn(async move {
            let ended = action.send(&on, &attempt, epoch).await;
            // The caller may have left.
            let _left = reply.try_send(ended.answer);
            let end = action.settle_late(&on, &attempt, ended.end).await;
            action.tell(&on, attempt, end, guard).await;
        });
        let stopped = || Refusal::NoAnswer("the node stopped".to_owned());
        replied.recv().await.map_err(|_| stopped())?
    }

    async fn tell(&self, handler: &Handler, attempt: AttemptId, end: ActionEnd, guard: UnderWay) {
        let ending = Ending {
            key: self.key.clone(),
            attempt,
            end,
        };
        handler.desk.tell(ending, guard, self.until()).await;
    }

    /// Offers the try to endpoints until one may have run it.
    async fn send(&self, handler: &Handler, attempt: &AttemptId, epoch: Epoch) -> TryEnd {
        let Some(customer) = self
            .snapshot
            .configuration
            .customers
            .get(&self.key.customer)
        else {
            return not_run(Refusal::NoEndpoint);
        };
        let caller = Caller {
            id: &self.key.customer,
            customer,
        };
        let patience = Patience {
            arrived: self.arrived,
            limit: self.limit,
        };
        let request = weigh::service(caller, self.service.class, &self.body, patience);
        let mut attempts = 0;
        let mut failed = None;
        loop {
            let entry = Entry {
                key: PoolKey::service(&self.key.service, customer),
                request: request.clone(),
                again: attempts > 0,
            };
            let mut turn = match handler.shared.pools.enter(&self.snapshot, entry).await {
                Ok(turn) => turn,
                Err(refusal) => return not_run(failed.unwrap_or(refusal)),
            };
            attempts += 1;
            let endpoint = turn.endpoint();
            let mut failing = FailedAttempt {
                progress: AttemptProgress::NotRun,
                idempotent: false,
                attempts,
                latest_start: request.latest_start(),
            };
            match self.offer(handler, &endpoint, attempt, epoch).await {
                Ok(answer) => {
                    turn.finish_service();
                    let response = respond(&answer);
                    return TryEnd {
                        end: kept(answer).into(),
                        answer: Ok(response),
                    };
                }
                Err(AttemptError::NotRun(reason)) => {
                    failed = Some(Refusal::NotReached(reason.clone()));
                    if turn.fail(failing) != RetryDecision::Retry {
                        return not_run(Refusal::NotReached(reason));
                    }
                }
                Err(AttemptError::Unknown(reason)) => {
                    failing.progress = AttemptProgress::Sent;
                    turn.fail(failing);
                    log::warn!("traffic: {} may have run at {endpoint}: {reason}.", self.id);
                    return self.settle_try(handler, attempt, reason).await;
                }
            }
        }
    }

    async fn offer(
        &self,
        handler: &Handler,
        endpoint: &EndpointId,
        attempt: &AttemptId,
        epoch: Epoch,
    ) -> Result<Answer, AttemptError> {
        let endpoints = &self.snapshot.configuration.endpoints;
        let Some(known) = endpoints.get(endpoint) else {
            return Err(AttemptError::NotRun(format!("{endpoint} is new")));
        };
        let peer = known.address;
        let sent = Attempt {
            id: handler.shared.identity.attempt_id(),
            request: &self.id,
            peer,
            method: &self.method,
            path: &self.path,
            content_type: self.content_type.as_ref(),
            body: self.body.clone(),
            priority: self.service.class.priority(),
            reuse: Reuse::Never,
            action: Some(ActionTry {
                id: attempt,
                epoch,
                key: &self.key.key,
            }),
            generation: None,
            resume_at: None,
            limit: self.left(handler),
        };
        let exchange = sent.send(&handler.client).await?;
        let (head, incoming) = exchange.response.into_parts();
        let max = handler.shared.settings.bounds.max_answer_bytes;
        let body = read_body(incoming, max, self.left(handler))
            .await
            .map_err(|error| AttemptError::Unknown(format!("{peer}: {error}")))?;
        exchange.lease.return_to_pool();
        let headers = head.headers.get(CONTENT_TYPE).map(|value| Header {
            name: CONTENT_TYPE.to_string(),
            value: EncodedBody(value.as_bytes().to_vec()),
        });
        Ok(Answer {
            status: head.status.as_u16(),
            headers: headers.into_iter().collect(),
            body: EncodedBody(body.to_vec()),
        })
    }

    /// Asks the endpoints what became of a try that may have run, while the caller waits.
    async fn settle_try(&self, handler: &Handler, attempt: &AttemptId, reason: String) -> TryEnd {
        match self.settle(handler, attempt, self.left(handler)).await {
            Settled::Run(answer) => TryEnd {
                answer: Ok(respond(&answer)),
                end: kept(answer).into(),
            },
            Settled::NotRun => TryEnd {
                end: ActionEnd::NotRun,
                answer: Err(Refusal::NotReached(reason)),
            },
            Settled::Unknown => TryEnd {
                end: ActionEnd::Unknown,
                answer: Err(Refusal::NoAnswer(reason)),
            },
        }
    }

    /// Settles an earlier try of the key whose end isn't known; nothing means that it wasn't run.
    async fn settle_unknown(
        &self,
        handler: &Handler,
        attempt: AttemptId,
        guard: UnderWay,
    ) -> Option<Result<Response<CallerBody>, Refusal>> {
        match self.settle(handler, &attempt, self.left(handler)).await {
            Settled::Run(answer) => {
                let response = replay(answer.clone());
                self.tell(handler, attempt, kept(answer).into(), guard)
                    .await;
                Some(Ok(response))
            }
            Settled::NotRun => {
                let ending = Ending {
                    key: self.key.clone(),
                    attempt,
                    end: ActionEnd::NotRun,
                };
                handler.desk.tell_now(ending, self.until()).await;
                None
            }
            Settled::Unknown => Some(Err(Refusal::KeyUnknown)),
        }
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    match reason {
        RefusalReason::Full | RefusalReason::NotDurable | RefusalReason::FutureKey => {
            Refusal::KeyRefused(reason.to_string())
        }
        // These don't tell that the key is new.
        RefusalReason::TakingOver | RefusalReason::Uncertain | RefusalReason::AttemptEnded => {
            Refusal::KeyUnreachable
        }
    }
}

/// Leaves a body out that is too large to be kept.
fn kept(mut answer: Answer) -> Answer {
    if answer.body.0.len() > MAX_KEPT_BYTES {
        answer.body.0 =
            br#"{"error":{"message":"the first answer was too large to be kept"}}"#.to_vec();
    }
    answer
}

fn respond(answer: &Answer) -> Response<CallerBody> {
    let mut response = Response::new(whole(answer.body.0.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    for header in &answer.headers {
        let name = http::HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value.0);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Gives the first answer again.
fn replay(answer: Answer) -> Response<CallerBody> {
    let mut response = respond(&answer);
    response
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
