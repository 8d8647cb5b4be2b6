//! The right to send one request to one endpoint.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_decisions::allowance::Sample;
use sesamecart_decisions::pool::StartedRequest;
use sesamecart_decisions::retry::{AttemptProgress, FailedAttempt, RetryDecision};
use sesamecart_vocabulary::{EndpointId, Timestamp, Tokens};

use super::cell::PoolCell;
use super::registry::Pools;

/// A permit at an endpoint; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Turn {
    pools: Arc<Pools>,
    cell: Arc<PoolCell>,
    start: StartedRequest,
    kv: Tokens,
    begun: Timestamp,
    last_token: Option<Timestamp>,
    /// What was seen and isn't noted in the pool yet.
    seen: Sample,
    noted: Timestamp,
    open: bool,
}

/// How often a stream's tokens are noted in the pool.
///
/// Each time takes the pool's lock; for every token it would be contended by all streams. It has
/// to stay below the time for which a sign of life counts.
const NOTE_EVERY: Duration = Duration::from_millis(100);

impl Turn {
    pub(super) fn new(
        pools: Arc<Pools>,
        cell: Arc<PoolCell>,
        start: StartedRequest,
        kv: Tokens,
    ) -> Self {
        Self {
            begun: pools.now(),
            pools,
            cell,
            start,
            kv,
            last_token: None,
            seen: Sample::default(),
            noted: Timestamp::ZERO,
            open: true,
        }
    }

    /// Returns the endpoint.
    pub(crate) fn endpoint(&self) -> EndpointId {
        let inner = self.cell.lock();
        inner.pool.endpoints()[self.start.endpoint].id.clone()
    }

    /// Notes tokens that came from the endpoint.
    pub(crate) fn tokens(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        let now = self.pools.now();
        // The first token's time is the prompt's and says nothing about the time between tokens.
        if let Some(last) = self.last_token.replace(now) {
            self.seen.latency_sum += now - last;
            self.seen.tokens += Tokens(count);
        }
        if now - self.noted < NOTE_EVERY {
            return;
        }
        self.noted = now;
        let seen = std::mem::take(&mut self.seen);
        let mut inner = self.cell.lock();
        inner.pool.record_alive(now, self.start.endpoint);
        inner.pool.observe(now, self.start.endpoint, &seen);
    }

    /// Ends the turn of a streamed answer that came whole.
    pub(crate) fn finish_stream(&mut self) {
        let seen = std::mem::take(&mut self.seen);
        self.finish(&seen);
    }

    /// Ends the turn of a whole answer, whose time is the endpoint's latency if it is a plain
    /// service.
    pub(crate) fn finish_service(&mut self) {
        let took: Duration = self.pools.now() - self.begun;
        self.finish(&Sample {
            latency_sum: took,
            tokens: Tokens(1),
            ..Sample::default()
        });
    }

    fn finish(&mut self, seen: &Sample) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let now = self.pools.now();
        let mut inner = self.cell.lock();
        inner.turns -= 1;
        inner.pool.finish(now, self.start.endpoint, self.kv, seen);
        inner.settle(now);
    }

    /// Ends the turn of an answer that broke off after it had begun; nothing follows it.
    pub(crate) fn break_off(&mut self) {
        if !self.open {
            return;
        }
        let attempt = FailedAttempt {
            progress: AttemptProgress::Answering,
            idempotent: true,
            attempts: 1,
            latest_start: self.begun,
        };
        let _never_again = self.fail(attempt);
    }

    /// Ends the turn of an attempt that failed, and decides whether it is sent again.
    pub(crate) fn fail(&mut self, attempt: FailedAttempt) -> RetryDecision {
        self.open = false;
        let now = self.pools.now();
        let decision = {
            let mut inner = self.cell.lock();
            inner.turns -= 1;
            let decision = inner.pool.fail(now, self.start.endpoint, self.kv, attempt);
            inner.settle(now);
            decision
        };
        self.pools.wake();
        decision
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let now = self.pools.now();
        let mut inner = self.cell.lock();
        inner.turns -= 1;
        inner.pool.cancel_running(self.start.endpoint, self.kv);
        inner.settle(now);
    }
}
