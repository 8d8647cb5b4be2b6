//! Bounds that all nodes keep together, each by keeping to its own share.
//!
//! A bound on a sum over nodes can be kept by asking an owner for each use, or by shares. Shares hold
//! also where nodes can't reach each other; what a quiet node leaves unused is lost, which costs
//! little as the balancer spreads callers.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

#[cfg(test)]
mod tests;

/// The retries that all nodes together may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries that may be sent beyond that in a window, by all nodes together.
    pub burst: f64,
}

/// The retries that this node may send to one service.
///
/// Without it every request of a failing service is sent several times, so that load rises just when
/// less can be borne. A node may save its share of the burst, and besides that what it has earned
/// within the last [`EARNED_KEPT`].
///
/// What is earned may be spent for a quarter of the window longer than the common bound counts it, and a
/// part of the bound is held back for that, so it is kept however the nodes spend. The share alone would
/// be a few retries on a large deployment; the loss of a group ends more of a node's streams at once.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    share: RetryShare,
    saved: f64,
    most: f64,
    /// What was earned lately and isn't spent, a part for each [`SLICE`].
    earned: [f64; SLICES],
    /// Which slice of time the newest part is for.
    slice: u64,
}

/// The part of the common bound that the nodes' shares add up to; the rest is for nodes that were
/// added and aren't counted yet.
const SHARED_OUT: f64 = 0.8;

/// How long what a request has earned can be spent beyond the share: a quarter of the window, by which
/// [`SHARED_OUT`] still covers it.
const EARNED_KEPT: Duration = Duration::from_millis(2_500);

/// The parts in which what was earned is kept.
const SLICES: usize = 5;

/// The time that one of these parts is for.
const SLICE: Duration = Duration::from_millis(EARNED_KEPT.as_millis() as u64 / SLICES as u64);

impl RetryAllowance {
    /// Makes the share of one of `nodes` nodes.
    #[must_use]
    pub fn new(share: RetryShare, nodes: usize) -> Self {
        let most = share.burst * SHARED_OUT / nodes.max(1) as f64;
        Self {
            share,
            saved: most,
            most,
            earned: [0.0; SLICES],
            slice: 0,
        }
    }

    /// Follows a change of the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.most = self.share.burst * SHARED_OUT / nodes.max(1) as f64;
        self.saved = self.saved.min(self.most);
    }

    /// Counts a request, which earns a part of a retry.
    pub fn deposit(&mut self, now: Timestamp) {
        self.turn(now);
        self.earned[0] += self.share.ratio * SHARED_OUT;
    }

    /// Returns whether there is a retry.
    pub fn has_left(&mut self, now: Timestamp) -> bool {
        self.turn(now);
        self.saved + self.earned.iter().sum::<f64>() >= 1.0
    }

    /// Takes one retry, if there is one.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if !self.has_left(now) {
            return false;
        }
        let mut due = 1.0;
        // What ends soonest is spent first.
        for part in self.earned.iter_mut().rev() {
            let spent = part.min(due);
            *part -= spent;
            due -= spent;
        }
        self.saved -= due;
        true
    }

    /// Moves what was earned too long ago to what is saved, as far as the share allows.
    fn turn(&mut self, now: Timestamp) {
        let slice = now.0 / u64::try_from(SLICE.as_micros()).unwrap_or(u64::MAX);
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64);
        self.slice = self.slice.max(slice);
        for _ in 0..passed {
            self.saved = (self.saved + self.earned[SLICES - 1]).min(self.most);
            self.earned.rotate_right(1);
            self.earned[0] = 0.0;
        }
    }
}

/// The requests that this node may send to one cold endpoint.
///
/// A cold endpoint falls over when all nodes at once send it what it could bear when warm.
#[derive(Clone, Copy, Debug)]
pub struct ColdAllowance {
    per_s: f64,
    saved: f64,
    at: Timestamp,
}

/// The most nodes that send to one cold endpoint; each may send one request at once beyond its rate.
const COLD_SENDERS: usize = 5;

impl ColdAllowance {
    /// Makes the share of the node that comes at place `rank` among `nodes` for this endpoint.
    #[must_use]
    pub fn new(now: Timestamp, per_s: f64, rank: usize, nodes: usize) -> Self {
        let senders = nodes.clamp(1, COLD_SENDERS);
        let per_s = if rank < senders {
            per_s * SHARED_OUT / senders as f64
        } else {
            0.0
        };
        Self {
            per_s,
            saved: 0.0,
            at: now,
        }
    }

    /// Takes one request, if there is one.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let passed: Duration = now.since(self.at);
        self.at = now;
        self.saved = (self.saved + passed.as_secs_f64() * self.per_s).min(1.0);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
