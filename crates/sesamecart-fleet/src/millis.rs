//! Times as a number of milliseconds, as the step model states them.

use std::time::Duration;

pub(crate) fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Returns a time from milliseconds. Negative ones are zero.
pub(crate) fn from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}
