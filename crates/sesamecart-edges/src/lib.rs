//! External I/O of the process: HTTP servers and clients, platform adapters and TLS.
//!
//! All traffic into and out of a process passes through this crate, so that the logic in the other crates
//! can be read and tested without a network. docs/design/platform.md describes the protocols.

mod body;
mod bounded_connection;
mod client;
mod connections;
mod dialer;
mod header;
mod idle_timer;
mod log_service;
mod refused_connection;
mod server;
mod shedding;
pub mod tls;
mod vm_list;
mod weight_store;

pub use body::{BoxError, CallerBody, ReadBodyError, discard_body, empty, read_body, whole};
pub use client::{
    ClientError, Exchange, HttpClient, PooledConnection, ResponseBody, Reuse, SendStatus, Step,
};
pub use connections::{Connections, ShedConnections};
pub use dialer::{Connection, Dialer, TcpDialer};
pub use header::{
    ACTION, ATTEMPT, CLASS, DEADLINE_MS, EPOCH, GENERATION, IDEMPOTENCY_KEY, NOT_RUN, OUTCOME,
    PRIORITY, REPLAYED, REQUEST, RESUME_AT,
};
pub use log_service::{HttpLog, Log, LogError, LogPage, LoggedRecord};
pub use server::{ServerLimits, serve};
pub use vm_list::{HttpVmList, ListedVm, VmList, VmListError, VmRole, VmState};
pub use weight_store::{HttpWeightStore, WeightStore, WeightStoreError, WeightTransfer};
