//! The clock that measures the age of a node's state.

use rustix::time::{ClockId, clock_gettime};
use sesamecart_vocabulary::Timestamp;

/// Returns the time since the machine booted, including the time that it was suspended.
///
/// The monotonic clock stops while a VM is suspended. A node that measured ages with it would resume after
/// seconds and act on its old state as if it were fresh.
pub(crate) fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or_default();
    Timestamp(seconds * 1_000_000 + micros)
}
