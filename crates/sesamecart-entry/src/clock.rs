//! The clock by which beliefs age.

use rustix::time::{ClockId, clock_gettime};
use sesamecart_vocabulary::Timestamp;

/// Returns the time since the machine started, the time that it was suspended included.
///
/// The steady clock stands still while a VM is suspended. A node that measured the age of what it
/// knows by it would wake after seconds and act on its old beliefs as if they were new.
pub(crate) fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or_default();
    Timestamp(seconds * 1_000_000 + micros)
}
