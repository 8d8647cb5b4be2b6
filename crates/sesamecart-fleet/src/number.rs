//! Counters that order versions and events of the fleet.

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
    /// The version of an operator's configuration. A higher version replaces a lower one.
    CatalogVersion
);
counter!(
    /// The fencing token of a controller. An engine rejects orders with a lower one.
    FencingToken
);
counter!(
    /// A number that orders the group memberships of one incarnation of an engine.
    GroupEpoch
);
counter!(
    /// One incarnation of an endpoint, identified by the Unix time in milliseconds at which it started.
    Incarnation
);
counter!(
    /// The number of orders that an engine has started to execute in this incarnation.
    OrderCount
);
