//! A node on the users' platform.
//!
//! One thread follows the store and, on one node at a time, controls the serving groups; another
//! carries callers' requests. They share [`Beliefs`]: what this node knows, and how old it is.
//! docs/design/platform-run.md says why it is so.

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

pub use beliefs::Beliefs;
pub use events::{Event, EventLog};
pub use metrics::Metrics;
pub use node::{Entry, StartError, run};
pub use settings::{EntrySettings, SettingsError};
