//! Tickets, which are given back however an attempt ends.

use std::sync::Arc;

use sesamecart_fleet::{AttemptEnd, Endpoint, PoolPart, Ticket, TokenCounts};
use sesamecart_vocabulary::{EndpointId, ModelId, ServiceId};

use crate::clock;
use crate::dispatch::outbox::Attempt;
use crate::state::EntryState;

/// The ticket of a request that was offered to the dispatcher of a part.
///
/// Dropping it tells the dispatcher that the request isn't sent, so that its place can be given to another one.
#[derive(Debug)]
pub(crate) struct AssignedTicket {
    state: Arc<EntryState>,
    part: PoolPart,
    ticket: Ticket,
    /// Whether the dispatcher needs to hear nothing more of the ticket from this guard.
    is_released: bool,
}

/// The endpoint that a dispatcher has assigned to a request.
#[derive(Debug)]
pub(crate) struct AssignedEndpoint {
    pub(crate) endpoint: EndpointId,
    pub(crate) ticket: AssignedTicket,
}

/// An attempt at an endpoint of a dispatched pool. Dropping it reports that it has ended.
#[derive(Debug)]
pub(crate) struct HeldAttempt {
    state: Arc<EntryState>,
    service: ServiceId,
    model: ModelId,
    ticket: Ticket,
    end: AttemptEnd,
}

impl AssignedTicket {
    pub(super) fn new(state: Arc<EntryState>, part: PoolPart) -> Self {
        let ticket = state.dispatch.outbox().new_ticket();
        Self {
            state,
            part,
            ticket,
            is_released: false,
        }
    }

    pub(super) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records that the dispatcher keeps no place for the request.
    pub(super) const fn mark_refused(&mut self) {
        self.is_released = true;
    }
}

impl Drop for AssignedTicket {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        let part = self.part.clone();
        self.state
            .dispatch
            .outbox()
            .record_unused(part, self.ticket);
        self.state.dispatch.outbox_changed.notify(usize::MAX);
    }
}

impl HeldAttempt {
    /// Records that a request is sent to an endpoint now, with the ticket by which it was assigned to it if it was.
    /// Returns `None` for an endpoint that isn't the head of a group in a dispatched pool.
    pub(crate) fn start(
        state: &Arc<EntryState>,
        endpoint: &Endpoint,
        tokens: TokenCounts,
        assigned: Option<AssignedTicket>,
    ) -> Option<Self> {
        let service = &endpoint.service;
        let model = endpoint.models.first()?;
        state.dispatch_pools().get(service, model)?;
        let mut outbox = state.dispatch.outbox();
        let ticket = match assigned {
            Some(mut assigned) => {
                assigned.is_released = true;
                assigned.ticket
            }
            None => outbox.new_ticket(),
        };
        let attempt = Attempt {
            service: service.clone(),
            model: model.clone(),
            endpoint: endpoint.id.clone(),
            tokens,
        };
        outbox.record_sent(clock::now(), ticket, attempt);
        drop(outbox);
        state.dispatch.outbox_changed.notify(usize::MAX);
        Some(Self {
            state: Arc::clone(state),
            service: service.clone(),
            model: model.clone(),
            ticket,
            end: AttemptEnd::Finished,
        })
    }

    /// Records that the caller has left, before the attempt is dropped.
    pub(crate) const fn mark_abandoned(&mut self) {
        self.end = AttemptEnd::Abandoned;
    }

    /// Records that the first event has arrived.
    pub(crate) fn record_started(&self) {
        let now = clock::now();
        self.state
            .dispatch
            .outbox()
            .record_started(now, self.ticket);
        self.state.dispatch.outbox_changed.notify(usize::MAX);
    }
}

impl Drop for HeldAttempt {
    fn drop(&mut self) {
        let pools = self.state.dispatch_pools();
        let pool = pools.get(&self.service, &self.model);
        let parts = pool.map_or(1, |pool| pool.part_count());
        self.state
            .dispatch
            .outbox()
            .record_ended(self.ticket, parts, self.end);
        self.state.dispatch.outbox_changed.notify(usize::MAX);
    }
}
