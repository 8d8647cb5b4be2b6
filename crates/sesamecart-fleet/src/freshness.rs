//! Until when a node may act on what it knows.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// How old a node's configuration may be at most.
///
/// A node that is cut off from the store goes on serving with keys that were taken away meanwhile; an
/// operator notices that a dismissed caller is still served. The configuration is confirmed from
/// the moment at which the last complete read of it was *sent*, since the store may have changed right
/// after it answered. The clock must go on while the VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// Notes a complete read that was sent at `sent`.
    pub fn confirm(&mut self, sent: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Returns the age of what is known, if anything is.
    #[must_use]
    pub fn age(self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|sent| now.since(sent))
    }

    /// Returns whether requests with keys may be let in.
    #[must_use]
    pub fn is_confirmed_fresh(self, now: Timestamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
