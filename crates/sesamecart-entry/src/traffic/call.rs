//! One caller's request, with all that a further attempt of it needs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use sesamecart_edges::{
    ClientError, ConnectionLease, Exchange, HttpClient, Reuse, Sent, read_whole,
};
use sesamecart_fleet::{Catalog, Customer, Delivery, Endpoint, PathRoute, Unavailable};
use sesamecart_platform::{AnswerHead, Asked, Handover, NotRun, forward};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::traffic::flight::Flight;
use crate::traffic::placing::Placed;
use crate::traffic::refusal::Refusal;

/// The largest answer that is held whole before it is passed on.
const MAX_ANSWER: ByteSize = ByteSize(16 * 1024 * 1024);

/// Attempts that may be rejected or lost before one request is given up, besides those that its
/// route allows to run.
const SPARE_ATTEMPTS: u32 = 2;

/// How much longer than its promised time an answer that may be repeated is waited for, before
/// another endpoint is tried.
const TIMEOUT_FACTOR: u32 = 2;

/// The least time for which an answer is waited for: short work takes several times its mean at times.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How often it is reconsidered whether a stream that hasn't begun would begin sooner at another head.
const RECONSIDER_EVERY: Duration = Duration::from_millis(200);

/// Idle connections may take one in so many of an endpoint's; the others are for requests under way.
///
/// Without a bound the nodes' idle connections fill an endpoint, which resets the next request's.
const IDLE_PART: usize = 2;

/// How long an endpoint that rejected a request gets nothing more.
const REJECTED_EJECTION_TIME: Duration = Duration::from_millis(60);

/// How long an endpoint whose address answers for another one gets nothing more; the registry shows
/// the change by then.
const MISDIRECTED_EJECTION_TIME: Duration = Duration::from_millis(500);

/// A request that has been read whole, and the route that it takes.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) client: HttpClient,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Arc<PathRoute>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) asked: Asked,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: Timestamp,
}

/// The attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) made: u32,
    may_have_run: u32,
    pub(crate) tried: Vec<EndpointId>,
}

/// An endpoint's answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
    pub(crate) flight: Flight,
}

/// Why an attempt failed.
#[derive(Debug)]
struct Failed {
    cause: String,
    may_have_run: bool,
}

/// How the wait for an answer's head ended.
enum Ended {
    Answer(Result<Exchange, ClientError>),
    Lost,
    TimedOut(Waited),
}

/// A wait for a stream's first event that ended without one.
struct Waited {
    time: Duration,
    /// Whether the head answered other requests meanwhile.
    is_heard: bool,
}

impl Waited {
    fn failed(&self, endpoint: &Endpoint) -> Failed {
        let ms = millis(self.time);
        Failed {
            cause: format!("{}: request: no first event in {ms} ms", endpoint.address),
            may_have_run: true,
        }
    }
}

impl Attempts {
    /// Notes that an attempt whose head had come failed later.
    pub(crate) fn note_broken(&mut self, endpoint: EndpointId) {
        self.may_have_run += 1;
        self.tried.push(endpoint);
    }

    fn note(&mut self, endpoint: EndpointId, failed: &Failed) {
        self.may_have_run += u32::from(failed.may_have_run);
        self.tried.push(endpoint);
    }
}

impl Call {
    pub(crate) fn after(&self) -> Duration {
        clock::now().since(self.arrived)
    }

    /// Returns what is left of the time that the caller waits or the operator allows.
    pub(crate) fn left(&self) -> Duration {
        let limit = match (self.asked.patience, self.route.time_limit) {
            (Some(patience), Some(limit)) => patience.min(limit),
            (Some(limit), None) | (None, Some(limit)) => limit,
            (None, None) => Duration::from_secs(60),
        };
        limit.saturating_sub(self.after())
    }

    /// Returns what is left of the time that the caller itself named.
    fn callers_left(&self) -> Duration {
        let patience = self.asked.patience.unwrap_or_else(|| self.left());
        patience.saturating_sub(self.after())
    }

    /// Tries endpoints until one answers.
    ///
    /// A request that may have run and must not run twice isn't sent again.
    pub(crate) async fn attempt(
        &self,
        attempts: &mut Attempts,
        last_event: Option<&str>,
    ) -> Result<Answered, Refusal> {
        let mut failed: Option<Failed> = None;
        loop {
            if self.left().is_zero() {
                return Err(self.give_up(failed, attempts, None));
            }
            let placed = match self.place(attempts) {
                Ok(placed) => placed,
                Err(unavailable) => return Err(self.give_up(failed, attempts, Some(unavailable))),
            };
            if attempts.made > 0 && !self.beliefs.take_retry(&placed.service) {
                let spent = Failed {
                    cause: "the retry budget is spent".to_owned(),
                    may_have_run: attempts.may_have_run > 0,
                };
                return Err(self.give_up(Some(spent), attempts, None));
            }
            if attempts.made == 0 {
                self.beliefs.earn_retry(&placed.service);
            }
            let endpoint = placed.endpoint.id.clone();
            match self.send(attempts, placed, last_event).await {
                Ok(answered) => return Ok(answered),
                Err(cause) => {
                    self.note_failure(&endpoint, &cause);
                    attempts.note(endpoint, &cause);
                    let may_go_on = attempts.may_have_run == 0 || self.route.delivery.may_repeat();
                    if !may_go_on || !self.has_attempts_left(attempts) {
                        return Err(self.give_up(Some(cause), attempts, None));
                    }
                    failed = Some(cause);
                }
            }
        }
    }

    fn has_attempts_left(&self, attempts: &Attempts) -> bool {
        attempts.may_have_run < self.route.max_attempts
            && attempts.made < self.route.max_attempts + SPARE_ATTEMPTS
    }

    /// Chooses the answer when no attempt follows.
    fn give_up(
        &self,
        failed: Option<Failed>,
        attempts: &Attempts,
        unavailable: Option<Unavailable>,
    ) -> Refusal {
        let ran = attempts.may_have_run > 0;
        match (failed, unavailable) {
            (Some(failed), _) if ran && self.left().is_zero() => {
                log::debug!("traffic: {}: {}.", self.asked.id, failed.cause);
                Refusal::TimedOut
            }
            (Some(failed), _) if ran => Refusal::NoAnswer(failed.cause),
            (Some(failed), None) => Refusal::NotRun(failed.cause),
            (_, Some(unavailable)) => Refusal::Unavailable(unavailable),
            (None, None) => Refusal::NotRun("its time ran out".to_owned()),
        }
    }

    fn note_failure(&self, endpoint: &EndpointId, failed: &Failed) {
        self.beliefs
            .metrics
            .count_failed_attempt(failed.may_have_run);
        self.beliefs.events.write(&Event::AttemptFailed {
            request: self.asked.id.as_str(),
            endpoint: endpoint.as_str(),
            cause: &failed.cause,
            may_have_run: failed.may_have_run,
            after_ms: millis(self.after()),
        });
    }

    /// Sends the request to an endpoint and waits for the head of its answer.
    async fn send(
        &self,
        attempts: &mut Attempts,
        placed: Placed,
        last_event: Option<&str>,
    ) -> Result<Answered, Failed> {
        attempts.made += 1;
        let endpoint = &placed.endpoint;
        self.beliefs.events.write_success(
            clock::now(),
            &Event::Sent {
                request: self.asked.id.as_str(),
                endpoint: endpoint.id.as_str(),
                attempt: attempts.made,
                load: placed.load,
                configuration: self.catalog.version.0,
            },
        );
        let lost = endpoint
            .group_key()
            .map(|key| self.beliefs.watch_group(&key));
        let mut flight = Flight::begin(
            Arc::clone(&self.beliefs),
            endpoint.id.clone(),
            self.asked.id.clone(),
            self.arrived,
            lost,
        );
        match self
            .exchange(endpoint, &mut flight, attempts, last_event)
            .await
        {
            Ok(exchange) => self.check(exchange, flight).await,
            Err((failed, is_endpoints_fault)) => {
                if is_endpoints_fault {
                    flight.fail();
                } else {
                    flight.settle();
                }
                Err(failed)
            }
        }
    }

    async fn exchange(
        &self,
        endpoint: &Endpoint,
        flight: &mut Flight,
        attempts: &Attempts,
        last_event: Option<&str>,
    ) -> Result<Exchange, (Failed, bool)> {
        let handover = Handover {
            endpoint: &endpoint.id,
            customer: self.customer.as_deref(),
            left: self.callers_left(),
            priority: self.priority(),
            last_event,
        };
        let req = forward(&self.head, &self.body, &handover);
        let reuse = if self.route.delivery.may_repeat() {
            Reuse::Allowed
        } else {
            // A connection may be closing while the request is written into it; whether it ran
            // couldn't be told then.
            Reuse::Never
        };
        let limit = self.answer_timeout();
        let sent = self.client.send(endpoint.address, req, reuse, limit);
        let lost = flight.lost();
        let given_up = self.give_up_waiting(endpoint, attempts);
        let raced = future::or(async { Ended::Answer(sent.await) }, async {
            lost.await;
            Ended::Lost
        });
        let raced = future::or(raced, async { Ended::TimedOut(given_up.await) });
        match raced.await {
            Ended::Answer(Ok(exchange)) => Ok(exchange),
            Ended::Answer(Err(error)) => {
                let failed = Failed {
                    may_have_run: error.sent == Sent::Maybe,
                    cause: error.to_string(),
                };
                // A caller's own short time is no fault of the endpoint.
                let ran_out = self.left().is_zero();
                Err((failed, !ran_out))
            }
            Ended::Lost => {
                let failed = Failed {
                    may_have_run: true,
                    cause: "its group has lost a member".to_owned(),
                };
                Err((failed, false))
            }
            Ended::TimedOut(waited) => Err((waited.failed(endpoint), !waited.is_heard)),
        }
    }

    /// Returns how long one attempt's answer is waited for at most.
    fn answer_timeout(&self) -> Duration {
        let left = self.left();
        let target = self.route.latency_aim.unwrap_or(MIN_ANSWER_TIMEOUT);
        match self.route.delivery {
            Delivery::Idempotent => left.min(MIN_ANSWER_TIMEOUT.max(target * TIMEOUT_FACTOR)),
            Delivery::Stream { .. } | Delivery::AtMostOnce => left,
        }
    }

    /// Waits until a stream's first event is so late that another head should be tried.
    ///
    /// While all heads are busy, none is likely to be sooner, and the prompt would be read twice: the request
    /// stays where it is.
    async fn give_up_waiting(&self, endpoint: &Endpoint, attempts: &Attempts) -> Waited {
        let sent_at = clock::now();
        let model = self.engine_model().map(|(_, model)| &model.model);
        let is_resumable = matches!(self.route.delivery, Delivery::Stream { resumable: true });
        let (Some(model), true) = (model, is_resumable) else {
            return future::pending().await;
        };
        let timeout = self.beliefs.first_events().timeout(model);
        sleep(timeout).await;
        let mut tried = attempts.clone();
        tried.tried.push(endpoint.id.clone());
        loop {
            let is_heard = self.beliefs.loads().is_heard_since(sent_at, &endpoint.id);
            if !is_heard || self.may_be_sooner_elsewhere(&tried) {
                if is_heard {
                    self.beliefs.first_events().expire(model);
                }
                let time = clock::now().since(sent_at);
                return Waited { time, is_heard };
            }
            sleep(RECONSIDER_EVERY).await;
        }
    }

    /// Returns whether a head that wasn't tried has a free place, and this request may go there.
    fn may_be_sooner_elsewhere(&self, tried: &Attempts) -> bool {
        let placed = self.place(tried);
        placed.is_ok_and(|placed| placed.load < 1.0 && self.beliefs.has_retry(&placed.service))
    }

    /// Gives a connection back, within this node's share of what the endpoint takes.
    pub(crate) fn give_back(&self, lease: ConnectionLease) {
        let service = self.service().and_then(|id| self.catalog.services.get(id));
        let most = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.beliefs.nodes.load().len();
        lease.give_back_up_to(most / (nodes.max(1) * IDLE_PART));
    }

    fn priority(&self) -> u8 {
        let customers = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        customers.unwrap_or(self.route.priority)
    }

    /// Tells an answer to this request from one that proves that it wasn't run, and from one that
    /// belongs to another request.
    async fn check(&self, exchange: Exchange, mut flight: Flight) -> Result<Answered, Failed> {
        let (head, body) = exchange.response.into_parts();
        let said = AnswerHead::read(&head);
        if let Some(load) = said.load {
            let now = clock::now();
            self.beliefs.loads().reported(now, &flight.endpoint, load);
        }
        if let Some(not_run) = said.not_run {
            flight.settle();
            self.note_rejection(&flight.endpoint, not_run, &said);
            if read_whole(body, MAX_ANSWER, MIN_ANSWER_TIMEOUT)
                .await
                .is_ok()
            {
                self.give_back(exchange.lease);
            }
            return Err(Failed {
                cause: format!("{not_run} ({})", said.status),
                may_have_run: false,
            });
        }
        let fault = if said.request.as_ref() != Some(&self.asked.id) {
            Some("the answer belongs to another request")
        } else if said.is_encoded {
            Some("the answer's body is encoded")
        } else if promises_not_run(said.status) {
            Some("the answer's status promises what isn't proved")
        } else if said.status.is_success() && !said.is_sealed {
            Some("the answer has no seal")
        } else {
            None
        };
        if let Some(fault) = fault {
            flight.fail();
            return Err(Failed {
                cause: format!("{fault} ({})", said.status),
                may_have_run: true,
            });
        }
        flight.heard();
        if let Some((_, model)) = self.engine_model() {
            let waited = flight.age();
            self.beliefs.first_events().observe(&model.model, waited);
        }
        Ok(Answered {
            status: said.status,
            headers: head.headers,
            body,
            lease: exchange.lease,
            flight,
        })
    }

    fn note_rejection(&self, endpoint: &EndpointId, not_run: NotRun, said: &AnswerHead) {
        let now = clock::now();
        let rest = match not_run {
            NotRun::Misdirected => MISDIRECTED_EJECTION_TIME,
            NotRun::Full | NotRun::Rejected => REJECTED_EJECTION_TIME,
        };
        self.beliefs.loads().eject(now, endpoint, rest);
        if said.at_fault.as_ref().is_some_and(|id| id != endpoint) {
            log::debug!(
                "traffic: {endpoint} rejects because of {:?}.",
                said.at_fault
            );
        }
    }

    /// Reads an answer whole, which is passed on only if all of it came.
    pub(crate) async fn read(&self, answered: Answered) -> Result<Response<Bytes>, Refusal> {
        let Answered {
            status,
            headers,
            body,
            lease,
            mut flight,
        } = answered;
        match read_whole(body, MAX_ANSWER, self.left()).await {
            Ok(body) => {
                self.give_back(lease);
                if status.is_server_error() {
                    flight.fail();
                } else {
                    flight.succeed();
                }
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(response)
            }
            Err(error) => {
                flight.fail();
                Err(Refusal::NoAnswer(error.to_string()))
            }
        }
    }

    /// Returns whether another attempt may follow one that may have run.
    pub(crate) fn may_go_on(&self, attempts: &Attempts) -> bool {
        self.route.delivery.may_repeat() && self.has_attempts_left(attempts)
    }
}

/// Returns whether a status would tell the caller that its request hasn't run.
fn promises_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
