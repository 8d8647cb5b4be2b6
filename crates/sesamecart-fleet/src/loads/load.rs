//! What a node knows of one endpoint's load.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::{LoadReport, NodeLoad};
use crate::silence::Silence;

/// How long a report takes to fade to about a third of its difference from the mean: about as long as a
/// request runs, after which most of what was reported has ended.
///
/// Without it an endpoint that was once reported full stays full in the eyes of a node that has nothing
/// there, for ever; the nodes to which others look full get far more than the mean.
const REPORT_FADES: Duration = Duration::from_secs(1);

/// How long a report takes to fade out of the mean to about a third of its weight: as long as a node of
/// many waits for the next one.
///
/// Reports that never faded would have a node refuse for ever once all of them said full, since nothing
/// is sent that could bring another.
const MEAN_FADES: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) reported: Option<(LoadReport, Timestamp)>,
    /// The last report that came to this node itself.
    pub(super) own_report: Option<(LoadReport, Timestamp)>,
    /// Requests sent less those ended since the report.
    pub(super) since: i64,
    /// What this node and those it hears had there when the report came.
    known_then: u32,
    pub(super) in_flight: u32,
    pub(super) failures: u32,
    pub(super) ejected_until: Timestamp,
    pub(super) silence: Silence,
    /// What other nodes said they have there.
    pub(super) others: IndexMap<NodeId, NodeLoad>,
}

impl Load {
    /// Takes in what the endpoint said of its load.
    pub(super) fn apply_report(&mut self, report: LoadReport, at: Timestamp) {
        self.reported = Some((report, at));
        self.since = 0;
        self.known_then = self.known();
    }

    /// Returns what this node and those it hears have there.
    fn known(&self) -> u32 {
        self.in_flight + self.others().in_flight
    }

    /// Estimates the requests of all nodes from a report that is fresh, if it is; those that are heard sent
    /// one in `scale` of what all have sent since. Alone it varies too much to choose an endpoint by, a sum over
    /// endpoints doesn't.
    pub(super) fn estimate_of_all(&self, now: Timestamp, scale: f64) -> Option<f64> {
        let (report, at) = self.reported?;
        if now.since(at) >= REPORT_FADES || self.ejected_until > now {
            return None;
        }
        let known = f64::from(self.known());
        let sent_since = known - f64::from(self.known_then);
        let reported = f64::from(report.running + report.waiting);
        Some((reported + sent_since * scale).max(known))
    }

    /// Guesses the requests that the endpoint has now, where `mean_load` are to be expected.
    pub(super) fn estimate(&self, now: Timestamp, mean_load: f64) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((report, at)) = self.reported else {
            return own.max(mean_load);
        };
        let kept = kept_after(now.since(at), REPORT_FADES);
        let then = self.requests_then(report);
        let guess = mean_load + (then - mean_load) * kept + own * (1.0 - kept);
        guess.max(own)
    }

    /// Returns what other nodes said they have at the endpoint.
    pub(super) fn others(&self) -> NodeLoad {
        let mut sum = NodeLoad::default();
        for load in self.others.values() {
            sum.in_flight += load.in_flight;
            sum.waiting += load.waiting;
        }
        sum
    }

    /// Returns the requests with which the endpoint counts in the mean of all.
    pub(super) fn decayed_report(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((report, at)) = self.reported else {
            return own;
        };
        let kept = kept_after(now.since(at), MEAN_FADES);
        own + (self.requests_then(report) - own) * kept
    }

    /// Returns what a report and the node's own sends and ends since add up to.
    fn requests_then(&self, report: LoadReport) -> f64 {
        let reported = i64::from(report.running) + i64::from(report.waiting);
        (reported + self.since).max(0) as f64
    }
}

/// Returns the part of what was reported that is left after `age`.
fn kept_after(age: Duration, fades: Duration) -> f64 {
    (-age.as_secs_f64() / fades.as_secs_f64()).exp()
}
