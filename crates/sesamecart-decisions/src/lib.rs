//! Decisions under load: admission, allowance, routing and retries as pure functions.
//!
//! Nothing here reads a clock, the network or global randomness: time and seeds are arguments, so
//! that the same code runs in the node, in tests and in `measure -- policy`. docs/policy.md has a
//! section for each decision with the figures that set its thresholds.

pub mod admission;
pub mod allowance;
pub mod pool;
pub mod retry;
pub mod routing;
pub mod settings;
