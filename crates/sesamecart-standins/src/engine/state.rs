//! What an engine's connections share.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use sesamecart_vocabulary::{Generation, Incarnation};

use super::answer::Job;
use super::cache::PrefixCache;
use super::config::{EngineConfig, EngineFaults};
use super::orders::{Orders, StaleOrder};
use super::warmth::Warmth;
use crate::body::{self, Body};
use crate::faults::Faulty;

/// How often a paused engine looks whether it may go on.
const PAUSE_STEP: Duration = Duration::from_millis(2);
/// Answers after which an engine that was told to turn cold is warm again.
const SUDDEN_COLD_ANSWERS: u32 = 20;
/// The latest requests from which crossed answers are taken.
const RECENT_JOBS: usize = 32;

/// What an engine has counted since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    /// Requests that are in the batch.
    pub running: u32,
    /// The most requests that were in the batch at once.
    pub most_running: u32,
    /// Requests taken into the batch.
    pub begun: u64,
    /// Answers that were given whole.
    pub answered: u64,
    /// Requests whose caller left, or whose connection broke, before the end.
    pub cancelled: u64,
    /// Streams that went on from a token that an earlier attempt had reached.
    pub resumed: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Requests beyond what the engine bore while cold.
    pub cold_overloads: u64,
    /// Answers that were another request's.
    pub crossed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) running: AtomicU32,
    most_running: AtomicU32,
    begun: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) resumed: AtomicU64,
    pub(crate) tokens: AtomicU64,
    pub(crate) crossed: AtomicU64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) config: EngineConfig,
    pub(crate) faults: Faulty<EngineFaults>,
    pub(crate) counters: Counters,
    pub(crate) orders: Orders,
    warmth: Mutex<Warmth>,
    cache: Mutex<PrefixCache>,
    recent: Mutex<VecDeque<Job>>,
    reported: Mutex<Option<(Instant, Value)>>,
    paused: AtomicBool,
    ready: AtomicBool,
    incarnation: AtomicU64,
    generation: AtomicU64,
}

impl State {
    pub(crate) fn new(config: EngineConfig) -> Self {
        Self {
            faults: Faulty::new(config.faults.clone()),
            counters: Counters::default(),
            orders: Orders::default(),
            warmth: Mutex::new(Warmth::new(config.cold_limit, config.warm_after)),
            cache: Mutex::new(PrefixCache::new(config.cache_blocks)),
            recent: Mutex::default(),
            reported: Mutex::default(),
            paused: AtomicBool::new(false),
            ready: AtomicBool::new(true),
            incarnation: AtomicU64::new(1),
            generation: AtomicU64::new(config.generation.0),
            config,
        }
    }

    pub(crate) fn turn_cold(&self) {
        self.warmth
            .lock()
            .unwrap()
            .turn_cold_for(SUDDEN_COLD_ANSWERS);
    }

    pub(crate) fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    pub(crate) async fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Relaxed) {
            Timer::after(PAUSE_STEP).await;
        }
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn set_generation(&self, generation: Generation) {
        self.generation.store(generation.0, Ordering::Relaxed);
    }

    pub(crate) fn generation(&self) -> Generation {
        Generation(self.generation.load(Ordering::Relaxed))
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    /// Begins a new life of the process: cold, with an empty cache.
    pub(crate) fn restart(&self) {
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        let mut warmth = self.warmth.lock().unwrap();
        warmth.turn_cold();
        warmth.fallen_until = None;
        self.cache.lock().unwrap().clear();
    }

    pub(crate) fn has_fallen(&self) -> bool {
        let warmth = self.warmth.lock().unwrap();
        warmth
            .fallen_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Takes a request into the batch; false if the engine fell over it.
    pub(crate) fn begin(&self) -> bool {
        self.counters.begun.fetch_add(1, Ordering::Relaxed);
        let running = self.counters.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.counters
            .most_running
            .fetch_max(running, Ordering::Relaxed);
        let bears = self.warmth.lock().unwrap().bears(running);
        let faults = self.faults.current();
        if bears || !faults.falls_when_cold {
            return true;
        }
        self.restart();
        let until = Instant::now() + Duration::from_millis(faults.fall_ms);
        self.warmth.lock().unwrap().fallen_until = Some(until);
        false
    }

    pub(crate) fn answered(&self) {
        self.counters.answered.fetch_add(1, Ordering::Relaxed);
        self.warmth.lock().unwrap().answered();
    }

    /// Notes a request and returns a recent one, from which a crossed answer is taken.
    pub(crate) fn remember(&self, job: &Job) -> Option<Job> {
        let mut recent = self.recent.lock().unwrap();
        let other = recent.iter().rev().find(|other| other.hash != job.hash);
        let other = other.cloned();
        recent.push_back(job.clone());
        if recent.len() > RECENT_JOBS {
            recent.pop_front();
        }
        other
    }

    /// Uses the prefix cache and returns the prompt tokens that were not cached.
    pub(crate) fn uncached_tokens(&self, prompt: &str) -> u64 {
        let gaps = self.faults.current().cache_event_gaps;
        let mut cache = self.cache.lock().unwrap();
        let cached = cache.use_prompt(prompt, || self.faults.chance(gaps));
        (prompt.len().saturating_sub(cached) as u64).div_ceil(4)
    }

    pub(crate) fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let from = body::query_number(query, "from").unwrap_or(0);
        let lag = Duration::from_millis(self.faults.current().cache_event_lag_ms);
        let events = self.cache.lock().unwrap().events(from, lag);
        let next = events.last().map_or(from, |event| event.sequence + 1);
        body::json(StatusCode::OK, &json!({ "next": next, "events": events }))
    }

    /// Returns the load as it was some time ago.
    pub(crate) fn lagging_load(&self) -> Value {
        let lag = Duration::from_millis(self.faults.current().load_lag_ms);
        let mut reported = self.reported.lock().unwrap();
        match &*reported {
            Some((taken, load)) if taken.elapsed() < lag => load.clone(),
            _ => {
                let load = self.load();
                *reported = Some((Instant::now(), load.clone()));
                load
            }
        }
    }

    fn load(&self) -> Value {
        let running = self.counters.running.load(Ordering::Relaxed);
        let member = json!({
            "incarnation": self.incarnation(),
            "generation": self.generation(),
            "ready": self.ready.load(Ordering::Relaxed),
        });
        let members: serde_json::Map<_, _> = self
            .config
            .members
            .iter()
            .map(|vm| (vm.to_string(), member.clone()))
            .collect();
        json!({
            "running": running,
            "waiting": 0,
            "kv_tokens_used": u64::from(running) * 512,
            "kv_tokens": self.config.kv_tokens,
            "incarnation": self.incarnation(),
            "generation": self.generation(),
            "ready": self.ready.load(Ordering::Relaxed),
            "members": members,
        })
    }

    pub(crate) async fn order(&self, order: &Value) -> Response<Body> {
        let order_ms = self.faults.current().order_ms;
        if order_ms > 0 {
            Timer::after(Duration::from_millis(order_ms)).await;
        }
        if let Err(StaleOrder { newest }) = self.orders.apply(order, self.config.checks_epoch) {
            return body::json(StatusCode::CONFLICT, &json!({ "newest_epoch": newest }));
        }
        if let Some(generation) = order["generation"].as_u64() {
            self.set_generation(Generation(generation));
        }
        if order["order"] == "load_model" || order["order"] == "load_version" {
            self.warmth.lock().unwrap().turn_cold();
            self.cache.lock().unwrap().clear();
        }
        body::json(StatusCode::OK, &json!({}))
    }

    pub(crate) fn counts(&self) -> EngineCounts {
        let counters = &self.counters;
        EngineCounts {
            running: counters.running.load(Ordering::Relaxed),
            most_running: counters.most_running.load(Ordering::Relaxed),
            begun: counters.begun.load(Ordering::Relaxed),
            answered: counters.answered.load(Ordering::Relaxed),
            cancelled: counters.cancelled.load(Ordering::Relaxed),
            resumed: counters.resumed.load(Ordering::Relaxed),
            tokens: counters.tokens.load(Ordering::Relaxed),
            cold_overloads: self.warmth.lock().unwrap().overloads,
            crossed: counters.crossed.load(Ordering::Relaxed),
        }
    }
}
