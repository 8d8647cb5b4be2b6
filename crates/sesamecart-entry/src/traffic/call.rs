//! One caller's request, with the state needed to retry it.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use sesamecart_edges::{HttpClient, PooledConnection, ResponseBody};
use sesamecart_fleet::{Catalog, Customer, PathRoute, SharedPart, Suspects, Unavailable};
use sesamecart_platform::{RequestMetadata, shared_prompt_parts};
use sesamecart_vocabulary::{EndpointId, Fingerprint, RequestIdentity, Timestamp};

use crate::clock;
use crate::crashes::{SendContext, SuspectClient};
use crate::dispatch::DispatchClient;
use crate::events::Event;
use crate::follower::millis;
use crate::limits::LimitClient;
use crate::state::EntryState;
use crate::traffic::body_memory::{RequestMemory, Reservation};
use crate::traffic::checks::{Halt, PendingSend, ReadyAttempt};
use crate::traffic::flight::Flight;
use crate::traffic::forwarded::Hop;
use crate::traffic::in_flight::InFlightRequest;
use crate::traffic::refusal::{Refusal, RelayedRefusal};

#[cfg(test)]
mod tests;

/// The number of attempts beyond the route's `max_attempts` that a request may make when endpoints reject it
/// or fail before they run it.
const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Why a request whose response was incomplete isn't sent again.
const NO_ENDPOINT_LEFT: &str = "the response was incomplete, and no other endpoint can be asked";

/// A request whose body has been read completely, with its route.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) state: Arc<EntryState>,
    pub(crate) client: HttpClient,
    pub(crate) limits: LimitClient,
    pub(crate) suspect_starts: SuspectClient,
    pub(crate) dispatcher: DispatchClient,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Arc<PathRoute>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) _body_memory: Reservation,
    pub(crate) _request_memory: RequestMemory,
    pub(crate) arrived_at: Timestamp,
    /// Set if another node has sent the request.
    pub(crate) hop: Option<Hop>,
    /// Computed when they are first needed.
    pub(crate) suspects: OnceLock<Arc<Suspects>>,
    /// Whether the request has ended without a complete response.
    pub(crate) has_failed: Arc<AtomicBool>,
}

/// The attempts made so far for one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) made: u32,
    may_have_run: u32,
    /// The attempts of this node that may have arrived at an endpoint. Only these count in the retry budget.
    arrivals: u32,
    /// The arrivals whose next attempt is already charged to the retry budget.
    charged_arrivals: u32,
    /// Whether the request was counted as a first attempt in the retry budget.
    pub(super) is_deposited: bool,
    /// Whether no other node took the request. It then goes only to endpoints that this node may reach after all.
    pub(super) has_no_helper: bool,
    /// The refusal of the last node that was asked in this node's place, if it said when to retry.
    pub(super) helper_refusal: Option<RelayedRefusal>,
    /// Whether the request was offered to the dispatcher of its pool.
    pub(super) is_offered: bool,
    /// How often a limited endpoint had no room for the request.
    pub(super) denials: u32,
    /// Whether the request still runs at an endpoint that may yet make these attempts needless.
    pub(crate) are_alternative: bool,
    /// Whether the last attempt was sent and has no result yet.
    pub(super) is_unfinished: bool,
    pub(crate) tried: Vec<EndpointId>,
    /// The tried endpoints that may have run the request.
    pub(super) ran_at: Vec<EndpointId>,
}

/// An endpoint's response after its head has arrived.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
    /// Whether nothing but the end of the connection marks the end of the body.
    pub(crate) ends_with_connection: bool,
    pub(crate) lease: PooledConnection,
    pub(crate) in_flight: Flight,
}

/// Why an attempt failed.
#[derive(Debug)]
pub(super) struct AttemptError {
    pub(super) cause: String,
    pub(super) may_have_run: bool,
    /// Whether the request may have arrived at an endpoint.
    pub(super) may_have_arrived: bool,
    /// Closed once it is known whether the endpoint has crashed, if it closed the connection.
    pub(super) crash_check: Option<Receiver<()>>,
}

impl AttemptError {
    pub(super) const fn new(cause: String, may_have_run: bool) -> Self {
        Self {
            cause,
            may_have_run,
            may_have_arrived: true,
            crash_check: None,
        }
    }
}

impl Attempts {
    /// Returns whether an endpoint may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Records an attempt that failed after the head of its response had arrived.
    pub(crate) fn record_incomplete(&mut self, endpoint: EndpointId) {
        self.record_failed_run(Some(endpoint));
    }

    /// Records an attempt through another node that may have run at `endpoint`, if that is known.
    pub(super) fn record_failed_run(&mut self, endpoint: Option<EndpointId>) {
        self.is_unfinished = false;
        self.may_have_run += 1;
        self.arrivals += 1;
        self.tried.extend(endpoint.clone());
        self.ran_at.extend(endpoint);
    }

    /// Ends attempts of which the last one was abandoned, because the request went on where it ran before.
    pub(crate) fn abandon(&mut self) {
        self.are_alternative = false;
        if self.is_unfinished {
            self.record_failed_run(None);
        }
    }

    /// Records an attempt that failed before the head of its response arrived.
    fn record_error(&mut self, endpoint: EndpointId, error: &AttemptError) {
        self.is_unfinished = false;
        if error.may_have_run {
            self.record_failed_run(Some(endpoint));
        } else {
            self.arrivals += u32::from(error.may_have_arrived);
            self.tried.push(endpoint);
        }
    }

    /// Returns whether the next attempt is a retry that isn't charged to the retry budget yet.
    pub(super) const fn is_uncharged_retry(&self) -> bool {
        self.arrivals > self.charged_arrivals
    }

    pub(super) const fn record_charged(&mut self) {
        self.charged_arrivals = self.arrivals;
    }
}

impl Call {
    /// Returns the fingerprint, which is the same for all attempts of the caller.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.suspects().request
    }

    /// Returns what a crash under the request may be attributed to.
    pub(crate) fn suspects(&self) -> Arc<Suspects> {
        let suspects = self.suspects.get_or_init(|| {
            let customer = self.customer.as_ref().map(|customer| &customer.id);
            let target = self.head.uri.path_and_query();
            let request = Fingerprint::of(&RequestIdentity {
                customer: customer.map(|customer| customer.as_str()),
                host: &self.metadata.host,
                method: self.head.method.as_str(),
                target: target.map_or("/", |target| target.as_str()),
                body: &self.body,
            });
            let parts = shared_prompt_parts(&self.head.headers);
            Arc::new(Suspects {
                request,
                parts: parts.into_iter().map(SharedPart::from).collect(),
                customer: customer.cloned(),
            })
        });
        Arc::clone(suspects)
    }

    /// Returns the parts of the prompt that other requests may share, for the log.
    pub(crate) fn prompt_parts_text(&self) -> String {
        let suspects = self.suspects();
        let parts: Vec<String> = suspects
            .parts
            .iter()
            .map(|part| part.id.to_string())
            .collect();
        parts.join(",")
    }

    /// Returns the time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        clock::now().since(self.arrived_at)
    }

    /// Returns the time left until the caller's timeout or the route's time limit, whichever comes first.
    pub(crate) fn time_left(&self) -> Duration {
        time_limit(&self.metadata, &self.route).saturating_sub(self.elapsed())
    }

    /// Returns the time left until the caller's own timeout, or `time_left` if the caller set none.
    pub(super) fn caller_time_left(&self) -> Duration {
        remaining_caller_time(self.metadata.timeout, self.elapsed(), self.time_left())
    }

    /// Sends the request to one endpoint after another until one responds.
    ///
    /// A request that may have run and must not run twice isn't sent again.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no endpoint responded and no further attempt is allowed.
    pub(crate) async fn send_with_retries(
        &self,
        attempts: &mut Attempts,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, Refusal> {
        let mut pending = PendingSend {
            attempts,
            last_error: None,
            assigned: None,
            last_event,
        };
        loop {
            let attempt = match self.pass_checks(&mut pending).await {
                Ok(attempt) => attempt,
                Err(Halt::Again) => continue,
                Err(Halt::Refuse(refusal)) => return Err(refusal),
                Err(Halt::Answered(response)) => return Ok(*response),
            };
            if pending.attempts.made == 0 {
                self.record_placement(&attempt.placement);
            }
            let endpoint = attempt.placement.endpoint.id.clone();
            let context = self.send_context();
            match self
                .send_to(attempt, pending.attempts, context.clone(), last_event)
                .await
            {
                Ok(response) => return Ok(response),
                Err(error) => {
                    self.prepare_retry(&mut pending, endpoint, error, &context)
                        .await?;
                }
            }
        }
    }

    /// Records a failed attempt and waits until the next one may be made.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt is allowed.
    async fn prepare_retry(
        &self,
        pending: &mut PendingSend<'_>,
        endpoint: EndpointId,
        mut error: AttemptError,
        context: &SendContext,
    ) -> Result<(), Refusal> {
        self.report_failure(Some(&endpoint), &error);
        let attempts = &mut *pending.attempts;
        attempts.record_error(endpoint, &error);
        let is_repeatable = !attempts.may_have_run() || self.route.delivery.may_repeat();
        let is_allowed = self.has_attempts_left(attempts) || self.may_forward(attempts);
        let check = error.crash_check.take();
        pending.last_error = Some(error);
        if !is_repeatable || !is_allowed {
            return Err(self.refusal_of(pending, None));
        }
        if let Some(check) = check {
            self.wait_for_check(context, check).await;
        }
        Ok(())
    }

    /// Returns the attempts before the first one that this node makes.
    pub(crate) fn first_attempts(&self) -> Attempts {
        let hop = self.hop.as_ref().map(|hop| &hop.req);
        Attempts {
            made: self.prior_attempts(),
            may_have_run: 0,
            arrivals: 0,
            charged_arrivals: 0,
            // The node that has sent the request has counted it.
            is_deposited: hop.is_some(),
            has_no_helper: false,
            helper_refusal: None,
            is_offered: false,
            denials: 0,
            are_alternative: false,
            is_unfinished: false,
            ran_at: Vec::new(),
            tried: hop.map_or_else(Vec::new, |hop| hop.ran_at.clone()),
        }
    }

    /// Returns the number of attempts that the node made that has sent the request to this one.
    fn prior_attempts(&self) -> u32 {
        self.hop.as_ref().map_or(0, |hop| hop.req.attempts)
    }

    /// Returns the number of endpoints that may run the request. A request that another node has sent runs once
    /// at most, and that node decides about the next run.
    fn max_runs(&self) -> u32 {
        match &self.hop {
            Some(_) => 1,
            None => self.route.max_attempts,
        }
    }

    /// Returns whether another endpoint may run the request.
    pub(super) fn has_runs_left(&self, attempts: &Attempts) -> bool {
        attempts.may_have_run < self.max_runs()
    }

    fn has_attempts_left(&self, attempts: &Attempts) -> bool {
        let max_attempts = self.prior_attempts() + self.max_runs() + MAX_EXTRA_ATTEMPTS;
        self.has_runs_left(attempts) && attempts.made < max_attempts
    }

    /// Counts the final response to a caller. Of a request that another node has sent, that node counts it.
    pub(crate) fn count_response(&self, by: &'static str, status: u16) {
        if self.hop.is_none() {
            self.state.metrics.count_response(by, status);
        }
    }

    /// Records the time to the first sign of the response, at the node that the caller has called.
    pub(crate) fn record_first_response(&self) {
        if self.hop.is_none() {
            self.state.metrics.record_first_response(self.elapsed());
        }
    }

    /// Returns the refusal for a request that isn't attempted again.
    pub(super) fn refusal_of(
        &self,
        pending: &mut PendingSend<'_>,
        unavailable: Option<Unavailable>,
    ) -> Refusal {
        let error = pending.last_error.take();
        let attempts = &*pending.attempts;
        if attempts.may_have_run() {
            let cause = error.map_or_else(|| NO_ENDPOINT_LEFT.to_owned(), |error| error.cause);
            if self.time_left().is_zero() {
                log::debug!("traffic: {}: {cause}.", self.metadata.id);
                return Refusal::TimedOut;
            }
            return Refusal::IncompleteResponse(cause);
        }
        match (error, unavailable, &attempts.helper_refusal) {
            (_, None | Some(Unavailable::NoEndpoint), Some(refusal)) => {
                Refusal::Relayed(refusal.clone())
            }
            (Some(error), None, None) => Refusal::NotRun(error.cause),
            (_, Some(unavailable), _) => Refusal::Unavailable(unavailable),
            (None, None, None) => Refusal::NotRun("its time ran out".to_owned()),
        }
    }

    /// Counts a failed attempt in the metrics and writes it to the decision log.
    pub(super) fn report_failure(&self, endpoint: Option<&EndpointId>, error: &AttemptError) {
        self.state.metrics.count_failed_attempt(error.may_have_run);
        self.state.events.write(&Event::AttemptFailed {
            request: self.metadata.id.as_str(),
            fingerprint: self.fingerprint(),
            parts: &self.prompt_parts_text(),
            endpoint: endpoint.map_or("", |id| id.as_str()),
            cause: &error.cause,
            may_have_run: error.may_have_run,
            after_ms: millis(self.elapsed()),
        });
    }

    /// Sends the request to an endpoint, waits for the head of the response and checks it.
    async fn send_to(
        &self,
        attempt: ReadyAttempt,
        attempts: &mut Attempts,
        context: SendContext,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, AttemptError> {
        let ReadyAttempt {
            placement,
            suspect_run,
            slow_start,
        } = attempt;
        attempts.made += 1;
        attempts.is_unfinished = true;
        let endpoint = &placement.endpoint;
        self.state.events.write_success(
            clock::now(),
            &Event::Sent {
                request: self.metadata.id.as_str(),
                endpoint: endpoint.id.as_str(),
                attempt: attempts.made,
                load: placement.load,
                configuration: self.catalog.version.0,
            },
        );
        let mut in_flight = InFlightRequest::start(
            Arc::clone(&self.state),
            Arc::clone(endpoint),
            context,
            suspect_run,
            self.metadata.id.clone(),
            self.arrived_at,
        );
        in_flight.set_alternative(attempts.are_alternative);
        in_flight.slow_start = slow_start;
        in_flight.held = self.hold(endpoint, placement.ticket);
        match self
            .send_request(endpoint, &mut in_flight, attempts, last_event)
            .await
        {
            Ok(exchange) => self.check_response(exchange, in_flight).await,
            Err((error, is_endpoint_fault)) => {
                if is_endpoint_fault {
                    in_flight.mark_failed();
                } else {
                    in_flight.mark_ended();
                }
                Err(error)
            }
        }
    }

    /// Returns the customer's priority, or the route's if the customer has none.
    pub(super) fn priority(&self) -> u8 {
        let customer_priority = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Returns whether another attempt may follow one that may have run.
    pub(crate) fn may_retry(&self, attempts: &Attempts) -> bool {
        self.route.delivery.may_repeat() && self.has_attempts_left(attempts)
    }
}

/// Returns how long a request may take, by its caller's timeout and its route's limit.
pub(super) fn time_limit(metadata: &RequestMetadata, route: &PathRoute) -> Duration {
    match (metadata.timeout, route.time_limit) {
        (Some(timeout), Some(limit)) => timeout.min(limit),
        (Some(limit), None) | (None, Some(limit)) => limit,
        (None, None) => Duration::from_secs(60),
    }
}

/// Returns the time left until the caller's own timeout, or `time_left` if the caller set none.
fn remaining_caller_time(
    timeout: Option<Duration>,
    elapsed: Duration,
    time_left: Duration,
) -> Duration {
    timeout.map_or(time_left, |timeout| timeout.saturating_sub(elapsed))
}
