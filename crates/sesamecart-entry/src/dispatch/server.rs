//! The dispatchers that run at this node.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::Sender;
use event_listener::Event as Notifier;
use futures_lite::future;
use indexmap::IndexMap;
use sesamecart_fleet::{
    AttemptEnd, DispatchDecision, DispatchRequest, Dispatcher, PoolPart, TicketKey,
};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{NodeId, Timestamp};

use crate::clock;
use crate::dispatch::outbox::Report;
use crate::dispatch::pools::{DispatchPools, DispatchedPool, PoolPartView};
use crate::lock::lock;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// How long a dispatcher that nobody asks or reports to is kept.
const UNUSED_RETENTION: Duration = Duration::from_secs(5);

/// The least time between two polls. It bounds what a dispatcher costs whose requests all wait.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The longest time between two polls. Metrics are as old at most.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The dispatchers of a node, by the part that they dispatch.
#[derive(Debug, Default)]
pub(super) struct Dispatchers {
    parts: Mutex<IndexMap<PoolPart, Part>>,
    /// Notified when a dispatcher is created or a request begins to wait.
    changed: Notifier,
}

/// The dispatcher of a part, with the requests that wait.
#[derive(Debug)]
struct Part {
    dispatcher: Dispatcher,
    /// The pools by which the dispatcher was last updated.
    pools: Arc<DispatchPools>,
    waiting: IndexMap<TicketKey, Sender<DispatchDecision>>,
    /// When the dispatcher has to be polled, if requests wait.
    poll_at: Option<Timestamp>,
    used_at: Timestamp,
}

impl Part {
    fn new(
        now: Timestamp,
        pools: &Arc<DispatchPools>,
        pool: &DispatchedPool,
        view: &PoolPartView,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(pool.spec);
        dispatcher.set_heads(now, view.heads.iter().cloned());
        Self {
            dispatcher,
            pools: Arc::clone(pools),
            waiting: IndexMap::new(),
            poll_at: None,
            used_at: now,
        }
    }

    /// Sets properties and endpoints if they may have changed.
    fn update(&mut self, now: Timestamp, pools: &Arc<DispatchPools>, name: &PoolPart) {
        if Arc::ptr_eq(&self.pools, pools) {
            return;
        }
        self.pools = Arc::clone(pools);
        match pools.part(name) {
            Some((pool, view)) => {
                self.dispatcher.set_spec(pool.spec);
                self.dispatcher.set_heads(now, view.heads.iter().cloned());
            }
            None => self.dispatcher.set_heads(now, []),
        }
    }

    /// Delivers the decisions about requests that have waited.
    fn poll(&mut self, now: Timestamp) {
        for (key, decision) in self.dispatcher.poll(now) {
            let waiting = self.waiting.swap_remove(&key);
            if waiting.is_none_or(|waiting| waiting.try_send(decision).is_err()) {
                self.dispatcher
                    .record_ended(now, &key, AttemptEnd::Abandoned);
            }
        }
        self.poll_at = self.dispatcher.next_poll(now);
    }

    /// Adds a request that waits.
    fn add_waiting(&mut self, now: Timestamp, key: TicketKey, decided: Sender<DispatchDecision>) {
        self.waiting.insert(key, decided);
        self.poll_at = self.poll_at.or_else(|| self.dispatcher.next_poll(now));
    }

    fn is_unused(&self, now: Timestamp) -> bool {
        self.waiting.is_empty() && now.since(self.used_at) >= UNUSED_RETENTION
    }
}

/// The requests of all nodes that the dispatchers of one node know of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatchedRequests {
    /// Those at endpoints.
    pub held: usize,
    /// Those that wait.
    pub waiting: usize,
}

impl DispatchedRequests {
    fn count(parts: &IndexMap<PoolPart, Part>) -> Self {
        let dispatchers = parts.values().map(|part| &part.dispatcher);
        dispatchers.fold(Self::default(), |sum, dispatcher| Self {
            held: sum.held + dispatcher.held(),
            waiting: sum.waiting + dispatcher.waiting(),
        })
    }
}

impl EntryState {
    /// Decides about a request as the dispatcher of a part. Returns `None` if this node doesn't know the part.
    ///
    /// If the future is dropped while the request waits, the request is removed.
    pub(crate) async fn decide_dispatch(
        self: &Arc<Self>,
        part: &PoolPart,
        req: DispatchRequest,
    ) -> Option<DispatchDecision> {
        let key = req.key.clone();
        let (tx, decided) = async_channel::bounded(1);
        let decision = self.with_part(part, |now, part| {
            let decision = part.dispatcher.offer(now, req);
            if decision == DispatchDecision::Wait {
                part.add_waiting(now, key.clone(), tx);
            }
            decision
        })?;
        if decision != DispatchDecision::Wait {
            return Some(decision);
        }
        let mut waiting = WaitingRequest {
            state: Arc::clone(self),
            part: part.clone(),
            key,
            is_decided: false,
        };
        self.dispatch.dispatchers.changed.notify(usize::MAX);
        let decision = decided.recv().await.ok()?;
        waiting.is_decided = true;
        Some(decision)
    }

    /// Applies the report of a node. Returns whether this node knows the part.
    pub(crate) fn apply_held_report(&self, part: &PoolPart, node: &NodeId, report: Report) -> bool {
        let applied = self.with_part(part, |now, part| {
            let dispatcher = &mut part.dispatcher;
            for held in report.held {
                dispatcher.record_held(now, held);
            }
            let finished = report
                .ended
                .into_iter()
                .map(|ticket| (ticket, AttemptEnd::Finished));
            let abandoned = report.abandoned.into_iter();
            let abandoned = abandoned.map(|ticket| (ticket, AttemptEnd::Abandoned));
            for (ticket, end) in finished.chain(abandoned) {
                let node = node.clone();
                dispatcher.record_ended(now, &TicketKey { node, ticket }, end);
            }
            dispatcher.record_report(now, node, report.is_complete);
            part.poll(now);
        });
        applied.is_some()
    }

    /// Returns what the dispatchers of this node know of.
    #[must_use]
    pub fn dispatched_requests(&self) -> DispatchedRequests {
        let parts = lock(&self.dispatch.dispatchers.parts);
        DispatchedRequests::count(&parts)
    }

    fn with_part<T>(
        &self,
        name: &PoolPart,
        f: impl FnOnce(Timestamp, &mut Part) -> T,
    ) -> Option<T> {
        let pools = self.dispatch_pools();
        let (pool, view) = pools.part(name)?;
        let now = clock::now();
        let mut parts = lock(&self.dispatch.dispatchers.parts);
        if !parts.contains_key(name) {
            parts.insert(name.clone(), Part::new(now, &pools, pool, view));
            self.dispatch.dispatchers.changed.notify(usize::MAX);
        }
        let part = &mut parts[name];
        part.update(now, &pools, name);
        part.used_at = now;
        Some(f(now, part))
    }

    /// Polls the dispatchers for which that is due, and drops those that aren't used. Returns the time until the next
    /// poll, or `None` if there are no dispatchers.
    fn poll_due_dispatchers(&self) -> Option<Duration> {
        let pools = self.dispatch_pools();
        let now = clock::now();
        let mut parts = lock(&self.dispatch.dispatchers.parts);
        parts.retain(|_, part| !part.is_unused(now));
        let mut next = now + MAX_POLL_INTERVAL;
        for (name, part) in parts.iter_mut() {
            part.update(now, &pools, name);
            if part.poll_at.is_some_and(|at| at <= now) {
                part.poll(now);
            }
            next = part.poll_at.unwrap_or(next).min(next);
        }
        self.metrics
            .record_dispatchers(parts.len(), DispatchedRequests::count(&parts));
        let is_running = !parts.is_empty();
        is_running.then(|| next.since(now).max(MIN_POLL_INTERVAL))
    }
}

/// Polls the dispatchers of a node until the task is cancelled.
pub(crate) async fn poll_dispatchers(state: Arc<EntryState>) {
    loop {
        let changed = state.dispatch.dispatchers.changed.listen();
        match state.poll_due_dispatchers() {
            Some(delay) => future::or(changed, sleep(delay)).await,
            None => changed.await,
        }
    }
}

/// A request that waits at a dispatcher. Dropping it before the decision removes it there.
struct WaitingRequest {
    state: Arc<EntryState>,
    part: PoolPart,
    key: TicketKey,
    is_decided: bool,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let mut parts = lock(&self.state.dispatch.dispatchers.parts);
        if let Some(part) = parts.get_mut(&self.part) {
            part.waiting.swap_remove(&self.key);
            part.dispatcher.cancel(&self.key);
            // The decision may have been made but not been received.
            part.dispatcher
                .record_ended(clock::now(), &self.key, AttemptEnd::Abandoned);
        }
    }
}
