//! How long a lease has to last, so that its holder can renew it in time.
//!
//! The load: a holder whose thread gets the processor late, or a store that answers slowly. With a fixed time, the lease
//! runs out between two renewals, and control moves to a node that is as late.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

#[cfg(test)]
mod tests;

/// The longest time to live. A holder that was killed is followed after that time at the latest.
pub const MAX_LEASE_TTL: Duration = Duration::from_secs(5);

/// The time to live as a multiple of the time that a renewal has to bridge, so that one renewal may fail.
const SPANS_PER_TTL: u32 = 2;

/// The part by which the estimate shrinks with each renewal that bridges less, as a divisor.
const DECAY_DIVISOR: u32 = 4;

/// An estimate of the time that a renewal has to bridge: from when the one before it was sent until its own answer is here.
#[derive(Clone, Copy, Debug, Default)]
pub struct RenewalPace {
    /// When the last renewal that was answered was sent.
    sent_at: Option<Timestamp>,
    span: Duration,
}

impl RenewalPace {
    /// Records a renewal that was sent at `sent` and answered by `now`.
    pub fn record_answer(&mut self, sent: Timestamp, now: Timestamp) {
        let before = self.sent_at.replace(sent);
        let span = before.map_or(Duration::ZERO, |before| now.since(before));
        let decayed = self.span - self.span / DECAY_DIVISOR;
        self.span = span.min(MAX_LEASE_TTL).max(decayed);
    }

    /// Records that the store has refused renewals, so that the time until the next answer says nothing of their pace.
    pub const fn record_outage(&mut self) {
        self.sent_at = None;
    }

    /// Returns the time for which the next renewal should extend the lease, which is `min_ttl` at least.
    #[must_use]
    pub fn ttl(&self, min_ttl: Duration) -> Duration {
        (self.span * SPANS_PER_TTL).min(MAX_LEASE_TTL).max(min_ttl)
    }
}
