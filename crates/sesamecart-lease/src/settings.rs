//! The settings of the lease protocol.

use std::time::Duration;

use derive_more::{Display, Error};

/// The minimum allowance for the difference between two clocks' rates, in parts per thousand.
///
/// Quartz clocks differ by about 0.1 per thousand; ten times that also covers a clock that is being slewed.
const MIN_DRIFT_PER_THOUSAND: u32 = 1;

/// The durations and limits of the lease protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// How long a holder may act after the start of a read that showed no other claim (L).
    pub length: Duration,
    /// The maximum difference between a claimant's and a holder's clock over one lease length.
    pub drift: Duration,
    /// The maximum staleness of a tail read: it returns all appends that were acknowledged at least this long
    /// before it started.
    pub staleness: Duration,
    /// The maximum time that a request may be in flight, for endpoints that don't check epochs.
    pub max_request_time: Duration,
    /// The time after which a claim or release that hasn't been read back is appended again.
    pub append_retry: Duration,
    /// The interval between rounds of vote requests.
    pub vote_interval: Duration,
    /// The delay after a node's start before it claims shards without a holder.
    pub startup_delay: Duration,
    /// The delay after a node's start before it takes over from a holder that isn't in its view.
    pub unknown_holder_delay: Duration,
    /// The time for which another node must be the preferred owner before a shard is handed over to it.
    pub handover_delay: Duration,
    /// The maximum number of records that one tick appends, so that the loss of a rack doesn't use up the
    /// log's rate limit at once.
    pub appends_per_tick: usize,
    /// A rule that is omitted to show that the tests detect its absence.
    #[cfg(test)]
    pub(crate) mutant: Option<Mutant>,
}

/// A rule of the protocol that tests can omit.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutant {
    /// A claimant acts without waiting.
    NoWait,
    /// A claimant doesn't wait for a majority of the voters.
    NoMajority,
    /// A restarted voter grants votes before it has read the log.
    VotesBeforeLogRead,
    /// A holder extends its lease by the old voters while its claim to replace them is pending.
    ExtendsByOldVoters,
    /// A claimant replaces the voters of the lease that it takes over.
    ReplacesVoters,
}

/// An error in the lease settings.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LeaseSettingsError {
    /// The lease length is zero.
    #[display("the lease length must not be zero")]
    Length,
    /// The drift is less than a thousandth of the lease length.
    #[display("the drift must be at least a thousandth of the lease length")]
    Drift,
    /// The vote interval is too long to extend a lease in time.
    #[display("the vote interval must be at most a quarter of the lease length")]
    VoteInterval,
    /// No record could ever be appended.
    #[display("at least one append per tick must be allowed")]
    Appends,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(3),
            drift: Duration::from_millis(30),
            staleness: Duration::ZERO,
            max_request_time: Duration::from_secs(5),
            append_retry: Duration::from_secs(1),
            vote_interval: Duration::from_millis(700),
            startup_delay: Duration::from_secs(2),
            unknown_holder_delay: Duration::from_secs(15),
            handover_delay: Duration::from_secs(2),
            appends_per_tick: 8,
            #[cfg(test)]
            mutant: None,
        }
    }
}

impl LeaseSettings {
    /// Returns whether a holder stops extending its lease by votes while its claim for new voters is pending.
    pub(crate) fn waits_for_pending_claim(&self) -> bool {
        #[cfg(test)]
        if self.mutant == Some(Mutant::ExtendsByOldVoters) {
            return false;
        }
        true
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), LeaseSettingsError> {
        if self.length.is_zero() {
            return Err(LeaseSettingsError::Length);
        }
        if self.drift < self.length * MIN_DRIFT_PER_THOUSAND / 1000 {
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

    /// Returns how long a claimant must wait before it may act.
    ///
    /// The old holder may act for one lease length after a read or vote just before the claim took effect.
    /// Without the wait both nodes would act, and a keyed action could run twice.
    #[must_use]
    pub fn takeover_wait(&self) -> Duration {
        #[cfg(test)]
        if self.mutant == Some(Mutant::NoWait) {
            return Duration::ZERO;
        }
        self.length + self.drift + self.staleness
    }
}
