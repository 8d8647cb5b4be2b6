//! The queue of one pool at one node.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, CustomerId, RequestClass, Timestamp, Tokens};

use super::drain::DrainRate;
use super::flow::{Flow, Place};
use super::request::{Offer, Refusal, RefusalReason, Request, Ticket};
use crate::settings::AdmissionSettings;

/// The waiting requests of one pool at one node.
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
    by_start: BTreeSet<Expiry>,
    size: Bytes,
    displaced: Vec<Refusal>,
    drain: DrainRate,
    largest: Option<Tokens>,
}

/// The flows of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    flows: IndexMap<CustomerId, Flow>,
    virtual_now: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    lane: usize,
    flow: usize,
    place: Place,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Expiry {
    start_by: Timestamp,
    ticket: Ticket,
}

/// What a class yields when it is asked for its next request.
enum Found {
    Request(Entry),
    /// A request has been passed over too often: room is kept for it.
    Reserved,
    Nothing,
}

impl Admission {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(cfg: AdmissionSettings) -> Self {
        Self {
            cfg,
            lanes: Default::default(),
            by_ticket: IndexMap::new(),
            by_start: BTreeSet::new(),
            size: Bytes(0),
            displaced: Vec::new(),
            drain: DrainRate::new(cfg.drain_window()),
            largest: None,
        }
    }

    /// Sets the largest request, by KV memory, that any endpoint of the pool could ever hold.
    ///
    /// Without it a request that fits nowhere would have room kept for it until its deadline.
    pub const fn set_largest(&mut self, largest: Tokens) {
        self.largest = Some(largest);
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns the KV memory that each waiting request would take.
    pub fn waiting_kv(&self) -> impl Iterator<Item = Tokens> {
        let flows = self.lanes.iter().flat_map(|lane| lane.flows.values());
        let waiting = flows.flat_map(|flow| flow.waiting.values());
        waiting.map(|waiting| waiting.request.kv)
    }

    /// Returns when [`Admission::expire`] next has something to return, unless more happens.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.by_start.first().map(|expiry| expiry.start_by)
    }

    /// Takes a new request; `fits` tells whether an endpoint has room for it right now.
    pub fn offer(
        &mut self,
        now: Timestamp,
        request: Request,
        fits: impl FnOnce(&Request) -> bool,
    ) -> Offer {
        self.drain.tick(now, !self.by_ticket.is_empty());
        if self.largest.is_some_and(|largest| request.kv > largest) {
            let refusal = self.refusal(request.ticket, RefusalReason::TooLarge);
            return Offer::Refuse(refusal);
        }
        let lane = lane_of(request.class);
        if self.nobody_before(lane) && fits(&request) {
            self.charge(lane, &request);
            return Offer::Run;
        }
        if let Some(reason) = self.reason_against(now, lane, &request) {
            return Offer::Refuse(self.refusal(request.ticket, reason));
        }
        self.insert(now, lane, request);
        Offer::Wait
    }

    /// Returns the request that goes next and for which `fits` holds.
    ///
    /// Call it whenever room may have appeared, until it returns nothing.
    pub fn next(
        &mut self,
        now: Timestamp,
        mut fits: impl FnMut(&Request) -> bool,
    ) -> Option<Request> {
        self.drain.tick(now, !self.by_ticket.is_empty());
        for lane in 0..self.lanes.len() {
            match self.find(now, lane, &mut fits) {
                Found::Request(entry) => return self.start(entry),
                Found::Reserved => return None,
                Found::Nothing => {}
            }
        }
        None
    }

    /// Returns the refusals of all requests that can't meet their deadline any more, and of those
    /// that made room for others.
    ///
    /// A request leaves with its final answer at the moment at which its turn would come too late;
    /// it isn't held until the deadline itself.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Refusal> {
        let mut refusals = std::mem::take(&mut self.displaced);
        while let Some(expiry) = self.by_start.first().copied() {
            if expiry.start_by >= now {
                break;
            }
            self.remove(expiry.ticket);
            refusals.push(self.refusal(expiry.ticket, RefusalReason::Deadline));
        }
        refusals
    }

    /// Takes out a request whose caller has gone; returns it if it waited.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Request> {
        self.remove(ticket)
    }

    fn nobody_before(&self, lane: usize) -> bool {
        let before = self.lanes.iter().take(lane + 1);
        before
            .flat_map(|lane| lane.flows.values())
            .all(|flow| flow.waiting.is_empty())
    }

    fn charge(&mut self, lane: usize, request: &Request) {
        let lane = &mut self.lanes[lane];
        let flow = flow_of(lane, request);
        let start = lane.flows[flow].charge(lane.virtual_now, request.cost);
        lane.virtual_now = lane.virtual_now.max(start);
    }

    fn reason_against(
        &mut self,
        now: Timestamp,
        lane: usize,
        request: &Request,
    ) -> Option<RefusalReason> {
        if request.start_by() < now {
            return Some(RefusalReason::Deadline);
        }
        let wait = self.drain.time_for(self.ahead_of(now, lane, request));
        if wait.is_some_and(|wait| now + wait > request.start_by()) {
            return Some(RefusalReason::Deadline);
        }
        (!self.make_room(lane, request)).then_some(RefusalReason::QueueFull)
    }

    /// Estimates the work that goes before a new request: all of the higher classes, its own
    /// customer's earlier work, and of each other customer as much as its weight earns meanwhile.
    fn ahead_of(&self, now: Timestamp, lane: usize, request: &Request) -> f64 {
        let higher = self.lanes.iter().take(lane);
        let higher_work: u64 = higher
            .flat_map(|lane| lane.flows.values())
            .map(|flow| flow.backlog.0)
            .sum();
        let lane = &self.lanes[lane];
        let place = self.place(now, request);
        let own = lane.flows.get(&request.customer);
        let own_work = own.map_or(0, |flow| flow.ahead_of(place).0) + request.cost.0;
        let weight = f64::from(request.weight.0.max(1));
        let behind = own.map_or(0.0, |flow| (flow.tag - lane.virtual_now).max(0.0));
        let finish = behind + own_work as f64 / weight;
        let others = lane
            .flows
            .iter()
            .filter(|(customer, flow)| **customer != request.customer && flow.backlog.0 > 0);
        let other_work: f64 = others
            .map(|(_, flow)| {
                let earned = (finish - (flow.tag - lane.virtual_now)).max(0.0) * flow.share();
                earned.min(flow.backlog.0 as f64)
            })
            .sum();
        higher_work as f64 + own_work as f64 + other_work
    }

    fn place(&self, now: Timestamp, request: &Request) -> Place {
        Place {
            due: now + request.length.mul_f64(self.cfg.stretch),
            ticket: request.ticket,
        }
    }

    fn is_full_with(&self, request: &Request) -> bool {
        self.by_ticket.len() >= self.cfg.max_waiting
            || self.size.0 + request.size.0 > self.cfg.max_waiting_bytes
    }

    /// Makes room in a full queue by displacing work of a lower class, or of a customer that has
    /// more waiting for its weight; without it a flood fills the queue and a small customer's
    /// first request is refused.
    fn make_room(&mut self, lane: usize, request: &Request) -> bool {
        while self.is_full_with(request) {
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
        let mine = &self.lanes[lane];
        let weight = f64::from(request.weight.0.max(1));
        let own_backlog = mine.flows.get(&request.customer).map_or(0, |f| f.backlog.0);
        let own = (own_backlog + request.cost.0) as f64 / weight;
        for index in (lane..self.lanes.len()).rev() {
            let flows = self.lanes[index].flows.values();
            let most = flows
                .filter(|flow| !flow.waiting.is_empty())
                .max_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
            let Some(most) = most else { continue };
            if index > lane || per_weight(most) > own {
                return most.waiting.keys().next_back().map(|place| place.ticket);
            }
        }
        None
    }

    fn insert(&mut self, now: Timestamp, lane: usize, request: Request) {
        let place = self.place(now, &request);
        let ticket = request.ticket;
        let expiry = Expiry {
            start_by: request.start_by(),
            ticket,
        };
        self.by_start.insert(expiry);
        self.size += request.size;
        let target = &mut self.lanes[lane];
        let flow = flow_of(target, &request);
        let virtual_now = target.virtual_now;
        let queue = &mut target.flows[flow];
        if queue.waiting.is_empty() {
            queue.tag = queue.tag.max(virtual_now);
        }
        queue.insert(place, request);
        self.by_ticket.insert(ticket, Entry { lane, flow, place });
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let entry = self.by_ticket.swap_remove(&ticket)?;
        let request = self.lanes[entry.lane].flows[entry.flow].remove(entry.place)?;
        let expiry = Expiry {
            start_by: request.start_by(),
            ticket,
        };
        self.by_start.remove(&expiry);
        self.size -= request.size;
        Some(request)
    }

    fn find(
        &mut self,
        now: Timestamp,
        lane: usize,
        fits: &mut impl FnMut(&Request) -> bool,
    ) -> Found {
        let flows = &mut self.lanes[lane].flows;
        let mut order: Vec<usize> = (0..flows.len())
            .filter(|flow| !flows[*flow].waiting.is_empty())
            .collect();
        order.sort_by(|a, b| flows[*a].tag.total_cmp(&flows[*b].tag));
        let mut passed = Vec::new();
        for flow in order {
            for (place, waiting) in flows[flow].waiting.iter().take(self.cfg.lookahead) {
                let entry = Entry {
                    lane,
                    flow,
                    place: *place,
                };
                if waiting.request.start_by() < now {
                    continue;
                }
                if fits(&waiting.request) {
                    bypass(flows, &passed);
                    return Found::Request(entry);
                }
                if waiting.bypasses >= self.cfg.max_bypasses {
                    return Found::Reserved;
                }
                passed.push(entry);
            }
        }
        Found::Nothing
    }

    fn start(&mut self, entry: Entry) -> Option<Request> {
        let request = self.remove(entry.place.ticket)?;
        self.charge(entry.lane, &request);
        self.drain.leave(request.cost);
        Some(request)
    }

    fn refusal(&self, ticket: Ticket, reason: RefusalReason) -> Refusal {
        let backlog: u64 = self
            .lanes
            .iter()
            .flat_map(|lane| lane.flows.values())
            .map(|flow| flow.backlog.0)
            .sum();
        let drained = self.drain.time_for(backlog as f64).unwrap_or_default();
        let low = self.cfg.min_retry_after();
        let high = self.cfg.max_retry_after();
        let base = drained.max(low).mul_f64(1.0 + ticket.jitter());
        Refusal {
            ticket,
            reason,
            retry_after: base.clamp(low, high),
        }
    }
}

fn lane_of(class: RequestClass) -> usize {
    usize::from(class.priority().0)
}

fn per_weight(flow: &Flow) -> f64 {
    flow.backlog.0 as f64 / flow.share()
}

fn flow_of(lane: &mut Lane, request: &Request) -> usize {
    if let Some(index) = lane.flows.get_index_of(&request.customer) {
        lane.flows[index].weight = request.weight;
        return index;
    }
    let flow = Flow::new(request.weight);
    lane.flows.insert_full(request.customer.clone(), flow).0
}

fn bypass(flows: &mut IndexMap<CustomerId, Flow>, passed: &[Entry]) {
    for entry in passed {
        if let Some(waiting) = flows[entry.flow].waiting.get_mut(&entry.place) {
            waiting.bypasses += 1;
        }
    }
}
