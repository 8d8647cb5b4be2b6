//! Orders to engines, each at most once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Endpoint, Fence, GroupRole, Incarnation, OrderCount};
use sesamecart_platform::{EngineReport, Order, OrderOutcome, Orders, report};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::EndpointId;

use crate::beliefs::Beliefs;
use crate::controller::lease::Lease;
use crate::events::Event;
use crate::watch::{ANSWER_LIMIT, QUESTIONS};

/// How long an engine has to answer an order; one that lives does within a few milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(250);

/// How often an order without answer is given; each carries the same expected count, so that the
/// engine carries out one of them at most.
const TRIES: usize = 3;

/// The rest between two tries.
const REST: Duration = Duration::from_millis(30);

/// The count of orders that an engine has begun, as far as this controller knows.
#[derive(Clone, Copy, Debug)]
struct Count {
    life: Option<Incarnation>,
    begun: OrderCount,
    /// Whether it may be one more: whether an order that was done at once counts isn't said.
    ///
    /// The engine's own report is some hundred ms old, so asking right after such an order brings the
    /// count from before it. Its next order was refused then: each group whose old head joined the
    /// next one was formed later, and meanwhile its other members went to smaller groups.
    may_be_one_more: bool,
}

#[derive(Debug, Default)]
struct Counts(IndexMap<EndpointId, Count>);

/// Gives orders under the lease.
#[derive(Debug)]
pub(crate) struct Engines {
    beliefs: Arc<Beliefs>,
    client: HttpClient,
    orders: Orders,
    lease: Arc<Lease>,
    counts: Mutex<Counts>,
}

impl Engines {
    pub(crate) fn new(beliefs: Arc<Beliefs>, client: HttpClient, lease: Arc<Lease>) -> Self {
        Self {
            beliefs,
            orders: Orders::new(client.clone(), ORDER_LIMIT),
            client,
            lease,
            counts: Mutex::default(),
        }
    }

    /// Returns the fence of the lease, or zero once it has run out.
    pub(crate) fn fence(&self) -> Fence {
        self.lease.holds().unwrap_or_default()
    }

    /// Returns those of some engines that don't answer, of the ones that this controller hasn't spoken
    /// to.
    ///
    /// An engine that died is in the registry for three heartbeats more. A controller that has just
    /// taken over would join the living to it and wait for a second until the dead one's order has
    /// failed for good; with restarts every two seconds no group was mended in between.
    pub(crate) async fn silent(&self, engines: &[EndpointId]) -> Vec<EndpointId> {
        let asked = engines.iter().map(|engine| self.is_silent(engine));
        let answers = join_all(asked).await;
        let silent = engines.iter().zip(answers).filter(|(_, silent)| *silent);
        silent.map(|(engine, _)| engine.clone()).collect()
    }

    async fn is_silent(&self, engine: &EndpointId) -> bool {
        let known = self.beliefs.directory.load().find(engine).cloned();
        let Some(known) = known else { return true };
        if self.count(engine, known.incarnation).is_some() {
            return false;
        }
        for _ in 0..QUESTIONS {
            if report(&self.client, known.address, ANSWER_LIMIT)
                .await
                .is_ok()
            {
                return false;
            }
        }
        true
    }

    /// Gives an order.
    ///
    /// An order that got no answer may be carried out seconds later, after newer ones. It names the
    /// count of orders that the engine must have begun so far, so by then it does nothing.
    pub(crate) async fn order(&self, engine: &EndpointId, order: &Order) -> OrderOutcome {
        let (outcome, fence) = self.try_order(engine, order).await;
        self.beliefs.metrics.count_order(kind(&outcome));
        self.beliefs.events.write(&Event::OrderGiven {
            endpoint: engine.as_str(),
            order: &order.to_string(),
            fence: fence.0,
            outcome: &outcome.to_string(),
        });
        if outcome == OrderOutcome::Fenced && fence != Fence::default() {
            self.lease
                .step_down(fence, "an engine has seen a higher fence");
        }
        outcome
    }

    async fn try_order(&self, engine: &EndpointId, order: &Order) -> (OrderOutcome, Fence) {
        let known = self.beliefs.directory.load().find(engine).cloned();
        let Some(known) = known else {
            let outcome = OrderOutcome::NotSent("the endpoint is gone".to_owned());
            return (outcome, Fence::default());
        };
        let mut outcome = OrderOutcome::NoAnswer("not tried".to_owned());
        let mut used = Fence::default();
        for _ in 0..TRIES {
            let count = match self.count(engine, known.incarnation) {
                Some(count) => count,
                None => match report(&self.client, known.address, ORDER_LIMIT).await {
                    Ok(report) => {
                        self.note(engine, known.incarnation, report.orders);
                        if is_joined_elsewhere(order, &report, &known) {
                            return (OrderOutcome::Conflict, Fence::default());
                        }
                        report.orders
                    }
                    Err(error) => {
                        outcome = OrderOutcome::NotSent(error.to_string());
                        sleep(REST).await;
                        continue;
                    }
                },
            };
            // The lease is looked at right before the effect: the wait above may have outlived it.
            let Some(fence) = self.lease.holds() else {
                return (OrderOutcome::Fenced, Fence::default());
            };
            used = fence;
            let given = self
                .orders
                .give(engine, known.address, order, fence, Some(count));
            outcome = given.await;
            match &outcome {
                OrderOutcome::Begun => {
                    self.note(engine, known.incarnation, OrderCount(count.0 + 1));
                    return (outcome, fence);
                }
                OrderOutcome::NoAnswer(_) => {
                    if self.has_begun(engine, &known, count).await {
                        return (OrderOutcome::Begun, fence);
                    }
                    sleep(REST).await;
                }
                OrderOutcome::NotSent(_) => sleep(REST).await,
                // The count may be what doesn't fit.
                OrderOutcome::Conflict => self.correct(engine, known.incarnation, count),
                OrderOutcome::Already => {
                    self.note_done(engine, known.incarnation, count);
                    return (outcome, fence);
                }
                OrderOutcome::Fenced | OrderOutcome::Misdirected | OrderOutcome::Unknown => {
                    return (outcome, fence);
                }
            }
        }
        self.forget(engine);
        (outcome, used)
    }

    /// Returns whether an order without answer has begun: the engine's count shows it.
    async fn has_begun(&self, engine: &EndpointId, known: &Endpoint, before: OrderCount) -> bool {
        let Ok(report) = report(&self.client, known.address, ORDER_LIMIT).await else {
            return false;
        };
        self.note(engine, known.incarnation, report.orders);
        report.orders > before
    }

    fn count(&self, engine: &EndpointId, life: Option<Incarnation>) -> Option<OrderCount> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.0.get(engine)?;
        (count.life == life).then_some(count.begun)
    }

    fn note(&self, engine: &EndpointId, life: Option<Incarnation>, begun: OrderCount) {
        self.set(engine, life, begun, false);
    }

    /// Notes an order that was done at once, before which the engine's count was `begun`.
    fn note_done(&self, engine: &EndpointId, life: Option<Incarnation>, begun: OrderCount) {
        self.set(engine, life, begun, true);
    }

    /// Takes the other count that is possible after `begun` was refused, or has it asked for anew.
    fn correct(&self, engine: &EndpointId, life: Option<Incarnation>, begun: OrderCount) {
        let may_be_one_more = {
            let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            let count = counts.0.get(engine);
            count.is_some_and(|count| count.may_be_one_more)
        };
        if may_be_one_more {
            self.note(engine, life, OrderCount(begun.0 + 1));
        } else {
            self.forget(engine);
        }
    }

    fn set(
        &self,
        engine: &EndpointId,
        life: Option<Incarnation>,
        begun: OrderCount,
        may_be_one_more: bool,
    ) {
        let count = Count {
            life,
            begun,
            may_be_one_more,
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.0.insert(engine.clone(), count);
    }

    fn forget(&self, engine: &EndpointId) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.0.swap_remove(engine);
    }
}

/// Returns whether an engine that is to join is in a group that the registry doesn't show yet.
///
/// The controller before this one may have formed and opened that group a moment ago. Joining its
/// members to another would put them into two groups at once.
fn is_joined_elsewhere(order: &Order, report: &EngineReport, known: &Endpoint) -> bool {
    let is_join = matches!(order, Order::Join { .. });
    let place = |role: &GroupRole| (role.group.clone(), role.epoch);
    let reported = report.group.as_ref().map(place);
    is_join && reported.is_some() && reported != known.group.as_ref().map(place)
}

fn kind(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Already => "already",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Misdirected => "misdirected",
        OrderOutcome::Unknown => "unknown",
        OrderOutcome::NotSent(_) => "not_sent",
        OrderOutcome::NoAnswer(_) => "no_answer",
    }
}
