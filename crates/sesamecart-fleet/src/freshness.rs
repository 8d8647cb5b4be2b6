//! How long a node may use its configuration without a confirmation from the store.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The age of a node's configuration.
///
/// A node that can't reach the store would keep accepting keys that were revoked meanwhile, so its age is
/// limited. The configuration counts as confirmed at the time when the last complete read of it was *sent*,
/// because the store may have changed right after it answered. The clock must keep running while the VM is
/// suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// Records a complete read that was sent at `sent`.
    pub fn confirm(&mut self, sent: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Returns the age of the configuration, if it was ever read.
    #[must_use]
    pub fn age(self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|sent| now.since(sent))
    }

    /// Returns whether the configuration is newer than `limit`, so that requests with API keys may be
    /// admitted.
    #[must_use]
    pub fn is_fresh(self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
