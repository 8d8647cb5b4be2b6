//! Counters, sizes and weights.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Why a text can't be read as a number.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
#[display("{text:?} is not a whole number that fits {what}")]
pub struct ParseNumberError {
    text: String,
    what: &'static str,
    source: ParseIntError,
}

macro_rules! number {
    ($(#[doc = $doc:literal])* $name:ident($inner:ty)) => {
        $(#[doc = $doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next higher value, staying at the highest one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|source| ParseNumberError {
                    text: text.to_owned(),
                    what: stringify!($name),
                    source,
                })
            }
        }
    };
}

macro_rules! size {
    ($(#[doc = $doc:literal])* $name:ident($inner:ty)) => {
        number!($(#[doc = $doc])* $name($inner));

        impl $name {
            /// Subtracts, stopping at zero.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl std::ops::Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0 - other.0)
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl std::ops::SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                self.0 -= other.0;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                values.fold(Self::default(), |sum, value| sum + value)
            }
        }
    };
}

number!(
    /// The position of a record in the platform's log.
    Offset(u64)
);
number!(
    /// The revision of the configuration: the count of accepted changes.
    Revision(u64)
);
number!(
    /// A lease's fencing number: the offset of the claim record that began it.
    Epoch(u64)
);
number!(
    /// The generation of a serving group: it rises with every change of its VMs or model version.
    Generation(u64)
);
number!(
    /// One life of a process, so that a restarted one isn't taken for its predecessor.
    Incarnation(u64)
);
number!(
    /// A shard of what must have one owner.
    ShardId(u16)
);
size!(
    /// A count of model tokens.
    Tokens(u64)
);
size!(
    /// A count of bytes.
    Bytes(u64)
);
size!(
    /// A number of requests that an endpoint may run at once.
    Concurrency(u32)
);
size!(
    /// A number of requests that a node may start at an endpoint.
    Permits(u32)
);
number!(
    /// A customer's weight in fair sharing.
    Weight(u32)
);
