//! The first requests to an endpoint after its backoff.
//!
//! The number of requests that may be unanswered at a time begins with one. Each answer allows one more, which doubles
//! the number with each round trip, and it doubles in regular intervals, so that an endpoint with slow answers isn't
//! short of requests for long. A rejection that requests another backoff begins a new slow start.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The interval in which the number of unanswered requests may double. An overloaded endpoint rejects a request
/// much sooner.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(250);

/// The allowed number of unanswered requests at which the slow start is over.
const MAX_UNANSWERED: u32 = 32;

/// One of the first requests after a backoff.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStartTicket {
    round: u64,
}

/// The requests to one endpoint after one backoff.
#[derive(Clone, Debug)]
pub(super) struct SlowStart {
    round: u64,
    first_sent_at: Option<Timestamp>,
    taken: u32,
    unanswered: u32,
}

impl SlowStart {
    /// Creates the slow start after the backoff with the number `round`.
    pub(super) const fn new(round: u64) -> Self {
        Self {
            round,
            first_sent_at: None,
            taken: 0,
            unanswered: 0,
        }
    }

    pub(super) const fn has_begun(&self) -> bool {
        self.first_sent_at.is_some()
    }

    /// Returns whether the endpoint has answered a request rather than rejected it.
    pub(super) const fn has_taken(&self) -> bool {
        self.taken > 0
    }

    /// Returns whether another request may be sent.
    pub(super) fn has_room(&self, now: Timestamp) -> bool {
        self.is_over(now) || self.unanswered < self.allowed(now)
    }

    /// Starts a request. Returns `None` if the slow start is over.
    pub(super) fn start(&mut self, now: Timestamp) -> Option<SlowStartTicket> {
        self.first_sent_at.get_or_insert(now);
        if self.is_over(now) {
            return None;
        }
        self.unanswered += 1;
        Some(SlowStartTicket { round: self.round })
    }

    pub(super) fn record_taken(&mut self, ticket: SlowStartTicket) {
        if ticket.round == self.round {
            self.unanswered = self.unanswered.saturating_sub(1);
            self.taken = self.taken.saturating_add(1);
        }
    }

    pub(super) fn record_unanswered(&mut self, ticket: SlowStartTicket) {
        if ticket.round == self.round {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
    }

    fn is_over(&self, now: Timestamp) -> bool {
        self.allowed(now) >= MAX_UNANSWERED
    }

    fn allowed(&self, now: Timestamp) -> u32 {
        let since = self
            .first_sent_at
            .map_or(Duration::ZERO, |at| now.since(at));
        let doublings = since.as_millis() / DOUBLING_INTERVAL.as_millis();
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let by_time = 1_u32.checked_shl(doublings).unwrap_or(MAX_UNANSWERED);
        by_time.max(self.taken.saturating_add(1))
    }
}
