//! Quickstart and measurements of the whole system against stand-ins.

pub mod actions;
mod caller;
pub mod capacity;
mod cluster;
pub mod control;
mod fit;
pub mod groups;
pub mod path;
pub mod policy;
pub mod process;
mod quantile;
pub mod quickstart;
pub mod roles;
pub mod streams;

pub use caller::{Answer, Caller, StreamAnswer};
pub use cluster::{Cluster, ClusterPlan, NodePlan};
pub use fit::Fit;
pub use quantile::quantile;
pub use roles::{Point, Series};
