//! Choices by dispatchers, with the messages between them and the nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{
    AttemptEnd, DispatchDecision, DispatchRequest, Dispatcher, HeldRequest, PoolHead, RefusalCause,
    Ticket, TicketKey, TokenCounts,
};
use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, Timestamp, stable_hash};

use super::decider::{Traffic, Verdict};
use super::shape::Shape;
use super::{Arrival, HOP, RequestId};

/// The largest number of heads of one dispatcher.
const MAX_PART_HEADS: usize = 32;

/// How long a node gathers what it reports.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// How often a node reports at least.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// When the dispatchers are replaced.
const REPLACED_AT: Timestamp = Timestamp::from_millis(3_000);

/// How long the new dispatchers hear nothing of the attempts that the old ones assigned.
const SILENT_TIME: Duration = Duration::from_millis(500);

/// The time until a request's deadline when it arrives.
const DEADLINE: Duration = Duration::from_secs(6);

/// The number of parts that a request asks.
const MAX_ASKED: usize = 2;

/// The encoded size of a question, with its answer.
const ASK_BYTES: f64 = 300.0;

/// The encoded size of a report without what it tells of attempts.
const REPORT_BYTES: f64 = 60.0;

/// The encoded size of what a report tells of one attempt.
const CHANGE_BYTES: f64 = 40.0;

/// Which dispatchers there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dispatchers {
    One,
    /// Each is asked by half of the nodes, and hears only those.
    Two,
    /// The second one replaces the first one.
    Replaced,
}

/// A request on its way through the dispatchers.
#[derive(Debug)]
struct Asked {
    arrival: Arrival,
    parts: Vec<usize>,
    sent: Option<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    head: usize,
    at: Timestamp,
    started_after: Option<Duration>,
}

#[derive(Debug)]
enum Message {
    Ask(RequestId),
    Answer(RequestId, Verdict),
    AskNext(RequestId),
    Flush(usize, usize),
    Report(Report),
    Heartbeat(usize),
    ReportAll(usize),
}

/// What a node tells a dispatcher of its attempts.
#[derive(Debug)]
struct Report {
    node: usize,
    part: usize,
    held: Vec<HeldRequest>,
    ended: Vec<TicketKey>,
    is_complete: bool,
}

#[derive(Debug)]
struct Served {
    dispatcher: Dispatcher,
    poll_at: Option<Timestamp>,
}

/// What a node hasn't reported yet.
#[derive(Debug, Default)]
struct Unreported {
    held: Vec<RequestId>,
    ended: Vec<TicketKey>,
}

/// All dispatchers, and the nodes that ask them.
#[derive(Debug)]
pub struct Dispatched {
    kind: Dispatchers,
    shape: Shape,
    report_delay: Duration,
    heads: Vec<EndpointId>,
    names: Vec<NodeId>,
    domains: Vec<FailureDomainId>,
    /// The part of each head.
    part_of: Vec<usize>,
    parts: usize,
    served: IndexMap<(usize, usize), Served>,
    requests: IndexMap<RequestId, Asked>,
    unreported: IndexMap<(usize, usize), Unreported>,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    traffic: Traffic,
    rng: fastrand::Rng,
}

impl Dispatched {
    /// `report_delay` is the additional time that reports take.
    pub fn new(kind: Dispatchers, shape: &Shape, report_delay: Duration, seed: u64) -> Self {
        let heads: Vec<EndpointId> = (0..shape.heads)
            .map(|head| format!("head-{head}").parse().expect("a valid name"))
            .collect();
        let parts = shape.heads.div_ceil(MAX_PART_HEADS);
        let part_of = heads
            .iter()
            .map(|id| (stable_hash(id.as_str()) % parts as u64) as usize);
        let mut dispatched = Self {
            kind,
            shape: *shape,
            report_delay,
            part_of: part_of.collect(),
            heads,
            names: (0..shape.nodes)
                .map(|node| format!("node-{node}").parse().expect("a valid name"))
                .collect(),
            domains: ["a", "b", "c"]
                .iter()
                .map(|name| name.parse().expect("a valid name"))
                .collect(),
            parts,
            served: IndexMap::new(),
            requests: IndexMap::new(),
            unreported: IndexMap::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            traffic: Traffic::default(),
            rng: fastrand::Rng::with_seed(seed),
        };
        dispatched.start();
        dispatched
    }

    fn start(&mut self) {
        for part in 0..self.parts {
            for replica in 0..2 {
                let mut dispatcher = Dispatcher::new(self.shape.spec);
                dispatcher.set_heads(Timestamp::ZERO, self.part_heads(part));
                let served = Served {
                    dispatcher,
                    poll_at: None,
                };
                self.served.insert((part, replica), served);
            }
        }
        for node in 0..self.shape.nodes {
            let offset = REPORT_INTERVAL.mul_f64(self.rng.f64());
            self.post(Timestamp::ZERO + offset, Message::Heartbeat(node));
            if self.kind == Dispatchers::Replaced {
                self.post(REPLACED_AT + SILENT_TIME, Message::ReportAll(node));
            }
        }
    }

    fn part_heads(&self, part: usize) -> Vec<PoolHead> {
        let heads = (0..self.shape.heads).filter(|head| self.part_of[*head] == part);
        heads
            .map(|head| PoolHead {
                id: self.heads[head].clone(),
                failure_domain: self.domain(head),
                slots: self.shape.slots,
                cold_per_s: None,
            })
            .collect()
    }

    fn domain(&self, index: usize) -> FailureDomainId {
        self.domains[index % self.domains.len()].clone()
    }

    fn post(&mut self, at: Timestamp, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }

    /// Returns the dispatcher that a node asks.
    fn replica(&self, now: Timestamp, node: usize) -> usize {
        match self.kind {
            Dispatchers::One => 0,
            Dispatchers::Two => node % 2,
            Dispatchers::Replaced => usize::from(now >= REPLACED_AT),
        }
    }

    /// Draws a part, weighted by the heads, that a request hasn't asked.
    fn draw_part(&mut self, asked: &[usize]) -> Option<usize> {
        let left = self.part_of.iter().filter(|part| !asked.contains(part));
        let left: Vec<usize> = left.copied().collect();
        self.rng.choice(left)
    }

    pub fn ask(&mut self, now: Timestamp, arrival: &Arrival) {
        let asked = Asked {
            arrival: *arrival,
            parts: Vec::new(),
            sent: None,
        };
        self.requests.insert(arrival.id, asked);
        self.ask_part(now, arrival.id);
    }

    fn ask_part(&mut self, now: Timestamp, id: RequestId) {
        let asked = self.requests[&id].parts.clone();
        if let Some(part) = self.draw_part(&asked) {
            self.requests[&id].parts.push(part);
            self.traffic.messages += 2.0;
            self.traffic.bytes += ASK_BYTES;
            self.post(now + HOP, Message::Ask(id));
        }
    }

    pub fn next_wake(&self) -> Option<Timestamp> {
        let message = self.messages.first_key_value().map(|((at, _), _)| *at);
        let polls = self.served.values().filter_map(|served| served.poll_at);
        polls.chain(message).min()
    }

    pub fn wake(&mut self, now: Timestamp) -> Vec<(RequestId, Verdict)> {
        let mut verdicts = Vec::new();
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let message = entry.remove();
            verdicts.extend(self.receive(now, message));
        }
        self.poll(now);
        verdicts
    }

    fn receive(&mut self, now: Timestamp, message: Message) -> Option<(RequestId, Verdict)> {
        match message {
            Message::Ask(id) => self.offer(now, id),
            Message::Answer(id, verdict) => return Some((id, verdict)),
            Message::AskNext(id) => self.ask_part(now, id),
            Message::Flush(node, part) => self.flush(now, node, part),
            Message::Report(report) => self.apply(now, report),
            Message::Heartbeat(node) => self.send_heartbeat(now, node),
            Message::ReportAll(node) => self.report_all(now, node),
        }
        None
    }

    fn offer(&mut self, now: Timestamp, id: RequestId) {
        let req = self.request(now, id);
        let asked = &self.requests[&id];
        let part = *asked.parts.last().expect("it asks a part");
        let replica = self.replica(now, asked.arrival.node);
        let served = &mut self.served[&(part, replica)];
        let decision = served.dispatcher.offer(now, req);
        if served.poll_at.is_none() {
            served.poll_at = served.dispatcher.next_poll(now);
        }
        self.answer(now, id, decision);
    }

    fn request(&self, now: Timestamp, id: RequestId) -> DispatchRequest {
        let asked = &self.requests[&id];
        let arrival = &asked.arrival;
        let waited = now.since(arrival.at);
        DispatchRequest {
            key: self.key(id),
            fingerprint: format!("{:032x}", id.0).parse().expect("a fingerprint"),
            customer: None,
            urgency: 0,
            failure_domain: self.domain(arrival.node),
            tokens: self.known_tokens(arrival),
            latency_target: self.shape.target,
            waited,
            time_left: DEADLINE.saturating_sub(waited),
            excluded: Vec::new(),
        }
    }

    /// Returns the tokens that a request states: the length of its answer isn't known.
    fn known_tokens(&self, arrival: &Arrival) -> TokenCounts {
        TokenCounts {
            prompt: arrival.tokens.prompt,
            answer: self.shape.spec.steps.mean.answer,
        }
    }

    fn key(&self, id: RequestId) -> TicketKey {
        TicketKey {
            node: self.names[self.requests[&id].arrival.node].clone(),
            ticket: Ticket(id.0),
        }
    }

    fn answer(&mut self, now: Timestamp, id: RequestId, decision: DispatchDecision) {
        match decision {
            DispatchDecision::Wait => {}
            DispatchDecision::Send(assignment) => {
                let mut heads = self.heads.iter();
                let head = heads.position(|known| *known == assignment.endpoint);
                let head = head.expect("it is a known head");
                self.post(now + HOP, Message::Answer(id, Verdict::Send(head)));
            }
            DispatchDecision::Refuse(refusal) => {
                let asked = self.requests[&id].parts.len();
                let is_full = refusal.cause != RefusalCause::NoEndpoint;
                let message = if is_full && asked < MAX_ASKED.min(self.parts) {
                    Message::AskNext(id)
                } else {
                    Message::Answer(id, Verdict::Refuse)
                };
                self.post(now + HOP, message);
            }
        }
    }

    fn poll(&mut self, now: Timestamp) {
        let mut decisions = Vec::new();
        for served in self.served.values_mut() {
            if served.poll_at.is_some_and(|at| at <= now) {
                decisions.extend(served.dispatcher.poll(now));
                served.poll_at = served.dispatcher.next_poll(now);
            }
        }
        for (key, decision) in decisions {
            self.answer(now, RequestId(key.ticket.0), decision);
        }
    }

    pub fn record_sent(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        self.requests[&arrival.id].sent = Some(Sent {
            head,
            at: now,
            started_after: None,
        });
        self.gather(now, arrival).held.push(arrival.id);
    }

    pub fn record_start(&mut self, now: Timestamp, arrival: &Arrival) {
        if let Some(sent) = &mut self.requests[&arrival.id].sent {
            sent.started_after = Some(now.since(sent.at));
        }
        self.gather(now, arrival).held.push(arrival.id);
    }

    pub fn record_end(&mut self, now: Timestamp, arrival: &Arrival) {
        let key = self.key(arrival.id);
        self.gather(now, arrival).ended.push(key);
    }

    /// Returns what is reported of a request's node next.
    fn gather(&mut self, now: Timestamp, arrival: &Arrival) -> &mut Unreported {
        let part = *self.requests[&arrival.id]
            .parts
            .last()
            .expect("it has asked");
        let key = (arrival.node, part);
        if !self.unreported.contains_key(&key) {
            self.post(now + GATHER_TIME, Message::Flush(arrival.node, part));
        }
        self.unreported.entry(key).or_default()
    }

    fn flush(&mut self, now: Timestamp, node: usize, part: usize) {
        let Some(unreported) = self.unreported.swap_remove(&(node, part)) else {
            return;
        };
        let held = self.held(now, &unreported.held);
        let report = Report {
            node,
            part,
            held,
            ended: unreported.ended,
            is_complete: false,
        };
        self.send_report(now, report);
    }

    fn held(&self, now: Timestamp, requests: &[RequestId]) -> Vec<HeldRequest> {
        let held = requests.iter().filter_map(|id| {
            let asked = &self.requests[id];
            let sent = asked.sent?;
            Some(HeldRequest {
                key: self.key(*id),
                endpoint: self.heads[sent.head].clone(),
                tokens: self.known_tokens(&asked.arrival),
                age: now.since(sent.at),
                started_after: sent.started_after,
            })
        });
        held.collect()
    }

    fn send_report(&mut self, now: Timestamp, report: Report) {
        let changes = report.held.len() + report.ended.len();
        self.traffic.messages += 1.0;
        self.traffic.bytes += REPORT_BYTES + changes as f64 * CHANGE_BYTES;
        self.post(now + HOP + self.report_delay, Message::Report(report));
    }

    fn apply(&mut self, now: Timestamp, report: Report) {
        let replica = self.replica(now, report.node);
        let is_new = replica == 1 && self.kind == Dispatchers::Replaced;
        let is_silent = is_new && now < REPLACED_AT + SILENT_TIME;
        let dispatcher = &mut self.served[&(report.part, replica)].dispatcher;
        for held in report.held {
            let is_old = now - held.age < REPLACED_AT;
            if !is_silent || !is_old {
                dispatcher.record_held(now, held);
            }
        }
        dispatcher.record_report(now, &self.names[report.node], report.is_complete);
        for key in &report.ended {
            dispatcher.record_ended(now, key, AttemptEnd::Finished);
            self.requests.swap_remove(&RequestId(key.ticket.0));
        }
    }

    fn send_heartbeat(&mut self, now: Timestamp, node: usize) {
        for part in 0..self.parts {
            let report = Report {
                node,
                part,
                held: Vec::new(),
                ended: Vec::new(),
                is_complete: false,
            };
            self.send_report(now, report);
        }
        self.post(now + REPORT_INTERVAL, Message::Heartbeat(node));
    }

    /// Reports all attempts that a node has.
    fn report_all(&mut self, now: Timestamp, node: usize) {
        for part in 0..self.parts {
            self.unreported.swap_remove(&(node, part));
            let held = self.requests.values().filter(|asked| {
                asked.arrival.node == node
                    && asked.sent.is_some()
                    && asked.parts.last() == Some(&part)
            });
            let held: Vec<RequestId> = held.map(|asked| asked.arrival.id).collect();
            let report = Report {
                node,
                part,
                held: self.held(now, &held),
                ended: Vec::new(),
                is_complete: true,
            };
            self.send_report(now, report);
        }
    }

    pub fn traffic(&self) -> Traffic {
        self.traffic
    }
}
