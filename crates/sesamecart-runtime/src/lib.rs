//! Threads, tasks, sockets, timeouts and logging shared by all sesamecart processes.
//!
//! Concurrency is structured: a [`Worker`] owns its thread and its tasks, and [`Worker::stop`] returns only
//! when all of them have ended or the shutdown timeout has expired.

mod counted;
mod lateness;
mod logs;
mod signal;
mod socket;
mod tasks;
mod time;
mod worker;

pub use counted::{ByteCounters, CountingStream};
pub use lateness::{Lateness, lateness, sleep_paced, with_patience};
pub use logs::{LogFormat, init_logging};
pub use signal::{Signal, Trigger};
pub use socket::{AcceptQueue, AcceptedConnection, connect, listen};
pub use tasks::Tasks;
pub use time::{Clock, Elapsed, sleep, with_settled_timeout, with_timeout};
pub use worker::{SharedExecutor, Worker};
