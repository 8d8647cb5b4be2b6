//! Fleet-wide rate limits that are divided into one share per node.
//!
//! A limit on a sum over nodes can be enforced by asking an owner before each use, or by fixed shares.
//! Shares also work while nodes can't reach each other. The unused share of an idle node is lost, which
//! costs little because the load balancer spreads callers over the nodes.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

#[cfg(test)]
mod tests;

/// The limit on the retries of all nodes together to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The number of retries that each request earns.
    pub ratio: f64,
    /// The number of retries that all nodes together may send beyond that in one window.
    pub burst: f64,
}

/// This node's retry budget for one service.
///
/// Without a budget, each request to a failing service is sent several times, so the load rises just when
/// the service can handle less. A node can save up its share of the burst and, in addition, the retries
/// that it earned within the last [`EARNED_LIFETIME`].
///
/// Earned retries stay usable for up to a quarter of the window after the fleet-wide limit has stopped
/// counting the requests that earned them. A part of the limit is held back for this, so it holds however
/// the nodes use their budgets. Without the earned retries, the budget of a node in a large deployment
/// would be only a few retries, but the loss of a group ends more of its streams at once.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    saved: f64,
    max_saved: f64,
    /// The unused retries earned recently, one entry per [`SLICE_DURATION`], newest first.
    earned: [f64; SLICE_COUNT],
    /// The number of the time slice of the newest entry.
    slice: u64,
}

/// The fraction of the fleet-wide limit that is divided among the nodes. The rest is reserved for added
/// nodes that aren't counted yet.
const SHARED_FRACTION: f64 = 0.8;

/// How long earned retries can be used in addition to the share: a quarter of the window, which the reserve
/// left by [`SHARED_FRACTION`] still covers.
const EARNED_LIFETIME: Duration = Duration::from_millis(2_500);

/// The number of time slices in which earned retries are counted.
const SLICE_COUNT: usize = 5;

/// The length of one time slice.
const SLICE_DURATION: Duration =
    Duration::from_millis(EARNED_LIFETIME.as_millis() as u64 / SLICE_COUNT as u64);

impl RetryBudget {
    /// Creates the budget of one node in a fleet of `nodes` nodes.
    #[must_use]
    pub fn new(limit: RetryLimit, nodes: usize) -> Self {
        let max_saved = limit.burst * SHARED_FRACTION / nodes.max(1) as f64;
        Self {
            limit,
            saved: max_saved,
            max_saved,
            earned: [0.0; SLICE_COUNT],
            slice: 0,
        }
    }

    /// Adjusts the share to a new number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.max_saved = self.limit.burst * SHARED_FRACTION / nodes.max(1) as f64;
        self.saved = self.saved.min(self.max_saved);
    }

    /// Adds the fraction of a retry that a request earns.
    pub fn deposit(&mut self, now: Timestamp) {
        self.expire_earned(now);
        self.earned[0] += self.limit.ratio * SHARED_FRACTION;
    }

    /// Returns whether the budget allows a retry.
    pub fn has_budget(&mut self, now: Timestamp) -> bool {
        self.expire_earned(now);
        self.saved + self.earned.iter().sum::<f64>() >= 1.0
    }

    /// Withdraws one retry. Returns whether the budget allowed it.
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if !self.has_budget(now) {
            return false;
        }
        let mut remaining = 1.0;
        // The oldest earned retries expire first, so they are used first.
        for earned in self.earned.iter_mut().rev() {
            let used = earned.min(remaining);
            *earned -= used;
            remaining -= used;
        }
        self.saved -= remaining;
        true
    }

    /// Moves expired earned retries to the saved ones, up to the share.
    fn expire_earned(&mut self, now: Timestamp) {
        let slice = now.0 / u64::try_from(SLICE_DURATION.as_micros()).unwrap_or(u64::MAX);
        let passed = slice.saturating_sub(self.slice).min(SLICE_COUNT as u64);
        self.slice = self.slice.max(slice);
        for _ in 0..passed {
            self.saved = (self.saved + self.earned[SLICE_COUNT - 1]).min(self.max_saved);
            self.earned.rotate_right(1);
            self.earned[0] = 0.0;
        }
    }
}

/// This node's rate limit for one cold endpoint.
///
/// A cold endpoint fails if all nodes at once send it the load that it can handle when warm.
#[derive(Clone, Copy, Debug)]
pub struct ColdRateLimit {
    per_s: f64,
    saved: f64,
    refilled_at: Timestamp,
}

/// The maximum number of nodes that send to one cold endpoint. Each may send one request at once beyond its
/// rate.
const MAX_COLD_SENDERS: usize = 5;

impl ColdRateLimit {
    /// Creates the limit of the node with rank `rank` among `nodes` nodes for this endpoint. `per_s` is the
    /// rate limit of all nodes together.
    #[must_use]
    pub fn new(now: Timestamp, per_s: f64, rank: usize, nodes: usize) -> Self {
        let senders = nodes.clamp(1, MAX_COLD_SENDERS);
        let per_s = if rank < senders {
            per_s * SHARED_FRACTION / senders as f64
        } else {
            0.0
        };
        Self {
            per_s,
            saved: 0.0,
            refilled_at: now,
        }
    }

    /// Takes one request from the limit. Returns whether it allowed the request.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let elapsed: Duration = now.since(self.refilled_at);
        self.refilled_at = now;
        self.saved = (self.saved + elapsed.as_secs_f64() * self.per_s).min(1.0);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
