//! Which endpoint takes a request: what this node knows of each one's load and failures.
//!
//! It answers load that is uneven between endpoints, prompts that arrive together, and endpoints that
//! fail or stand still. Nodes tell each other what they have at the heads of groups; the sum is what a
//! head has, and of that what waits to be read decides most.
//!
//! Where most nodes can't be heard, and at endpoints outside of groups, what an endpoint said last,
//! corrected by what this node sent and saw end since, is the best guess. A node that followed reports
//! alone would send all that arrives between two reports to the same endpoint. A report says less the older
//! it is: with many nodes each hears from an endpoint every few seconds only, so an old report fades into
//! the mean of all.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use crate::loads::load::Load;
use crate::silence::SilenceLimits;

mod load;
#[cfg(test)]
mod tests;

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// An endpoint that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub id: &'a EndpointId,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it lies in this node's failure domain.
    pub is_local: bool,
}

/// Why no endpoint takes a request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Unavailable {
    /// There is none, or all that there are failed lately.
    #[display("no endpoint is there")]
    NoEndpoint,
    /// All have as much as they can do in time.
    #[display("all endpoints are full")]
    Full,
    /// The customer has its share of what the endpoints can do, and the rest is for the others.
    #[display("the customer has its share of the endpoints")]
    OverShare,
    /// No fabric domain has the engines for a group of the model.
    #[display("no fabric domain has the engines that a group of the model needs")]
    Unservable,
}

/// The endpoint chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its place among the candidates.
    pub index: usize,
    /// Its guessed load, in requests for each slot.
    pub load: f64,
}

/// Requests that may wait at an endpoint beyond its slots.
///
/// A group's slots become free one after the other all the time, so the first few that wait start well
/// within the time that callers are promised for a first event.
const MAX_WAITING: f64 = 3.0;

/// How much a crossing of failure domains counts, in requests for each slot; it pays for the bytes
/// between them only while loads are about equal.
const CROSSING: f64 = 0.08;

/// How far equal loads are spread, in requests for each slot; nodes with the same reports would all
/// choose the same endpoint otherwise.
const SPREAD: f64 = 0.06;

/// The first rest of an endpoint that failed; each further failure doubles it.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(250);

/// The longest rest of an endpoint that fails again and again.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Failures in a row after which an endpoint rests: one lost answer says little.
const FAILURES_BEFORE_EJECTION: u32 = 2;

/// How much a request that waits for its first event counts beside one that is being answered, in
/// requests for each slot.
///
/// An engine reads prompts one after the other, between the steps of the answers that it writes: a
/// prompt that waits costs the next one a whole pass, an answer that is written costs it next to nothing.
const WAITING_WEIGHT: f64 = 0.25;

/// What one node has at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NodeLoad {
    /// Its requests there.
    pub in_flight: u32,
    /// Those of them that wait for their first event.
    pub waiting: u32,
}

/// What a node knows of the load of all endpoints.
#[derive(Debug, Default)]
pub struct LoadBook {
    loads: IndexMap<EndpointId, Load>,
    /// The nodes that tell what they have at endpoints.
    reporting: IndexSet<NodeId>,
    /// How many other nodes there are.
    others: usize,
}

impl LoadBook {
    /// Chooses an endpoint; `rng` gives numbers from 0 to 1.
    ///
    /// # Errors
    ///
    /// Says why none can take the request in time.
    pub fn choose(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        mut rng: impl FnMut() -> f64,
    ) -> Result<Choice, Unavailable> {
        let mut best: Option<(f64, Choice)> = None;
        let mut refused = Unavailable::NoEndpoint;
        let mean_load = self.mean_load(now, candidates);
        if self.are_full_together(now, candidates) {
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
                refused = Unavailable::Full;
                continue;
            }
            let crossing = if candidate.is_local { 0.0 } else { CROSSING };
            let score = (requests + WAITING_WEIGHT * waiting * slots) / slots;
            let score = score + crossing + rng() * SPREAD;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let load = requests / slots;
                best = Some((score, Choice { index, load }));
            }
        }
        best.map(|(_, choice)| choice).ok_or(refused)
    }

    /// Returns whether the candidates together have as much as they can do in time, where a node can't know
    /// each one's load.
    ///
    /// A burst reaches all of them between two reports. Of several guesses that are too old, the least is
    /// the most wrong: nodes that send to whichever head seems to have room fill all of them far beyond
    /// what they can do, and every caller is served late. Heads that have said nothing lately, or are
    /// ejected, may be dark; counted as room, each would add its share to what the others get.
    fn are_full_together(&self, now: Timestamp, candidates: &[Candidate<'_>]) -> bool {
        if self.hears_most() || self.reporting.is_empty() {
            return false;
        }
        let scale = (self.others + 1) as f64 / (self.reporting.len() + 1) as f64;
        let mut requests = 0.0;
        let mut room = 0.0;
        for candidate in candidates {
            let load = self.loads.get(candidate.id);
            let Some(there) = load.and_then(|load| load.estimate_of_all(now, scale)) else {
                continue;
            };
            requests += there;
            // None may wait beyond the slots: heads differ by more than that where their loads are guessed.
            room += f64::from(candidate.slots.max(1));
        }
        room > 0.0 && requests >= room
    }

    /// Returns whether most other nodes say what they have at the heads of groups.
    fn hears_most(&self) -> bool {
        !self.reporting.is_empty() && self.reporting.len() * 2 >= self.others
    }

    /// Guesses the requests at an endpoint, and those that wait there for their first event.
    ///
    /// Where most other nodes say what they have there, that is counted; else the endpoint's report.
    fn estimated_load(&self, now: Timestamp, load: &Load, mean_load: f64) -> (f64, f64) {
        let others = load.others();
        let own_waiting = f64::from(load.silence.waiting());
        if !self.hears_most() {
            let waiting = own_waiting + f64::from(others.waiting);
            return (load.estimate(now, mean_load), waiting);
        }
        let untold = self.others.max(self.reporting.len()) as f64 / self.reporting.len() as f64;
        let requests = f64::from(load.in_flight) + f64::from(others.in_flight) * untold;
        let waiting = own_waiting + f64::from(others.waiting) * untold;
        (requests, waiting)
    }

    /// Notes how many other nodes there are, without those that are taken for gone.
    pub fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// Returns how many other nodes there are, without those that are taken for gone.
    #[must_use]
    pub const fn others(&self) -> usize {
        self.others
    }

    /// Notes what another node has at an endpoint.
    pub fn apply_peer_load(&mut self, node: &NodeId, id: &EndpointId, there: NodeLoad) {
        self.reporting.insert(node.clone());
        let load = self.load(id);
        if there == NodeLoad::default() {
            load.others.swap_remove(node);
        } else {
            load.others.insert(node.clone(), there);
        }
    }

    /// Notes that a node tells what it has, if only nothing.
    pub fn mark_reporting(&mut self, node: &NodeId) {
        self.reporting.insert(node.clone());
    }

    /// Returns whether a node tells what it has.
    #[must_use]
    pub fn is_reporting(&self, node: &NodeId) -> bool {
        self.reporting.contains(node)
    }

    /// Forgets what a node said that can't be heard any more.
    pub fn drop_peer(&mut self, node: &NodeId) {
        self.reporting.swap_remove(node);
        for load in self.loads.values_mut() {
            load.others.swap_remove(node);
        }
    }

    /// Returns the requests that other nodes said they have, at all endpoints together.
    #[must_use]
    pub fn peer_in_flight(&self) -> u32 {
        self.loads
            .values()
            .map(|load| load.others().in_flight)
            .sum()
    }

    /// Returns what this node has at each endpoint where it has anything.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, NodeLoad)> {
        let busy = self.loads.iter().filter(|(_, load)| load.in_flight > 0);
        busy.map(|(id, load)| {
            let there = NodeLoad {
                in_flight: load.in_flight,
                waiting: load.silence.waiting(),
            };
            (id, there)
        })
    }

    /// Returns the mean of what is known of the candidates' loads, in requests for each slot.
    ///
    /// One that was never heard of counts with what this node has there: a group that has just opened
    /// would otherwise look empty to all nodes at once and be filled by all of them.
    fn mean_load(&self, now: Timestamp, candidates: &[Candidate<'_>]) -> f64 {
        let known = candidates.iter().map(|candidate| {
            let load = self.loads.get(candidate.id);
            let requests = load.map_or(0.0, |load| load.decayed_report(now));
            requests / f64::from(candidate.slots.max(1))
        });
        known.sum::<f64>() / candidates.len().max(1) as f64
    }

    /// Notes a request that is sent.
    pub fn sent(&mut self, now: Timestamp, id: &EndpointId) {
        let load = self.load(id);
        load.in_flight += 1;
        load.since += 1;
        load.silence.sent(now);
    }

    /// Notes what an endpoint said of its load; it includes what this node has there.
    pub fn reported(&mut self, now: Timestamp, id: &EndpointId, report: LoadReport) {
        let load = self.load(id);
        load.apply_report(report, now);
        load.own_report = load.reported;
    }

    /// Notes what an endpoint said of its load to another node, which is newer than what it said here.
    pub fn apply_peer_report(&mut self, id: &EndpointId, report: LoadReport, at: Timestamp) {
        let load = self.load(id);
        if load.reported.is_none_or(|(_, known_at)| known_at < at) {
            load.apply_report(report, at);
        }
    }

    /// Returns what endpoints said of their load to this node, and when.
    pub fn own_reports(&self) -> impl Iterator<Item = (&EndpointId, LoadReport, Timestamp)> {
        let loads = self.loads.iter();
        loads.filter_map(|(id, load)| load.own_report.map(|(report, at)| (id, report, at)))
    }

    /// Notes the first sign of a request's answer.
    pub fn begun(&mut self, now: Timestamp, id: &EndpointId) {
        self.load(id).silence.begun(now);
    }

    /// Returns whether an endpoint has shown any sign of life since a time.
    #[must_use]
    pub fn is_heard_since(&self, at: Timestamp, id: &EndpointId) -> bool {
        let load = self.loads.get(id);
        load.is_some_and(|load| load.silence.heard_at() > at)
    }

    /// Notes any sign of life.
    pub fn heard(&mut self, now: Timestamp, id: &EndpointId) {
        self.load(id).silence.heard(now);
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, id: &EndpointId, begun: bool) {
        let load = self.load(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.since -= 1;
        load.silence.ended(begun);
    }

    /// Notes a sound answer.
    pub fn succeeded(&mut self, id: &EndpointId) {
        let load = self.load(id);
        load.failures = 0;
        load.ejected_until = Timestamp::ZERO;
    }

    /// Notes a failure; returns how long the endpoint rests, if it does.
    pub fn failed(&mut self, now: Timestamp, id: &EndpointId) -> Option<Duration> {
        let load = self.load(id);
        load.failures += 1;
        let over = load.failures.checked_sub(FAILURES_BEFORE_EJECTION)?;
        let time = BASE_EJECTION_TIME
            .saturating_mul(1 << over.min(10))
            .min(MAX_EJECTION_TIME);
        load.ejected_until = now + time;
        Some(time)
    }

    /// Takes an endpoint out for a time: it is known to stand still or to be another one.
    pub fn eject(&mut self, now: Timestamp, id: &EndpointId, time: Duration) {
        self.load(id).ejected_until = now + time;
    }

    /// Returns the endpoints whose silence calls for asking their group's members.
    pub fn silent(&mut self, now: Timestamp, limits: SilenceLimits) -> Vec<EndpointId> {
        let silent = self.loads.iter_mut();
        silent
            .filter_map(|(id, load)| load.silence.ask(now, limits).then(|| id.clone()))
            .collect()
    }

    /// Forgets endpoints that are gone and have nothing of this node's any more.
    pub fn forget(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.loads
            .retain(|id, load| load.in_flight > 0 || !load.others.is_empty() || is_known(id));
    }

    fn load(&mut self, id: &EndpointId) -> &mut Load {
        if !self.loads.contains_key(id) {
            self.loads.insert(id.clone(), Load::default());
        }
        &mut self.loads[id]
    }
}
