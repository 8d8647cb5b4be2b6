//! A load of many callers, played against one dispatcher in virtual time.
//!
//! Endpoints read and write by the step model, with a fixed delay of the first event that no configuration states.
//! Nodes report starts and ends in batches.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

use super::{endpoint, held, key, ms, pool_spec, request, tokens};
use crate::dispatch::{
    AttemptEnd, DispatchDecision, DispatchRequest, Dispatcher, HeldRequest, PoolHead, TicketKey,
};
use crate::step_model::TokenCounts;

/// The time that a message between nodes takes.
const MESSAGE_MS: u64 = 2;

/// How long a node gathers what it reports.
const REPORT_INTERVAL_MS: u64 = 20;

/// The delay of first events that the step model doesn't contain.
const START_DELAY_MS: u64 = 90;

const NODES: usize = 61;

/// A kind of request.
#[derive(Clone, Debug)]
pub(super) struct Route {
    pub(super) urgency: u8,
    pub(super) target: Duration,
    pub(super) tokens: TokenCounts,
    pub(super) per_s: f64,
    pub(super) customer: Option<&'static str>,
    /// How callers behave that are refused.
    pub(super) refused: Refused,
}

/// What a refused caller does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refused {
    Leaves,
    /// It returns once, when it may.
    Returns,
    /// It repeats at once, up to five times.
    Repeats,
}

impl Route {
    pub(super) fn new(urgency: u8, target_ms: u64, prompt: f64, per_s: f64) -> Self {
        Self {
            urgency,
            target: ms(target_ms),
            tokens: tokens(prompt, 150.0),
            per_s,
            customer: None,
            refused: Refused::Leaves,
        }
    }
}

/// What became of a caller.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) route: usize,
    pub(super) prompt: f64,
    pub(super) asked_at: Timestamp,
    pub(super) tries: u32,
    pub(super) endpoint: Option<usize>,
    /// The time from the last try to the first event.
    pub(super) started_after: Option<Duration>,
    sent_at: Timestamp,
    req: DispatchRequest,
    tried_at: Timestamp,
}

impl Caller {
    pub(super) fn is_served(&self) -> bool {
        self.started_after.is_some()
    }

    /// Returns when it was sent to its endpoint.
    pub(super) const fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    pub(super) fn is_in_time(&self, route: &Route) -> bool {
        self.started_after
            .is_some_and(|after| after <= route.target)
    }
}

/// Returns the fraction of callers for which `holds` is true.
pub(super) fn fraction<'a>(
    callers: impl Iterator<Item = &'a Caller>,
    holds: impl Fn(&Caller) -> bool,
) -> f64 {
    let holds: Vec<bool> = callers.map(holds).collect();
    let count = holds.iter().filter(|holds| **holds).count();
    count as f64 / holds.len().max(1) as f64
}

/// An endpoint that works by the step model.
#[derive(Debug, Default)]
struct Engine {
    waiting: VecDeque<(u64, f64)>,
    writing: Vec<(u64, f64)>,
    pass_ends_at: f64,
    /// Those whose prompts are read in the current pass.
    read: Vec<u64>,
}

enum Event {
    Ask(u64),
    Arrive(u64, usize),
    Start(u64),
    End(u64),
    Report(usize),
}

/// Requests, endpoints, and what happens to them.
pub(super) struct Play {
    pub(super) dispatcher: Dispatcher,
    pub(super) callers: IndexMap<u64, Caller>,
    /// The factor of each endpoint's times.
    pub(super) paces: Vec<f64>,
    /// An endpoint that fails each request at once.
    pub(super) failing: Option<usize>,
    engines: Vec<Engine>,
    events: BTreeMap<(u64, u64), Event>,
    reports: Vec<Vec<Told>>,
    polled_at: Option<Timestamp>,
    next_event: u64,
    rng: fastrand::Rng,
    now_ms: u64,
}

enum Told {
    Held(HeldRequest),
    Ended(TicketKey),
}

impl Play {
    pub(super) fn new(seed: u64, heads: impl IntoIterator<Item = PoolHead>) -> Self {
        let mut dispatcher = Dispatcher::new(pool_spec());
        let heads: Vec<PoolHead> = heads.into_iter().collect();
        let engines = heads.iter().map(|_| Engine::default()).collect();
        let paces = vec![1.0; heads.len()];
        dispatcher.set_heads(Timestamp::ZERO, heads);
        Self {
            dispatcher,
            callers: IndexMap::new(),
            paces,
            failing: None,
            engines,
            events: BTreeMap::new(),
            reports: (0..NODES).map(|_| Vec::new()).collect(),
            polled_at: None,
            next_event: 0,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 0,
        }
    }

    /// Returns the mean requests per second that endpoints with 48 slots can serve.
    pub(super) fn room_per_s(heads: usize, mean: TokenCounts) -> f64 {
        let spec = pool_spec();
        let passes = mean.answer / f64::from(spec.steps.steps_per_pass);
        let prompts = (48.0 / passes).min(spec.steps.chunk_tokens / mean.prompt);
        let reading_ms = prompts * mean.prompt / spec.steps.read_tokens_per_ms;
        let running = (prompts * passes) as usize;
        heads as f64 * prompts * 1_000.0 / (reading_ms + spec.steps_ms(running))
    }

    /// Plays callers of all routes until `until`.
    pub(super) fn run(&mut self, until: Timestamp, routes: &[Route]) {
        while self.now_ms < until.as_millis() {
            for (index, route) in routes.iter().enumerate() {
                let mut expected = route.per_s / 1_000.0;
                while self.rng.f64() < expected {
                    self.add_caller(index, route);
                    expected -= 1.0;
                }
            }
            self.step(routes);
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    /// Returns the callers of a span of time.
    pub(super) fn asked(&self, from: u64, to: u64) -> impl Iterator<Item = &Caller> {
        let span = Timestamp::from_millis(from)..Timestamp::from_millis(to);
        self.callers
            .values()
            .filter(move |caller| span.contains(&caller.asked_at))
    }

    /// Plays until the last caller is served or refused.
    pub(super) fn finish(&mut self, routes: &[Route]) {
        while !self.events.is_empty() || self.polled_at.is_some() {
            self.step(routes);
        }
    }

    fn add_caller(&mut self, index: usize, route: &Route) {
        let id = self.callers.len() as u64;
        let factor = (-self.rng.f64().max(1e-9).ln()).clamp(0.1, 4.0);
        let prompt = route.tokens.prompt * factor;
        let node = self.rng.usize(..NODES);
        let domain = ["a", "b", "c"][node % 3];
        let req = DispatchRequest {
            key: key(node, id),
            customer: route.customer.map(|name| name.parse().expect("valid name")),
            urgency: route.urgency,
            failure_domain: domain.parse().expect("valid name"),
            tokens: tokens(prompt, route.tokens.answer),
            latency_target: route.target,
            ..request(id)
        };
        let caller = Caller {
            route: index,
            prompt,
            asked_at: self.now(),
            tries: 0,
            endpoint: None,
            started_after: None,
            sent_at: self.now(),
            req,
            tried_at: self.now(),
        };
        self.callers.insert(id, caller);
        self.at(MESSAGE_MS, Event::Ask(id));
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn step(&mut self, routes: &[Route]) {
        self.now_ms += 1;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let event = entry.remove();
            self.handle(event, routes);
        }
        if self.polled_at.is_some_and(|at| at <= self.now()) {
            for (key, decision) in self.dispatcher.poll(self.now()) {
                self.decided(key.ticket.0, decision, routes);
            }
            self.polled_at = self.dispatcher.next_poll(self.now());
        }
        for index in 0..self.engines.len() {
            self.work(index);
        }
    }

    fn handle(&mut self, event: Event, routes: &[Route]) {
        match event {
            Event::Ask(id) => self.ask(id, routes),
            Event::Arrive(id, index) => {
                self.tell(id, Told::Held(self.report_of(id)));
                if self.failing == Some(index) {
                    self.at(1, Event::End(id));
                    return;
                }
                let prompt = self.callers[&id].prompt;
                self.engines[index].waiting.push_back((id, prompt));
            }
            Event::Start(id) => {
                let now = self.now();
                let caller = &mut self.callers[&id];
                caller.started_after = Some(now - caller.tried_at);
                self.tell(id, Told::Held(self.report_of(id)));
            }
            Event::End(id) => {
                let key = self.callers[&id].req.key.clone();
                self.tell(id, Told::Ended(key));
            }
            Event::Report(node) => self.deliver(node),
        }
    }

    fn ask(&mut self, id: u64, routes: &[Route]) {
        let now = self.now();
        let caller = &mut self.callers[&id];
        caller.tries += 1;
        caller.req.waited = now - caller.tried_at;
        caller.req.time_left = ms(6_000).saturating_sub(now - caller.asked_at);
        let req = caller.req.clone();
        let decision = self.dispatcher.offer(now, req);
        self.decided(id, decision, routes);
    }

    fn decided(&mut self, id: u64, decision: DispatchDecision, routes: &[Route]) {
        match decision {
            DispatchDecision::Send(assignment) => {
                let heads = 0..self.engines.len();
                let index = heads
                    .into_iter()
                    .find(|index| endpoint(*index) == assignment.endpoint);
                let index = index.expect("known endpoint");
                self.callers[&id].endpoint = Some(index);
                self.callers[&id].sent_at = self.now();
                self.at(2 * MESSAGE_MS, Event::Arrive(id, index));
            }
            DispatchDecision::Wait => {
                self.polled_at = self.polled_at.or(self.dispatcher.next_poll(self.now()));
            }
            DispatchDecision::Refuse(refusal) => {
                let caller = &self.callers[&id];
                let delay = match routes[caller.route].refused {
                    Refused::Returns if caller.tries < 2 => refusal.retry_after,
                    Refused::Repeats if caller.tries < 5 => ms(10),
                    Refused::Leaves | Refused::Returns | Refused::Repeats => return,
                };
                let delay_ms = delay.as_micros().div_ceil(1_000) as u64 + 2 * MESSAGE_MS;
                let tried_at = self.now() + ms(delay_ms);
                self.callers[&id].tried_at = tried_at;
                self.at(delay_ms, Event::Ask(id));
            }
        }
    }

    fn report_of(&self, id: u64) -> HeldRequest {
        let caller = &self.callers[&id];
        let endpoint = endpoint(caller.endpoint.expect("it was sent"));
        HeldRequest {
            tokens: caller.req.tokens,
            age: self.now() - caller.tried_at,
            started_after: caller.started_after,
            ..held(&caller.req.key, endpoint)
        }
    }

    fn tell(&mut self, id: u64, told: Told) {
        let node = self.callers[&id].req.key.node.as_str();
        let node = node
            .trim_start_matches("node-")
            .parse::<usize>()
            .expect("its number");
        if self.reports[node].is_empty() {
            self.at(REPORT_INTERVAL_MS + MESSAGE_MS, Event::Report(node));
        }
        self.reports[node].push(told);
    }

    fn deliver(&mut self, node: usize) {
        let now = self.now();
        for told in std::mem::take(&mut self.reports[node]) {
            match told {
                Told::Held(held) => self.dispatcher.record_held(now, held),
                Told::Ended(key) => self
                    .dispatcher
                    .record_ended(now, &key, AttemptEnd::Finished),
            }
        }
    }

    /// Ends the current pass of an endpoint and begins the next one.
    fn work(&mut self, index: usize) {
        let now = self.now_ms as f64;
        if self.engines[index].pass_ends_at > now {
            return;
        }
        let steps = pool_spec().steps;
        let mut events = Vec::new();
        let engine = &mut self.engines[index];
        for (id, left) in &mut engine.writing {
            *left -= f64::from(steps.steps_per_pass);
            if *left <= 0.0 {
                events.push((0, Event::End(*id)));
            }
        }
        engine.writing.retain(|(_, left)| *left > 0.0);
        for id in engine.read.drain(..) {
            events.push((START_DELAY_MS, Event::Start(id)));
            engine
                .writing
                .push((id, self.callers[&id].req.tokens.answer));
        }
        let mut chunk = steps.chunk_tokens;
        while let Some((id, left)) = engine.waiting.front_mut() {
            let part = left.min(chunk);
            *left -= part;
            chunk -= part;
            if *left > 0.0 || engine.writing.len() + engine.read.len() >= 48 {
                break;
            }
            engine.read.push(*id);
            engine.waiting.pop_front();
        }
        let read_ms = (steps.chunk_tokens - chunk) / steps.read_tokens_per_ms;
        let running = engine.writing.len();
        let step_ms = steps.step_ms + steps.step_ms_per_answer * running as f64;
        let steps_ms = if running > 0 {
            f64::from(steps.steps_per_pass) * step_ms
        } else {
            0.0
        };
        if read_ms + steps_ms > 0.0 {
            engine.pass_ends_at =
                engine.pass_ends_at.max(now - 1.0) + self.paces[index] * (read_ms + steps_ms);
        }
        for (delay_ms, event) in events {
            self.at(delay_ms, event);
        }
    }
}
