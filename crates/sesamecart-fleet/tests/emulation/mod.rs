//! Plays the requests of many nodes into the ways of choosing a head.
//!
//! Heads work in passes, and news and messages take time; nothing else is emulated. docs/design/even-load.md has the
//! results.

mod aged;
mod decider;
mod dispatched;
mod divided;
mod head;
mod news;
mod shape;
mod today;

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::TokenCounts;
use sesamecart_vocabulary::Timestamp;

pub use decider::{Decider, Traffic, Verdict, Way};
use head::Head;
use news::{HeadNews, History, SAMPLE_INTERVAL};
pub use shape::Shape;

/// The time of a message between two VMs.
const HOP: Duration = Duration::from_millis(1);

/// The time before requests are counted.
const WARM_UP: Timestamp = Timestamp::from_millis(1_500);

/// The time from the last arrival to the end of a play.
const END_TIME: Duration = Duration::from_secs(1);

/// The share of the requests that the busiest nodes get if demand is uneven.
const BUSY_NODE_REQUESTS: f64 = 0.5;

/// One in so many nodes is busy if demand is uneven, and one in so many heads is slow if heads are.
const EXCEPTION_INTERVAL: usize = 8;

/// The factor by which a slow head is slower.
const SLOW_FACTOR: f64 = 2.0;

/// An endpoint is overrun if it holds this multiple of its room while another one has half of its own free.
const OVERRUN_FACTOR: f64 = 1.3;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestId(pub u64);

/// A request at its node.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub id: RequestId,
    pub node: usize,
    pub tokens: TokenCounts,
    pub at: Timestamp,
}

/// How the requests and the heads differ from each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// All nodes get as many requests, and all heads are as fast.
    Even,
    /// Few nodes get half of the requests.
    BusyNodes,
    /// Some heads are slower than the step model says.
    SlowHeads,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub shape: Shape,
    pub condition: Condition,
    /// How long requests arrive.
    pub length: Duration,
    /// The requests as a multiple of the mean.
    pub load: f64,
    /// The age of news.
    pub age: Duration,
    pub seed: u64,
}

/// What callers got, and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub late: u32,
    pub refused: u32,
    samples: u32,
    overrun_samples: u32,
    busiest_to_mean: f64,
    pub traffic_per_node_s: Traffic,
}

impl Outcome {
    /// Returns the mean of the ratio of the busiest head's requests to those of the mean head.
    pub fn busiest_to_mean(&self) -> f64 {
        self.busiest_to_mean / f64::from(self.samples.max(1))
    }

    /// Returns the share of the admitted requests whose first event was late.
    pub fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from((self.requests - self.refused).max(1))
    }

    /// Returns the share of the requests whose first event was in time.
    pub fn in_time_share(&self) -> f64 {
        1.0 - f64::from(self.late + self.refused) / f64::from(self.requests.max(1))
    }

    /// Returns the share of the time in which a head was overrun.
    pub fn overrun_share(&self) -> f64 {
        f64::from(self.overrun_samples) / f64::from(self.samples.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Sample,
    Arrive,
    Wake,
    AtHead(RequestId),
    EndPass(usize),
    Start(RequestId),
    End(RequestId),
}

/// A request that is at a head or on its way there.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    arrival: Arrival,
    head: usize,
}

#[derive(Debug)]
struct Player {
    play: Play,
    decider: Decider,
    heads: Vec<Head>,
    history: History,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    waiting: IndexMap<RequestId, Arrival>,
    in_flight: IndexMap<RequestId, InFlight>,
    unstarted: IndexMap<RequestId, Timestamp>,
    requests: u64,
    wake_at: Option<Timestamp>,
    rng: fastrand::Rng,
    outcome: Outcome,
}

/// Plays requests into one way of choosing a head.
pub fn play(play: Play, way: Way) -> Outcome {
    let mut player = Player::new(play, way);
    let end = play.last_arrival() + END_TIME;
    while let Some(((now, _), event)) = player.events.pop_first() {
        if now >= end {
            break;
        }
        player.handle(now, event);
        player.schedule_wake();
    }
    player.finish()
}

impl Play {
    fn last_arrival(&self) -> Timestamp {
        Timestamp::ZERO + self.length
    }

    /// Returns the pace of a head, relative to the step model.
    fn pace_of(&self, head: usize) -> f64 {
        let is_slow =
            self.condition == Condition::SlowHeads && head.is_multiple_of(EXCEPTION_INTERVAL);
        if is_slow { SLOW_FACTOR } else { 1.0 }
    }

    fn draw_node(&self, rng: &mut fastrand::Rng) -> usize {
        let nodes = self.shape.nodes;
        if self.condition == Condition::BusyNodes && rng.f64() < BUSY_NODE_REQUESTS {
            rng.usize(..nodes / EXCEPTION_INTERVAL)
        } else {
            rng.usize(..nodes)
        }
    }

    fn head(&self, index: usize) -> Head {
        let mut spec = self.shape.spec;
        spec.pace *= self.pace_of(index);
        Head::new(spec, self.shape.slots)
    }
}

impl Player {
    fn new(play: Play, way: Way) -> Self {
        let shape = play.shape;
        let mut player = Self {
            play,
            decider: Decider::new(way, &shape, play.age, play.seed),
            heads: (0..shape.heads).map(|head| play.head(head)).collect(),
            history: History::default(),
            events: BTreeMap::new(),
            sequence: 0,
            waiting: IndexMap::new(),
            in_flight: IndexMap::new(),
            unstarted: IndexMap::new(),
            requests: 0,
            wake_at: None,
            rng: fastrand::Rng::with_seed(play.seed),
            outcome: Outcome::default(),
        };
        player.push(Timestamp::ZERO, Event::Sample);
        player.push(Timestamp::ZERO, Event::Arrive);
        player
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Sample => self.sample(now),
            Event::Arrive => self.arrive(now),
            Event::Wake => self.wake(now),
            Event::AtHead(id) => self.reach_head(now, id),
            Event::EndPass(head) => self.end_pass(now, head),
            Event::Start(id) => self.start(now, id),
            Event::End(id) => self.end(now, id),
        }
    }

    fn schedule_wake(&mut self) {
        let Some(at) = self.decider.next_wake() else {
            return;
        };
        if self.wake_at.is_none_or(|known| at < known) {
            self.wake_at = Some(at);
            self.push(at, Event::Wake);
        }
    }

    fn sample(&mut self, now: Timestamp) {
        let news: Vec<HeadNews> = self.heads.iter().map(HeadNews::of).collect();
        if now >= WARM_UP && now < self.play.last_arrival() {
            self.outcome.record_sample(&news, self.play.shape.slots);
        }
        self.history.push(news);
        self.push(now + SAMPLE_INTERVAL, Event::Sample);
    }

    fn arrive(&mut self, now: Timestamp) {
        let Play { shape, load, .. } = self.play;
        let next = now + shape.draw_interval(load, &mut self.rng);
        if next < self.play.last_arrival() {
            self.push(next, Event::Arrive);
        }
        self.requests += 1;
        let arrival = Arrival {
            id: RequestId(self.requests),
            node: self.play.draw_node(&mut self.rng),
            tokens: shape.draw_tokens(&mut self.rng),
            at: now,
        };
        if now >= WARM_UP {
            self.outcome.requests += 1;
            self.unstarted.insert(arrival.id, now);
        }
        self.waiting.insert(arrival.id, arrival);
        if let Some(verdict) = self.decider.arrive(now, &arrival, &self.history) {
            self.follow(now, arrival.id, verdict);
        }
    }

    fn wake(&mut self, now: Timestamp) {
        self.wake_at = None;
        for (id, verdict) in self.decider.wake(now) {
            self.follow(now, id, verdict);
        }
    }

    fn follow(&mut self, now: Timestamp, id: RequestId, verdict: Verdict) {
        let Some(arrival) = self.waiting.swap_remove(&id) else {
            return;
        };
        match verdict {
            Verdict::Send(head) => {
                self.decider.record_sent(now, &arrival, head);
                self.in_flight.insert(id, InFlight { arrival, head });
                self.push(now + HOP, Event::AtHead(id));
            }
            Verdict::Refuse => {
                let is_counted = self.unstarted.swap_remove(&id).is_some();
                self.outcome.refused += u32::from(is_counted);
            }
        }
    }

    fn reach_head(&mut self, now: Timestamp, id: RequestId) {
        let InFlight { arrival, head } = self.in_flight[&id];
        self.heads[head].push(id, arrival.tokens);
        if !self.heads[head].is_in_pass {
            self.begin_pass(now, head);
        }
    }

    fn begin_pass(&mut self, now: Timestamp, head: usize) {
        if let Some(duration) = self.heads[head].begin_pass() {
            self.push(now + duration, Event::EndPass(head));
        }
    }

    fn end_pass(&mut self, now: Timestamp, head: usize) {
        let events = self.heads[head].end_pass();
        for id in events.started {
            self.push(now + HOP, Event::Start(id));
        }
        for id in events.ended {
            self.push(now + HOP, Event::End(id));
        }
        self.begin_pass(now, head);
    }

    fn start(&mut self, now: Timestamp, id: RequestId) {
        let InFlight { arrival, head } = self.in_flight[&id];
        let reported = (self.heads[head].running(), self.heads[head].waiting());
        self.decider.record_start(now, &arrival, head, reported);
        if let Some(arrived_at) = self.unstarted.swap_remove(&id) {
            let is_late = now.since(arrived_at) > self.play.shape.target;
            self.outcome.late += u32::from(is_late);
        }
    }

    fn end(&mut self, now: Timestamp, id: RequestId) {
        if let Some(InFlight { arrival, head }) = self.in_flight.swap_remove(&id) {
            self.decider.record_end(now, &arrival, head);
        }
    }

    fn finish(self) -> Outcome {
        let mut outcome = self.outcome;
        outcome.late += self.unstarted.len() as u32;
        let Play { shape, age, .. } = self.play;
        let time = self.play.length + END_TIME;
        let traffic = self.decider.traffic(&shape, age, time);
        let node_seconds = shape.nodes as f64 * time.as_secs_f64();
        outcome.traffic_per_node_s = Traffic {
            messages: traffic.messages / node_seconds,
            bytes: traffic.bytes / node_seconds,
        };
        outcome
    }
}

impl Outcome {
    fn record_sample(&mut self, news: &[HeadNews], slots: u32) {
        let requests = || news.iter().map(|head| head.requests);
        let most = requests().fold(0.0, f64::max);
        let least = requests().fold(f64::INFINITY, f64::min);
        let mean = requests().sum::<f64>() / news.len() as f64;
        let room = f64::from(slots);
        self.samples += 1;
        self.busiest_to_mean += most / mean.max(1.0);
        let is_overrun = most > OVERRUN_FACTOR * room && least <= room / 2.0;
        self.overrun_samples += u32::from(is_overrun);
    }
}

impl HeadNews {
    fn of(head: &Head) -> Self {
        Self {
            requests: (head.running() + head.waiting()) as f64,
            unread_tokens: head.unread_tokens(),
        }
    }
}
