//! Stand-ins for the platform, engines and plain services, with scripted faults.
//!
//! Each listens on loopback, speaks the protocol of docs/design/platform.md on a thread of its own,
//! and misbehaves as its fault plan says, so that tests and measurements meet what the users'
//! platform does on a bad day. Dropping a stand-in closes all its connections and joins its thread.

mod body;
mod engine;
mod faults;
mod ledger;
mod log_service;
mod plain_service;
mod server;
mod vm_list;
mod weight_store;

pub use engine::{
    AppliedOrder, Engine, EngineConfig, EngineCounts, EngineFaults, EngineSpeed, answer_text,
    answer_token, prompt_of,
};
pub use faults::{FaultPlan, FaultStep};
pub use ledger::{Ledger, receipt_of};
pub use log_service::{LogConfig, LogCounts, LogFaults, LogOutage, LogService, Retention};
pub use plain_service::{PlainService, PlainServiceConfig, PlainServiceFaults};
pub use vm_list::{ListedVm, VmList, VmRole, VmState};
pub use weight_store::{WeightStore, WeightStoreConfig};
