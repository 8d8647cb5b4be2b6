//! Routing: the choice of an endpoint of a pool for each request.
//!
//! Routing handles a prefix that many requests share, a slow endpoint, a failure domain that leaves,
//! fills up or returns, and a pool too large for each node to track all of its endpoints:
//!
//! - A node uses a bounded subset of the endpoints, selected by rendezvous hashing. Without it, state
//!   and messages grow with the number of nodes times the number of endpoints.
//! - A request goes to an endpoint that caches its prefix, unless that endpoint is loaded well above
//!   the mean. Without the cache affinity, every endpoint computes the prompt again. Without the load
//!   bound, one endpoint gets all requests with a shared prefix. Cache events are late and
//!   incomplete, so they are only hints.
//! - Otherwise it goes to the one with more free permits of two random endpoints. If nodes chose the
//!   best of all endpoints, all of them would choose the same one while reports are stale.
//! - The node's own failure domain is preferred. Requests spill to others gradually as its permits
//!   run short.
//! - An endpoint that fails or is far slower than the median is ejected for a while. The ejected share
//!   of the subset is limited; without the limit, a general slowdown would eject every endpoint.
//!
//! docs/policy.md explains the thresholds.

mod outlier;
mod prefix;
mod router;

pub use outlier::Outliers;
pub use prefix::{PrefixHash, PrefixHints};
pub use router::{EndpointState, PoolEndpoint, Route, RouteReason, RouteRequest, Router};

#[cfg(test)]
mod tests;
