//! Where work goes: to which endpoint of a pool a node sends a request.
//!
//! It answers a prefix that many share, a slow endpoint, a failure domain that leaves, fills up or
//! returns, and a pool too large for each node to keep state of all of it:
//!
//! - A node uses a bounded subset of the endpoints, chosen by rendezvous; without it state and
//!   messages grow with nodes times endpoints.
//! - A request goes where its prefix is cached, unless that endpoint is loaded well above the
//!   mean; without the first the prompt is computed again everywhere, without the second one
//!   endpoint gets all of a shared prefix. Cache events come late and with gaps, so they are hints.
//! - Else the better of two random endpoints by remaining permits; choosing the best of all makes
//!   every node choose the same one while reports are old.
//! - The own failure domain first, spilling to others gradually as its permits run short.
//! - An endpoint far slower than the median, or failing, is ejected for a while, but never more
//!   than a share of the subset; without the bound a general slowness would eject all.
//!
//! docs/policy.md tells why the thresholds are what they are.

mod outlier;
mod prefix;
mod router;

pub use outlier::Outliers;
pub use prefix::{PrefixHash, PrefixHints};
pub use router::{Ask, EndpointState, PoolEndpoint, RouteReason, Routed, Router};

#[cfg(test)]
mod tests;
