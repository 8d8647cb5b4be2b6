//! Counters, sizes and weights.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The error of parsing a number.
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
            /// Returns the next value, saturating at the maximum.
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
            /// Subtracts, saturating at zero.
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
    /// The position of a record in a topic of the platform's log.
    Offset(u64)
);
number!(
    /// The era of the platform's store. It rises by one whenever the store returns from an older copy of itself.
    StoreEra(u64)
);
number!(
    /// The revision of the configuration: the number of accepted changes.
    Revision(u64)
);
number!(
    /// The fencing token of a lease: the offset of the claim record that started the lease.
    Epoch(u64)
);
number!(
    /// The generation of a serving group, which increases with every change of its VMs or model version.
    Generation(u64)
);
number!(
    /// The incarnation of a process, which distinguishes a restarted process from its predecessor.
    Incarnation(u64)
);
number!(
    /// A shard of the resources that must have a single owner.
    ShardId(u16)
);
size!(
    /// A number of model tokens.
    Tokens(u64)
);
size!(
    /// A number of bytes.
    Bytes(u64)
);
size!(
    /// The number of requests that an endpoint may run concurrently.
    Concurrency(u32)
);
size!(
    /// The number of requests that a node may start at an endpoint.
    Permits(u32)
);
number!(
    /// The weight of a customer in fair sharing.
    Weight(u32)
);
