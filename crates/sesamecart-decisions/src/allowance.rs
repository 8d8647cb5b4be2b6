//! The concurrency limit of an endpoint and how nodes share it.
//!
//! The limit protects endpoints that have just started, become cold without notice, become slow, or
//! return with their failure domain, and remains in force while load moves between nodes:
//!
//! - An endpoint has one limit for the whole system, kept by its shard's owner ([`Allowance`]).
//!   With a limit per node, the small shares of all nodes add up to far more than a cold endpoint
//!   can handle.
//! - The limit starts at the cold limit and grows only while it is in use and latency is acceptable
//!   ([`AdaptiveLimit`]). Without this, an endpoint that has just started fails under full load.
//! - The owner lends slices that are valid for about a second. A node starts requests only under a
//!   valid slice ([`BorrowedPermits`]), so a partitioned node stops by itself, and the permits of a dead
//!   node become available when they expire. A new owner lends nothing until its predecessor's
//!   slices have expired.
//!
//! A permit allows one request and an equal part of the KV cache memory
//! ([`EndpointLimits::kv_per_permit`]). The requests that a node runs under a slice exceed neither
//! the number nor the memory of its permits. One lent number therefore limits both, and a few long
//! requests can't exceed an engine's memory.
//!
//! docs/policy.md explains the thresholds.

mod borrowed;
mod limit;
mod owner;

pub use borrowed::{BorrowedPermits, Demand, Slice};
pub use limit::{AdaptiveLimit, EndpointLimits, EndpointWork, LoadReport, Sample};
pub use owner::Allowance;

#[cfg(test)]
mod tests;
