//! Decisions under load: admission, allowance, routing and retries as pure functions.
//!
//! This crate reads no clock, network or global random number generator. Time and seeds are
//! arguments, so the same code runs in the node, in tests and in `measure -- policy`.
//! docs/policy.md has a section for each decision, with the measurements behind its thresholds.

pub mod admission;
pub mod allowance;
pub mod pool;
pub mod retry;
pub mod routing;
pub mod settings;
