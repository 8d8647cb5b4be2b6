//! Limits on the requests that a node forwards for other nodes, so that its own callers don't pay for them.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// The maximum number of requests in flight for other nodes. Each takes two descriptors and a body.
const MAX_REQUESTS: usize = 256;

/// The maximum total size of their bodies.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The delay of the traffic thread above which it takes no requests of other nodes. The thread then has more
/// work than its share of the processor, and each further request delays all others.
const MAX_THREAD_DELAY: Duration = Duration::from_millis(40);

/// The weight of a new measurement of the delay.
const DELAY_GAIN: f64 = 0.25;

/// What a node forwards for other nodes, and how busy it is.
#[derive(Clone, Debug, Default)]
pub struct ForwardingGate {
    requests: usize,
    body_bytes: usize,
    thread_delay_s: f64,
}

impl ForwardingGate {
    /// Admits a request with a body of up to `body_bytes`, unless this node has no room for it.
    pub fn try_enter(&mut self, body_bytes: usize) -> bool {
        let has_room = self.requests < MAX_REQUESTS
            && self.body_bytes.saturating_add(body_bytes) <= MAX_BODY_BYTES
            && !self.is_overloaded();
        if has_room {
            self.requests += 1;
            self.body_bytes += body_bytes;
        }
        has_room
    }

    /// Records the end of a request that was admitted with `body_bytes`.
    pub fn leave(&mut self, body_bytes: usize) {
        self.requests = self.requests.saturating_sub(1);
        self.body_bytes = self.body_bytes.saturating_sub(body_bytes);
    }

    /// Records by how much a timer of the traffic thread was late.
    pub fn record_delay(&mut self, delay: Duration) {
        self.thread_delay_s += (delay.as_secs_f64() - self.thread_delay_s) * DELAY_GAIN;
    }

    fn is_overloaded(&self) -> bool {
        self.thread_delay_s >= MAX_THREAD_DELAY.as_secs_f64()
    }

    /// Returns whether the delay of the traffic thread has to be measured: while it forwards requests of other
    /// nodes, and until it is low enough for the next one.
    #[must_use]
    pub fn needs_measurement(&self) -> bool {
        self.requests > 0 || self.is_overloaded()
    }

    /// Returns the number of requests in flight for other nodes.
    #[must_use]
    pub const fn requests(&self) -> usize {
        self.requests
    }
}
