//! Endpoint selection by load and recent failures.
//!
//! A node combines its own requests with the loads that other nodes report at each group head. Requests
//! that still wait for their first event weigh most, because prompts are read one after the other.
//!
//! If fewer than half of the other nodes report their loads, and for endpoints outside of groups, the load
//! is estimated from the endpoint's last report, corrected by the requests that this node sent and saw end
//! since. A node that used the reports alone would send everything that arrives between two reports to the
//! same endpoint. With many nodes, each receives a report from an endpoint only every few seconds, so an
//! old report decays towards the mean load of all endpoints.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use crate::loads::load::Load;
use crate::stall_detector::StallLimits;

mod load;
#[cfg(test)]
mod tests;

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests in the endpoint's queue.
    pub waiting: u32,
    /// The number of requests that it can process concurrently.
    pub slots: u32,
}

/// An endpoint to choose from.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The endpoint's ID.
    pub id: &'a EndpointId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is in this node's failure domain.
    pub is_local: bool,
}

/// The reason why no endpoint can take a request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Unavailable {
    /// There is no endpoint, or all of them are ejected.
    #[display("no endpoint is there")]
    NoEndpoint,
    /// All endpoints are at the load that they can serve in time.
    #[display("all endpoints are full")]
    Full,
    /// All endpoints want no requests from this node for a while.
    #[display("all endpoints have asked for a pause")]
    BackingOff,
    /// The endpoints that have room limit the requests of all nodes together, and the limits are used up.
    #[display("the endpoints that have room are limited")]
    Limited,
    /// The customer has used its fair share of the endpoints; the remaining capacity is reserved for
    /// others.
    #[display("the customer has its share of the endpoints")]
    OverShare,
    /// No fabric domain has enough engines for a group of the model.
    #[display("no fabric domain has the engines that a group of the model needs")]
    Unservable,
}

/// The selected endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its index in the list of candidates.
    pub index: usize,
    /// Its estimated load, in requests per slot.
    pub load: f64,
}

/// The number of requests that may wait at an endpoint beyond its slots.
///
/// A group frees its slots continuously, one after the other, so the first few waiting requests still start
/// within the promised time to the first event.
const MAX_WAITING: f64 = 3.0;

/// The penalty for leaving the failure domain, in requests per slot. The cost of the traffic between
/// failure domains outweighs only small differences in load.
const CROSS_DOMAIN_PENALTY: f64 = 0.08;

/// The largest random addition to a score, in requests per slot. Without it, all nodes with the same
/// reports would choose the same endpoint.
const MAX_JITTER: f64 = 0.06;

/// The duration of an endpoint's first ejection; each further failure doubles it.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(250);

/// The longest ejection of an endpoint that keeps failing.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// The number of consecutive failures that ejects an endpoint. A single lost response is not evidence enough.
const FAILURES_BEFORE_EJECTION: u32 = 2;

/// The additional weight of a request that waits for its first event, in requests per slot.
///
/// An engine reads prompts one after the other, between the decoding steps of running answers. Each waiting
/// prompt delays the next one by a whole pass, whereas a running answer hardly delays it.
const WAITING_WEIGHT: f64 = 0.25;

/// The load that one node has on an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NodeLoad {
    /// The node's requests in flight at the endpoint.
    pub in_flight: u32,
    /// Those of them that still wait for their first event.
    pub waiting: u32,
}

/// The loads of all endpoints as known to this node.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: IndexMap<EndpointId, Load>,
    /// The nodes that report their loads to this node.
    reporting_nodes: IndexSet<NodeId>,
    /// The number of other live nodes.
    other_nodes: usize,
}

impl LoadTracker {
    /// Chooses an endpoint. `rng` returns random numbers between 0 and 1.
    ///
    /// # Errors
    ///
    /// Returns the reason if no endpoint can serve the request in time.
    pub fn choose(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        mut rng: impl FnMut() -> f64,
    ) -> Result<Choice, Unavailable> {
        let mut best: Option<(f64, Choice)> = None;
        let mut unavailable = Unavailable::NoEndpoint;
        let mean_load = self.mean_load(now, candidates);
        if self.are_full_in_total(now, candidates) {
            return Err(Unavailable::Full);
        }
        for (index, candidate) in candidates.iter().enumerate() {
            let load = self.loads.get(candidate.id);
            if load.is_some_and(|load| load.ejected_until > now) {
                continue;
            }
            let slots = f64::from(candidate.slots.max(1));
            let mean_load = mean_load * slots;
            let (requests, waiting) = match load {
                Some(load) => self.estimated_load(now, load, mean_load),
                None => (mean_load, 0.0),
            };
            if requests >= slots + MAX_WAITING {
                unavailable = Unavailable::Full;
                continue;
            }
            let penalty = if candidate.is_local {
                0.0
            } else {
                CROSS_DOMAIN_PENALTY
            };
            let score = (requests + WAITING_WEIGHT * waiting * slots) / slots;
            let score = score + penalty + rng() * MAX_JITTER;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                let load = requests / slots;
                best = Some((score, Choice { index, load }));
            }
        }
        best.map(|(_, choice)| choice).ok_or(unavailable)
    }

    /// Returns whether the candidates are full in total, for nodes that don't know the load of each one.
    ///
    /// A burst can reach all endpoints between two reports. If each node sent to the endpoint with the
    /// lowest outdated estimate, which is also the least accurate one, the nodes would overload all heads
    /// and every request would be served late. Heads without a recent report and ejected heads may be
    /// unreachable, so they don't count as capacity; their share of the load would go to the remaining
    /// heads.
    fn are_full_in_total(&self, now: Timestamp, candidates: &[Candidate<'_>]) -> bool {
        if self.has_most_peer_loads() || self.reporting_nodes.is_empty() {
            return false;
        }
        let scale = (self.other_nodes + 1) as f64 / (self.reporting_nodes.len() + 1) as f64;
        let mut requests = 0.0;
        let mut capacity = 0.0;
        for candidate in candidates {
            let load = self.loads.get(candidate.id);
            let Some(estimate) = load.and_then(|load| load.estimate_for_all_nodes(now, scale))
            else {
                continue;
            };
            requests += estimate;
            // No queue beyond the slots is allowed here: the error of the estimates is larger than that.
            capacity += f64::from(candidate.slots.max(1));
        }
        capacity > 0.0 && requests >= capacity
    }

    /// Returns whether at least half of the other nodes report their loads at the group heads.
    fn has_most_peer_loads(&self) -> bool {
        !self.reporting_nodes.is_empty() && self.reporting_nodes.len() * 2 >= self.other_nodes
    }

    /// Estimates the requests at an endpoint, and how many of them wait for their first event.
    ///
    /// Uses the loads that other nodes report if at least half of them do so, and the endpoint's own report
    /// otherwise.
    fn estimated_load(&self, now: Timestamp, load: &Load, mean_load: f64) -> (f64, f64) {
        let peers = load.peer_total();
        let own_waiting = f64::from(load.stall_detector.waiting());
        if !self.has_most_peer_loads() {
            let waiting = own_waiting + f64::from(peers.waiting);
            return (load.estimate(now, mean_load), waiting);
        }
        let extrapolation = self.other_nodes.max(self.reporting_nodes.len()) as f64
            / self.reporting_nodes.len() as f64;
        let requests = f64::from(load.in_flight) + f64::from(peers.in_flight) * extrapolation;
        let waiting = own_waiting + f64::from(peers.waiting) * extrapolation;
        (requests, waiting)
    }

    /// Returns whether nothing is sent to an endpoint for some time, because it failed.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp, id: &EndpointId) -> bool {
        let load = self.loads.get(id);
        load.is_some_and(|load| load.ejected_until > now)
    }

    /// Sets the number of other nodes, not counting those that are considered gone.
    pub fn set_other_nodes(&mut self, other_nodes: usize) {
        self.other_nodes = other_nodes;
    }

    /// Returns the number of other nodes, not counting those that are considered gone.
    #[must_use]
    pub const fn other_nodes(&self) -> usize {
        self.other_nodes
    }

    /// Records the load that another node has on an endpoint.
    pub fn apply_peer_load(&mut self, node: &NodeId, id: &EndpointId, node_load: NodeLoad) {
        self.reporting_nodes.insert(node.clone());
        let load = self.load(id);
        if node_load == NodeLoad::default() {
            load.peer_loads.swap_remove(node);
        } else {
            load.peer_loads.insert(node.clone(), node_load);
        }
    }

    /// Records that a node reports its loads, even if it has no requests.
    pub fn mark_reporting(&mut self, node: &NodeId) {
        self.reporting_nodes.insert(node.clone());
    }

    /// Returns whether a node reports its loads.
    #[must_use]
    pub fn is_reporting(&self, node: &NodeId) -> bool {
        self.reporting_nodes.contains(node)
    }

    /// Returns the number of nodes that report their loads.
    #[must_use]
    pub fn reporting_nodes(&self) -> usize {
        self.reporting_nodes.len()
    }

    /// Removes the loads reported by a node that is no longer reachable.
    pub fn drop_peer(&mut self, node: &NodeId) {
        self.reporting_nodes.swap_remove(node);
        for load in self.loads.values_mut() {
            load.peer_loads.swap_remove(node);
        }
    }

    /// Returns the total of requests in flight that other nodes report, over all endpoints.
    #[must_use]
    pub fn peer_in_flight(&self) -> u32 {
        self.loads
            .values()
            .map(|load| load.peer_total().in_flight)
            .sum()
    }

    /// Returns this node's load on each endpoint where it has requests in flight.
    pub fn own_loads(&self) -> impl Iterator<Item = (&EndpointId, NodeLoad)> {
        let busy = self.loads.iter().filter(|(_, load)| load.in_flight > 0);
        busy.map(|(id, load)| {
            let node_load = NodeLoad {
                in_flight: load.in_flight,
                waiting: load.stall_detector.waiting(),
            };
            (id, node_load)
        })
    }

    /// Returns the mean of the candidates' known loads, in requests per slot.
    ///
    /// An endpoint that has never reported counts with this node's own requests there. Otherwise a group
    /// that has just opened would look empty to all nodes at once and be overloaded by them.
    fn mean_load(&self, now: Timestamp, candidates: &[Candidate<'_>]) -> f64 {
        let known = candidates.iter().map(|candidate| {
            let load = self.loads.get(candidate.id);
            let requests = load.map_or(0.0, |load| load.decayed_report(now));
            requests / f64::from(candidate.slots.max(1))
        });
        known.sum::<f64>() / candidates.len().max(1) as f64
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Timestamp, id: &EndpointId) {
        let load = self.load(id);
        load.in_flight += 1;
        load.net_sent += 1;
        load.stall_detector.record_sent(now);
    }

    /// Records a load report that this node received from an endpoint. It includes this node's own
    /// requests.
    pub fn record_report(&mut self, now: Timestamp, id: &EndpointId, report: LoadReport) {
        let load = self.load(id);
        load.apply_report(report, now);
        load.own_report = load.reported;
    }

    /// Records a load report that another node received from an endpoint, if it is newer than the known
    /// one.
    pub fn apply_peer_report(&mut self, id: &EndpointId, report: LoadReport, at: Timestamp) {
        let load = self.load(id);
        if load.reported.is_none_or(|(_, known_at)| known_at < at) {
            load.apply_report(report, at);
        }
    }

    /// Returns the load reports that this node received itself, with the time of each.
    pub fn own_reports(&self) -> impl Iterator<Item = (&EndpointId, LoadReport, Timestamp)> {
        let loads = self.loads.iter();
        loads.filter_map(|(id, load)| load.own_report.map(|(report, at)| (id, report, at)))
    }

    /// Records the first event of a request's response.
    pub fn record_first_event(&mut self, now: Timestamp, id: &EndpointId) {
        self.load(id).stall_detector.record_first_event(now);
    }

    /// Returns whether any event arrived from an endpoint since a time.
    #[must_use]
    pub fn has_event_since(&self, at: Timestamp, id: &EndpointId) -> bool {
        let load = self.loads.get(id);
        load.is_some_and(|load| load.stall_detector.last_event_at() > at)
    }

    /// Records that an event arrived from an endpoint.
    pub fn record_event(&mut self, now: Timestamp, id: &EndpointId) {
        self.load(id).stall_detector.record_event(now);
    }

    /// Records the end of a request; `has_started` is whether its first event had arrived.
    pub fn record_end(&mut self, id: &EndpointId, has_started: bool) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.net_sent -= 1;
        load.stall_detector.record_end(has_started);
    }

    /// Records a successful response, which ends an ejection.
    pub fn record_success(&mut self, id: &EndpointId) {
        let load = self.load(id);
        load.failures = 0;
        load.ejected_until = Timestamp::ZERO;
        load.has_answered = true;
    }

    /// Returns whether an endpoint has ever answered a request of this node. An entry of the registry alone doesn't show
    /// that there is one.
    #[must_use]
    pub fn has_answered(&self, id: &EndpointId) -> bool {
        self.loads.get(id).is_some_and(|load| load.has_answered)
    }

    /// Records a failure. Returns the ejection time if the endpoint is ejected.
    pub fn record_failure(&mut self, now: Timestamp, id: &EndpointId) -> Option<Duration> {
        let load = self.load(id);
        load.failures += 1;
        let excess_failures = load.failures.checked_sub(FAILURES_BEFORE_EJECTION)?;
        let time = BASE_EJECTION_TIME
            .saturating_mul(1 << excess_failures.min(10))
            .min(MAX_EJECTION_TIME);
        load.ejected_until = now + time;
        Some(time)
    }

    /// Ejects an endpoint for `time`, because it is known to be stalled or to be a different endpoint.
    pub fn eject(&mut self, now: Timestamp, id: &EndpointId, time: Duration) {
        self.load(id).ejected_until = now + time;
    }

    /// Returns the endpoints whose group members are due to be probed because no events arrive, and
    /// records the probes as started.
    pub fn start_due_probes(&mut self, now: Timestamp, limits: StallLimits) -> Vec<EndpointId> {
        let loads = self.loads.iter_mut();
        loads
            .filter_map(|(id, load)| {
                load.stall_detector
                    .start_due_probe(now, limits)
                    .then(|| id.clone())
            })
            .collect()
    }

    /// Removes unknown endpoints without requests of this node or reported loads of other nodes.
    pub fn prune(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || !load.peer_loads.is_empty() || is_known(id));
    }

    fn load(&mut self, id: &EndpointId) -> &mut Load {
        if !self.loads.contains_key(id) {
            self.loads.insert(id.clone(), Load::default());
        }
        &mut self.loads[id]
    }
}
