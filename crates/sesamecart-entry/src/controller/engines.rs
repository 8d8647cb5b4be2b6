//! Sends orders to engines, so that each is executed at most once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Endpoint, FencingToken, GroupRole, Incarnation, OrderCount};
use sesamecart_platform::{EngineReport, Order, OrderClient, OrderOutcome, fetch_report};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::EndpointId;

use crate::controller::lease::Lease;
use crate::events::Event;
use crate::state::EntryState;
use crate::watch::{MAX_PROBES, PROBE_TIMEOUT};

#[cfg(test)]
mod tests;

/// Timeout of an order. A live engine answers within a few milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of times that an order without an answer is sent. Each attempt carries the same expected
/// order count, so that the engine executes at most one of them.
const MAX_ATTEMPTS: usize = 3;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// The number of orders that an engine has started, as last known to this controller.
#[derive(Clone, Copy, Debug)]
struct KnownCount {
    incarnation: Option<Incarnation>,
    started: OrderCount,
    /// Whether the count may be one higher: an engine that answers `AlreadyDone` doesn't say whether it
    /// counted the order.
    ///
    /// The engine's report may be some hundred milliseconds old, so a report requested right after such an
    /// order has the count from before it, and the engine refuses the next order. This delayed each new
    /// group that an old head was to join, and meanwhile its other members joined smaller groups.
    may_be_one_more: bool,
}

#[derive(Debug, Default)]
struct OrderCounts(IndexMap<EndpointId, KnownCount>);

/// Sends orders to engines under the control lease.
#[derive(Debug)]
pub(crate) struct EngineClient {
    state: Arc<EntryState>,
    client: HttpClient,
    orders: OrderClient,
    lease: Arc<Lease>,
    counts: Mutex<OrderCounts>,
}

impl EngineClient {
    pub(crate) fn new(state: Arc<EntryState>, client: HttpClient, lease: Arc<Lease>) -> Self {
        Self {
            state,
            orders: OrderClient::new(client.clone(), ORDER_TIMEOUT),
            client,
            lease,
            counts: Mutex::default(),
        }
    }

    /// Returns the fence of the lease, or zero if this node doesn't hold the lease.
    pub(crate) fn fence(&self) -> FencingToken {
        self.lease.fence().unwrap_or_default()
    }

    /// Returns the engines that don't answer a probe. Engines whose order count is known aren't probed.
    ///
    /// An engine that has exited stays in the registry for three more heartbeats. A controller that has just
    /// taken over would include it in a group with live engines and wait for a second until all attempts at
    /// its order have failed. With restarts every two seconds, no group was repaired in between.
    pub(crate) async fn find_silent(&self, engines: &[EndpointId]) -> Vec<EndpointId> {
        let probes = engines.iter().map(|engine| self.is_silent(engine));
        let results = join_all(probes).await;
        let silent = engines.iter().zip(results).filter(|(_, silent)| *silent);
        silent.map(|(engine, _)| engine.clone()).collect()
    }

    async fn is_silent(&self, engine: &EndpointId) -> bool {
        let endpoint = self.state.directory.load().find(engine).cloned();
        let Some(endpoint) = endpoint else {
            return true;
        };
        if self.count(engine, endpoint.incarnation).is_some() {
            return false;
        }
        for _ in 0..MAX_PROBES {
            let report = fetch_report(&self.client, endpoint.address, PROBE_TIMEOUT).await;
            if let Ok(report) = report {
                self.state.record_report(&endpoint, &report);
                // The order that follows needs no report of its own, unless the engine has joined another group.
                if !has_joined_since(&report, &endpoint) {
                    self.record_count(engine, endpoint.incarnation, report.orders);
                }
                return false;
            }
        }
        true
    }

    /// Sends an order to an engine.
    ///
    /// An order that got no answer may reach the engine seconds later, after newer ones. It carries the
    /// number of orders that the engine must have started so far, so a late order has no effect.
    pub(crate) async fn send_order(&self, engine: &EndpointId, order: &Order) -> OrderOutcome {
        let (outcome, fence) = self.try_send_order(engine, order).await;
        self.state.metrics.count_order(outcome_label(&outcome));
        self.state.events.write(&Event::OrderGiven {
            endpoint: engine.as_str(),
            order: &order.to_string(),
            fence: fence.0,
            outcome: &outcome.to_string(),
        });
        if outcome == OrderOutcome::Fenced && fence != FencingToken::default() {
            self.lease
                .step_down(fence, "an engine has seen a higher fence");
        }
        outcome
    }

    async fn try_send_order(
        &self,
        engine: &EndpointId,
        order: &Order,
    ) -> (OrderOutcome, FencingToken) {
        let endpoint = self.state.directory.load().find(engine).cloned();
        let Some(endpoint) = endpoint else {
            let outcome = OrderOutcome::NotSent("the endpoint is gone".to_owned());
            return (outcome, FencingToken::default());
        };
        let mut outcome = OrderOutcome::NoResponse("not tried".to_owned());
        let mut last_fence = FencingToken::default();
        for _ in 0..MAX_ATTEMPTS {
            let count = match self.count(engine, endpoint.incarnation) {
                Some(count) => count,
                None => match fetch_report(&self.client, endpoint.address, ORDER_TIMEOUT).await {
                    Ok(report) => {
                        self.state.record_report(&endpoint, &report);
                        self.record_count(engine, endpoint.incarnation, report.orders);
                        if is_joined_elsewhere(order, &report, &endpoint) {
                            return (OrderOutcome::Conflict, FencingToken::default());
                        }
                        report.orders
                    }
                    Err(error) => {
                        outcome = OrderOutcome::NotSent(error.to_string());
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                },
            };
            // The lease is checked right before the order is sent: it may have expired during the wait above.
            let Some(fence) = self.lease.fence() else {
                let outcome = OrderOutcome::NotSent("the control lease has run out".to_owned());
                return (outcome, FencingToken::default());
            };
            last_fence = fence;
            let reply = self
                .orders
                .send(engine, endpoint.address, order, fence, Some(count));
            let reply = reply.await;
            if reply.is_leaving {
                self.state.record_leaving(&endpoint, "");
            }
            outcome = reply.outcome;
            match &outcome {
                OrderOutcome::Begun => {
                    self.record_count(engine, endpoint.incarnation, OrderCount(count.0 + 1));
                    return (outcome, fence);
                }
                OrderOutcome::NoResponse(_) => {
                    if self.has_started(engine, &endpoint, order, count).await {
                        return (OrderOutcome::Begun, fence);
                    }
                    sleep(RETRY_DELAY).await;
                }
                OrderOutcome::NotSent(_) => sleep(RETRY_DELAY).await,
                // The conflict may be due to a wrong count.
                OrderOutcome::Conflict => self.correct_count(engine, endpoint.incarnation, count),
                OrderOutcome::AlreadyDone => {
                    self.record_already(engine, endpoint.incarnation, count);
                    return (outcome, fence);
                }
                OrderOutcome::Fenced | OrderOutcome::Misdirected | OrderOutcome::Unknown => {
                    return (outcome, fence);
                }
            }
        }
        self.forget_count(engine);
        (outcome, last_fence)
    }

    /// Returns whether the engine has started an order that got no answer, judging by its order count.
    ///
    /// Another order to the engine, such as a close beside a leave, raises the count as well. Members of a head that is
    /// taken for gone join other groups, so a leave must show in the engine's report.
    async fn has_started(
        &self,
        engine: &EndpointId,
        endpoint: &Endpoint,
        order: &Order,
        before: OrderCount,
    ) -> bool {
        let Ok(report) = fetch_report(&self.client, endpoint.address, ORDER_TIMEOUT).await else {
            return false;
        };
        self.state.record_report(endpoint, &report);
        self.record_count(engine, endpoint.incarnation, report.orders);
        report.orders > before && !is_still_joined(order, &report)
    }

    fn count(&self, engine: &EndpointId, incarnation: Option<Incarnation>) -> Option<OrderCount> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.0.get(engine)?;
        (count.incarnation == incarnation).then_some(count.started)
    }

    fn record_count(
        &self,
        engine: &EndpointId,
        incarnation: Option<Incarnation>,
        started: OrderCount,
    ) {
        self.set_count(engine, incarnation, started, false);
    }

    /// Records the count after an `AlreadyDone` response to an order that was sent with the count `started`.
    fn record_already(
        &self,
        engine: &EndpointId,
        incarnation: Option<Incarnation>,
        started: OrderCount,
    ) {
        self.set_count(engine, incarnation, started, true);
    }

    /// Corrects the count after the engine refused `started`: uses the other possible count, or drops the
    /// entry so that the next attempt requests a report.
    fn correct_count(
        &self,
        engine: &EndpointId,
        incarnation: Option<Incarnation>,
        started: OrderCount,
    ) {
        let may_be_one_more = {
            let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            let count = counts.0.get(engine);
            count.is_some_and(|count| count.may_be_one_more)
        };
        if may_be_one_more {
            self.record_count(engine, incarnation, OrderCount(started.0 + 1));
        } else {
            self.forget_count(engine);
        }
    }

    fn set_count(
        &self,
        engine: &EndpointId,
        incarnation: Option<Incarnation>,
        started: OrderCount,
        may_be_one_more: bool,
    ) {
        let count = KnownCount {
            incarnation,
            started,
            may_be_one_more,
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.0.insert(engine.clone(), count);
    }

    fn forget_count(&self, engine: &EndpointId) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.0.swap_remove(engine);
    }
}

/// Returns whether an engine that is to join a group is in another one that the registry doesn't show yet.
///
/// The previous controller may just have formed and opened that group. Adding its members to another group
/// would put them into two groups at once.
fn is_joined_elsewhere(order: &Order, report: &EngineReport, endpoint: &Endpoint) -> bool {
    matches!(order, Order::Join { .. }) && has_joined_since(report, endpoint)
}

/// Returns whether an engine that is to leave a group is still in it.
fn is_still_joined(order: &Order, report: &EngineReport) -> bool {
    let Order::Leave(key) = order else {
        return false;
    };
    let role = report.group.as_ref();
    role.is_some_and(|role| role.group == key.group && role.epoch == key.epoch)
}

/// Returns whether an engine is in another group than its registry entry shows.
fn has_joined_since(report: &EngineReport, endpoint: &Endpoint) -> bool {
    let key = |role: &GroupRole| (role.group.clone(), role.epoch);
    let reported = report.group.as_ref().map(key);
    reported.is_some() && reported != endpoint.group.as_ref().map(key)
}

fn outcome_label(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::AlreadyDone => "already",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Misdirected => "misdirected",
        OrderOutcome::Unknown => "unknown",
        OrderOutcome::NotSent(_) => "not_sent",
        OrderOutcome::NoResponse(_) => "no_answer",
    }
}
