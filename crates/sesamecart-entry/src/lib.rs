//! A node that routes requests on the users' platform.
//!
//! The control thread follows the store and, on one node at a time, controls the serving groups. The traffic
//! thread forwards the requests of callers. They share [`EntryState`]: the state of the node and the age
//! of its configuration.
//! docs/design/platform-run.md explains the design.

mod authority;
mod backoffs;
mod clock;
mod controller;
mod crashes;
mod deferred;
mod dispatch;
mod events;
mod feed;
mod follower;
mod group_prober;
mod leaving;
mod limits;
mod lock;
mod loss_reports;
mod metrics;
mod node;
mod operator_page;
mod peer_loads;
mod reach;
mod refusal_counts;
mod settings;
mod start_steps;
mod state;
mod stopping;
mod store_observer;
#[cfg(test)]
mod testkit;
mod traffic;
mod watch;

pub use dispatch::DispatchedRequests;
pub use events::{Event, EventLog};
pub use leaving::LeavingEndpoint;
pub use limits::LimitedEndpoint;
pub use metrics::Metrics;
pub use node::{Entry, StartError, run};
pub use reach::UnreachablePool;
pub use sesamecart_fleet::DispatchSetting;
pub use settings::{EntrySettings, SettingsError};
pub use state::EntryState;
