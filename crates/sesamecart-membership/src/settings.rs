//! The rates and times of membership.

use std::time::Duration;

/// The rates and times of membership.
///
/// What a node sends depends on `probe_interval`, `probes` and `piggyback` alone, not on the number
/// of nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The time between two rounds of probes.
    pub probe_interval: Duration,
    /// Peers probed in one round.
    pub probes: usize,
    /// Members told about in one message, beside the sender.
    pub piggyback: usize,
    /// How long a probe may go unanswered. A straggler's later answer still clears it.
    pub probe_timeout: Duration,
    /// How long a suspicion may be refuted, for up to eight nodes; it grows with the logarithm.
    pub suspicion: Duration,
    /// How much longer for each doubling above eight nodes, as news need another round.
    pub suspicion_per_doubling: Duration,
    /// How long a node that was down must be well before it counts as live again.
    pub return_hold: Duration,
    /// How far the platform's VM list may lag.
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
            suspicion: Duration::from_secs(4),
            suspicion_per_doubling: Duration::from_secs(1),
            return_hold: Duration::from_secs(5),
            list_lag: Duration::from_secs(60),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// Up to how many nodes the shortest suspicion is long enough.
const SMALL_CLUSTER: usize = 8;

impl MembershipSettings {
    /// Returns how long a suspicion may be refuted among `nodes` nodes.
    #[must_use]
    pub fn suspicion_time(&self, nodes: usize) -> Duration {
        let doublings = (nodes / SMALL_CLUSTER).max(1).ilog2();
        self.suspicion + self.suspicion_per_doubling * doublings
    }
}
