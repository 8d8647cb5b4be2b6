//! Tracks one attempt's slot at an endpoint and releases it however the attempt ends.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use sesamecart_fleet::{Endpoint, SlowStartTicket};
use sesamecart_runtime::{Signal, sleep};
use sesamecart_vocabulary::{RequestId, Timestamp};

use crate::clock;
use crate::crashes::{SendContext, SuspectRun};
use crate::dispatch::HeldAttempt;
use crate::events::Event;
use crate::follower::millis;
use crate::state::EntryState;

/// How long the endpoint of a group that went on although it is lost may be silent before another one is sought.
const LOST_GROUP_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request in flight at an endpoint.
///
/// When the caller disconnects, the HTTP library drops the request's future at any await point. Dropping this
/// value releases the slot at the endpoint; otherwise the node would count the slot as occupied forever.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    state: Arc<EntryState>,
    pub(crate) endpoint: Arc<Endpoint>,
    /// What was known about the request when it was sent.
    pub(crate) context: SendContext,
    suspect_run: Option<SuspectRun>,
    request: RequestId,
    arrived_at: Timestamp,
    sent_at: Timestamp,
    /// Set when the endpoint's group is suspected or found lost. Missing if nothing more is to be learned of the group.
    group_signal: Option<Signal>,
    /// Set if this is one of the first requests after the endpoint's backoff, until the endpoint has answered.
    pub(crate) slow_start: Option<SlowStartTicket>,
    /// Reports the attempt to the dispatcher of the endpoint's pool, if there is one.
    pub(crate) held: Option<HeldAttempt>,
    /// When the endpoint sent the first data for this request.
    started_at: Option<Timestamp>,
    /// Whether the attempt has a result. An attempt dropped without one was abandoned by its caller.
    has_ended: bool,
    /// Whether another run of the request may yet make this one needless.
    is_alternative: bool,
}

impl InFlightRequest {
    /// Registers a request that is sent to an endpoint now.
    pub(crate) fn start(
        state: Arc<EntryState>,
        endpoint: Arc<Endpoint>,
        context: SendContext,
        suspect_run: Option<SuspectRun>,
        request: RequestId,
        arrived_at: Timestamp,
    ) -> Self {
        let sent_at = clock::now();
        let group_signal = group_signal(&state, &endpoint);
        state.loads().record_sent(sent_at, &endpoint.id);
        state.loads_changed.notify(usize::MAX);
        Self {
            state,
            endpoint,
            context,
            suspect_run,
            request,
            arrived_at,
            sent_at,
            group_signal,
            slow_start: None,
            held: None,
            started_at: None,
            has_ended: false,
            is_alternative: false,
        }
    }

    /// Returns whether the request may crash its endpoint, so that all nodes choose the same one.
    pub(super) const fn is_suspect(&self) -> bool {
        self.suspect_run.is_some()
    }

    /// Sets whether another run of the request may yet make this one needless. If it is dropped then, no caller
    /// has left.
    pub(crate) const fn set_alternative(&mut self, is_alternative: bool) {
        self.is_alternative = is_alternative;
    }

    /// Returns a future that completes when the endpoint's group is suspected or found lost. For a group that went on
    /// although it is lost, it completes after a while.
    pub(crate) fn interrupted(&self) -> impl Future<Output = ()> + Send + use<> {
        let group_signal = self.group_signal.clone();
        let is_in_group = self.endpoint.group.is_some();
        async move {
            match group_signal {
                Some(signal) => signal.wait().await,
                None if is_in_group => sleep(LOST_GROUP_SILENCE_TIMEOUT).await,
                None => future::pending().await,
            }
        }
    }

    /// Ends the suspicion of the endpoint's group, which has gone on, and follows the group's next signal. A group
    /// that is lost all the same has no other one, and only its silence shows when it hangs.
    pub(crate) fn end_interruption(&mut self) {
        let Some(key) = self.endpoint.group_key() else {
            return;
        };
        self.state.clear_suspicion(&key);
        let is_lost = self.state.is_group_lost(&self.endpoint);
        self.group_signal = (!is_lost).then(|| self.state.group_signal(&key));
    }

    /// Waits for the next interruption, after one that moved the request nowhere.
    pub(crate) async fn next_interruption(&self) {
        match group_signal(&self.state, &self.endpoint) {
            Some(signal) => signal.wait().await,
            None => future::pending().await,
        }
    }

    /// Returns why the request was interrupted.
    pub(crate) fn interruption(&self) -> &'static str {
        if self.state.is_group_lost(&self.endpoint) {
            "its group has lost a member"
        } else if self.state.is_group_avoided(&self.endpoint) {
            "a member of its group is silent"
        } else {
            "this node has lost its path to the endpoint"
        }
    }

    /// Returns when the request was sent.
    pub(crate) const fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// Returns the time since the request was sent.
    pub(crate) fn age(&self) -> Duration {
        clock::now().since(self.sent_at)
    }

    /// Returns the time since the endpoint sent the first data, or zero if it hasn't sent any.
    pub(crate) fn ran(&self) -> Duration {
        let started_at = self.started_at;
        started_at.map_or(Duration::ZERO, |at| clock::now().since(at))
    }

    /// Records that the endpoint has answered the request rather than rejected it.
    pub(crate) fn record_taken(&mut self) {
        if let Some(ticket) = self.slow_start.take() {
            self.state.record_taken(&self.endpoint.id, ticket);
        }
    }

    /// Records that the endpoint sent data for this request.
    pub(crate) fn record_activity(&mut self) {
        let now = clock::now();
        if self.started_at.is_some() {
            self.state.loads().record_event(now, &self.endpoint.id);
            return;
        }
        self.started_at = Some(now);
        if let Some(held) = &self.held {
            held.record_started();
        }
        self.state
            .loads()
            .record_first_event(now, &self.endpoint.id);
        self.state.loads_changed.notify(usize::MAX);
    }

    /// Records that the response was complete.
    pub(crate) fn mark_succeeded(&mut self) {
        self.has_ended = true;
        self.state.loads().record_success(&self.endpoint.id);
    }

    /// Records that the endpoint failed the request, which may eject the endpoint.
    pub(crate) fn mark_failed(&mut self) {
        self.has_ended = true;
        self.record_failure();
    }

    /// Records a failure of the endpoint, which may eject it. The request may yet succeed there.
    pub(crate) fn record_failure(&self) {
        let ejection_time = self
            .state
            .loads()
            .record_failure(clock::now(), &self.endpoint.id);
        if let Some(ejection_time) = ejection_time {
            self.state.events.write(&Event::EndpointRests {
                endpoint: self.endpoint.id.as_str(),
                request: self.request.as_str(),
                rest_ms: millis(ejection_time),
            });
        }
    }

    /// Records that the attempt ended without a fault of the endpoint.
    pub(crate) fn mark_ended(&mut self) {
        self.has_ended = true;
    }
}

fn group_signal(state: &EntryState, endpoint: &Endpoint) -> Option<Signal> {
    let key = endpoint.group_key()?;
    Some(state.group_signal(&key))
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(ticket) = self.slow_start.take() {
            self.state.record_unanswered(&self.endpoint.id, ticket);
        }
        self.state
            .loads()
            .record_end(&self.endpoint.id, self.started_at.is_some());
        self.state.loads_changed.notify(usize::MAX);
        if !self.has_ended
            && let Some(held) = &mut self.held
        {
            held.mark_abandoned();
        }
        if self.has_ended || self.is_alternative {
            return;
        }
        self.state.events.write(&Event::CallerLeft {
            request: self.request.as_str(),
            endpoint: self.endpoint.id.as_str(),
            after_ms: millis(clock::now().since(self.arrived_at)),
        });
    }
}

#[cfg(test)]
mod tests;
