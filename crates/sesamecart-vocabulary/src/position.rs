//! Positions in the topics of the platform's store.

use derive_more::Display;

use crate::number::{Offset, StoreEra};

/// A position in a topic. Offsets are given out again in a later era, so they compare only within one.
///
/// Any position of a later era comes after all positions of an earlier one. See docs/design/store-eras.md.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{era}:{offset}")]
pub struct LogPosition {
    /// The era in which the offset was given out.
    pub era: StoreEra,
    /// The offset.
    pub offset: Offset,
}

impl LogPosition {
    /// The position before all records.
    pub const START: Self = Self::new(StoreEra(0), Offset(0));

    /// The position after all records of all eras.
    pub const MAX: Self = Self::new(StoreEra(u64::MAX), Offset(u64::MAX));

    /// Creates a position.
    #[must_use]
    pub const fn new(era: StoreEra, offset: Offset) -> Self {
        Self { era, offset }
    }

    /// Returns whether the position is before all records of its era.
    #[must_use]
    pub const fn is_start(self) -> bool {
        self.offset.0 == 0
    }
}
