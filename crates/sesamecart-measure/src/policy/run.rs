//! One run: a play, a policy and a seed, in virtual time.

mod event;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fastrand::Rng;
use sesamecart_decisions::allowance::LoadReport;
use sesamecart_decisions::retry::{AttemptProgress, RetryDecision};
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{Concurrency, Timestamp};

use super::baseline::Baseline;
use super::dispatch::{Decision, Policy};
use super::endpoint::{CacheEvent, Endpoint, Progressed, Received};
use super::job::{Fate, Job};
use super::ours::Ours;
use super::play::{Fault, FaultKind, Play};
use super::size::Size;
use event::{Due, Event};

/// How often nodes look after their slices and what they saw.
const TICK: Duration = Duration::from_millis(100);
/// How often endpoints report load and cache events, which arrive as much later.
const REPORT: Duration = Duration::from_millis(500);
/// How long operators' word takes to all nodes.
const DRAIN_DELAY: Duration = Duration::from_millis(1_000);
/// The part of the cache events that never arrives.
const CACHE_GAPS: f64 = 0.2;
/// How much longer than its deadline a caller waits for the first token.
const PATIENCE: f64 = 1.5;
/// The speed of a slow endpoint.
const SLOW: f64 = 0.1;
/// How often baselines send a failed request.
const BASELINE_ATTEMPTS: u32 = 2;

/// A policy at work.
#[derive(Debug)]
enum System {
    Ours(Box<Ours>),
    Baseline(Baseline),
}

/// What a run leaves behind.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) jobs: Vec<Job>,
    pub(super) endpoints: Vec<Endpoint>,
}

/// A run under way.
#[derive(Debug)]
pub(super) struct Run {
    size: Size,
    system: System,
    jobs: Vec<Job>,
    at: Vec<Option<usize>>,
    started: Vec<Timestamp>,
    /// Whether a request's answer flows now.
    flows: Vec<bool>,
    /// The answers that flow through each node from each endpoint.
    streams: Vec<Vec<u32>>,
    endpoints: Vec<Endpoint>,
    due: BinaryHeap<Reverse<Due>>,
    expiry: Vec<Timestamp>,
    number: u64,
    rng: Rng,
}

/// The time before the first request in which nodes get their first slices.
pub(super) const LEAD_IN: Duration = Duration::from_secs(4);

impl Run {
    pub(super) fn new(
        play: Play,
        size: &Size,
        policy: Policy,
        cfg: DecisionSettings,
        seed: u64,
    ) -> Self {
        let mut jobs = super::job::draw(play, size, seed);
        for job in &mut jobs {
            job.arrived = job.arrived + LEAD_IN;
            job.deadline = job.deadline + LEAD_IN;
            job.whole_by = job.whole_by + LEAD_IN;
        }
        let system = match policy.choice() {
            None => System::Ours(Box::new(Ours::new(size, cfg, seed))),
            Some(choice) => System::Baseline(Baseline::new(choice, size, seed)),
        };
        let endpoints = (0..size.endpoints()).map(|number| Endpoint::new(size.is_engine(number)));
        let mut run = Self {
            size: *size,
            system,
            at: vec![None; jobs.len()],
            started: vec![Timestamp::ZERO; jobs.len()],
            flows: vec![false; jobs.len()],
            streams: vec![vec![0; size.endpoints()]; size.nodes],
            jobs,
            endpoints: endpoints.collect(),
            due: BinaryHeap::new(),
            expiry: vec![Timestamp::NEVER; size.nodes],
            number: 0,
            rng: Rng::with_seed(seed + 1),
        };
        run.prepare(play);
        run
    }

    fn prepare(&mut self, play: Play) {
        for fault in play.faults(&self.size) {
            let at = Timestamp::from_millis(fault.at_ms) + LEAD_IN;
            self.push(at, Event::Fault(fault));
        }
        for node in 0..self.size.nodes {
            let spread = TICK.mul_f64(node as f64 / self.size.nodes as f64);
            self.push(Timestamp::from_millis(1_100) + spread, Event::Tick(node));
        }
        self.push(Timestamp::ZERO + LEAD_IN, Event::Report);
        if !self.jobs.is_empty() {
            self.push(self.jobs[0].arrived, Event::Arrive(0));
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.number += 1;
        let number = self.number;
        self.due.push(Reverse(Due { at, number, event }));
    }

    /// Plays until all requests have arrived and had time to end.
    pub(super) fn finish(mut self) -> Finished {
        let end = Timestamp::from_millis(self.size.seconds * 1_000) + LEAD_IN;
        let last = end + Duration::from_secs(60);
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > last {
                break;
            }
            self.handle(due.at, due.event);
        }
        Finished {
            jobs: self.jobs,
            endpoints: self.endpoints,
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(now, number),
            Event::Endpoint { endpoint, version } => self.endpoint(now, endpoint, version),
            Event::Leave(number) => self.leave(now, number),
            Event::Tick(node) => self.tick(now, node),
            Event::Expire(node) => {
                self.expiry[node] = Timestamp::NEVER;
                self.poll(now, node);
            }
            Event::Borrow(borrow) => {
                if let System::Ours(ours) = &mut self.system {
                    let lend = ours.lend(now, &borrow);
                    self.push(now + self.size.domain_hop, Event::Lend(lend));
                }
            }
            Event::Lend(lend) => {
                if let System::Ours(ours) = &mut self.system {
                    ours.take(&lend);
                    self.poll(now, lend.node);
                }
            }
            Event::Report => self.report(now),
            Event::Reported(reports) => {
                if let System::Ours(ours) = &mut self.system {
                    for (endpoint, report) in reports.iter().enumerate() {
                        ours.report(now, endpoint, report);
                    }
                }
            }
            Event::Cached(events) => self.cached(&events),
            Event::Fault(fault) => self.fault(now, &fault),
            Event::Drained { endpoints, drained } => self.drained(now, &endpoints, drained),
        }
    }

    fn arrive(&mut self, now: Timestamp, number: usize) {
        if let Some(next) = self.jobs.get(number + 1) {
            let at = next.arrived;
            self.push(at, Event::Arrive(number + 1));
        }
        let job = &self.jobs[number];
        let patience = (job.deadline - job.arrived).mul_f64(PATIENCE);
        self.push(now + patience, Event::Leave(number));
        self.offer(now, number);
    }

    fn offer(&mut self, now: Timestamp, number: usize) {
        let node = self.jobs[number].node;
        let job = &self.jobs[number];
        let decision = match &mut self.system {
            System::Ours(ours) => ours.arrive(now, number, job),
            System::Baseline(baseline) => baseline.arrive(now, number, job),
        };
        let waits = decision == Decision::Wait;
        self.apply(now, decision);
        if waits {
            self.borrow(now, node);
            self.watch_expiry(node);
        }
    }

    fn apply(&mut self, now: Timestamp, decision: Decision) {
        match decision {
            Decision::Start { job, endpoint } => self.start(now, job, endpoint),
            Decision::Refuse { job } => self.jobs[job].fate = Fate::Refused,
            Decision::Wait => {}
        }
    }

    fn poll(&mut self, now: Timestamp, node: usize) {
        let decisions = match &mut self.system {
            System::Ours(ours) => ours.poll(now, node),
            System::Baseline(baseline) => baseline.poll(now, node, &self.jobs),
        };
        for decision in decisions {
            self.apply(now, decision);
        }
        self.watch_expiry(node);
    }

    fn watch_expiry(&mut self, node: usize) {
        let System::Ours(ours) = &self.system else {
            return;
        };
        let Some(expiry) = ours.next_expiry(node) else {
            return;
        };
        let at = expiry + Duration::from_millis(1);
        if at < self.expiry[node] {
            self.expiry[node] = at;
            self.push(at, Event::Expire(node));
        }
    }

    fn start(&mut self, now: Timestamp, number: usize, endpoint: usize) {
        self.jobs[number].attempts += 1;
        self.at[number] = Some(endpoint);
        self.started[number] = now;
        match self.endpoints[endpoint].receive(now, number, &self.jobs) {
            Received::Taken => self.schedule(endpoint),
            Received::Down => self.fail(now, number, AttemptProgress::NotRun),
            Received::FellOver => {
                let lost = self.endpoints[endpoint].fall_over(now);
                self.lose(now, &lost);
                self.fail(now, number, AttemptProgress::Sent);
            }
        }
    }

    fn schedule(&mut self, endpoint: usize) {
        let version = self.endpoints[endpoint].version;
        if let Some(at) = self.endpoints[endpoint].next() {
            self.push(at, Event::Endpoint { endpoint, version });
        }
    }

    fn endpoint(&mut self, now: Timestamp, endpoint: usize, version: u64) {
        if self.endpoints[endpoint].version != version {
            return;
        }
        let progressed = self.endpoints[endpoint].progressed(now, &self.jobs);
        let mut nodes = Vec::new();
        // From the endpoint over the node to the caller, and the way there.
        let way = 2 * (self.size.client_hop + self.size.domain_hop);
        for step in progressed {
            match step {
                Progressed::FirstToken(number) => {
                    self.jobs[number].first_token.get_or_insert(now + way);
                    self.begun(now, number, endpoint);
                }
                Progressed::Ended(number) => {
                    self.jobs[number].fate = Fate::Answered(now + way);
                    self.ended(now, number, endpoint);
                    nodes.push(self.jobs[number].node);
                }
            }
        }
        self.schedule(endpoint);
        for node in nodes {
            self.poll(now, node);
        }
    }

    fn begun(&mut self, now: Timestamp, number: usize, endpoint: usize) {
        let job = &self.jobs[number];
        self.flows[number] = true;
        self.streams[job.node][endpoint] += 1;
        if let System::Ours(ours) = &mut self.system {
            ours.begun(now, endpoint, job, self.endpoints[endpoint].latency());
        }
    }

    /// Returns where a request ran, and forgets it.
    fn take_off(&mut self, number: usize) -> Option<usize> {
        let endpoint = self.at[number].take()?;
        if std::mem::take(&mut self.flows[number]) {
            self.streams[self.jobs[number].node][endpoint] -= 1;
        }
        Some(endpoint)
    }

    fn ended(&mut self, now: Timestamp, number: usize, endpoint: usize) {
        self.take_off(number);
        let job = &self.jobs[number];
        let took = now - self.started[number];
        match &mut self.system {
            System::Ours(ours) => ours.finished(now, endpoint, job, took),
            System::Baseline(baseline) => baseline.ended(now, job.node, endpoint, false),
        }
    }

    fn lose(&mut self, now: Timestamp, lost: &[usize]) {
        for number in lost {
            self.fail(now, *number, AttemptProgress::Sent);
        }
    }

    /// Ends an attempt that failed; an answer that had begun is resumed where it broke.
    fn fail(&mut self, now: Timestamp, number: usize, progress: AttemptProgress) {
        let Some(endpoint) = self.take_off(number) else {
            return;
        };
        let latency = self.endpoints[endpoint].latency().max(super::job::TOKEN_S);
        let job = &mut self.jobs[number];
        if job.first_token.is_some() {
            let more = ((now - self.started[number]).as_secs_f64() / latency) as u64;
            job.given = (job.given + more).min(job.answer - 1);
        }
        let job = &self.jobs[number];
        let again = match &mut self.system {
            System::Ours(ours) => ours.failed(now, endpoint, job, progress) == RetryDecision::Retry,
            System::Baseline(baseline) => {
                baseline.ended(now, job.node, endpoint, true);
                let may = progress == AttemptProgress::NotRun || !job.is_action();
                may && job.attempts < BASELINE_ATTEMPTS
            }
        };
        if again {
            self.offer(now, number);
        } else {
            self.jobs[number].fate = Fate::Failed;
        }
    }

    /// Lets a caller go who has seen no first token for too long.
    fn leave(&mut self, now: Timestamp, number: usize) {
        let job = &self.jobs[number];
        if job.fate != Fate::Open || job.first_token.is_some() {
            return;
        }
        let endpoint = self.take_off(number);
        let job = &self.jobs[number];
        match (&mut self.system, endpoint) {
            (System::Ours(ours), _) => ours.cancel(number, job, endpoint),
            (System::Baseline(baseline), Some(endpoint)) => {
                baseline.ended(now, job.node, endpoint, false);
            }
            (System::Baseline(baseline), None) => baseline.cancel(job.node, number),
        }
        let node = job.node;
        self.jobs[number].fate = Fate::Abandoned;
        if let Some(endpoint) = endpoint {
            self.endpoints[endpoint].cancel(now, number, &self.jobs);
            self.schedule(endpoint);
        }
        self.poll(now, node);
    }

    fn tick(&mut self, now: Timestamp, node: usize) {
        self.push(now + TICK, Event::Tick(node));
        if let System::Ours(ours) = &mut self.system {
            ours.observe(now, node, &self.endpoints, &self.streams[node], TICK);
        }
        self.borrow(now, node);
        self.poll(now, node);
    }

    fn borrow(&mut self, now: Timestamp, node: usize) {
        if let System::Ours(ours) = &mut self.system
            && let Some(borrow) = ours.borrow(now, node)
        {
            self.push(now + self.size.domain_hop, Event::Borrow(borrow));
        }
    }

    fn report(&mut self, now: Timestamp) {
        self.push(now + REPORT, Event::Report);
        let report = |endpoint: &Endpoint| LoadReport {
            incarnation: endpoint.incarnation,
            running: Concurrency(u32::try_from(endpoint.running()).unwrap_or(u32::MAX)),
            ready: !endpoint.is_down(now),
        };
        let reports = self.endpoints.iter().map(report).collect();
        self.push(now + REPORT, Event::Reported(reports));
        let events = self.endpoints.iter_mut();
        let events = events.map(|endpoint| std::mem::take(&mut endpoint.events));
        let events = events.collect();
        self.push(now + REPORT, Event::Cached(events));
    }

    fn cached(&mut self, events: &[Vec<CacheEvent>]) {
        let System::Ours(ours) = &mut self.system else {
            return;
        };
        for node in 0..self.size.nodes {
            let rng = &mut self.rng;
            ours.cache_events(node, events, || rng.f64() < CACHE_GAPS);
        }
    }

    fn fault(&mut self, now: Timestamp, fault: &Fault) {
        for endpoint in fault.endpoints.iter().copied() {
            match fault.kind {
                FaultKind::Slow => {
                    self.endpoints[endpoint].set_speed(now, SLOW);
                    self.schedule(endpoint);
                }
                FaultKind::Restart | FaultKind::Return => {
                    let lost = self.endpoints[endpoint].restart(now);
                    self.lose(now, &lost);
                }
                FaultKind::Drain => {}
            }
        }
        let drained = match fault.kind {
            FaultKind::Drain => true,
            FaultKind::Return => false,
            FaultKind::Slow | FaultKind::Restart => return,
        };
        let endpoints = fault.endpoints.clone();
        self.push(now + DRAIN_DELAY, Event::Drained { endpoints, drained });
    }

    fn drained(&mut self, now: Timestamp, endpoints: &[usize], drained: bool) {
        for endpoint in endpoints {
            match &mut self.system {
                System::Ours(ours) => ours.drain(now, *endpoint, drained),
                System::Baseline(baseline) => baseline.drain(*endpoint, drained),
            }
        }
    }
}
