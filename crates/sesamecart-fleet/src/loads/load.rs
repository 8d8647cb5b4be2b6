//! The load of one endpoint as known to this node.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::{LoadReport, NodeLoad};
use crate::stall_detector::StallDetector;

/// The time constant with which a report decays towards the mean load: about the duration of a request,
/// after which most of the reported requests have ended.
///
/// Without it, an endpoint that once reported itself full would stay full forever for a node that has no
/// requests there, and such a node would send far more than the mean load to the remaining endpoints.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(1);

/// The time constant with which a report loses its weight in the mean load: about the interval between two
/// reports in a large fleet.
///
/// Without it, a node would refuse requests forever once all reports were full, because it would send
/// nothing that could bring a new report.
const MEAN_DECAY_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) reported: Option<(LoadReport, Timestamp)>,
    /// The last report that this node received itself.
    pub(super) own_report: Option<(LoadReport, Timestamp)>,
    /// The requests sent since the report, minus those that ended.
    pub(super) net_sent: i64,
    /// The requests of this node and of the reporting nodes at the time of the report.
    known_at_report: u32,
    pub(super) in_flight: u32,
    pub(super) failures: u32,
    /// Whether the endpoint has ever answered a request of this node.
    pub(super) has_answered: bool,
    pub(super) ejected_until: Timestamp,
    pub(super) stall_detector: StallDetector,
    /// The loads that other nodes report for the endpoint.
    pub(super) peer_loads: IndexMap<NodeId, NodeLoad>,
}

impl Load {
    /// Stores a load report of the endpoint.
    pub(super) fn apply_report(&mut self, report: LoadReport, at: Timestamp) {
        self.reported = Some((report, at));
        self.net_sent = 0;
        self.known_at_report = self.known_requests();
    }

    /// Returns the requests of this node and of the reporting nodes.
    fn known_requests(&self) -> u32 {
        self.in_flight + self.peer_total().in_flight
    }

    /// Estimates the requests of all nodes from the last report. Returns nothing if the report is too old
    /// or the endpoint is ejected. Each request that the reporting nodes sent since the report stands for
    /// `scale` requests of the whole fleet. The estimate is too noisy to compare endpoints, but a sum over
    /// endpoints is accurate enough.
    pub(super) fn estimate_for_all_nodes(&self, now: Timestamp, scale: f64) -> Option<f64> {
        let (report, at) = self.reported?;
        if now.since(at) >= REPORT_DECAY_TIME || self.ejected_until > now {
            return None;
        }
        let known = f64::from(self.known_requests());
        let sent_since = known - f64::from(self.known_at_report);
        let reported = f64::from(report.running + report.waiting);
        Some((reported + sent_since * scale).max(known))
    }

    /// Estimates the endpoint's current requests; `mean_load` is the expected number without a report.
    pub(super) fn estimate(&self, now: Timestamp, mean_load: f64) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((report, at)) = self.reported else {
            return own.max(mean_load);
        };
        let weight = remaining_weight(now.since(at), REPORT_DECAY_TIME);
        let corrected = self.corrected_report(report);
        let estimate = mean_load + (corrected - mean_load) * weight + own * (1.0 - weight);
        estimate.max(own)
    }

    /// Returns the total of the loads that other nodes report.
    pub(super) fn peer_total(&self) -> NodeLoad {
        let mut sum = NodeLoad::default();
        for load in self.peer_loads.values() {
            sum.in_flight += load.in_flight;
            sum.waiting += load.waiting;
        }
        sum
    }

    /// Returns the endpoint's contribution to the mean load, in requests.
    pub(super) fn decayed_report(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((report, at)) = self.reported else {
            return own;
        };
        let weight = remaining_weight(now.since(at), MEAN_DECAY_TIME);
        own + (self.corrected_report(report) - own) * weight
    }

    /// Returns the reported requests, corrected by the requests that this node sent and saw end since.
    fn corrected_report(&self, report: LoadReport) -> f64 {
        let reported = i64::from(report.running) + i64::from(report.waiting);
        (reported + self.net_sent).max(0) as f64
    }
}

/// Returns the remaining weight of a report after `age`.
fn remaining_weight(age: Duration, decay_time: Duration) -> f64 {
    (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
