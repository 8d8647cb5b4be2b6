//! The era of the store that a node knows.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sesamecart_vocabulary::{StoreEra, Timestamp};

#[cfg(test)]
mod tests;

/// The newest era of the store that a node has learned, from the store or from another node. It never goes back.
#[derive(Debug, Default)]
pub struct StoreEras {
    known: Mutex<KnownEra>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownEra {
    latest: StoreEra,
    learned_at: Timestamp,
}

impl StoreEras {
    fn known(&self) -> MutexGuard<'_, KnownEra> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest era that is known; 0 for a store that names none.
    #[must_use]
    pub fn latest(&self) -> StoreEra {
        self.known().latest
    }

    /// Returns when the newest era was learned.
    #[must_use]
    pub fn learned_at(&self) -> Timestamp {
        self.known().learned_at
    }

    /// Learns an era. Returns the one before if it is newer than all that were known.
    pub fn learn(&self, now: Timestamp, era: StoreEra) -> Option<StoreEra> {
        let mut known = self.known();
        let before = known.latest;
        if era <= before {
            return None;
        }
        *known = KnownEra {
            latest: era,
            learned_at: now,
        };
        Some(before)
    }
}
