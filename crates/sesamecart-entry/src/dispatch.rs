//! Dispatchers at the nodes: who dispatches, what nodes ask and report, and what the dispatcher answers.
//!
//! The decisions are those of [`sesamecart_fleet::Dispatcher`]; docs/design/dispatch.md describes messages and
//! failures.

mod client;
mod message;
mod outbox;
mod pools;
mod reporter;
mod server;
mod ticket;

use std::sync::{Mutex, MutexGuard};

use event_listener::Event as Notifier;

pub(crate) use crate::dispatch::client::{DispatchClient, DispatchQuery, Dispatched};
pub(crate) use crate::dispatch::message::{
    decode_part, decode_report, decode_request, encode_reply,
};
use crate::dispatch::outbox::Outbox;
use crate::dispatch::pools::PoolCache;
pub(crate) use crate::dispatch::pools::{DispatchPools, DispatchedPool};
pub(crate) use crate::dispatch::reporter::report_held;
pub use crate::dispatch::server::DispatchedRequests;
use crate::dispatch::server::Dispatchers;
pub(crate) use crate::dispatch::server::poll_dispatchers;
pub(crate) use crate::dispatch::ticket::{AssignedEndpoint, AssignedTicket, HeldAttempt};
use crate::lock::lock;

/// What a node knows of dispatchers, shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct Dispatch {
    pools: Mutex<PoolCache>,
    outbox: Mutex<Outbox>,
    /// Notified when the outbox has something to report.
    outbox_changed: Notifier,
    dispatchers: Dispatchers,
}

impl Dispatch {
    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        lock(&self.outbox)
    }
}
