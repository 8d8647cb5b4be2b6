//! The era of the store that a node knows.

use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use sesamecart_vocabulary::{StoreEra, Timestamp};

use crate::number::FencingToken;

#[cfg(test)]
mod tests;

/// The error of an answer of the store that is older than what the node has learned.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the answer is of era {named}, and era {latest} is known")]
pub struct StaleEra {
    named: StoreEra,
    latest: StoreEra,
}

/// The newest era of the store that a node has learned, from the store or from another node. It never goes back.
#[derive(Debug, Default)]
pub struct StoreEras {
    known: Mutex<KnownEra>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownEra {
    latest: StoreEra,
    learned_at: Timestamp,
    /// Whether the store has named an era.
    is_named: bool,
    /// Whether the store has returned since then.
    has_returned: bool,
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

    /// Returns whether the node has known only one era.
    #[must_use]
    pub fn is_first(&self) -> bool {
        !self.known().has_returned
    }

    /// Returns when the newest era was learned.
    #[must_use]
    pub fn learned_at(&self) -> Timestamp {
        self.known().learned_at
    }

    /// Returns the era that an answer belongs to. One that names none is of the newest known era: the store names
    /// its era in all answers, so only something between may have left it out.
    ///
    /// # Errors
    ///
    /// Returns an error if the era that the answer names has ended.
    pub fn attribute(&self, named: Option<StoreEra>) -> Result<StoreEra, StaleEra> {
        let latest = self.latest();
        match named {
            Some(named) if named < latest => Err(StaleEra { named, latest }),
            _ => Ok(latest),
        }
    }

    /// Learns an era. Returns the one before if it is newer than all that were known.
    pub fn learn(&self, now: Timestamp, era: StoreEra) -> Option<StoreEra> {
        let mut known = self.known();
        let before = known.latest;
        if era <= before {
            known.is_named |= era == before;
            return None;
        }
        *known = KnownEra {
            latest: era,
            learned_at: now,
            has_returned: known.is_named,
            is_named: true,
        };
        Some(before)
    }
}

/// The number of generations of the store's group in one era. Each change of the group's members takes one.
const GENERATIONS_PER_ERA: u64 = 1 << 24;

impl FencingToken {
    /// Creates the fence of the holder of a generation. The store gives out generations again in a later era, and
    /// engines remember the highest fence, so the era comes first.
    #[must_use]
    pub const fn of(era: StoreEra, generation: u64) -> Self {
        Self(
            era.0
                .saturating_mul(GENERATIONS_PER_ERA)
                .saturating_add(generation),
        )
    }
}
