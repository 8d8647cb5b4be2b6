//! A node that routes requests on the users' platform.
//!
//! The control thread follows the store and, on one node at a time, controls the serving groups. The traffic
//! thread forwards the requests of callers. They share [`EntryState`]: the state of the node and its age.
//! docs/design/platform-run.md explains the design.

mod beliefs;
mod clock;
mod controller;
mod events;
mod examinations;
mod exchange;
mod feed;
mod follower;
mod losses;
mod metrics;
mod node;
mod settings;
#[cfg(test)]
mod testkit;
mod traffic;
mod watch;

pub use beliefs::EntryState;
pub use events::{Event, EventLog};
pub use metrics::Metrics;
pub use node::{Entry, StartError, run};
pub use settings::{EntrySettings, SettingsError};
