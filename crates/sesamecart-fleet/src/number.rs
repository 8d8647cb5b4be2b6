//! Counters that order what the fleet says.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[doc = $doc:literal])* $name:ident) => {
        $(#[doc = $doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq,
            PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

counter!(
    /// The version of an operator's configuration; a higher one replaces a lower one.
    CatalogVersion
);
counter!(
    /// The fencing token of a controller; an engine refuses orders with a lower one.
    Fence
);
counter!(
    /// Orders the memberships of one engine's life.
    GroupEpoch
);
counter!(
    /// One life of an endpoint, told by the Unix millisecond at which it began.
    Incarnation
);
counter!(
    /// How many orders an engine has begun in this life.
    OrderCount
);
