//! Rates and timeouts of membership.

use std::time::Duration;

/// Rates and timeouts of membership.
///
/// The rate at which a node sends depends only on `probe_interval`, `probes` and `piggyback`, not on the
/// number of nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The time between two rounds of probes.
    pub probe_interval: Duration,
    /// The number of peers probed in one round.
    pub probes: usize,
    /// The maximum number of members in one message, in addition to the sender.
    pub piggyback: usize,
    /// How long to wait for the reply to a probe. A later reply of a slow node still refutes the suspicion.
    pub probe_timeout: Duration,
    /// The time to refute a suspicion in a cluster of up to eight nodes. It grows with the logarithm of the
    /// number of nodes.
    pub min_suspicion_timeout: Duration,
    /// The extension of the suspicion timeout for each doubling of the number of nodes above eight, since
    /// updates need another round to reach all nodes.
    pub suspicion_per_doubling: Duration,
    /// How long a node that was down must stay healthy before it counts as live again.
    pub return_hold: Duration,
    /// How long a node that is down must be missing from the platform's VM list before it counts as gone,
    /// since the list may lag.
    pub list_lag: Duration,
    /// How long a node that is down is remembered.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probes: 2,
            piggyback: 12,
            probe_timeout: Duration::from_millis(800),
            min_suspicion_timeout: Duration::from_secs(4),
            suspicion_per_doubling: Duration::from_secs(1),
            return_hold: Duration::from_secs(5),
            list_lag: Duration::from_secs(60),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// The number of nodes for which the minimum suspicion timeout is sufficient.
const SMALL_CLUSTER: usize = 8;

impl MembershipSettings {
    /// Returns how long a suspicion may be refuted among `nodes` nodes.
    #[must_use]
    pub fn suspicion_timeout(&self, nodes: usize) -> Duration {
        let doublings = (nodes / SMALL_CLUSTER).max(1).ilog2();
        self.min_suspicion_timeout + self.suspicion_per_doubling * doublings
    }
}
