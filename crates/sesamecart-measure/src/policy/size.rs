//! The sizes at which the plays are run: both deployments of today and the target's.

use std::time::Duration;

use derive_more::Display;

/// A deployment whose size is played.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub(super) enum Deployment {
    Barka,
    Retratos,
    Target,
}

impl Deployment {
    pub(super) const ALL: [Self; 3] = [Self::Barka, Self::Retratos, Self::Target];

    pub(super) const fn size(self) -> Size {
        match self {
            Self::Barka => Size {
                nodes: 8,
                engines: 50,
                services: 3,
                customers: 10,
                client_hop: Duration::from_millis(3),
                domain_hop: Duration::from_micros(500),
                long_share: 0.10,
                batch_share: 0.20,
                actions_per_s: 40.0,
                seconds: 60,
                seeds: 10,
            },
            Self::Retratos => Size {
                nodes: 9,
                engines: 50,
                services: 3,
                customers: 10,
                client_hop: Duration::from_millis(1),
                domain_hop: Duration::from_millis(1),
                long_share: 0.03,
                batch_share: 0.05,
                actions_per_s: 40.0,
                seconds: 60,
                seeds: 10,
            },
            // One run has some fifty times the requests of a small one, so there are fewer seeds
            // and less time; the output says so.
            Self::Target => Size {
                nodes: 380,
                engines: 660,
                services: 12,
                customers: 40,
                client_hop: Duration::from_millis(2),
                domain_hop: Duration::from_millis(1),
                long_share: 0.05,
                batch_share: 0.10,
                actions_per_s: 500.0,
                seconds: 24,
                seeds: 3,
            },
        }
    }
}

/// What is played at one size.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) nodes: usize,
    pub(super) engines: usize,
    pub(super) services: usize,
    pub(super) customers: usize,
    /// From a caller to a node.
    pub(super) client_hop: Duration,
    /// From a node to another one or to an endpoint.
    pub(super) domain_hop: Duration,
    pub(super) long_share: f64,
    pub(super) batch_share: f64,
    pub(super) actions_per_s: f64,
    pub(super) seconds: u64,
    pub(super) seeds: u64,
}

/// The failure domains of every deployment.
pub(super) const DOMAINS: usize = 3;

impl Size {
    pub(super) const fn endpoints(&self) -> usize {
        self.engines + self.services
    }

    pub(super) const fn is_engine(&self, endpoint: usize) -> bool {
        endpoint < self.engines
    }

    /// The moment at which a play's trouble begins.
    pub(super) const fn begin_s(&self) -> u64 {
        self.seconds / 4
    }

    /// The moment at which it ends.
    pub(super) const fn end_s(&self) -> u64 {
        self.seconds * 7 / 12
    }
}
