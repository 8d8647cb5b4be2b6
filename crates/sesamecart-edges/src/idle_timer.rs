//! Ends connections that are idle for longer than the limit that is in force.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

/// Returns the limit that is in force now.
type Limit = Arc<dyn Fn() -> Duration + Send + Sync>;

/// A timer for the idle time of connections, whose limit may be raised while a connection is idle.
///
/// Callers use a connection again as the limit in force allows. One that is closed earlier may have a request on its way.
#[derive(Clone)]
pub(crate) struct IdleTimer {
    limit: Limit,
}

impl fmt::Debug for IdleTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IdleTimer").finish_non_exhaustive()
    }
}

impl IdleTimer {
    pub(crate) fn new(limit: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self {
            limit: Arc::new(limit),
        }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep {
            started_at: Instant::now(),
            limit: Arc::clone(&self.limit),
            timer: async_io::Timer::at(deadline),
        })
    }
}

/// Waits until the limit that is then in force has passed.
struct IdleSleep {
    started_at: Instant,
    limit: Limit,
    timer: async_io::Timer,
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(Pin::new(&mut self.timer).poll(cx));
            let deadline = self.started_at + (self.limit)();
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.timer.set_at(deadline);
        }
    }
}

impl Sleep for IdleSleep {}
