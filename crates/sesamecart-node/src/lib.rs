//! The sesamecart node: a control thread and traffic threads between callers and endpoints.
//!
//! docs/architecture.md draws the way of a request through it.

mod actions;
mod administration;
mod control;
mod duties;
mod groups;
mod identity;
mod metrics;
mod node;
mod pools;
mod shared;
mod snapshot;
mod traffic;

pub use identity::Identity;
pub use metrics::Metrics;
pub use node::{Node, StartError};
pub use shared::Shared;
pub use snapshot::Snapshot;
