//! What one endpoint bears in all, and how the nodes share it.
//!
//! It answers endpoints that are freshly started, turn cold unannounced, become slow, or return
//! with their failure domain, and load that moves between nodes:
//!
//! - An endpoint has one limit for the whole system, kept by its shard's owner ([`Allowance`]).
//!   With a limit per node, each node's small share adds up to far more than a cold endpoint bears.
//! - The limit starts at the cold one and grows only while it is used and latency holds
//!   ([`AdaptiveLimit`]); without it a freshly started endpoint falls over under full load.
//! - The owner lends slices that are valid for about a second. A node starts work only under a
//!   valid slice ([`Borrowed`]), so a node that is cut off stops by itself, and what a dead node
//!   held comes back by time. A new owner lends nothing until its predecessor's slices have ended.
//!
//! A permit stands for one request and for an even part of the KV memory
//! ([`EndpointLimits::kv_per_permit`]). What a node runs under a slice may exceed neither the number
//! nor the memory of its permits, so one number that is lent limits both, and a few long requests
//! can't overrun an engine's memory.
//!
//! docs/policy.md tells why the thresholds are what they are.

mod borrowed;
mod limit;
mod owner;

pub use borrowed::{Borrowed, Demand, Slice};
pub use limit::{AdaptiveLimit, EndpointLimits, EndpointWork, LoadReport, Sample};
pub use owner::Allowance;

#[cfg(test)]
mod tests;
