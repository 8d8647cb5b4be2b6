//! Decides which new connections a busy server doesn't serve.
//!
//! The load: more new connections than the thread that serves them has time for. Whether the thread runs seldom says
//! nothing of that: a small share of a processor comes in bursts, and between them nothing runs. What counts is the
//! work that is left when it runs, measured by the time that it takes to get round all tasks that are ready.
//! docs/design/connections.md has the ways weighed.

use std::time::{Duration, Instant};

/// The time to get round all ready tasks from which on a thread is overloaded.
const MAX_ROUND: Duration = Duration::from_millis(100);

/// How long rounds have to stay above that. A thread that has just been stopped for a moment catches up by then.
const OVERLOAD_TIME: Duration = Duration::from_millis(300);

/// The least time between two measurements.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// How long a measurement says something about the present.
const PROBE_TTL: Duration = Duration::from_millis(500);

/// The number of connections that wait for an overloaded thread. As each is read, the next one is served, so that as
/// many are as it has time for.
const MAX_WAITING: usize = 1;

/// How often the limit of requests under way is adjusted.
const LIMIT_INTERVAL: Duration = Duration::from_millis(100);

/// What is left of the requests under way when the thread is overloaded, in eighths.
const LIMIT_EIGHTHS: usize = 7;

/// The part by which the limit grows while the thread keeps up and requests reach it, as a divisor. It grows by one at least.
const LIMIT_GROWTH_DIVISOR: usize = 32;

/// The longest time without a new connection that is served. A server whose requests last for long must not look as if it
/// took none.
const MAX_SERVED_GAP: Duration = Duration::from_secs(1);

/// A limit of the requests under way, from when a thread was overloaded until it is no longer reached.
///
/// The load of a stream comes after its connection was accepted. A thread that keeps up again would otherwise take more new
/// connections than it can serve before the next measurement shows it.
#[derive(Debug, Default)]
struct RequestLimit {
    limit: Option<usize>,
    adjusted_at: Option<Instant>,
}

impl RequestLimit {
    fn adjust(&mut self, now: Instant, is_overloaded: bool, under_way: usize) {
        let is_recent = |adjusted_at| now.duration_since(adjusted_at) < LIMIT_INTERVAL;
        if self.adjusted_at.is_some_and(is_recent) {
            return;
        }
        self.adjusted_at = Some(now);
        self.limit = match self.limit {
            limit if is_overloaded => {
                let reduced = under_way * LIMIT_EIGHTHS / 8;
                Some(limit.map_or(reduced, |limit| limit.min(reduced)).max(1))
            }
            Some(limit) if under_way >= limit => {
                Some(limit + (limit / LIMIT_GROWTH_DIVISOR).max(1))
            }
            Some(limit) if under_way < limit / 2 => None,
            limit => limit,
        };
    }

    fn allows(&self, under_way: usize) -> bool {
        self.limit.is_none_or(|limit| under_way < limit)
    }
}

/// Sheds new connections while the thread that serves them can't keep up.
///
/// A caller whose connection is ended tries another node soon. One whose connection is accepted and not
/// read waits until it gives up.
#[derive(Debug, Default)]
pub(crate) struct ConnectionShedder {
    /// When the measurement began that hasn't ended.
    probing_since: Option<Instant>,
    probed_at: Option<Instant>,
    overloaded_since: Option<Instant>,
    /// The connections that the thread hasn't begun to serve.
    waiting: usize,
    limit: RequestLimit,
    served_at: Option<Instant>,
}

impl ConnectionShedder {
    /// Begins a measurement if one is due. Returns whether it has begun.
    pub(crate) fn begin_probe(&mut self, now: Instant) -> bool {
        let is_recent = |probed_at| now.duration_since(probed_at) < PROBE_INTERVAL;
        if self.probing_since.is_some() || self.probed_at.is_some_and(is_recent) {
            return false;
        }
        self.probing_since = Some(now);
        true
    }

    /// Ends the measurement. Its task ran at `resumed_at` for the first time, let all others run, and ran again at
    /// `now`.
    ///
    /// A thread that was stopped in one of the two rounds has at most done nothing in it, so the shorter one counts.
    pub(crate) fn end_probe(&mut self, resumed_at: Instant, now: Instant) {
        let Some(begun_at) = self.probing_since.take() else {
            return;
        };
        let first = resumed_at.duration_since(begun_at);
        let round = first.min(now.duration_since(resumed_at));
        if round >= MAX_ROUND {
            self.overloaded_since.get_or_insert(now);
        } else {
            self.overloaded_since = None;
        }
        self.probed_at = Some(now);
    }

    /// Returns whether a new connection is served beside the requests under way. It then waits until
    /// [`Self::record_begun`].
    pub(crate) fn admit(&mut self, now: Instant, under_way: usize) -> bool {
        let is_overloaded = self.is_overloaded(now);
        self.limit.adjust(now, is_overloaded, under_way);
        let has_time = !is_overloaded || self.waiting < MAX_WAITING;
        let is_recent = |served_at| now.duration_since(served_at) < MAX_SERVED_GAP;
        let is_due = !self.served_at.is_some_and(is_recent);
        let is_admitted = has_time && (is_due || self.limit.allows(under_way));
        if is_admitted {
            self.served_at = Some(now);
        }
        self.waiting += usize::from(is_admitted);
        is_admitted
    }

    /// Records that the thread has begun to serve a connection that was admitted.
    pub(crate) fn record_begun(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn is_overloaded(&mut self, now: Instant) -> bool {
        let is_late = |begun_at| now.duration_since(begun_at) >= MAX_ROUND;
        if self.probing_since.is_some_and(is_late) {
            self.overloaded_since.get_or_insert(now);
        }
        let is_old = |probed_at| now.duration_since(probed_at) >= PROBE_TTL;
        if self.probing_since.is_none() && self.probed_at.is_none_or(is_old) {
            self.overloaded_since = None;
        }
        let is_long = |since| now.duration_since(since) >= OVERLOAD_TIME;
        self.overloaded_since.is_some_and(is_long)
    }
}

#[cfg(test)]
mod tests;
