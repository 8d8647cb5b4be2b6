//! The task that checks interrupted runs, publishes this node's evidence and decides which requests to block.

use std::sync::Arc;
use std::time::Duration;

use async_lock::OnceCell;
use futures_lite::future;
use futures_util::future::{join_all, join3};
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{
    BlockChange, CrashReport, Directory, Endpoint, EndpointCrash, NeighborCheck,
};
use sesamecart_platform::{Record, Store, Topic};
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::{Fingerprint, NodeId, Timestamp};

use crate::clock;
use crate::crashes::InterruptedRun;
use crate::crashes::probe::{Liveness, probe};
use crate::events::{Event, unix_millis};
use crate::follower::millis;
use crate::reach::check_links;
use crate::state::EntryState;

/// Interval of the checks for due reports and decisions.
const TICK: Duration = Duration::from_millis(100);

/// The same interval while there is only evidence of other nodes.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// How long changes are collected, because a crash interrupts many runs at once.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// The delay before a report that the store didn't accept is published again.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long it is remembered that an endpoint has crashed, for further runs that were interrupted there.
const CRASHED_TTL: Duration = Duration::from_secs(8);

/// How long it is remembered that an endpoint hasn't crashed. It may crash a moment later.
const NOT_CRASHED_TTL: Duration = Duration::from_millis(200);

/// The maximum number of endpoints near a crashed one that are checked.
const MAX_CHECKED_NEIGHBORS: usize = 6;

/// Watches crashes of endpoints until the task is dropped.
#[derive(Clone, Debug)]
pub(crate) struct CrashMonitor {
    state: Arc<EntryState>,
    store: Store,
    client: HttpClient,
    tasks: Tasks,
}

/// The checks of endpoints, each shared by the runs that were interrupted there.
#[derive(Default)]
struct Checks(IndexMap<EndpointCrash, SharedCheck>);

struct SharedCheck {
    started_at: Timestamp,
    has_crashed: Arc<OnceCell<bool>>,
}

impl Checks {
    fn of(&mut self, crash: &EndpointCrash) -> Arc<OnceCell<bool>> {
        let now = clock::now();
        self.0.retain(|_, check| {
            let age = now.since(check.started_at);
            match check.has_crashed.get() {
                None => true,
                Some(true) => age < CRASHED_TTL,
                Some(false) => age < NOT_CRASHED_TTL,
            }
        });
        let check = self.0.entry(crash.clone());
        let check = check.or_insert_with(|| SharedCheck {
            started_at: now,
            has_crashed: Arc::default(),
        });
        Arc::clone(&check.has_crashed)
    }
}

impl CrashMonitor {
    pub(crate) const fn new(
        state: Arc<EntryState>,
        store: Store,
        client: HttpClient,
        tasks: Tasks,
    ) -> Self {
        Self {
            state,
            store,
            client,
            tasks,
        }
    }

    pub(crate) async fn run(self) {
        let checks = self.check_interrupted_runs();
        join3(checks, self.decide_when_due(), self.share()).await;
    }

    async fn check_interrupted_runs(&self) {
        let mut checks = Checks::default();
        while let Ok(run) = self.state.crashes.to_check.recv().await {
            let has_crashed = checks.of(&run.crash);
            let monitor = self.clone();
            self.tasks.spawn(async move {
                monitor.check_run(run, &has_crashed).await;
            });
        }
    }

    /// Records a run as evidence if its endpoint has crashed.
    async fn check_run(&self, run: InterruptedRun, has_crashed: &OnceCell<bool>) {
        let check = self.has_crashed(&run);
        if *has_crashed.get_or_init(|| check).await && !self.is_mass_loss(&run).await {
            self.record_crash(&run);
        }
        self.state.crashes.end_check(&run.suspects, &run.crash);
        run.checked.close();
    }

    /// Returns whether a crash that may lead to a block is part of a larger loss, so that no request is its
    /// cause.
    async fn is_mass_loss(&self, run: &InterruptedRun) -> bool {
        if !run.context.is_last_chance {
            return false;
        }
        let neighbors = self.check_neighbors(run).await;
        if neighbors.is_mass_loss() {
            let mut tracker = self.state.crashes.tracker();
            tracker.record_excused_crash(clock::now(), run.crash.clone());
            drop(tracker);
            self.state.events.write(&Event::CrashExcused {
                fingerprint: run.suspects.request,
                endpoint: run.crash.endpoint.as_str(),
                checked: neighbors.checked,
                stopped: neighbors.stopped,
            });
        }
        neighbors.is_mass_loss()
    }

    fn record_crash(&self, run: &InterruptedRun) {
        let now = clock::now();
        let has_failed = run.has_failed();
        let request = run.suspects.request;
        let suspicion = {
            let mut tracker = self.state.crashes.tracker();
            let unchecked = &run.context.unchecked;
            tracker.record_crash(now, run.crashed_run(), unchecked, run.origin.clone());
            if has_failed {
                tracker.record_failure(now, &request);
            }
            tracker.suspicion(&request)
        };
        self.state.metrics.count_crashed_run();
        self.state.events.write(&Event::CrashSuspected {
            fingerprint: request,
            endpoint: run.crash.endpoint.as_str(),
            crashes: suspicion.crashes,
        });
        self.state.crashes.notify();
    }

    /// Returns whether the endpoint of an interrupted run has crashed, rather than closed one connection or
    /// left as planned.
    async fn has_crashed(&self, run: &InterruptedRun) -> bool {
        let crash = &run.crash;
        let directory = self.state.directory.load_full();
        let endpoint = directory.find(&crash.endpoint);
        if !endpoint.is_some_and(|endpoint| directory.takes_work(endpoint)) {
            return false;
        }
        let liveness = probe(&self.client, run.address, crash.incarnation).await;
        liveness == Liveness::Stopped && !self.are_links_lost(&directory, crash).await
    }

    /// Returns whether this node reaches no other endpoint either. Its connections are then refused by the
    /// network, which says nothing about the endpoint.
    async fn are_links_lost(&self, directory: &Directory, crash: &EndpointCrash) -> bool {
        let Some(endpoint) = directory.find(&crash.endpoint) else {
            return false;
        };
        let subject = crash.endpoint.as_str();
        let service = &endpoint.service;
        let is_suspect = |other: &Endpoint| other.id == crash.endpoint;
        let check = check_links(&self.state, &self.client, subject, service, is_suspect).await;
        if check.are_links_lost() {
            self.state.reach.suspect(service);
        }
        check.are_links_lost()
    }

    async fn decide_when_due(&self) {
        loop {
            self.wait_for_work().await;
            self.decide();
            self.log_changes();
        }
    }

    async fn share(&self) {
        loop {
            self.wait_for_work().await;
            self.expire().await;
            if !self.publish().await {
                sleep(PUBLISH_RETRY_DELAY).await;
            }
        }
    }

    /// Waits until the evidence changes or, if there is any, until the next check.
    async fn wait_for_work(&self) {
        let changed = self.state.crashes.listen();
        match self.tick_interval() {
            Some(interval) => future::or(changed, sleep(interval)).await,
            None => changed.await,
        }
        sleep(BATCH_DELAY).await;
    }

    /// Returns the time until the next check, or `None` if there is no evidence at all.
    fn tick_interval(&self) -> Option<Duration> {
        let tracker = self.state.crashes.tracker();
        if tracker.has_pending_work() {
            Some(TICK)
        } else if tracker.is_empty() {
            None
        } else {
            Some(IDLE_TICK)
        }
    }

    /// Removes old evidence, and on the controller also the reports of nodes that have stopped for good.
    async fn expire(&self) {
        let stopped = self.state.crashes.tracker().expire(clock::now());
        for node in stopped {
            if self.state.is_controller() {
                self.append(&node, None).await;
            }
        }
    }

    /// Blocks the requests whose last crash was observed by this node and has no other explanation.
    fn decide(&self) {
        let now = clock::now();
        let mut tracker = self.state.crashes.tracker();
        for due in tracker.due_decisions(now) {
            tracker.block(now, unix_millis(), &due);
        }
    }

    /// Checks whether endpoints near a crashed one have stopped at the same time.
    async fn check_neighbors(&self, run: &InterruptedRun) -> NeighborCheck {
        let neighbors = self.neighbors(run);
        let probes = neighbors
            .iter()
            .map(|endpoint| probe(&self.client, endpoint.address, endpoint.incarnation));
        let results = join_all(probes).await;
        let stopped = results
            .iter()
            .filter(|liveness| matches!(liveness, Liveness::Stopped | Liveness::Unreachable));
        NeighborCheck {
            checked: neighbors.len(),
            stopped: stopped.count(),
        }
    }

    /// Returns the endpoints that a loss of the crashed one's fabric domain or failure domain would include.
    /// Members of its own group, and endpoints that crashed separately, say nothing about that.
    fn neighbors(&self, run: &InterruptedRun) -> Vec<Arc<Endpoint>> {
        let directory = self.state.directory.load_full();
        let Some(crashed) = directory.find(&run.crash.endpoint) else {
            return Vec::new();
        };
        let now = clock::now();
        let suspects: Vec<Fingerprint> = run.suspects.fingerprints().collect();
        let tracker = self.state.crashes.tracker();
        let group = crashed.group_key();
        let others = directory.listed().filter(|other| {
            other.service == crashed.service
                && other.failure_domain == crashed.failure_domain
                && other.id != crashed.id
                && (group.is_none() || other.group_key() != group)
                && !tracker.is_separate_crash(now, &suspects, &EndpointCrash::of(other))
        });
        let mut others: Vec<Arc<Endpoint>> = others.cloned().collect();
        fastrand::shuffle(&mut others);
        others.sort_by_key(|other| other.fabric_domain != crashed.fabric_domain);
        others.truncate(MAX_CHECKED_NEIGHBORS);
        others
    }

    /// Publishes this node's report if it is due. Returns whether the store accepted it.
    async fn publish(&self) -> bool {
        let nodes = self.state.nodes.load().len();
        let now = clock::now();
        let Some(report) = self.state.crashes.tracker().due_report(now, nodes) else {
            return true;
        };
        let is_accepted = self.append(&self.state.settings.node, Some(&report)).await;
        if is_accepted {
            let mut tracker = self.state.crashes.tracker();
            tracker.record_published(now, report);
        }
        is_accepted
    }

    /// Appends a node's report, or its withdrawal, to the topic that all nodes follow. Returns whether the
    /// store accepted it.
    async fn append(&self, node: &NodeId, report: Option<&CrashReport>) -> bool {
        let report = report.filter(|report| !report.is_empty());
        let published = report.map(|report| self.state.crashes.next_published(report.clone()));
        let value = match published.as_ref().map(serde_json::to_vec).transpose() {
            Ok(value) => value,
            Err(error) => {
                log::error!("crashes: the report can't be serialized: {error}.");
                return false;
            }
        };
        let record = Record {
            key: Some(node.to_string()),
            value,
        };
        let appended = self.store.append(Topic::Crashes, &record).await;
        if let Err(error) = &appended {
            self.state.metrics.count_store_failure();
            log::debug!("crashes: {error}.");
        }
        appended.is_ok()
    }

    /// Logs which requests are blocked since the last call, and which aren't any more.
    fn log_changes(&self) {
        let (changes, blocked, suspected) = {
            let mut tracker = self.state.crashes.tracker();
            let changes = tracker.take_changes();
            (
                changes,
                tracker.blocked().count(),
                tracker.suspected_count(),
            )
        };
        self.state.metrics.record_suspected(suspected);
        self.state.metrics.record_blocked(blocked);
        for change in changes {
            match change {
                BlockChange::Started(block) => {
                    let endpoints: Vec<&str> =
                        block.endpoints.iter().map(|id| id.as_str()).collect();
                    let customer = block.origin.customer.as_ref();
                    self.state.events.write(&Event::RequestBlocked {
                        fingerprint: block.request,
                        part: block.part.as_deref().unwrap_or_default(),
                        route: &block.origin.route,
                        customer: customer.map_or("", |customer| customer.as_str()),
                        endpoints: &endpoints,
                        since_unix_ms: block.since_unix_ms,
                    });
                }
                BlockChange::Ended {
                    request,
                    cause,
                    duration,
                } => self.state.events.write(&Event::RequestUnblocked {
                    fingerprint: request,
                    cause: &cause.to_string(),
                    blocked_ms: millis(duration),
                }),
            }
        }
    }
}

#[cfg(test)]
mod tests;
