//! One caller's request, with all that a further attempt of it needs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use sesamecart_edges::{ConnectionLease, HttpClient};
use sesamecart_fleet::{Catalog, Customer, PathRoute, Unavailable};
use sesamecart_platform::Asked;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::traffic::flight::Flight;
use crate::traffic::placing::{ColdEndpoints, Placed};
use crate::traffic::refusal::Refusal;

#[cfg(test)]
mod tests;

/// Attempts that may be rejected or lost before one request is given up, besides those that its
/// route allows to run.
const SPARE_ATTEMPTS: u32 = 2;

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
pub(super) struct Failed {
    pub(super) cause: String,
    pub(super) may_have_run: bool,
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
        let limit = match (self.asked.timeout, self.route.time_limit) {
            (Some(timeout), Some(limit)) => timeout.min(limit),
            (Some(limit), None) | (None, Some(limit)) => limit,
            (None, None) => Duration::from_secs(60),
        };
        limit.saturating_sub(self.after())
    }

    /// Returns what is left of the time that the caller itself named.
    pub(super) fn callers_left(&self) -> Duration {
        left_of(self.asked.timeout, self.after(), self.left())
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
            let placed = match self.place(attempts, ColdEndpoints::WithinAllowance) {
                Ok(placed) => placed,
                Err(unavailable) => return Err(self.give_up(failed, attempts, Some(unavailable))),
            };
            if attempts.made > 0 && !self.beliefs.try_withdraw_retry(&placed.service) {
                let spent = Failed {
                    cause: "the retry budget is spent".to_owned(),
                    may_have_run: attempts.may_have_run > 0,
                };
                return Err(self.give_up(Some(spent), attempts, None));
            }
            if attempts.made == 0 {
                self.beliefs.deposit_retry(&placed.service);
                self.note_placed(&placed);
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

    pub(super) fn priority(&self) -> u8 {
        let customers = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        customers.unwrap_or(self.route.priority)
    }

    /// Returns whether another attempt may follow one that may have run.
    pub(crate) fn may_go_on(&self, attempts: &Attempts) -> bool {
        self.route.delivery.may_repeat() && self.has_attempts_left(attempts)
    }
}

/// Returns what is left of a caller's own time `after` its request came; `left` where it named none.
fn left_of(timeout: Option<Duration>, after: Duration, left: Duration) -> Duration {
    timeout.map_or(left, |timeout| timeout.saturating_sub(after))
}
