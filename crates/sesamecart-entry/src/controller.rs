//! Controls the serving groups while this node holds the lease.

mod engines;
mod lease;
mod observations;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use indexmap::IndexSet;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Fence, GroupKey, Planner, PlannerInput, Step};
use sesamecart_links::Links;
use sesamecart_platform::Store;
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::{ModelId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::controller::engines::Engines;
use crate::controller::lease::Lease;
use crate::controller::observations::follow_observations;
use crate::controller::steps::{Outcome, carry_out};
use crate::events::Event;
use crate::losses;

/// How often the plan is made anew when nothing has changed.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// How long an engine whose load didn't begin is left alone.
const REST_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// How long an engine that didn't answer is left alone; its entry has lapsed by then if it is gone.
const REST_AFTER_SILENCE: Duration = Duration::from_millis(4_500);

/// How often it is logged what the engines are used for.
const COUNT_EVERY: Duration = Duration::from_secs(2);

/// Takes the lease when it can, and acts while it holds it.
pub(crate) struct Controller {
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) store: Store,
    pub(crate) client: HttpClient,
    pub(crate) links: Links,
    pub(crate) tasks: Tasks,
    /// Told of each change of the registry.
    pub(crate) changed: Receiver<()>,
    /// Groups that this node found lost.
    pub(crate) found: Receiver<GroupKey>,
}

/// One term of control, under one lease.
struct Term {
    planner: Planner,
    engines: Arc<Engines>,
    outcomes: Receiver<Outcome>,
    tell: Sender<Outcome>,
    observed: Receiver<GroupKey>,
    /// Groups that are being examined or taken apart: all nodes report a loss at about once.
    handled: IndexSet<GroupKey>,
    /// When it was last logged what the engines are used for.
    counted_at: Timestamp,
    /// The models that were said to have no fabric domain that holds them.
    unservable: IndexSet<ModelId>,
    tasks: Tasks,
}

/// What woke the controller.
enum Woken {
    Plan,
    Found(GroupKey),
    Observed(GroupKey),
    Outcome(Outcome),
}

impl Controller {
    pub(crate) async fn run(self) {
        let mut formed = 0;
        let lease = Arc::new(Lease::new(Arc::clone(&self.beliefs), self.store.clone()));
        self.tasks.spawn(Arc::clone(&lease).keep());
        let mut term: Option<Term> = None;
        loop {
            let holds = lease.holds();
            match (&mut term, holds) {
                (None, Some(fence)) => term = Some(self.begin(&lease, fence, formed)),
                (Some(_), None) => {
                    if let Some(ended) = term.take() {
                        // Names of groups aren't given twice, also when the fence stays the same.
                        formed = ended.planner.formed();
                        self.beliefs.metrics.record_unservable(0);
                        ended.tasks.cancel().await;
                    }
                }
                _ => {}
            }
            let is_forming = term.as_ref().is_some_and(|term| term.planner.is_forming());
            self.beliefs.note_forming(is_forming);
            let woken = self.wait(term.as_ref()).await;
            self.act(term.as_mut(), woken).await;
        }
    }

    fn begin(&self, lease: &Arc<Lease>, fence: Fence, formed: u64) -> Term {
        let (tell, outcomes) = async_channel::unbounded();
        let (observe, observed) = async_channel::unbounded();
        let tasks = Tasks::new(Arc::clone(self.tasks.executor()));
        tasks.spawn(follow_observations(self.store.clone(), observe));
        Term {
            planner: Planner::new(fence, formed),
            handled: IndexSet::new(),
            counted_at: Timestamp::ZERO,
            unservable: IndexSet::new(),
            engines: Arc::new(Engines::new(
                Arc::clone(&self.beliefs),
                self.client.clone(),
                Arc::clone(lease),
            )),
            outcomes,
            tell,
            observed,
            tasks,
        }
    }

    async fn wait(&self, term: Option<&Term>) -> Woken {
        let plan = async {
            future::or(sleep(PLAN_EVERY), received(&self.changed)).await;
            Woken::Plan
        };
        let found = async { Woken::Found(received(&self.found).await) };
        let here = future::or(found, plan);
        let Some(term) = term else {
            return here.await;
        };
        let outcome = async { Woken::Outcome(received(&term.outcomes).await) };
        let observed = async { Woken::Observed(received(&term.observed).await) };
        future::or(future::or(outcome, observed), here).await
    }

    async fn act(&self, term: Option<&mut Term>, woken: Woken) {
        match (term, woken) {
            (Some(term), Woken::Found(key) | Woken::Observed(key)) => {
                term.start(Step::Examine(key), self);
            }
            (Some(term), Woken::Outcome(outcome)) => {
                term.take(outcome);
                // A start brings hundreds of outcomes at about once; a plan for each would take the
                // thread for a second.
                while let Ok(outcome) = term.outcomes.try_recv() {
                    term.take(outcome);
                }
                self.plan(term);
            }
            (Some(term), Woken::Plan) => self.plan(term),
            (None, Woken::Found(key)) => {
                losses::report(&self.beliefs, &self.store, &self.links, &key).await;
            }
            (None, _) => {}
        }
    }

    fn plan(&self, term: &mut Term) {
        let Some(catalog) = self.beliefs.catalog.load_full() else {
            return;
        };
        let directory = self.beliefs.directory.load_full();
        let now = clock::now();
        let counts = now.since(term.counted_at) >= COUNT_EVERY;
        if counts {
            term.counted_at = now;
        }
        let demand = self.beliefs.estimated_demand();
        for (service, known) in &catalog.services {
            let Some(spec) = &known.engine else { continue };
            if spec.models.is_empty() {
                continue;
            }
            let input = PlannerInput {
                service,
                spec,
                directory: &directory,
                in_traffic: self.beliefs.is_in_traffic(),
                demand: demand.as_ref(),
            };
            if counts {
                log_counts(&self.beliefs, &term.planner, &input);
            }
            let steps = term.planner.plan(now, &input);
            term.note_unservable(&self.beliefs, now, &input);
            for step in steps {
                term.start(step, self);
            }
        }
    }
}

fn log_counts(beliefs: &Beliefs, planner: &Planner, input: &PlannerInput<'_>) {
    let (models, empty) = planner.summary(input);
    for counts in models {
        beliefs.events.write(&Event::FleetCounted {
            model: counts.model.as_str(),
            open: counts.open,
            reachable: counts.reachable,
            forming: counts.forming,
            spare: counts.spare,
            loading: counts.loading,
            empty,
            needed: input.demand.map(|demand| demand.groups(&counts.model)),
        });
    }
}

/// Waits for the next message, for ever once nobody can send any more.
///
/// When the node stops, the senders' tasks are cancelled before the controller's. A closed channel
/// that counted as a message made the controller spin, so that its thread never came to cancel it and
/// the process ended only by the SIGKILL.
async fn received<T>(channel: &Receiver<T>) -> T {
    match channel.recv().await {
        Ok(message) => message,
        Err(_) => future::pending().await,
    }
}

impl Term {
    /// Says once which models can't be served, so that operators look for engines and not for a fault.
    fn note_unservable(&mut self, beliefs: &Beliefs, now: Timestamp, input: &PlannerInput<'_>) {
        let models = self.planner.unservable(now, input.spec);
        beliefs.metrics.record_unservable(models.len());
        let engines = input.directory.largest_fabric_domain(input.service);
        for known in &models {
            if self.unservable.contains(&known.model) {
                continue;
            }
            beliefs.events.write(&Event::ModelUnservable {
                model: known.model.as_str(),
                group_size: known.group_size,
                engines,
            });
        }
        self.unservable = models.iter().map(|known| known.model.clone()).collect();
    }

    fn take(&mut self, outcome: Outcome) {
        let now = clock::now();
        match outcome {
            Outcome::Joined { all: true, .. }
            | Outcome::Opened { opening: true, .. }
            | Outcome::Staged { begun: true, .. } => {}
            Outcome::Joined { key, .. } | Outcome::Opened { key, .. } => {
                self.planner.abandon(&key, now);
            }
            Outcome::Unreachable { key, silent } => {
                self.planner.abandon(&key, now);
                for endpoint in silent {
                    self.planner.quarantine(endpoint, now + REST_AFTER_SILENCE);
                }
            }
            Outcome::Staged { endpoint, .. } => {
                self.planner.not_loading(&endpoint);
                self.planner.quarantine(endpoint, now + REST_AFTER_FAILURE);
            }
            Outcome::Dissolved {
                key,
                head_is_out,
                untold,
            } => {
                self.handled.swap_remove(&key);
                if head_is_out {
                    self.planner.dissolved(&key);
                } else {
                    self.planner.rest_examination(&key, now);
                }
                for endpoint in untold {
                    self.planner.quarantine(endpoint, now + REST_AFTER_SILENCE);
                }
            }
            Outcome::Sound { key } => {
                self.handled.swap_remove(&key);
            }
        }
    }

    fn start(&mut self, step: Step, controller: &Controller) {
        if let Step::Examine(key) | Step::Dissolve(key) = &step {
            let is_known = self.planner.is_dissolved(key);
            if is_known || !self.handled.insert(key.clone()) {
                return;
            }
        }
        let engines = Arc::clone(&self.engines);
        let tell = self.tell.clone();
        let (beliefs, client) = (Arc::clone(&controller.beliefs), controller.client.clone());
        let announce = {
            let (beliefs, links) = (Arc::clone(&beliefs), controller.links.clone());
            let tasks = self.tasks.clone();
            move |key| tasks.spawn(losses::announce(beliefs, links, key))
        };
        self.tasks.spawn(async move {
            let outcome = carry_out(step, &beliefs, &client, &engines, announce).await;
            if let Some(outcome) = outcome {
                // Nobody listens when the term has ended, and then nothing depends on it.
                let _told = tell.send(outcome).await;
            }
        });
    }
}
