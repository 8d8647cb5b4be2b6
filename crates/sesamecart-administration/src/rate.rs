//! How often each operator may ask.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

/// How many seconds' worth of requests may come at once.
///
/// `sesamecart publish --wait` asks a few times a second, and an operator runs several commands in a
/// row; two seconds' worth lets both through while a script that loops without pause is slowed down
/// at once.
const BURST_SECONDS: u64 = 2;

/// A second in the clock's unit.
const SECOND_US: u64 = 1_000_000;

/// Bounds each operator's requests.
///
/// A script that asks in a loop would otherwise take the control thread's time from the log and the
/// leases, and the whole node would suffer for one operator.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// The clock's units that one request costs.
    cost_us: u64,
    /// When each operator's requests so far will have been paid for.
    paid_until: IndexMap<String, Timestamp>,
}

impl RateLimiter {
    /// Makes a limiter for an average of `requests_per_s`.
    #[must_use]
    pub fn new(requests_per_s: u32) -> Self {
        Self {
            cost_us: SECOND_US / u64::from(requests_per_s.max(1)),
            paid_until: IndexMap::new(),
        }
    }

    /// Lets a request in, or returns after what time to ask again.
    ///
    /// # Errors
    ///
    /// Returns how long to wait.
    pub fn admit(&mut self, operator: &str, now: Timestamp) -> Result<(), Duration> {
        let paid_until = self.paid_until.entry(operator.to_owned()).or_default();
        let begin = (*paid_until).max(now);
        let next = begin + Duration::from_micros(self.cost_us);
        let burst_end = now + Duration::from_micros(BURST_SECONDS * SECOND_US);
        if next > burst_end {
            return Err(next - burst_end);
        }
        *paid_until = next;
        Ok(())
    }
}
