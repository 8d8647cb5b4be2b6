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
/// less can be borne. A bucket that starts with the node's share of the burst and earns the ratio for
/// each request never sends more in any window than that share and what the window's requests earned.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    share: RetryShare,
    saved: f64,
    most: f64,
}

/// The part of the common bound that the nodes' shares add up to; the rest is for nodes that were
/// added and aren't counted yet.
const SHARED_OUT: f64 = 0.8;

impl RetryAllowance {
    /// Makes the share of one of `nodes` nodes.
    #[must_use]
    pub fn new(share: RetryShare, nodes: usize) -> Self {
        let most = share.burst * SHARED_OUT / nodes.max(1) as f64;
        Self {
            share,
            saved: most,
            most,
        }
    }

    /// Follows a change of the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.most = self.share.burst * SHARED_OUT / nodes.max(1) as f64;
        self.saved = self.saved.min(self.most);
    }

    /// Counts a request, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share.ratio * SHARED_OUT).min(self.most);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
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
