//! How long one attempt's answer is waited for.

use std::time::Duration;

use futures_lite::future;
use sesamecart_edges::{ClientError, Exchange, Reuse, Sent};
use sesamecart_fleet::{Delivery, Endpoint};
use sesamecart_platform::{Handover, forward};
use sesamecart_runtime::sleep;

use crate::clock;
use crate::follower::millis;
use crate::traffic::call::{Attempts, Call, Failed};
use crate::traffic::flight::Flight;
use crate::traffic::placing::ColdEndpoints;

/// How much longer than its promised time an answer that may be repeated is waited for, before
/// another endpoint is tried.
const TIMEOUT_FACTOR: u32 = 2;

/// The least time for which an answer is waited for: short work takes several times its mean at times.
pub(super) const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How often it is reconsidered whether a stream that hasn't begun would begin sooner at another head.
const RECONSIDER_EVERY: Duration = Duration::from_millis(200);

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

impl Call {
    /// Sends the request to an endpoint; also returns whether a failure is the endpoint's fault.
    pub(super) async fn exchange(
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
        let placed = self.place(tried, ColdEndpoints::PassedOver);
        placed.is_ok_and(|placed| placed.load < 1.0 && self.beliefs.has_retry(&placed.service))
    }
}
