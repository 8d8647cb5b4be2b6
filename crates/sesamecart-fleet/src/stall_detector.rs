//! Detects from stalled streams of a head that its group may have lost a member.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// How long a head may send no events before its group's members are probed.
///
/// A group that lost a member still accepts requests for seconds without making progress, so callers see
/// their streams stall. The registry shows the loss only after three heartbeats. Probes are cheap and
/// harmless, so the limits are just above the longest pause of a healthy head: seven steps with a full
/// prompt chunk each.
#[derive(Clone, Copy, Debug)]
pub struct StallLimits {
    /// The limit for a head with many running streams; it is twice as long for a single stream.
    ///
    /// All streams of a head advance in the same pass, but with fewer streams of its own, a node can
    /// conclude less from their pauses. With more nodes, each of them has fewer streams.
    pub streaming: Duration,
    /// The limit for a head at which all requests still wait for their first event.
    pub waiting: Duration,
    /// The interval between the first two probes of the same head. It doubles with each further probe until
    /// an event arrives, because a head that reads many prompts can be silent for a second although it is
    /// healthy.
    pub probe_interval: Duration,
}

impl Default for StallLimits {
    fn default() -> Self {
        Self {
            streaming: Duration::from_millis(160),
            waiting: Duration::from_millis(350),
            probe_interval: Duration::from_millis(250),
        }
    }
}

impl StallLimits {
    /// Returns the limits of a node that sees events `delay` late.
    #[must_use]
    pub fn extended_by(self, delay: Duration) -> Self {
        Self {
            streaming: self.streaming + delay,
            waiting: self.waiting + delay,
            probe_interval: self.probe_interval + delay,
        }
    }
}

/// Tracks the events that one node receives from one head.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    streaming: u32,
    waiting: u32,
    last_event_at: Timestamp,
    probed_at: Option<Timestamp>,
    /// The number of probes since the last event.
    probes: u32,
}

/// The maximum number of times that the probe interval is doubled.
const MAX_PROBE_BACKOFF: u32 = 3;

impl StallDetector {
    /// Returns the number of requests that wait for their first event.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the time of the last event from the head.
    #[must_use]
    pub const fn last_event_at(&self) -> Timestamp {
        self.last_event_at
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Timestamp) {
        if self.streaming + self.waiting == 0 {
            self.last_event_at = now;
        }
        self.waiting += 1;
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, now: Timestamp) {
        self.waiting = self.waiting.saturating_sub(1);
        self.streaming += 1;
        self.record_event(now);
    }

    /// Records any event from the head.
    pub fn record_event(&mut self, now: Timestamp) {
        self.last_event_at = now;
        self.probes = 0;
    }

    /// Records the end of a request. `has_started` is whether its first event had arrived.
    pub fn record_end(&mut self, has_started: bool) {
        let count = if has_started {
            &mut self.streaming
        } else {
            &mut self.waiting
        };
        *count = count.saturating_sub(1);
    }

    /// Returns whether a probe of the members is due, and records it as started.
    pub fn start_due_probe(&mut self, now: Timestamp, limits: StallLimits) -> bool {
        let limit = match (self.streaming, self.waiting) {
            (0, 0) => return false,
            (0, _) => limits.waiting,
            (streaming, _) => limits.streaming.mul_f64(1.0 + 1.0 / f64::from(streaming)),
        };
        let backoff = self.probes.saturating_sub(1).min(MAX_PROBE_BACKOFF);
        let probe_interval = limits.probe_interval * (1 << backoff);
        let is_recently_probed = self
            .probed_at
            .is_some_and(|at| now.since(at) < probe_interval);
        if is_recently_probed || now.since(self.last_event_at) < limit {
            return false;
        }
        self.probed_at = Some(now);
        self.probes += 1;
        true
    }
}
