//! When a node reports what to the others, within bounds for all nodes together.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::report::{Clearance, CrashReport, CrashedRun};
use super::{CrashTracker, MAX_OWN_RUNS};

/// The minimum interval between two reports of a node.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// The interval of reports by all nodes together; with many nodes, each reports less often.
const REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(5);

/// The interval of reports that only withdraw evidence. Until then, the evidence does little harm.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_secs(5);

/// The number of requests in flight at crashes that all nodes together report.
const MAX_REPORTED_RUNS: usize = 768;

/// The minimum number of them that each node may report.
const MIN_REPORTED_RUNS_PER_NODE: usize = 2;

/// The last report that this node published.
#[derive(Clone, Debug, Default)]
pub(super) struct Published {
    pub(super) report: CrashReport,
    pub(super) at: Timestamp,
}

impl CrashTracker {
    /// Returns the report to publish, if it is time for one.
    #[must_use]
    pub fn due_report(&self, now: Timestamp, nodes: usize) -> Option<CrashReport> {
        let max_runs =
            (MAX_REPORTED_RUNS / nodes.max(1)).clamp(MIN_REPORTED_RUNS_PER_NODE, MAX_OWN_RUNS);
        let report = self.report(max_runs, now);
        if report == self.published.report {
            return None;
        }
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let interval = match self.is_urgent(&report) {
            true => REPORT_INTERVAL.max(REPORT_INTERVAL_PER_NODE * nodes),
            false => WITHDRAWAL_INTERVAL,
        };
        let is_due =
            self.published.at == Timestamp::ZERO || now.since(self.published.at) >= interval;
        is_due.then_some(report)
    }

    /// Records that a report was published.
    pub fn record_published(&mut self, now: Timestamp, report: CrashReport) {
        self.published = Published { report, at: now };
    }

    /// Records what the topic has of this node's reports after the store has returned from a copy, so that a report
    /// that differs is published again.
    pub fn reset_published(&mut self, report: CrashReport) {
        self.published.report = report;
    }

    pub(super) fn report(&self, max_runs: usize, now: Timestamp) -> CrashReport {
        let runs = self.runs.iter().filter(|own| own.share_at <= now);
        let blocks = self.blocks.values();
        let clearances = self.clearances.values();
        let clearances =
            clearances.filter(|own| own.is_shared || self.is_suspected_by_peers(&own.clearance));
        let mut report = CrashReport {
            runs: runs.map(|own| own.run.clone()).collect(),
            blocks: blocks.map(|own| own.block.clone()).collect(),
            clearances: clearances.map(|own| own.clearance.clone()).collect(),
        };
        report.runs.sort_by_key(CrashedRun::most_crashes);
        report.truncate(max_runs);
        report
    }

    /// Returns whether a report says something that other nodes have to know soon.
    fn is_urgent(&self, report: &CrashReport) -> bool {
        let published = &self.published.report;
        let clearances = report.clearances.iter();
        let mut new_clearances =
            clearances.filter(|clearance| !published.clearances.contains(clearance));
        report.blocks != published.blocks
            || report.runs.iter().any(|run| !published.runs.contains(run))
            || new_clearances.any(|clearance| self.is_suspected_by_peers(clearance))
    }

    fn is_suspected_by_peers(&self, clearance: &Clearance) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.report.concerns(&clearance.request))
    }
}
