//! Combines the silence of a head's streams at several nodes into evidence that its group has lost a member.
//!
//! The load: a group at full load loses a member, and its head falls silent for all of its streams, each of
//! which may be at another node. The streams of a head advance in the same pass, so a sound head sends to each
//! of them within a pass, and one that has sent to none of many streams for that long is probably lost. One node
//! with one stream can't know: its own link may be late. So the nodes report silent heads to the node that they
//! follow, which decides when the members are probed. docs/design/pauses.md has the ways weighed.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, Timestamp};

use crate::directory::GroupKey;
use crate::stall_detector::StallLimits;

#[cfg(test)]
mod tests;

/// How long a report is kept. A node that still waits for the head reports again within this time.
const REPORT_TTL: Duration = Duration::from_millis(400);

/// The time that an event and a report take on their links at most, unless a packet is lost.
const LINK_MARGIN: Duration = Duration::from_millis(15);

/// What one node says of its streams at a head that has sent it nothing for a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadSilence {
    /// The number of the node's streams that have begun.
    pub streams: u32,
    /// When the head last sent the node an event.
    pub last_event_at: Timestamp,
}

/// What the reports of a silent head show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceFinding {
    /// The members are to be probed now.
    Probe,
    /// Without further reports, the members are to be probed after this time.
    Wait(Duration),
}

/// The reports that a node has received of silent heads.
#[derive(Clone, Debug, Default)]
pub struct SilenceReports {
    groups: IndexMap<GroupKey, GroupReports>,
}

#[derive(Clone, Debug, Default)]
struct GroupReports {
    /// The newest report of each node and the time at which it arrived.
    nodes: IndexMap<NodeId, (Timestamp, HeadSilence)>,
    probed_at: Option<Timestamp>,
    /// The number of probes since a node last reported an event.
    probes: u32,
}

/// The maximum number of times that the probe interval is doubled.
const MAX_PROBE_BACKOFF: u32 = 3;

impl SilenceReports {
    /// Records a report and returns whether the members of the group are to be probed. `longest_pass` is the time
    /// that the head takes at most for a pass, or `None` if the times of its steps aren't configured.
    pub fn record(
        &mut self,
        now: Timestamp,
        key: &GroupKey,
        node: &NodeId,
        silence: HeadSilence,
        longest_pass: Option<Duration>,
    ) -> SilenceFinding {
        self.prune(now);
        let group = self.groups.entry(key.clone()).or_default();
        group.record(now, node, silence);
        group.finding(now, longest_pass)
    }

    /// Records that a head has sent an event to a node, which ends the silence for all nodes.
    pub fn record_event(&mut self, key: &GroupKey) {
        self.groups.swap_remove(key);
    }

    fn prune(&mut self, now: Timestamp) {
        self.groups.retain(|_, group| {
            group
                .nodes
                .retain(|_, (at, _)| now.since(*at) <= REPORT_TTL);
            !group.nodes.is_empty()
        });
    }
}

impl GroupReports {
    fn record(&mut self, now: Timestamp, node: &NodeId, silence: HeadSilence) {
        let last_event_at = self.last_event_at();
        if last_event_at.is_some_and(|at| silence.last_event_at > at + LINK_MARGIN) {
            // The head has sent something since the other nodes reported its silence.
            self.nodes.clear();
            self.probes = 0;
        }
        self.nodes.insert(node.clone(), (now, silence));
    }

    fn last_event_at(&self) -> Option<Timestamp> {
        let reports = self.nodes.values();
        reports.map(|(_, silence)| silence.last_event_at).max()
    }

    fn finding(&mut self, now: Timestamp, longest_pass: Option<Duration>) -> SilenceFinding {
        let streams = self.nodes.values().map(|(_, silence)| silence.streams);
        let limit = silence_limit(streams.sum(), longest_pass);
        let silent_for = now.since(self.last_event_at().unwrap_or(now));
        let missing = limit.saturating_sub(silent_for).max(self.probe_delay(now));
        if missing.is_zero() {
            self.probed_at = Some(now);
            self.probes += 1;
            SilenceFinding::Probe
        } else {
            SilenceFinding::Wait(missing)
        }
    }

    /// Returns how long the next probe has to wait for the last one. A sound head that reads many prompts is silent
    /// for a second, and isn't probed more often the more nodes report it.
    fn probe_delay(&self, now: Timestamp) -> Duration {
        let backoff = self.probes.saturating_sub(1).min(MAX_PROBE_BACKOFF);
        let interval = StallLimits::default().probe_interval * (1 << backoff);
        let since = self.probed_at.map(|at| now.since(at));
        since.map_or(Duration::ZERO, |since| interval.saturating_sub(since))
    }
}

/// Returns how long a head with this many silent streams at all reporting nodes may be silent before its members are
/// probed: a pass and as much again for a single stream, but never longer than one node would wait by itself.
#[must_use]
pub fn silence_limit(streams: u32, longest_pass: Option<Duration>) -> Duration {
    let share = 1.0 + 1.0 / f64::from(streams.max(1));
    let alone = StallLimits::default().streaming.mul_f64(share);
    longest_pass.map_or(alone, |pass| (pass.mul_f64(share) + LINK_MARGIN).min(alone))
}
