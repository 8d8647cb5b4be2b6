//! Counts the connections of a server.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Shared counters of a server's connections.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    open: AtomicUsize,
    /// Those that count as open and whose first request may still come.
    opening: AtomicUsize,
    shed: Mutex<ShedConnections>,
    longest_round: Mutex<Duration>,
}

/// Why a new connection isn't served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShedCause {
    /// The thread that would serve it has more work than it can do.
    Overload,
    /// The maximum number of connections is open.
    Connections,
    /// There may be no room for its first request.
    Requests,
}

/// The new connections that a server didn't serve.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShedConnections {
    /// The number of those that were closed unread.
    pub closed_unread: u64,
    /// The number of those whose request was answered with 503, as they may have waited for long.
    pub refused: u64,
    /// An upper bound of the longest time that one of them waited to be accepted, as far as it is known.
    pub max_wait: Duration,
    /// The number of those that weren't served as the thread is overloaded.
    pub overload: u64,
    /// The number of those that weren't served as too many connections are open.
    pub too_many: u64,
    /// The number of those that weren't served as there may be no room for another request.
    pub no_room: u64,
}

impl ShedConnections {
    /// Returns whether there were none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.closed_unread == 0 && self.refused == 0
    }
}

impl Connections {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Acquire)
    }

    /// Returns the connections that weren't served since the last call.
    #[must_use]
    pub fn take_shed(&self) -> ShedConnections {
        std::mem::take(&mut *self.shed())
    }

    /// Returns the number of open connections whose first request may still come.
    pub(crate) fn opening(&self) -> usize {
        self.0.opening.load(Ordering::Acquire)
    }

    /// Returns the longest time since the last call that the thread took to get round its tasks.
    #[must_use]
    pub fn take_longest_round(&self) -> Duration {
        std::mem::take(&mut *self.longest_round())
    }

    /// Counts one more connection until the guard is dropped.
    pub(crate) fn register(&self) -> ConnectionGuard {
        self.0.open.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(Arc::clone(&self.0))
    }

    /// Counts a connection as one whose first request may still come, until the guard is dropped.
    pub(crate) fn register_opening(&self) -> OpeningGuard {
        self.0.opening.fetch_add(1, Ordering::AcqRel);
        OpeningGuard(Arc::clone(&self.0))
    }

    pub(crate) fn record_round(&self, round: Duration) {
        let mut longest = self.longest_round();
        *longest = longest.max(round);
    }

    fn longest_round(&self) -> MutexGuard<'_, Duration> {
        let longest = &self.0.longest_round;
        longest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts why a connection isn't served.
    pub(crate) fn record_cause(&self, cause: ShedCause) {
        let mut shed = self.shed();
        match cause {
            ShedCause::Overload => shed.overload += 1,
            ShedCause::Connections => shed.too_many += 1,
            ShedCause::Requests => shed.no_room += 1,
        }
    }

    /// Counts a connection that is closed unread after it may have waited this long.
    pub(crate) fn record_closed_unread(&self, max_wait: Option<Duration>) {
        let mut shed = self.shed();
        shed.closed_unread += 1;
        shed.max_wait = shed.max_wait.max(max_wait.unwrap_or_default());
    }

    /// Counts a connection whose request is answered with 503 after it may have waited this long.
    pub(crate) fn record_refused(&self, max_wait: Option<Duration>) {
        let mut shed = self.shed();
        shed.refused += 1;
        shed.max_wait = shed.max_wait.max(max_wait.unwrap_or_default());
    }

    fn shed(&self) -> MutexGuard<'_, ShedConnections> {
        self.0.shed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a connection as open.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Arc<Counters>);

/// Counts a connection as one whose first request may still come.
#[derive(Debug)]
pub(crate) struct OpeningGuard(Arc<Counters>);

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        self.0.opening.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
