//! Quickstart and measurements of the whole system against stand-ins.

pub mod actions;
mod caller;
mod cluster;
pub mod groups;
pub mod path;
pub mod policy;
pub mod process;
mod quantile;
pub mod quickstart;
pub mod streams;

pub use caller::{Answer, Caller, StreamAnswer};
pub use cluster::{Cluster, ClusterPlan, NodePlan};
pub use quantile::quantile;
