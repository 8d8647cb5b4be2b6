//! Engines that take time to load models, and lose power.
//!
//! Their heartbeats change no entry, so the store shows nodes only what else has changed, and the expiry of the entries of
//! engines that are gone.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use sesamecart_platform_standins::{
    Engine, EngineKind, EngineSetup, ModelTimes, Store, WeightStore,
};

/// The number of engines in each fabric domain.
const DOMAIN_ENGINES: usize = 18;

/// The number of requests that an engine runs at once.
const ENGINE_SLOTS: u32 = 20;

/// The part of the engines that are in groups once no more can be formed. The larger model leaves two of a fabric domain.
const GROUPED_PART: f64 = 16.0 / 18.0;

/// The number of events of each stream, and the time between two of them.
pub(crate) const STREAM_EVENTS: u64 = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The silence after which the store drops an engine's entry: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// The age of what engines report.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// How often loads, joins and openings are looked at.
const STEP: Duration = Duration::from_millis(20);

const LOADS_AT_ONCE: usize = 20;
const M0: ModelTimes = ModelTimes {
    load: Duration::from_secs(16),
    warm: Duration::from_millis(1_600),
};
const M1: ModelTimes = ModelTimes {
    load: Duration::from_secs(12),
    warm: Duration::from_millis(1_100),
};

/// How engines behave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineTimes {
    /// They join and open at once.
    None,
    /// They take the platform's times to load, join and open.
    Platform,
}

/// What becomes of the engines' identities when they return from a loss of power.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReturnedIds {
    Same,
    New,
}

/// The engines of all models.
pub(crate) struct Engines {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Shared {
    store: Store,
    weights: Option<Arc<WeightStore>>,
    hosts: Mutex<Vec<Host>>,
    /// The entries of engines that are gone, and when the store drops them.
    expiring: Mutex<Vec<(String, Instant)>>,
    is_over: AtomicBool,
}

/// One host, on which an engine runs while it has power.
struct Host {
    domain: String,
    place: usize,
    starts: u32,
    engine: Option<Engine>,
    /// The model on the host, which outlasts a loss of power.
    staged: Option<String>,
}

impl Engines {
    /// Starts the engines of some fabric domains in each failure domain.
    pub(crate) fn start(
        store: &Store,
        failure_domains: &[&str],
        fabric_domains: usize,
        times: EngineTimes,
    ) -> Self {
        let weights = (times == EngineTimes::Platform)
            .then(|| Arc::new(WeightStore::new(&[("m0", M0), ("m1", M1)], LOADS_AT_ONCE)));
        let hosts = failure_domains.iter().flat_map(|domain| {
            (0..fabric_domains * DOMAIN_ENGINES).map(move |place| Host {
                domain: (*domain).to_owned(),
                place,
                starts: 0,
                engine: None,
                staged: None,
            })
        });
        let shared = Arc::new(Shared {
            store: store.clone(),
            weights,
            hosts: Mutex::new(hosts.collect()),
            expiring: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        for host in shared.hosts().iter_mut() {
            shared.start_one(host, ReturnedIds::Same);
        }
        let thread = shared.weights.is_some().then(|| {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || shared.run())
        });
        Self { shared, thread }
    }

    /// Returns the number of groups that serve.
    pub(crate) fn open_groups(&self) -> usize {
        let hosts = self.shared.hosts();
        let engines = hosts.iter().filter_map(|host| host.engine.as_ref());
        engines.filter(|engine| engine.is_open_head()).count()
    }

    /// Waits until all groups serve that the engines can form.
    pub(crate) fn wait_for_groups(&self) {
        const TIMEOUT: Duration = Duration::from_secs(60);
        let started_at = Instant::now();
        let count = |is_meant: fn(&Engine) -> bool| {
            let hosts = self.shared.hosts();
            let engines = hosts.iter().filter_map(|host| host.engine.as_ref());
            engines.filter(|engine| is_meant(engine)).count()
        };
        let wanted = GROUPED_PART * self.shared.hosts().len() as f64;
        while (count(Engine::is_grouped) as f64) < wanted || count(Engine::is_ready_head) > 0 {
            let grouped = count(Engine::is_grouped);
            assert!(
                started_at.elapsed() < TIMEOUT,
                "{grouped} engines are in groups"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Lets loads take their full time, as callers are there.
    pub(crate) fn begin_traffic(&self) {
        if let Some(weights) = &self.shared.weights {
            weights.begin_traffic();
        }
    }

    /// Returns the number of loads from the weight store so far.
    pub(crate) fn load_count(&self) -> usize {
        let weights = self.shared.weights.as_ref();
        weights.map_or(0, |weights| weights.load_count())
    }

    /// Sets the time between two events of all streams.
    pub(crate) fn set_event_interval(&self, interval: Duration) {
        let hosts = self.shared.hosts();
        let engines = hosts.iter().filter_map(|host| host.engine.as_ref());
        engines.for_each(|engine| engine.set_event_interval(interval));
    }

    /// Ends all engines at once.
    pub(crate) fn lose_power(&self) {
        let expires_at = Instant::now() + EXPIRY;
        let mut expiring = self.shared.expiring();
        let mut engines = Vec::new();
        for host in self.shared.hosts().iter_mut() {
            let Some(engine) = host.engine.take() else {
                continue;
            };
            host.staged = engine.staged();
            expiring.push((engine.id().to_owned(), expires_at));
            engines.push(engine);
        }
        drop(expiring);
        // Each one is joined when it is dropped.
        std::thread::scope(|scope| {
            for engine in engines {
                scope.spawn(move || drop(engine));
            }
        });
    }

    /// Starts all engines that have no power.
    pub(crate) fn return_power(&self, ids: ReturnedIds) {
        for host in self.shared.hosts().iter_mut() {
            if host.engine.is_none() {
                self.shared.start_one(host, ids);
            }
        }
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ends");
        }
    }
}

impl Shared {
    fn hosts(&self) -> MutexGuard<'_, Vec<Host>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expiring(&self) -> MutexGuard<'_, Vec<(String, Instant)>> {
        self.expiring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_one(&self, host: &mut Host, ids: ReturnedIds) {
        if ids == ReturnedIds::New {
            host.starts += 1;
        }
        let fabric_domain = host.place / DOMAIN_ENGINES;
        let setup = EngineSetup {
            id: format!("e-{}-{}-{}", host.domain, host.place, host.starts),
            service: "llm".to_owned(),
            zone: host.domain.clone(),
            kind: EngineKind::Model {
                domain: format!("{}-{fabric_domain}", host.domain),
            },
            events: STREAM_EVENTS,
            slots: ENGINE_SLOTS,
        };
        self.expiring().retain(|(id, _)| *id != setup.id);
        let engine = Engine::start(&self.store, setup).expect("an engine listens");
        engine.set_event_interval(EVENT_INTERVAL);
        if let Some(weights) = &self.weights {
            engine.use_weights(weights);
            engine.set_report_lag(REPORT_LAG);
            engine.set_staged(host.staged.take());
        }
        host.engine = Some(engine);
    }

    fn run(&self) {
        while !self.is_over.load(Ordering::Relaxed) {
            let now = Instant::now();
            for host in self.hosts().iter_mut() {
                if let Some(engine) = &host.engine {
                    engine.advance();
                }
            }
            self.expiring().retain(|(id, at)| {
                let is_kept = *at > now;
                if !is_kept {
                    self.store.unregister(id);
                }
                is_kept
            });
            std::thread::sleep(STEP);
        }
    }
}
