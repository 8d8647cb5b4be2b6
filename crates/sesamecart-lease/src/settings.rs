//! The lengths of time that leases depend on.

use std::time::Duration;

use derive_more::{Display, Error};

/// The most that two clocks' rates may differ for the default drift, in parts per thousand.
///
/// Quartz clocks differ by some 0.1 per thousand; ten times that leaves room for a clock that is
/// being slewed.
const DRIFT_PER_THOUSAND: u32 = 1;

/// The lengths of time that leases depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// How long a holder may act after it began a read that showed no other claim (L).
    pub length: Duration,
    /// How much less a claimant's clock may measure than a holder's over one length.
    pub drift: Duration,
    /// How old a tail read may be: it shows all appends acknowledged that long before it began.
    pub staleness: Duration,
    /// How long an order may be under way, for endpoints that don't check epochs.
    pub order_limit: Duration,
    /// How long a claim or release may go unread before it is appended again.
    pub append_retry: Duration,
    /// The time between two rounds of questions to voters.
    pub vote_interval: Duration,
    /// How long a node watches after its start before it claims shards that nobody holds.
    pub start_hold: Duration,
    /// How long a node watches after its start before it takes over from a holder it never heard.
    pub unheard_hold: Duration,
    /// How long another node must be the better owner before a shard is handed over to it.
    pub handover_hold: Duration,
    /// The most records that one tick asks to append, so that a lost rack can't spend the log's
    /// whole rate at once.
    pub appends_per_tick: usize,
    /// A rule that tests leave out to see that they notice.
    #[cfg(test)]
    pub(crate) mutant: Option<Mutant>,
}

/// A rule of the protocol that tests leave out.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutant {
    /// A claimant acts without waiting.
    NoWait,
    /// A claimant asks no voters.
    NoMajority,
    /// A voter that restarted promises before it has read the log.
    ForgetfulVoter,
    /// A holder extends by its voters while its change of them is undecided.
    OldVoters,
    /// A claimant brings its own voters.
    NewVoters,
}

/// Why lease settings can't be used.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LeaseSettingsError {
    /// The length is zero.
    #[display("the lease length must not be zero")]
    Length,
    /// The drift is below a thousandth of the length.
    #[display("the drift must be at least a thousandth of the lease length")]
    Drift,
    /// Voters would be asked too seldom to extend a lease.
    #[display("the vote interval must be at most a quarter of the lease length")]
    VoteInterval,
    /// Nothing could ever be appended.
    #[display("at least one append per tick must be allowed")]
    Appends,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(3),
            drift: Duration::from_millis(30),
            staleness: Duration::ZERO,
            order_limit: Duration::from_secs(5),
            append_retry: Duration::from_secs(1),
            vote_interval: Duration::from_millis(700),
            start_hold: Duration::from_secs(2),
            unheard_hold: Duration::from_secs(15),
            handover_hold: Duration::from_secs(2),
            appends_per_tick: 8,
            #[cfg(test)]
            mutant: None,
        }
    }
}

impl LeaseSettings {
    /// Returns whether a holder stops extending while its change of voters is undecided.
    pub(crate) fn waits_for_verdict(&self) -> bool {
        #[cfg(test)]
        if self.mutant == Some(Mutant::OldVoters) {
            return false;
        }
        true
    }

    /// Checks that the lengths fit each other.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), LeaseSettingsError> {
        if self.length.is_zero() {
            return Err(LeaseSettingsError::Length);
        }
        if self.drift < self.length * DRIFT_PER_THOUSAND / 1000 {
            return Err(LeaseSettingsError::Drift);
        }
        if self.vote_interval > self.length / 4 {
            return Err(LeaseSettingsError::VoteInterval);
        }
        if self.appends_per_tick == 0 {
            return Err(LeaseSettingsError::Appends);
        }
        Ok(())
    }

    /// Returns how long a claimant waits before it may act.
    ///
    /// The old holder may act for one length after a read or promise that came just before the
    /// claim took effect. Without the wait both would act, which one would notice as one key's
    /// action run twice.
    #[must_use]
    pub fn takeover_wait(&self) -> Duration {
        #[cfg(test)]
        if self.mutant == Some(Mutant::NoWait) {
            return Duration::ZERO;
        }
        self.length + self.drift + self.staleness
    }
}
