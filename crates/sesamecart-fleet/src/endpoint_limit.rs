//! Rate limits that endpoints name in their responses.
//!
//! An endpoint in need names the rate of requests that it takes from all nodes together. Nodes that each kept
//! such a limit for themselves would exceed it as often as there are nodes, and fixed shares would leave most
//! of it unused at nodes without callers. So one node, the limit's authority, admits each request to a limited
//! endpoint ([`LimitAuthority`]). The other nodes know which endpoints are limited ([`KnownLimits`]) and ask
//! the authority, which they find by hashing ([`AuthorityRanking`]). docs/design/endpoint-limits.md has the
//! alternatives and what happens when nodes fail.

use sesamecart_vocabulary::{EndpointId, RequestRate, Timestamp};

use crate::number::Incarnation;

mod authority;
mod contention;
mod known;
mod observed;
mod ranking;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use authority::{AdmissionCounts, LimitAuthority, Permit, PermitRequest};
pub use known::{KnownLimit, KnownLimits, LimitChange, LimitStatus};
pub use ranking::AuthorityRanking;

/// What one response of an endpoint says about its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitObservation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation, if its registry entry has one.
    pub incarnation: Option<Incarnation>,
    /// The limit; `None` if the response named none.
    pub limit: Option<RequestRate>,
    /// When the request was sent. The endpoint wrote the response at that time or later.
    pub sent_at: Timestamp,
}
