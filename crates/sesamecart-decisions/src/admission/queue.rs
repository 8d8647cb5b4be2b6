//! The admission queue of one pool at one node.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, CustomerId, RequestClass, Timestamp, Tokens};

use super::drain::DrainRate;
use super::flow::{Flow, QueueKey};
use super::request::{AdmissionDecision, Refusal, RefusalReason, Request, Ticket};
use crate::settings::AdmissionSettings;

/// The admission queue of one pool at one node.
///
/// # Examples
///
/// ```
/// use sesamecart_decisions::admission::Admission;
/// use sesamecart_decisions::settings::AdmissionSettings;
/// use sesamecart_vocabulary::Timestamp;
///
/// let mut admission = Admission::new(AdmissionSettings::default());
/// assert!(admission.next(Timestamp::ZERO, |_| true).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionSettings,
    lanes: [Lane; RequestClass::ALL.len()],
    by_ticket: IndexMap<Ticket, Entry>,
    expiries: BTreeSet<Expiry>,
    size: Bytes,
    displaced: Vec<Refusal>,
    drain_rate: DrainRate,
    max_request_kv: Option<Tokens>,
}

/// The flows of one request class.
#[derive(Clone, Debug, Default)]
struct Lane {
    flows: IndexMap<CustomerId, Flow>,
    virtual_now: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    lane: usize,
    flow: usize,
    key: QueueKey,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Expiry {
    latest_start: Timestamp,
    ticket: Ticket,
}

/// The result of looking for the next request of a class.
enum Selection {
    Request(Entry),
    /// A request was bypassed too often, so capacity is reserved for it.
    Reserved,
    Nothing,
}

impl Admission {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            cfg,
            lanes: Default::default(),
            by_ticket: IndexMap::new(),
            expiries: BTreeSet::new(),
            size: Bytes(0),
            displaced: Vec::new(),
            drain_rate: DrainRate::new(cfg.drain_window()),
            max_request_kv: None,
        }
    }

    /// Sets the KV memory of the largest request that any endpoint of the pool can hold when idle.
    ///
    /// Without this limit, capacity would be reserved until its deadline for a request that can
    /// never fit.
    pub const fn set_max_request_kv(&mut self, max_request_kv: Tokens) {
        self.max_request_kv = Some(max_request_kv);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns the KV memory that each waiting request needs.
    pub fn waiting_kv(&self) -> impl Iterator<Item = Tokens> {
        let flows = self.lanes.iter().flat_map(|lane| lane.flows.values());
        let waiting = flows.flat_map(|flow| flow.waiting.values());
        waiting.map(|waiting| waiting.request.kv)
    }

    /// Returns the latest start time of the request that expires next in [`Admission::expire`].
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiries.first().map(|expiry| expiry.latest_start)
    }

    /// Decides about a new request; `fits` returns whether it can start at an endpoint now.
    pub fn offer(
        &mut self,
        now: Timestamp,
        request: Request,
        fits: impl FnOnce(&Request) -> bool,
    ) -> AdmissionDecision {
        self.drain_rate.update(now, !self.by_ticket.is_empty());
        if self.max_request_kv.is_some_and(|max| request.kv > max) {
            let refusal = self.refusal(request.ticket, RefusalReason::TooLarge);
            return AdmissionDecision::Refuse(refusal);
        }
        let lane = lane_index(request.class);
        if self.is_idle_up_to(lane) && fits(&request) {
            self.charge(lane, &request);
            return AdmissionDecision::Run;
        }
        if let Some(reason) = self.refusal_reason(now, lane, &request) {
            return AdmissionDecision::Refuse(self.refusal(request.ticket, reason));
        }
        self.insert(now, lane, request);
        AdmissionDecision::Wait
    }

    /// Removes and returns the next request for which `fits` returns true.
    ///
    /// Call this whenever permits may have become free, until it returns `None`.
    pub fn next(
        &mut self,
        now: Timestamp,
        mut fits: impl FnMut(&Request) -> bool,
    ) -> Option<Request> {
        self.drain_rate.update(now, !self.by_ticket.is_empty());
        for lane in 0..self.lanes.len() {
            match self.select(now, lane, &mut fits) {
                Selection::Request(entry) => return self.start(entry),
                Selection::Reserved => return None,
                Selection::Nothing => {}
            }
        }
        None
    }

    /// Returns the refusals of all requests that can no longer meet their deadline, and of those
    /// that were displaced.
    ///
    /// A request is refused as soon as it can't start in time, rather than at its deadline.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Refusal> {
        let mut refusals = std::mem::take(&mut self.displaced);
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.latest_start >= now {
                break;
            }
            self.remove(expiry.ticket);
            refusals.push(self.refusal(expiry.ticket, RefusalReason::Deadline));
        }
        refusals
    }

    /// Removes a request whose caller has disconnected; returns it if it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Request> {
        self.remove(ticket)
    }

    fn is_idle_up_to(&self, lane: usize) -> bool {
        let lanes = self.lanes.iter().take(lane + 1);
        lanes
            .flat_map(|lane| lane.flows.values())
            .all(|flow| flow.waiting.is_empty())
    }

    fn charge(&mut self, lane: usize, request: &Request) {
        let lane = &mut self.lanes[lane];
        let flow = flow_index(lane, request);
        let start = lane.flows[flow].charge(lane.virtual_now, request.cost);
        lane.virtual_now = lane.virtual_now.max(start);
    }

    fn refusal_reason(
        &mut self,
        now: Timestamp,
        lane: usize,
        request: &Request,
    ) -> Option<RefusalReason> {
        if request.latest_start() < now {
            return Some(RefusalReason::Deadline);
        }
        let time_to_start = self
            .drain_rate
            .time_to_drain(self.cost_ahead(now, lane, request));
        if time_to_start.is_some_and(|time_to_start| now + time_to_start > request.latest_start()) {
            return Some(RefusalReason::Deadline);
        }
        (!self.make_room(lane, request)).then_some(RefusalReason::QueueFull)
    }

    /// Estimates the cost in tokens that drains until a new request starts: its own cost, the backlog
    /// of all higher classes, its customer's requests ordered before it, and for each other customer
    /// the part of the backlog that fair queueing serves meanwhile.
    fn cost_ahead(&self, now: Timestamp, lane: usize, request: &Request) -> f64 {
        let higher = self.lanes.iter().take(lane);
        let higher_cost: u64 = higher
            .flat_map(|lane| lane.flows.values())
            .map(|flow| flow.backlog.0)
            .sum();
        let lane = &self.lanes[lane];
        let key = self.queue_key(now, request);
        let own = lane.flows.get(&request.customer);
        let own_cost = own.map_or(0, |flow| flow.cost_before(key).0) + request.cost.0;
        let weight = f64::from(request.weight.0.max(1));
        let debt = own.map_or(0.0, |flow| (flow.tag - lane.virtual_now).max(0.0));
        let virtual_finish = debt + own_cost as f64 / weight;
        let others = lane
            .flows
            .iter()
            .filter(|(customer, flow)| **customer != request.customer && flow.backlog.0 > 0);
        let other_cost: f64 = others
            .map(|(_, flow)| {
                let served =
                    (virtual_finish - (flow.tag - lane.virtual_now)).max(0.0) * flow.divisor();
                served.min(flow.backlog.0 as f64)
            })
            .sum();
        higher_cost as f64 + own_cost as f64 + other_cost
    }

    fn queue_key(&self, now: Timestamp, request: &Request) -> QueueKey {
        QueueKey {
            effective_arrival: now + request.expected_duration.mul_f64(self.cfg.stretch),
            ticket: request.ticket,
        }
    }

    fn would_overflow(&self, request: &Request) -> bool {
        self.by_ticket.len() >= self.cfg.max_waiting
            || self.size.0 + request.size.0 > self.cfg.max_waiting_bytes
    }

    /// Makes room in a full queue by displacing requests of a lower class, or of a customer with a
    /// larger backlog relative to its weight. Otherwise, when one customer floods the queue, a small
    /// customer's first request would be refused.
    fn make_room(&mut self, lane: usize, request: &Request) -> bool {
        while self.would_overflow(request) {
            let Some(victim) = self.victim(lane, request) else {
                return false;
            };
            self.remove(victim);
            let refusal = self.refusal(victim, RefusalReason::Displaced);
            self.displaced.push(refusal);
        }
        true
    }

    fn victim(&self, lane: usize, request: &Request) -> Option<Ticket> {
        let own_lane = &self.lanes[lane];
        let weight = f64::from(request.weight.0.max(1));
        let own_backlog = own_lane
            .flows
            .get(&request.customer)
            .map_or(0, |f| f.backlog.0);
        let own = (own_backlog + request.cost.0) as f64 / weight;
        for index in (lane..self.lanes.len()).rev() {
            let flows = self.lanes[index].flows.values();
            let largest = flows
                .filter(|flow| !flow.waiting.is_empty())
                .max_by(|a, b| backlog_per_weight(a).total_cmp(&backlog_per_weight(b)));
            let Some(largest) = largest else { continue };
            if index > lane || backlog_per_weight(largest) > own {
                return largest.waiting.keys().next_back().map(|key| key.ticket);
            }
        }
        None
    }

    fn insert(&mut self, now: Timestamp, lane: usize, request: Request) {
        let key = self.queue_key(now, &request);
        let ticket = request.ticket;
        let expiry = Expiry {
            latest_start: request.latest_start(),
            ticket,
        };
        self.expiries.insert(expiry);
        self.size += request.size;
        let target = &mut self.lanes[lane];
        let flow = flow_index(target, &request);
        let virtual_now = target.virtual_now;
        let queue = &mut target.flows[flow];
        if queue.waiting.is_empty() {
            queue.tag = queue.tag.max(virtual_now);
        }
        queue.insert(key, request);
        self.by_ticket.insert(ticket, Entry { lane, flow, key });
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let entry = self.by_ticket.swap_remove(&ticket)?;
        let request = self.lanes[entry.lane].flows[entry.flow].remove(entry.key)?;
        let expiry = Expiry {
            latest_start: request.latest_start(),
            ticket,
        };
        self.expiries.remove(&expiry);
        self.size -= request.size;
        Some(request)
    }

    fn select(
        &mut self,
        now: Timestamp,
        lane: usize,
        fits: &mut impl FnMut(&Request) -> bool,
    ) -> Selection {
        let flows = &mut self.lanes[lane].flows;
        let mut order: Vec<usize> = (0..flows.len())
            .filter(|flow| !flows[*flow].waiting.is_empty())
            .collect();
        order.sort_by(|a, b| flows[*a].tag.total_cmp(&flows[*b].tag));
        let mut bypassed = Vec::new();
        for flow in order {
            for (key, waiting) in flows[flow].waiting.iter().take(self.cfg.lookahead) {
                let entry = Entry {
                    lane,
                    flow,
                    key: *key,
                };
                if waiting.request.latest_start() < now {
                    continue;
                }
                if fits(&waiting.request) {
                    count_bypasses(flows, &bypassed);
                    return Selection::Request(entry);
                }
                if waiting.bypasses >= self.cfg.max_bypasses {
                    return Selection::Reserved;
                }
                bypassed.push(entry);
            }
        }
        Selection::Nothing
    }

    fn start(&mut self, entry: Entry) -> Option<Request> {
        let request = self.remove(entry.key.ticket)?;
        self.charge(entry.lane, &request);
        self.drain_rate.record_start(request.cost);
        Some(request)
    }

    fn refusal(&self, ticket: Ticket, reason: RefusalReason) -> Refusal {
        let backlog: u64 = self
            .lanes
            .iter()
            .flat_map(|lane| lane.flows.values())
            .map(|flow| flow.backlog.0)
            .sum();
        let drained = self
            .drain_rate
            .time_to_drain(backlog as f64)
            .unwrap_or_default();
        let min = self.cfg.min_retry_after();
        let max = self.cfg.max_retry_after();
        let base = drained.max(min).mul_f64(1.0 + ticket.jitter());
        Refusal {
            ticket,
            reason,
            retry_after: base.clamp(min, max),
        }
    }
}

fn lane_index(class: RequestClass) -> usize {
    usize::from(class.priority().0)
}

fn backlog_per_weight(flow: &Flow) -> f64 {
    flow.backlog.0 as f64 / flow.divisor()
}

fn flow_index(lane: &mut Lane, request: &Request) -> usize {
    if let Some(index) = lane.flows.get_index_of(&request.customer) {
        lane.flows[index].weight = request.weight;
        return index;
    }
    let flow = Flow::new(request.weight);
    lane.flows.insert_full(request.customer.clone(), flow).0
}

fn count_bypasses(flows: &mut IndexMap<CustomerId, Flow>, bypassed: &[Entry]) {
    for entry in bypassed {
        if let Some(waiting) = flows[entry.flow].waiting.get_mut(&entry.key) {
            waiting.bypasses += 1;
        }
    }
}
