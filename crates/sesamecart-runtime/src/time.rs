//! Time limits and the one clock that a process reads.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use sesamecart_vocabulary::Timestamp;

/// Says that a time limit ran out.
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
    Timer::after(duration).await;
}

/// Gives a future at most `limit`.
///
/// # Errors
///
/// Returns [`Elapsed`] when the future hasn't ended by then; it is dropped.
pub async fn within<T>(limit: Duration, task: impl Future<Output = T>) -> Result<T, Elapsed> {
    future::or(async { Ok(task.await) }, async {
        sleep(limit).await;
        Err(Elapsed)
    })
    .await
}

/// The monotonic clock from which pure code is given its time.
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

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
