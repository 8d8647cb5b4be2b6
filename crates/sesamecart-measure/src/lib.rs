//! Quickstart and measurements of the whole system against stand-ins.

mod caller;
mod cluster;
pub mod groups;
pub mod path;
pub mod policy;
pub mod process;
mod quantile;
pub mod quickstart;

pub use caller::{Answer, Caller, StreamAnswer};
pub use cluster::{Cluster, ClusterPlan, NodePlan};
pub use quantile::quantile;
