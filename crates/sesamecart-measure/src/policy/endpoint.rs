//! A small model of an endpoint: batching, prefix cache, KV memory, cold start.
//!
//! A token takes longer the more requests run: twice as long at the warm limit as alone. From there
//! on throughput is flat, so running more only makes each slower. A cold endpoint bears a few
//! requests, more with use; above that it is slow, and at twice that it falls over and loses all.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use sesamecart_decisions::routing::PrefixHash;
use sesamecart_vocabulary::{Incarnation, Timestamp};

use super::job::{Job, SERVICE_S};

/// The requests that a warm engine bears at once within 30 ms a token.
pub(super) const WARM: u32 = 32;
/// How much slower a token is at the warm limit than alone.
pub(super) const WARM_SLOWDOWN: f64 = 2.0;
/// The requests that a cold engine bears at once.
pub(super) const COLD: u32 = 4;
/// The tokens that an engine's KV memory holds.
pub(super) const KV_TOKENS: u64 = 64_000;
/// The requests that a plain service bears at once, warm and cold.
pub(super) const SERVICE_WARM: u32 = 64;
pub(super) const SERVICE_COLD: u32 = 8;
/// The factor by which a cold endpoint bears more after each second of full use.
const WARMING: f64 = 1.35;
/// An engine takes this many times the warm limit into its batch if nobody limits it.
const BATCH: usize = 2;
/// The prefixes that an engine's cache holds.
const CACHED: usize = 40;
/// Seconds for which an endpoint that fell over takes nothing.
const DOWN_S: f64 = 3.0;

/// What runs or has ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progressed {
    FirstToken(usize),
    Ended(usize),
}

/// A request's point in the endpoint's own progress at which something happens.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Milestone {
    progress: f64,
    job: usize,
    attempt: u32,
    is_end: bool,
}

impl Eq for Milestone {}

impl PartialOrd for Milestone {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Milestone {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_progress = self.progress.total_cmp(&other.progress);
        by_progress.then(self.job.cmp(&other.job))
    }
}

/// How a request was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Received {
    Taken,
    /// The endpoint is down: nothing was run.
    Down,
    /// It was one too many for a cold endpoint, which loses all that ran.
    FellOver,
}

/// One endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) is_engine: bool,
    speed: f64,
    pub(super) incarnation: Incarnation,
    /// What a cold endpoint bears; none once it is warm.
    pub(super) bears: Option<f64>,
    down_until: Timestamp,
    progress: f64,
    at: Timestamp,
    running: IndexMap<usize, u32>,
    waiting: VecDeque<usize>,
    kv_used: u64,
    milestones: BinaryHeap<Reverse<Milestone>>,
    cache: IndexSet<PrefixHash>,
    /// Cache events that nodes haven't been told yet.
    pub(super) events: Vec<CacheEvent>,
    pub(super) version: u64,
    pub(super) beyond: u64,
    pub(super) hits: u64,
    pub(super) lookups: u64,
}

/// Something that an engine publishes about its cache.
#[derive(Clone, Copy, Debug)]
pub(super) struct CacheEvent {
    pub(super) prefix: PrefixHash,
    pub(super) stored: bool,
}

impl Endpoint {
    pub(super) fn new(is_engine: bool) -> Self {
        Self {
            is_engine,
            speed: 1.0,
            incarnation: Incarnation(1),
            bears: None,
            down_until: Timestamp::ZERO,
            progress: 0.0,
            at: Timestamp::ZERO,
            running: IndexMap::new(),
            waiting: VecDeque::new(),
            kv_used: 0,
            milestones: BinaryHeap::new(),
            cache: IndexSet::new(),
            events: Vec::new(),
            version: 0,
            beyond: 0,
            hits: 0,
            lookups: 0,
        }
    }

    pub(super) fn present(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub(super) fn is_down(&self, now: Timestamp) -> bool {
        now < self.down_until
    }

    fn warm(&self) -> f64 {
        f64::from(if self.is_engine { WARM } else { SERVICE_WARM })
    }

    /// Returns how many times longer work takes now than alone at full speed.
    pub(super) fn slowdown(&self) -> f64 {
        let running = self.running.len() as f64;
        let warm = self.warm();
        let batching = if running <= warm {
            1.0 + (running - 1.0).max(0.0) / (warm - 1.0) * (WARM_SLOWDOWN - 1.0)
        } else {
            WARM_SLOWDOWN * running / warm
        };
        let overload = self
            .bears
            .map_or(1.0, |bears| (running / bears).max(1.0).powf(1.5));
        batching * overload / self.speed
    }

    /// Moves the endpoint's own progress on to `now`.
    fn advance(&mut self, now: Timestamp) {
        let seconds = (now - self.at).as_secs_f64();
        self.at = now;
        if self.running.is_empty() {
            return;
        }
        self.progress += seconds / self.slowdown();
        let use_share = self
            .bears
            .map(|bears| (self.running.len() as f64 / bears).min(1.0));
        if let (Some(bears), Some(share)) = (&mut self.bears, use_share) {
            *bears *= WARMING.powf(seconds * share);
        }
        if self.bears.is_some_and(|bears| bears >= self.warm()) {
            self.bears = None;
        }
    }

    /// Takes a request.
    pub(super) fn receive(&mut self, now: Timestamp, number: usize, jobs: &[Job]) -> Received {
        if self.is_down(now) {
            return Received::Down;
        }
        self.advance(now);
        let present = self.present() as f64 + 1.0;
        if let Some(bears) = self.bears {
            self.beyond += u64::from(present > bears.floor());
            if present > 2.0 * bears {
                return Received::FellOver;
            }
        }
        self.waiting.push_back(number);
        self.fill(jobs);
        Received::Taken
    }

    /// Takes waiting requests into the batch, those of higher priority first.
    fn fill(&mut self, jobs: &[Job]) {
        let batch = BATCH * self.warm() as usize;
        while self.running.len() < batch {
            let class = |index: &usize| jobs[self.waiting[*index]].class;
            let Some(index) = (0..self.waiting.len()).min_by_key(class) else {
                break;
            };
            let number = self.waiting[index];
            let job = &jobs[number];
            if self.is_engine && self.kv_used + job.kv() > KV_TOKENS {
                break;
            }
            self.waiting.remove(index);
            self.begin(number, job);
        }
        self.version += 1;
    }

    fn begin(&mut self, number: usize, job: &Job) {
        let mut cached = false;
        if self.is_engine {
            self.kv_used += job.kv();
            self.lookups += 1;
            cached = self.look_up(job.prefix);
            self.hits += u64::from(cached);
        }
        self.running.insert(number, job.attempts);
        let begun = self.progress + job.begin_work(cached);
        let milestone = |progress, is_end| {
            Reverse(Milestone {
                progress,
                job: number,
                attempt: job.attempts,
                is_end,
            })
        };
        self.milestones.push(milestone(begun, false));
        self.milestones
            .push(milestone(begun + job.rest_work() + 1e-9, true));
    }

    fn look_up(&mut self, prefix: PrefixHash) -> bool {
        let cached = self.cache.shift_remove(&prefix);
        self.cache.insert(prefix);
        if cached {
            return true;
        }
        self.events.push(CacheEvent {
            prefix,
            stored: true,
        });
        if self.cache.len() > CACHED {
            let oldest = self.cache.shift_remove_index(0);
            let evicted = oldest.map(|prefix| CacheEvent {
                prefix,
                stored: false,
            });
            self.events.extend(evicted);
        }
        false
    }

    /// Returns when something happens next, if nothing else does before.
    pub(super) fn next(&mut self) -> Option<Timestamp> {
        while let Some(Reverse(first)) = self.milestones.peek() {
            if self.running.get(&first.job) == Some(&first.attempt) {
                let seconds = (first.progress - self.progress).max(0.0) * self.slowdown();
                return Some(self.at + std::time::Duration::from_secs_f64(seconds + 1e-6));
            }
            self.milestones.pop();
        }
        None
    }

    /// Returns what has happened up to `now`.
    pub(super) fn progressed(&mut self, now: Timestamp, jobs: &[Job]) -> Vec<Progressed> {
        self.advance(now);
        let mut progressed = Vec::new();
        while let Some(Reverse(first)) = self.milestones.peek().copied() {
            if first.progress > self.progress + 1e-7 {
                break;
            }
            self.milestones.pop();
            if self.running.get(&first.job) != Some(&first.attempt) {
                continue;
            }
            if first.is_end {
                self.leave(first.job, &jobs[first.job]);
                progressed.push(Progressed::Ended(first.job));
            } else {
                progressed.push(Progressed::FirstToken(first.job));
            }
        }
        self.fill(jobs);
        progressed
    }

    fn leave(&mut self, number: usize, job: &Job) {
        if self.running.swap_remove(&number).is_some() && self.is_engine {
            self.kv_used -= job.kv();
        }
    }

    /// Takes out a request whose caller has gone.
    pub(super) fn cancel(&mut self, now: Timestamp, number: usize, jobs: &[Job]) {
        self.advance(now);
        self.leave(number, &jobs[number]);
        self.waiting.retain(|waiting| *waiting != number);
        self.fill(jobs);
    }

    /// Goes on at another speed.
    pub(super) fn set_speed(&mut self, now: Timestamp, speed: f64) {
        self.advance(now);
        self.speed = speed;
        self.version += 1;
    }

    /// Begins a new life, cold, and returns what was lost.
    pub(super) fn restart(&mut self, now: Timestamp) -> Vec<usize> {
        self.advance(now);
        let lost = self
            .running
            .keys()
            .copied()
            .chain(self.waiting.iter().copied());
        let lost = lost.collect();
        self.running.clear();
        self.waiting.clear();
        self.milestones.clear();
        self.cache.clear();
        self.kv_used = 0;
        self.incarnation = self.incarnation.next();
        let cold = if self.is_engine { COLD } else { SERVICE_COLD };
        self.bears = Some(f64::from(cold));
        self.version += 1;
        lost
    }

    /// Falls over under too much work while cold, and returns what was lost.
    pub(super) fn fall_over(&mut self, now: Timestamp) -> Vec<usize> {
        self.down_until = now + std::time::Duration::from_secs_f64(DOWN_S);
        self.restart(now)
    }

    /// Returns the time that a token, or a plain service's request, takes now.
    pub(super) fn latency(&self) -> f64 {
        let alone = if self.is_engine {
            super::job::TOKEN_S
        } else {
            SERVICE_S
        };
        alone * self.slowdown()
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }
}
