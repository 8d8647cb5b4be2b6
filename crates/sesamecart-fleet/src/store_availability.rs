//! When the store was away for so long that entries of running endpoints may have expired.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

#[cfg(test)]
mod tests;

/// What a node knows of the store's availability, from its own calls and from the node that it follows.
///
/// A failed call is no outage: a connection may have been reset, and no entry expires for that. Nor is a time without
/// answers: the node that read the store may have died. An outage is both, for long enough that a running endpoint's
/// entry may have expired. See docs/design/deferred-work.md.
#[derive(Clone, Copy, Debug)]
pub struct StoreAvailability {
    min_outage: Duration,
    /// When the store last answered.
    answered_at: Option<Timestamp>,
    /// The first answer after the last gap of at least `min_outage` in what is known.
    answers_since: Option<Timestamp>,
    /// Whether a call has failed since the last answer.
    has_failed: bool,
    /// When the store returned from its last outage.
    returned_at: Option<Timestamp>,
}

/// What another node has said of the store's availability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreReport {
    /// When the store last answered.
    pub answered_at: Timestamp,
    /// The first answer after the last gap in what the other node knows.
    pub answers_since: Timestamp,
    /// When the store returned from its last outage, if the other node has noticed one.
    pub returned_at: Option<Timestamp>,
}

impl StoreAvailability {
    /// Creates the state of a node that knows nothing yet.
    ///
    /// An entry expires after three intervals of `heartbeat` without a heartbeat. The last heartbeat before an outage
    /// and the first one after it are up to one interval away from it, so an outage of one interval suffices.
    #[must_use]
    pub const fn new(heartbeat: Duration) -> Self {
        Self {
            min_outage: heartbeat,
            answered_at: None,
            answers_since: None,
            has_failed: false,
            returned_at: None,
        }
    }

    /// Records that the store didn't answer a call, or refused it.
    pub const fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records an answer to a call of this node. Returns the length of the outage that it ends, if there was one.
    pub fn record_answer(&mut self, now: Timestamp) -> Option<Duration> {
        let report = StoreReport {
            answered_at: now,
            answers_since: now,
            returned_at: None,
        };
        self.record_report(&report)
    }

    /// Records what another node has said. Returns the length of the outage that is new to this node, if there was one.
    pub fn record_report(&mut self, report: &StoreReport) -> Option<Duration> {
        let outage = match self.answered_at {
            None => {
                self.answers_since = Some(report.answers_since);
                self.returned_at = report.returned_at;
                None
            }
            Some(known) => self.bridge_gap(known, report),
        };
        if Some(report.answered_at) > self.answered_at {
            self.answered_at = Some(report.answered_at);
            self.has_failed = false;
        }
        outage
    }

    /// Compares a report with the last answer that this node knows of. What happened in a gap between them is an
    /// outage only if a call has failed there.
    fn bridge_gap(&mut self, known: Timestamp, report: &StoreReport) -> Option<Duration> {
        let ends_gap = |at: &Timestamp| at.since(known) >= self.min_outage;
        if !ends_gap(&report.answers_since) {
            return None;
        }
        self.answers_since = Some(report.answers_since);
        let reported = report.returned_at.filter(ends_gap);
        let observed = self.has_failed.then_some(report.answers_since);
        let returned_at = reported.or(observed)?;
        self.returned_at = Some(returned_at);
        Some(returned_at.since(known))
    }

    /// Records that the store has returned from a copy, which may lack entries of running endpoints.
    pub fn record_restored(&mut self, now: Timestamp) {
        self.returned_at = Some(now);
    }

    /// Returns when the store returned from its last outage.
    #[must_use]
    pub const fn returned_at(&self) -> Option<Timestamp> {
        self.returned_at
    }

    /// Returns what this node tells others, once the store has answered.
    #[must_use]
    pub fn report(&self) -> Option<StoreReport> {
        Some(StoreReport {
            answered_at: self.answered_at?,
            answers_since: self.answers_since?,
            returned_at: self.returned_at,
        })
    }
}
