//! Timeouts for one attempt's response.

use std::time::Duration;

use futures_lite::future;
use sesamecart_edges::{ClientError, Exchange, Reuse, SendStatus, Step};
use sesamecart_fleet::{Delivery, Endpoint, EndpointCrash, EndpointState};
use sesamecart_platform::{ForwardContext, build_forwarded_request};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::EndpointId;

use crate::clock;
use crate::follower::millis;
use crate::traffic::call::{AttemptError, Attempts, Call};
use crate::traffic::in_flight::InFlightRequest;
use crate::traffic::placement::RestrictedEndpointPolicy;

/// The response timeout of an idempotent request as a multiple of its route's latency target. After this
/// time, another endpoint is tried.
const TIMEOUT_FACTOR: u32 = 2;

/// The minimum response timeout, because short requests occasionally take several times their mean duration.
pub(super) const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// How often the node checks again whether another endpoint may take a request that waits.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How the wait for the response's status and headers ended.
enum WaitOutcome {
    Response(Result<Box<Exchange>, ClientError>),
    /// The endpoint's group is suspected or lost, and another endpoint may take the request.
    Interrupted,
    TimedOut(ResponseTimeout),
}

/// A timeout while waiting for the response headers, which count as the first event of a stream.
struct ResponseTimeout {
    waited: Duration,
    /// Whether the endpoint is at fault, and this isn't recorded yet.
    is_endpoint_fault: bool,
}

impl ResponseTimeout {
    fn to_error(&self, endpoint: &Endpoint) -> AttemptError {
        let ms = millis(self.waited);
        AttemptError {
            cause: format!("{}: request: no response in {ms} ms", endpoint.address),
            may_have_run: true,
            may_have_arrived: true,
            crash_check: None,
        }
    }
}

impl Call {
    /// Sends the request to an endpoint and waits for the response's status and headers.
    ///
    /// A silent endpoint is left only if another one may take the request. Otherwise it has all the time that the
    /// request has.
    ///
    /// # Errors
    ///
    /// Returns the failure and whether the endpoint is at fault.
    pub(super) async fn send_request(
        &self,
        endpoint: &Endpoint,
        in_flight: &mut InFlightRequest,
        attempts: &Attempts,
        last_event: Option<&str>,
    ) -> Result<Exchange, (AttemptError, bool)> {
        let context = ForwardContext {
            endpoint: &endpoint.id,
            customer: self.customer.as_deref(),
            remaining_time: self.caller_time_left(),
            priority: self.priority(),
            last_event,
        };
        let req = build_forwarded_request(&self.head, &self.body, &context);
        let is_leaving = endpoint.state != EndpointState::Ready;
        let reuse = if self.route.delivery.may_repeat() && !is_leaving {
            Reuse::Allowed
        } else {
            // The endpoint may close an idle connection while the request is being written. It would then
            // be unknown whether the request ran. One that leaves is about to close them.
            Reuse::Never
        };
        let timeout = self.time_left();
        let response = self.client.send(endpoint.address, req, reuse, timeout);
        let raced = future::or(
            async { WaitOutcome::Response(response.await.map(Box::new)) },
            async {
                self.may_leave(in_flight, attempts).await;
                WaitOutcome::Interrupted
            },
        );
        let raced = future::or(raced, async {
            let timeout = self.response_is_late(endpoint, in_flight, attempts);
            WaitOutcome::TimedOut(timeout.await)
        });
        let outcome = raced.await;
        match outcome {
            WaitOutcome::Response(Ok(exchange)) => {
                if exchange.is_new_connection {
                    self.record_reachable();
                }
                Ok(*exchange)
            }
            WaitOutcome::Response(Err(client_error)) => {
                let has_path_failed =
                    client_error.step == Step::Connect && !self.time_left().is_zero();
                // An endpoint that leaves may have ended, which says nothing about the path.
                if has_path_failed && !is_leaving {
                    self.record_unreachable(&endpoint.id);
                }
                if has_path_failed && in_flight.is_suspect() {
                    let mut tracker = self.state.crashes.tracker();
                    tracker.record_unreachable(clock::now(), EndpointCrash::of(endpoint));
                }
                let may_have_run = client_error.sent == SendStatus::PossiblySent;
                let mut error = AttemptError::new(client_error.to_string(), may_have_run);
                error.may_have_arrived = may_have_run;
                if may_have_run && client_error.is_connection_failure() {
                    error.crash_check = Some(self.check_for_crash(in_flight));
                }
                // The endpoint isn't at fault if the request's time limit has passed.
                let is_past_deadline = self.time_left().is_zero();
                Err((error, !is_past_deadline))
            }
            WaitOutcome::Interrupted => {
                let cause = in_flight.interruption().to_owned();
                Err((AttemptError::new(cause, true), false))
            }
            WaitOutcome::TimedOut(timeout) => {
                Err((timeout.to_error(endpoint), timeout.is_endpoint_fault))
            }
        }
    }

    /// Records that an endpoint of the request's pool accepted a connection.
    fn record_reachable(&self) {
        if let Some(service) = self.service() {
            self.state.record_reachable(&self.pool(service));
        }
    }

    /// Records that a connection to an endpoint of the request's pool couldn't be opened.
    fn record_unreachable(&self, endpoint: &EndpointId) {
        if let Some(service) = self.service() {
            self.state.record_unreachable(&self.pool(service), endpoint);
        }
    }

    /// Waits until the endpoint's group is suspected or lost, or the path to it, and another endpoint may take the
    /// request before this one sends anything again.
    async fn may_leave(&self, in_flight: &InFlightRequest, attempts: &Attempts) {
        let endpoint = &in_flight.endpoint.id;
        in_flight.interrupted().await;
        loop {
            let interrupted_at = clock::now();
            while !self.state.loads().has_event_since(interrupted_at, endpoint) {
                if self.is_movable(Some(endpoint), attempts) {
                    return;
                }
                sleep(RECHECK_INTERVAL).await;
            }
            in_flight.next_interruption().await;
        }
    }

    /// Returns the time after which another endpoint is tried if this one doesn't respond.
    pub(super) fn response_timeout(&self) -> Duration {
        let time_left = self.time_left();
        let target = self.route.latency_target.unwrap_or(MIN_RESPONSE_TIMEOUT);
        match self.route.delivery {
            Delivery::Idempotent => {
                time_left.min(MIN_RESPONSE_TIMEOUT.max(target * TIMEOUT_FACTOR))
            }
            Delivery::Stream { .. } | Delivery::AtMostOnce => time_left,
        }
    }

    /// Waits until the response is so late that another endpoint should be tried, and one may be.
    async fn response_is_late(
        &self,
        endpoint: &Endpoint,
        in_flight: &InFlightRequest,
        attempts: &Attempts,
    ) -> ResponseTimeout {
        match self.route.delivery {
            Delivery::Idempotent => {
                sleep(self.response_timeout()).await;
                // The endpoint isn't at fault if the request's time limit has passed.
                if !self.time_left().is_zero() {
                    in_flight.record_failure();
                }
                self.wait_until_movable(Some(&endpoint.id), attempts).await;
                ResponseTimeout {
                    waited: in_flight.age(),
                    is_endpoint_fault: false,
                }
            }
            Delivery::Stream { resumable: true } => {
                self.first_event_is_late(endpoint, attempts).await
            }
            Delivery::Stream { resumable: false } | Delivery::AtMostOnce => future::pending().await,
        }
    }

    /// Waits until a stream's first event is so late that the head of another group should be tried.
    ///
    /// While all heads are busy, another one is unlikely to start the stream sooner, and the prompt would be
    /// processed twice. The request then stays where it is.
    async fn first_event_is_late(
        &self,
        endpoint: &Endpoint,
        attempts: &Attempts,
    ) -> ResponseTimeout {
        let sent_at = clock::now();
        let Some((_, model)) = self.engine_model() else {
            return future::pending().await;
        };
        let model = &model.model;
        let timeout = self.state.first_event_timeouts().timeout(model);
        sleep(timeout).await;
        let mut tried = attempts.clone();
        tried.tried.push(endpoint.id.clone());
        loop {
            let is_head_active = self.state.loads().has_event_since(sent_at, &endpoint.id);
            let has_better_head = !is_head_active || self.has_free_head(&tried);
            if has_better_head && self.is_movable(Some(&endpoint.id), attempts) {
                if is_head_active {
                    self.state.first_event_timeouts().expire(model);
                }
                let waited = clock::now().since(sent_at);
                return ResponseTimeout {
                    waited,
                    is_endpoint_fault: !is_head_active,
                };
            }
            sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Returns whether an untried head has a free slot and the retry budget allows sending this request
    /// there.
    fn has_free_head(&self, tried: &Attempts) -> bool {
        let placement = self.place(tried, RestrictedEndpointPolicy::Skip, None);
        placement
            .is_ok_and(|placement| placement.load < 1.0 && self.state.has_retry(&placement.service))
    }

    /// Returns whether the request may be sent to another endpoint while it may be running at `endpoint`, if that is
    /// known.
    fn is_movable(&self, endpoint: Option<&EndpointId>, attempts: &Attempts) -> bool {
        let mut attempts = attempts.clone();
        attempts.record_failed_run(endpoint.cloned());
        if !self.may_retry(&attempts) {
            return false;
        }
        if self.may_forward(&attempts) {
            return self.has_forwarding_retry();
        }
        let placement = self.place(&attempts, RestrictedEndpointPolicy::Skip, None);
        placement.is_ok_and(|placement| self.state.has_retry(&placement.service))
    }

    /// Waits until the request may be sent to another endpoint.
    pub(super) async fn wait_until_movable(
        &self,
        endpoint: Option<&EndpointId>,
        attempts: &Attempts,
    ) {
        while !self.is_movable(endpoint, attempts) {
            sleep(RECHECK_INTERVAL).await;
        }
    }
}
