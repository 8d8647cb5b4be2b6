//! A node's side of one endpoint: the slice that it holds and what it has started under it.

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Permits, Timestamp, Tokens};

use super::limit::Sample;
use crate::settings::AllowanceSettings;

/// What a node tells an endpoint's owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// When the node asked, by its own clock.
    pub asked: Timestamp,
    /// The permits that the node could use; from `asked` on until the answer it uses no more.
    pub wanted: Permits,
    /// The permits of its requests that run there.
    pub in_flight: Permits,
    /// What it saw since its last message.
    pub sample: Sample,
}

/// A part of an endpoint's allowance, lent for a short time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slice {
    /// The permits.
    pub permits: Permits,
    /// How long they are valid, from when the node asked.
    pub valid_for: Duration,
}

/// One endpoint's slice at one node.
#[derive(Clone, Debug, Default)]
pub struct Borrowed {
    permits: Permits,
    valid_until: Timestamp,
    kv_per_permit: Tokens,
    running: Concurrency,
    kv: Tokens,
    peak: Permits,
    sample: Sample,
    /// When a failure ended the slice; only an answer to a later message begins a new one.
    voided_at: Option<Timestamp>,
    /// When the message was sent that has no answer yet.
    outstanding: Option<Timestamp>,
    /// How long the last sign of life from the endpoint counts.
    alive_until: Timestamp,
    sign: Duration,
}

impl Borrowed {
    /// Makes the books of an endpoint where each permit comes with `kv_per_permit`; zero if memory
    /// is no limit.
    #[must_use]
    pub fn new(kv_per_permit: Tokens, cfg: &AllowanceSettings) -> Self {
        Self {
            kv_per_permit,
            sign: cfg.sign(),
            ..Self::default()
        }
    }

    /// Returns the permits that no request uses now.
    #[must_use]
    pub fn free(&self, now: Timestamp) -> Permits {
        self.lent(now).saturating_sub(self.in_flight())
    }

    /// Returns the permits of requests that run: by their number or by their memory, whichever
    /// takes more.
    #[must_use]
    pub fn in_flight(&self) -> Permits {
        self.permits_for(self.running, self.kv)
    }

    /// Returns the largest request that may start now, by its KV memory.
    ///
    /// A node that has nothing running at an endpoint doesn't notice that it was restarted, and
    /// several such nodes would overrun it while it is cold. So a node without a recent sign of life
    /// starts one request and then waits for its first token.
    #[must_use]
    pub fn largest(&self, now: Timestamp) -> Option<Tokens> {
        let permits = self.lent(now);
        let unproven = now >= self.alive_until && self.running.0 > 0;
        if unproven || self.free(now) == Permits(0) {
            return None;
        }
        if self.kv_per_permit.0 == 0 {
            return Some(Tokens(u64::MAX));
        }
        let kv = Tokens(u64::from(permits.0) * self.kv_per_permit.0);
        Some(kv.saturating_sub(self.kv))
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn fits(&self, now: Timestamp, kv: Tokens) -> bool {
        self.largest(now).is_some_and(|largest| kv <= largest)
    }

    /// Returns the permits that requests take together.
    #[must_use]
    pub fn permits_for(&self, running: Concurrency, kv: Tokens) -> Permits {
        if self.kv_per_permit.0 == 0 {
            return Permits(running.0);
        }
        let by_kv = kv.0.div_ceil(self.kv_per_permit.0);
        Permits(u32::try_from(by_kv).unwrap_or(u32::MAX).max(running.0))
    }

    /// Returns the permits of the slice, or none once it has ended.
    #[must_use]
    pub fn lent(&self, now: Timestamp) -> Permits {
        if now >= self.valid_until {
            return Permits(0);
        }
        self.permits
    }

    /// Starts a request if the slice has room for it.
    pub fn start(&mut self, now: Timestamp, kv: Tokens) -> bool {
        if !self.fits(now, kv) {
            return false;
        }
        self.running += Concurrency(1);
        self.kv += kv;
        self.peak = self.peak.max(self.in_flight());
        true
    }

    /// Ends a request that was started.
    pub fn finish(&mut self, now: Timestamp, kv: Tokens) {
        self.end(kv);
        self.alive(now);
        self.sample.finished += 1;
    }

    /// Ends a request that the endpoint failed, and stops starting work there until the owner has
    /// been told.
    ///
    /// A failed request is the first sign that a warm endpoint was restarted and is cold; the
    /// rest of the slice was lent for the warm one.
    pub fn fail(&mut self, now: Timestamp, kv: Tokens) {
        self.end(kv);
        self.sample.failed += 1;
        self.drop_slice(now);
    }

    /// Ends the slice at once; only an answer to a later message begins a new one.
    pub fn drop_slice(&mut self, now: Timestamp) {
        self.valid_until = self.valid_until.min(now);
        self.alive_until = self.alive_until.min(now);
        self.voided_at = Some(now);
    }

    /// Ends a request whose caller has gone, which says nothing about the endpoint.
    pub fn cancel(&mut self, kv: Tokens) {
        self.end(kv);
    }

    fn end(&mut self, kv: Tokens) {
        self.running = self.running.saturating_sub(Concurrency(1));
        self.kv = self.kv.saturating_sub(kv);
    }

    /// Notes a sign of life from the endpoint.
    pub fn alive(&mut self, now: Timestamp) {
        self.alive_until = now + self.sign;
    }

    /// Notes times between tokens, or a plain service's request times.
    pub fn observe(&mut self, now: Timestamp, seen: &Sample) {
        if seen.tokens.0 > 0 {
            self.alive(now);
        }
        self.sample.add(seen);
    }

    /// Makes the message to the owner and forgets what it tells.
    ///
    /// It gives back at once what the node doesn't want, so that the owner can lend it to others
    /// without waiting for the slice to end. `waiting` are the permits that
    /// requests in the node's queue could use here.
    pub fn demand(&mut self, now: Timestamp, waiting: Permits) -> Demand {
        self.outstanding = Some(now);
        let in_flight = self.in_flight();
        let wanted = self.peak.max(in_flight) + waiting;
        self.permits = self.permits.min(wanted);
        let demand = Demand {
            asked: now,
            wanted,
            in_flight,
            sample: std::mem::take(&mut self.sample),
        };
        self.peak = in_flight;
        demand
    }

    /// Takes the owner's answer to a message that was sent at `asked`.
    ///
    /// The validity counts from the sending, so that a slow answer can't lengthen a slice beyond
    /// the owner's own count. Only the answer to the last message counts, since each message gives back
    /// what it doesn't want, and none from before a failure.
    pub fn take(&mut self, asked: Timestamp, slice: Slice) {
        if self.outstanding != Some(asked) {
            return;
        }
        self.outstanding = None;
        if self.voided_at.is_some_and(|voided| asked < voided) {
            return;
        }
        self.voided_at = None;
        self.permits = slice.permits;
        self.valid_until = asked + slice.valid_for;
    }

    /// Returns whether the owner may be asked: no answer is awaited any more.
    #[must_use]
    pub fn may_ask(&self, now: Timestamp, cfg: &AllowanceSettings) -> bool {
        self.outstanding
            .is_none_or(|asked| now >= asked + cfg.borrow_timeout())
    }

    /// Returns whether it is time to renew the slice.
    #[must_use]
    pub fn needs_renewal(&self, now: Timestamp, cfg: &AllowanceSettings) -> bool {
        now + cfg.slice() >= self.valid_until + cfg.renew()
    }
}
