//! Rate limiting of each operator's requests.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

/// Maximum burst, in seconds of the average rate.
///
/// `sesamecart publish --wait` polls a few times a second, and operators run several commands in a
/// row. A burst of two seconds admits both, while a script that loops without pause is throttled
/// immediately.
const BURST_SECONDS: u64 = 2;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limits the request rate of each operator separately.
///
/// Without a limit, a script that sends requests in a loop would take control-thread time from the
/// log and the leases, and one operator would degrade the whole node.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// The interval between requests at the average rate, in microseconds.
    interval_us: u64,
    /// Each operator's theoretical arrival time: when its admitted requests would all have arrived at
    /// the average rate.
    arrival_times: IndexMap<String, Timestamp>,
}

impl RateLimiter {
    /// Creates a limiter that allows each operator an average of `requests_per_s`.
    #[must_use]
    pub fn new(requests_per_s: u32) -> Self {
        Self {
            interval_us: MICROS_PER_SECOND / u64::from(requests_per_s.max(1)),
            arrival_times: IndexMap::new(),
        }
    }

    /// Admits a request of an operator unless it exceeds the rate.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before retrying.
    pub fn admit(&mut self, operator: &str, now: Timestamp) -> Result<(), Duration> {
        let arrival_time = self.arrival_times.entry(operator.to_owned()).or_default();
        let start = (*arrival_time).max(now);
        let next = start + Duration::from_micros(self.interval_us);
        let burst_end = now + Duration::from_micros(BURST_SECONDS * MICROS_PER_SECOND);
        if next > burst_end {
            return Err(next - burst_end);
        }
        *arrival_time = next;
        Ok(())
    }
}
