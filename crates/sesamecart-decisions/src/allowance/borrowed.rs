//! The permits that a node has borrowed for one endpoint, and the requests that it runs under them.

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Permits, Timestamp, Tokens};

use super::limit::Sample;
use crate::settings::AllowanceSettings;

/// A node's request to an endpoint's owner for permits, with the node's samples.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// When the node sent the demand, by its own clock.
    pub sent_at: Timestamp,
    /// The number of permits that the node can use. It uses no more than these from `sent_at` until the
    /// answer arrives.
    pub wanted: Permits,
    /// The permits of the node's requests that run at the endpoint.
    pub in_flight: Permits,
    /// What the node measured since its last demand.
    pub sample: Sample,
}

/// A part of an endpoint's allowance, lent to a node for a short time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slice {
    /// The number of permits.
    pub permits: Permits,
    /// How long the permits are valid, counted from when the node sent its demand.
    pub valid_for: Duration,
}

/// A node's slice of one endpoint's allowance and the requests that run under it.
#[derive(Clone, Debug, Default)]
pub struct BorrowedPermits {
    permits: Permits,
    valid_until: Timestamp,
    kv_per_permit: Tokens,
    running: Concurrency,
    kv: Tokens,
    peak_in_flight: Permits,
    sample: Sample,
    /// When the slice was invalidated; only the answer to a later demand replaces it.
    invalidated_at: Option<Timestamp>,
    /// When the unanswered demand was sent, if there is one.
    demand_sent_at: Option<Timestamp>,
    /// Until when the endpoint counts as alive.
    alive_until: Timestamp,
    liveness_timeout: Duration,
}

impl BorrowedPermits {
    /// Creates the state of an endpoint without a slice. `kv_per_permit` is the KV memory per permit;
    /// zero if memory is not limited.
    #[must_use]
    pub fn new(kv_per_permit: Tokens, cfg: &AllowanceSettings) -> Self {
        Self {
            kv_per_permit,
            liveness_timeout: cfg.liveness_timeout(),
            ..Self::default()
        }
    }

    /// Returns the number of valid permits that no request uses.
    #[must_use]
    pub fn free(&self, now: Timestamp) -> Permits {
        self.valid_permits(now).saturating_sub(self.in_flight())
    }

    /// Returns the permits of the running requests, by their number or by their memory, whichever is
    /// more.
    #[must_use]
    pub fn in_flight(&self) -> Permits {
        self.permits_for(self.running, self.kv)
    }

    /// Returns the KV memory of the largest request that may start now.
    ///
    /// A node without running requests at an endpoint doesn't notice a restart, and several such
    /// nodes would overload the endpoint while it is cold. A node that has not received anything
    /// from the endpoint recently therefore starts one request and waits for its first token.
    #[must_use]
    pub fn max_request_kv(&self, now: Timestamp) -> Option<Tokens> {
        let permits = self.valid_permits(now);
        let is_unconfirmed = now >= self.alive_until && self.running.0 > 0;
        if is_unconfirmed || self.free(now) == Permits(0) {
            return None;
        }
        if self.kv_per_permit.0 == 0 {
            return Some(Tokens(u64::MAX));
        }
        let kv = Tokens(u64::from(permits.0) * self.kv_per_permit.0);
        Some(kv.saturating_sub(self.kv))
    }

    /// Returns whether a request that needs `kv` of KV memory may start now.
    #[must_use]
    pub fn fits(&self, now: Timestamp, kv: Tokens) -> bool {
        self.max_request_kv(now).is_some_and(|max| kv <= max)
    }

    /// Returns the number of permits that `running` requests with a total KV memory of `kv` need.
    #[must_use]
    pub fn permits_for(&self, running: Concurrency, kv: Tokens) -> Permits {
        if self.kv_per_permit.0 == 0 {
            return Permits(running.0);
        }
        let by_kv = kv.0.div_ceil(self.kv_per_permit.0);
        Permits(u32::try_from(by_kv).unwrap_or(u32::MAX).max(running.0))
    }

    /// Returns the permits of the slice, or zero after it has expired.
    #[must_use]
    pub fn valid_permits(&self, now: Timestamp) -> Permits {
        if now >= self.valid_until {
            return Permits(0);
        }
        self.permits
    }

    /// Starts a request if the slice has enough free permits; returns whether it started.
    pub fn start(&mut self, now: Timestamp, kv: Tokens) -> bool {
        if !self.fits(now, kv) {
            return false;
        }
        self.running += Concurrency(1);
        self.kv += kv;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight());
        true
    }

    /// Ends a request that completed.
    pub fn finish(&mut self, now: Timestamp, kv: Tokens) {
        self.release(kv);
        self.record_alive(now);
        self.sample.finished += 1;
    }

    /// Ends a request that failed at the endpoint, and starts no more requests there until the owner
    /// has answered a demand sent after the failure.
    ///
    /// A failed request is the first indication that a warm endpoint was restarted and is cold. The
    /// slice was lent under the warm limit.
    pub fn fail(&mut self, now: Timestamp, kv: Tokens) {
        self.release(kv);
        self.sample.failed += 1;
        self.invalidate_slice(now);
    }

    /// Invalidates the slice; only the answer to a later demand replaces it.
    pub fn invalidate_slice(&mut self, now: Timestamp) {
        self.valid_until = self.valid_until.min(now);
        self.alive_until = self.alive_until.min(now);
        self.invalidated_at = Some(now);
    }

    /// Ends a request whose caller has disconnected, without a conclusion about the endpoint.
    pub fn cancel(&mut self, kv: Tokens) {
        self.release(kv);
    }

    fn release(&mut self, kv: Tokens) {
        self.running = self.running.saturating_sub(Concurrency(1));
        self.kv = self.kv.saturating_sub(kv);
    }

    /// Records that the endpoint is alive.
    pub fn record_alive(&mut self, now: Timestamp) {
        self.alive_until = now + self.liveness_timeout;
    }

    /// Records inter-token times, or a plain service's request latencies.
    pub fn observe(&mut self, now: Timestamp, sample: &Sample) {
        if sample.tokens.0 > 0 {
            self.record_alive(now);
        }
        self.sample.add(sample);
    }

    /// Creates a demand for the owner and resets the collected samples.
    ///
    /// The demand returns permits that the node doesn't want, so that the owner can lend them to
    /// other nodes before the slice expires. `waiting` is the number of permits that requests in
    /// the node's queue could use at this endpoint.
    pub fn demand(&mut self, now: Timestamp, waiting: Permits) -> Demand {
        self.demand_sent_at = Some(now);
        let in_flight = self.in_flight();
        let wanted = self.peak_in_flight.max(in_flight) + waiting;
        self.permits = self.permits.min(wanted);
        let demand = Demand {
            sent_at: now,
            wanted,
            in_flight,
            sample: std::mem::take(&mut self.sample),
        };
        self.peak_in_flight = in_flight;
        demand
    }

    /// Applies the owner's answer to the demand that was sent at `sent_at`.
    ///
    /// The validity starts when the demand was sent, so that a slow answer can't extend a slice
    /// beyond the time for which the owner counts it. Answers to any but the last demand are
    /// ignored, since each demand returns the permits that it doesn't want. So are answers to
    /// demands from before a failure.
    pub fn apply_slice(&mut self, sent_at: Timestamp, slice: Slice) {
        if self.demand_sent_at != Some(sent_at) {
            return;
        }
        self.demand_sent_at = None;
        if self
            .invalidated_at
            .is_some_and(|invalidated| sent_at < invalidated)
        {
            return;
        }
        self.invalidated_at = None;
        self.permits = slice.permits;
        self.valid_until = sent_at + slice.valid_for;
    }

    /// Returns whether a demand may be sent: none is in flight, or the last one has timed out.
    #[must_use]
    pub fn may_send_demand(&self, now: Timestamp, cfg: &AllowanceSettings) -> bool {
        self.demand_sent_at
            .is_none_or(|sent_at| now >= sent_at + cfg.borrow_timeout())
    }

    /// Returns whether the slice is due for renewal.
    #[must_use]
    pub fn needs_renewal(&self, now: Timestamp, cfg: &AllowanceSettings) -> bool {
        now + cfg.slice_duration() >= self.valid_until + cfg.renew_interval()
    }
}
