//! What this node has at the endpoints of dispatched pools, and what of that dispatchers don't know yet.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{
    AttemptEnd, HeldRequest, PoolPart, Ticket, TicketKey, TokenCounts, part_of,
};
use sesamecart_vocabulary::{EndpointId, ModelId, NodeId, ServiceId, Timestamp};

#[cfg(test)]
mod tests;

/// The longest time without a report to a dispatcher while this node has requests at its endpoints. A dispatcher
/// forgets a node that is silent for three times as long.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt at an endpoint of a dispatched pool.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Attempt {
    pub(super) service: ServiceId,
    pub(super) model: ModelId,
    pub(super) endpoint: EndpointId,
    pub(super) tokens: TokenCounts,
}

#[derive(Debug)]
struct Held {
    attempt: Attempt,
    sent_at: Timestamp,
    started_at: Option<Timestamp>,
    /// Whether the dispatcher doesn't know its present state.
    is_changed: bool,
}

/// The attempts that have ended since the last report about a part.
#[derive(Debug, Default)]
struct Ended {
    finished: Vec<Ticket>,
    abandoned: Vec<Ticket>,
    /// Those whose last state wasn't reported before. Dispatchers learn from it whether an endpoint is slow or fails.
    unreported: Vec<(Ticket, Held)>,
}

/// What a node tells a dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Report {
    /// Whether `held` names all requests of the node.
    pub(crate) is_complete: bool,
    pub(crate) held: Vec<HeldRequest>,
    /// Those of `held` among them are over as well.
    pub(crate) ended: Vec<Ticket>,
    /// Those whose callers have left.
    pub(crate) abandoned: Vec<Ticket>,
}

/// The dispatcher of a part that got the last report.
#[derive(Debug)]
struct Receiver {
    dispatcher: NodeId,
    /// The number of parts of the pool. With another number, other heads belong to the part.
    parts: u32,
    reported_at: Timestamp,
}

/// The attempts of this node, and the reports about them.
#[derive(Debug)]
pub(super) struct Outbox {
    next_ticket: u64,
    held: IndexMap<Ticket, Held>,
    ended: IndexMap<PoolPart, Ended>,
    receivers: IndexMap<PoolPart, Receiver>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            // Dispatchers may still know tickets of a process with the same name that ran before this one.
            next_ticket: u64::from(fastrand::u32(..)) << u32::BITS,
            held: IndexMap::new(),
            ended: IndexMap::new(),
            receivers: IndexMap::new(),
        }
    }
}

impl Outbox {
    pub(super) fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub(super) fn record_sent(&mut self, now: Timestamp, ticket: Ticket, attempt: Attempt) {
        let held = Held {
            attempt,
            sent_at: now,
            started_at: None,
            is_changed: true,
        };
        self.held.insert(ticket, held);
    }

    pub(super) fn record_started(&mut self, now: Timestamp, ticket: Ticket) {
        if let Some(held) = self.held.get_mut(&ticket) {
            held.started_at = Some(now);
            held.is_changed = true;
        }
    }

    /// Records the end of an attempt; `parts` is the number of parts of its pool.
    pub(super) fn record_ended(&mut self, ticket: Ticket, parts: u32, end: AttemptEnd) {
        let Some(held) = self.held.swap_remove(&ticket) else {
            return;
        };
        let part = held.attempt.part(parts);
        let ended = self.ended.entry(part).or_default();
        match end {
            AttemptEnd::Finished => ended.finished.push(ticket),
            AttemptEnd::Abandoned => ended.abandoned.push(ticket),
        }
        if held.is_changed {
            ended.unreported.push((ticket, held));
        }
    }

    /// Records that the ticket of a request that was offered to a part isn't used there.
    pub(super) fn record_unused(&mut self, part: PoolPart, ticket: Ticket) {
        self.ended.entry(part).or_default().finished.push(ticket);
    }

    /// Returns whether there is nothing that a dispatcher has to hear of.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty() && self.ended.is_empty()
    }

    /// Forgets what was to be reported about parts that have no dispatcher any more.
    pub(super) fn retain_parts(&mut self, has_dispatcher: impl Fn(&PoolPart) -> bool) {
        self.ended.retain(|part, _| has_dispatcher(part));
        self.receivers.retain(|part, _| has_dispatcher(part));
    }

    /// Returns the due report to the dispatcher of a part, if there is one. `parts` is the number of parts of the
    /// pool.
    pub(super) fn take_report(
        &mut self,
        now: Timestamp,
        own: &NodeId,
        part: &PoolPart,
        parts: u32,
        dispatcher: &NodeId,
    ) -> Option<Report> {
        let receiver = self.receivers.get(part);
        let receiver = receiver
            .filter(|receiver| receiver.dispatcher == *dispatcher && receiver.parts == parts);
        let is_complete = receiver.is_none();
        let is_overdue =
            receiver.is_none_or(|receiver| now.since(receiver.reported_at) >= REPORT_INTERVAL);
        let mut held: Vec<_> = self.held.iter_mut().collect();
        held.retain(|(_, held)| held.attempt.is_in(part, parts));
        let has_ended = self.ended.contains_key(part);
        let is_due = has_ended || held.iter().any(|(_, held)| held.is_changed || is_overdue);
        if !is_due {
            return None;
        }
        held.retain(|(_, held)| is_complete || held.is_changed);
        let held = held.into_iter().map(|(ticket, held)| {
            held.is_changed = false;
            held.describe(now, own, *ticket)
        });
        let ended = self.ended.swap_remove(part).unwrap_or_default();
        let unreported = ended.unreported.iter();
        let unreported = unreported.map(|(ticket, held)| held.describe(now, own, *ticket));
        let report = Report {
            is_complete,
            held: held.chain(unreported).collect(),
            ended: ended.finished,
            abandoned: ended.abandoned,
        };
        let receiver = Receiver {
            dispatcher: dispatcher.clone(),
            parts,
            reported_at: now,
        };
        self.receivers.insert(part.clone(), receiver);
        Some(report)
    }

    /// Records that a report to the dispatcher of a part failed, so that the next one is complete.
    pub(super) fn mark_failed(&mut self, part: &PoolPart) {
        self.receivers.swap_remove(part);
    }
}

impl Attempt {
    fn part(&self, parts: u32) -> PoolPart {
        PoolPart {
            service: self.service.clone(),
            model: self.model.clone(),
            part: part_of(&self.endpoint, parts),
        }
    }

    fn is_in(&self, part: &PoolPart, parts: u32) -> bool {
        self.service == part.service
            && self.model == part.model
            && part_of(&self.endpoint, parts) == part.part
    }
}

impl Held {
    fn describe(&self, now: Timestamp, own: &NodeId, ticket: Ticket) -> HeldRequest {
        HeldRequest {
            key: TicketKey {
                node: own.clone(),
                ticket,
            },
            endpoint: self.attempt.endpoint.clone(),
            tokens: self.attempt.tokens,
            age: now.since(self.sent_at),
            started_after: self.started_at.map(|at| at.since(self.sent_at)),
        }
    }
}
