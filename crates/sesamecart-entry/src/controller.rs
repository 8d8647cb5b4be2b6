//! Plans and changes the serving groups while this node holds the control lease.

mod engines;
mod lease;
mod observations;
mod steps;
#[cfg(test)]
mod testkit;

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use indexmap::IndexSet;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{FencingToken, GroupKey, Planner, PlannerInput, Step, Urgency};
use sesamecart_links::Links;
use sesamecart_platform::Store;
use sesamecart_runtime::{Tasks, sleep_paced};
use sesamecart_vocabulary::{ModelId, Timestamp};

use crate::clock;
use crate::controller::engines::EngineClient;
use crate::controller::lease::Lease;
use crate::controller::observations::follow_observations;
use crate::controller::steps::{StepOutcome, execute};
use crate::events::Event;
use crate::loss_reports;
use crate::state::EntryState;

/// Interval between two plans when nothing has changed.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// How long an engine is quarantined after it didn't start a load.
const LOAD_FAILURE_QUARANTINE: Duration = Duration::from_millis(400);

/// How long an engine is quarantined after it didn't answer. If it has exited, its registry entry has expired
/// by then.
const NO_ANSWER_QUARANTINE: Duration = Duration::from_millis(4_500);

/// Interval at which the use of the engines is logged.
const FLEET_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Acquires the control lease when it is free, and manages the groups while it holds the lease.
pub(crate) struct Controller {
    pub(crate) state: Arc<EntryState>,
    pub(crate) store: Store,
    pub(crate) client: HttpClient,
    pub(crate) links: Links,
    pub(crate) tasks: Tasks,
    /// Gets a message after each change of the registry.
    pub(crate) registry_changed: Receiver<()>,
    /// Groups that this node found lost.
    pub(crate) lost_groups: Receiver<GroupKey>,
}

/// The state of one term as the controller: from the acquisition of the lease to its loss.
struct Term {
    planner: Planner,
    engines: Arc<EngineClient>,
    outcome_rx: Receiver<StepOutcome>,
    outcome_tx: Sender<StepOutcome>,
    /// Groups that other nodes reported as lost.
    reported_groups: Receiver<GroupKey>,
    /// Groups that are being probed or dissolved. Guards against duplicates, because all nodes report a loss
    /// at about the same time.
    in_progress: IndexSet<GroupKey>,
    /// When the use of the engines was last logged.
    logged_at: Timestamp,
    /// The models already logged as having no fabric domain that is large enough for a group.
    unservable: IndexSet<ModelId>,
    tasks: Tasks,
}

/// Why the controller woke up.
enum Wakeup {
    Plan,
    LossDetected(GroupKey),
    LossReported(GroupKey),
    Outcome(StepOutcome),
}

impl Controller {
    pub(crate) async fn run(self) {
        let mut formed = 0;
        let lease = Arc::new(Lease::new(Arc::clone(&self.state), self.store.clone()));
        self.tasks.spawn(Arc::clone(&lease).run());
        let mut term: Option<Term> = None;
        loop {
            let current_fence = lease.fence();
            match (&mut term, current_fence) {
                (None, Some(fence)) => term = Some(self.start_term(&lease, fence, formed)),
                (Some(_), None) => {
                    if let Some(ended) = term.take() {
                        // Names of groups must not be reused, even if the next term has the same fence.
                        formed = ended.planner.formed_count();
                        self.state.metrics.record_unservable(0);
                        ended.tasks.cancel().await;
                    }
                }
                _ => {}
            }
            let is_forming = term.as_ref().is_some_and(|term| term.planner.is_forming());
            self.state.set_forming(is_forming);
            let wakeup = self.wait(term.as_ref()).await;
            self.handle(term.as_mut(), wakeup).await;
        }
    }

    fn start_term(&self, lease: &Arc<Lease>, fence: FencingToken, formed: u64) -> Term {
        let (outcome_tx, outcome_rx) = async_channel::unbounded();
        let (report_tx, reported_groups) = async_channel::unbounded();
        let tasks = Tasks::new(Arc::clone(self.tasks.executor()));
        tasks.spawn(follow_observations(self.store.clone(), report_tx));
        Term {
            planner: Planner::new(fence, formed),
            in_progress: IndexSet::new(),
            logged_at: Timestamp::ZERO,
            unservable: IndexSet::new(),
            engines: Arc::new(EngineClient::new(
                Arc::clone(&self.state),
                self.client.clone(),
                Arc::clone(lease),
            )),
            outcome_rx,
            outcome_tx,
            reported_groups,
            tasks,
        }
    }

    async fn wait(&self, term: Option<&Term>) -> Wakeup {
        let plan = async {
            future::or(
                sleep_paced(PLAN_INTERVAL),
                recv_or_pend(&self.registry_changed),
            )
            .await;
            Wakeup::Plan
        };
        let detected = async { Wakeup::LossDetected(recv_or_pend(&self.lost_groups).await) };
        let leaving = &self.state.leaving_groups.receiver;
        let leaving = async { Wakeup::LossDetected(recv_or_pend(leaving).await) };
        let local = future::or(future::or(detected, leaving), plan);
        let Some(term) = term else {
            return local.await;
        };
        let outcome = async { Wakeup::Outcome(recv_or_pend(&term.outcome_rx).await) };
        let reported = async { Wakeup::LossReported(recv_or_pend(&term.reported_groups).await) };
        future::or(future::or(outcome, reported), local).await
    }

    async fn handle(&self, term: Option<&mut Term>, wakeup: Wakeup) {
        match (term, wakeup) {
            (Some(term), Wakeup::LossDetected(key) | Wakeup::LossReported(key)) => {
                term.start_step(Step::Examine(key), self);
            }
            (Some(term), Wakeup::Outcome(outcome)) => {
                term.apply(outcome);
                // When a deployment starts, hundreds of outcomes arrive at about the same time. A plan for
                // each of them would occupy the thread for a second.
                while let Ok(outcome) = term.outcome_rx.try_recv() {
                    term.apply(outcome);
                }
                self.plan(term);
            }
            (Some(term), Wakeup::Plan) => self.plan(term),
            (None, Wakeup::LossDetected(key)) => {
                loss_reports::report(&self.state, &self.store, &self.links, &key).await;
            }
            (None, _) => {}
        }
    }

    fn plan(&self, term: &mut Term) {
        let Some(catalog) = self.state.catalog.load_full() else {
            return;
        };
        let directory = self.state.directory.load_full();
        let now = clock::now();
        let is_log_due = now.since(term.logged_at) >= FLEET_LOG_INTERVAL;
        if is_log_due {
            term.logged_at = now;
        }
        let demand = self.state.estimated_demand();
        for (service, service_spec) in &catalog.services {
            let Some(spec) = &service_spec.engine else {
                continue;
            };
            // What this node can't reach isn't gone.
            if spec.models.is_empty() || self.state.reach.is_partitioned_from(service) {
                continue;
            }
            let capacities = self.state.group_capacities(now, &directory);
            let input = PlannerInput {
                service,
                spec,
                directory: &directory,
                has_traffic: self.state.is_in_traffic(),
                capacities: &capacities,
                demand: demand.as_ref(),
            };
            if is_log_due {
                log_fleet_counts(&self.state, &term.planner, &input);
            }
            let steps = term.planner.plan(now, &input);
            term.log_unservable(&self.state, now, &input);
            for step in steps {
                term.start_step(step, self);
            }
        }
    }
}

fn log_fleet_counts(state: &EntryState, planner: &Planner, input: &PlannerInput<'_>) {
    let (models, empty) = planner.summarize(input);
    for counts in models {
        state.events.write(&Event::FleetCounted {
            model: counts.model.as_str(),
            open: counts.open,
            reachable: counts.reachable,
            forming: counts.forming,
            spare: counts.spare,
            loading: counts.loading,
            empty,
            needed: input.demand.map(|demand| demand.groups(&counts.model)),
            urgency: input.demand.and_then(|demand| {
                let urgency = demand.urgency(&counts.model)?;
                Some(urgency.relative_to(Urgency::MOST))
            }),
        });
    }
}

/// Waits for the next message; waits forever once the channel is closed.
///
/// When the node stops, the tasks of the senders are cancelled before the controller's. If a closed channel
/// counted as a message, the controller would spin, its thread would never get to cancel it, and the process
/// would end only by the SIGKILL.
async fn recv_or_pend<T>(channel: &Receiver<T>) -> T {
    match channel.recv().await {
        Ok(message) => message,
        Err(_) => future::pending().await,
    }
}

impl Term {
    /// Logs once for each model that it can't be served, so that operators look for missing engines and not
    /// for a fault.
    fn log_unservable(&mut self, state: &EntryState, now: Timestamp, input: &PlannerInput<'_>) {
        let models = self.planner.unservable_models(now, input.spec);
        state.metrics.record_unservable(models.len());
        let engines = input.directory.largest_fabric_domain(input.service);
        for model in &models {
            if self.unservable.contains(&model.model) {
                continue;
            }
            state.events.write(&Event::ModelUnservable {
                model: model.model.as_str(),
                group_size: model.group_size,
                engines,
            });
        }
        self.unservable = models.iter().map(|model| model.model.clone()).collect();
    }

    fn apply(&mut self, outcome: StepOutcome) {
        let now = clock::now();
        match outcome {
            StepOutcome::Joined {
                accepted_by_all: true,
                key,
            }
            | StepOutcome::Opened {
                accepted: true,
                key,
            } => self.planner.record_begun(&key, now),
            StepOutcome::Staged { accepted: true, .. } => {}
            StepOutcome::Joined { key, .. } | StepOutcome::Opened { key, .. } => {
                self.planner.abandon_formation(&key, now);
            }
            StepOutcome::Unreachable { key, silent } => {
                self.planner.abandon_formation(&key, now);
                for endpoint in silent {
                    self.planner
                        .quarantine(endpoint, now + NO_ANSWER_QUARANTINE);
                }
            }
            StepOutcome::Staged { endpoint, .. } => {
                self.planner.cancel_load(&endpoint);
                self.planner
                    .quarantine(endpoint, now + LOAD_FAILURE_QUARANTINE);
            }
            StepOutcome::Dissolved {
                key,
                head_has_left,
                unconfirmed,
            } => {
                self.in_progress.swap_remove(&key);
                if head_has_left {
                    self.planner.record_dissolved(&key);
                } else {
                    self.planner.defer_examination(&key, now);
                }
                for endpoint in unconfirmed {
                    self.planner
                        .quarantine(endpoint, now + NO_ANSWER_QUARANTINE);
                }
            }
            StepOutcome::Sound { key } => {
                self.in_progress.swap_remove(&key);
            }
            StepOutcome::Undecided { key } => {
                self.in_progress.swap_remove(&key);
                self.planner.defer_examination(&key, now);
            }
        }
    }

    fn start_step(&mut self, step: Step, controller: &Controller) {
        if let Step::Examine(key) | Step::Dissolve(key) = &step {
            let is_dissolved = self.planner.is_dissolved(key);
            if is_dissolved || !self.in_progress.insert(key.clone()) {
                return;
            }
        }
        let engines = Arc::clone(&self.engines);
        let outcome_tx = self.outcome_tx.clone();
        let (state, client) = (Arc::clone(&controller.state), controller.client.clone());
        let links = controller.links.clone();
        let announce = {
            let (state, links) = (Arc::clone(&state), controller.links.clone());
            let tasks = self.tasks.clone();
            move |key| tasks.spawn(loss_reports::announce(state, links, key))
        };
        self.tasks.spawn(async move {
            let outcome = execute(step, &state, &client, &links, &engines, announce).await;
            if let Some(outcome) = outcome {
                // The receiver is gone if the term has ended, and then the outcome isn't needed.
                let _sent = outcome_tx.send(outcome).await;
            }
        });
    }
}
