//! Timeouts and the monotonic clock of a process.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use sesamecart_vocabulary::Timestamp;

use crate::lateness::record_delay;

/// The error of a timeout that expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the time limit ran out")
    }
}

impl std::error::Error for Elapsed {}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    let due = Timer::after(duration).await;
    record_delay(due.elapsed());
}

/// Runs a future with a timeout.
///
/// # Errors
///
/// Returns [`Elapsed`] if the future hasn't completed within `limit`. The future is then dropped.
pub async fn with_timeout<T>(limit: Duration, task: impl Future<Output = T>) -> Result<T, Elapsed> {
    future::or(async { Ok(task.await) }, async {
        sleep(limit).await;
        Err(Elapsed)
    })
    .await
}

/// The number of rounds that a thread makes after a timeout has passed before it counts. What has arrived may take two
/// events of the socket until the task that waits for it sees it.
const SETTLING_ROUNDS: u32 = 3;

/// How long a round waits at least, so that it goes through the event loop.
const SETTLING_TIME: Duration = Duration::from_millis(1);

/// Runs a future with a timeout that doesn't count the time for which its own thread is late.
///
/// A thread that has much to do, or was stopped, finds the timeout passed before it has looked at what has arrived meanwhile.
/// It therefore goes round all of its tasks, and what is complete then counts as in time.
///
/// # Errors
///
/// Returns [`Elapsed`] if the future hasn't completed then. The future is dropped.
pub async fn with_settled_timeout<T>(
    limit: Duration,
    task: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    future::or(async { Ok(task.await) }, async {
        sleep(limit).await;
        for _ in 0..SETTLING_ROUNDS {
            sleep(SETTLING_TIME).await;
        }
        Err(Elapsed)
    })
    .await
}

/// The monotonic clock of a process. Code without side effects doesn't read it but gets timestamps as
/// arguments.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
