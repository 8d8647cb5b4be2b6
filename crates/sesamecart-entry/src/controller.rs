//! Controls the serving groups while this node holds the lease.

mod engines;
mod lease;

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Fence, Formation, GroupKey, Planner, PlannerInput, Step, Verdict};
use sesamecart_links::Links;
use sesamecart_platform::{Offset, Order, OrderOutcome, Read, Record, Store, Topic};
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::{EndpointId, ModelId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::controller::engines::Engines;
use crate::controller::lease::Lease;
use crate::events::Event;
use crate::losses;
use crate::watch::{self, Examined};

/// How often the plan is made anew when nothing has changed.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// How long an engine whose load didn't begin is left alone.
const REST_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// How long an engine that didn't answer is left alone; its entry has lapsed by then if it is gone.
const REST_AFTER_SILENCE: Duration = Duration::from_millis(4_500);

/// How long the store holds a read of observations that finds nothing.
const OBSERVATIONS_WAIT: Duration = Duration::from_millis(2_000);

/// How often it is logged what the engines are used for.
const COUNT_EVERY: Duration = Duration::from_secs(2);

/// How long a failed call to the store is followed by a rest.
const REST: Duration = Duration::from_millis(200);

/// What a step that was carried out brought.
#[derive(Debug)]
enum Outcome {
    /// The members were told to join, or some couldn't be.
    Joined { key: GroupKey, all: bool },
    /// Some members don't answer, so none was told to join.
    Unreachable {
        key: GroupKey,
        silent: Vec<EndpointId>,
    },
    /// The head was told to open, or couldn't be.
    Opened { key: GroupKey, opening: bool },
    /// A load has begun, or hasn't.
    Staged { endpoint: EndpointId, begun: bool },
    /// The head of a group is out of it, which ends the group, or members that could be told are.
    Dissolved {
        key: GroupKey,
        head_is_out: bool,
        untold: Vec<EndpointId>,
    },
    /// A group was examined and is sound.
    Sound { key: GroupKey },
}

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
            model: &counts.model,
            open: counts.open,
            forming: counts.forming,
            spare: counts.spare,
            loading: counts.loading,
            empty,
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
                    self.planner.hold(endpoint, now + REST_AFTER_SILENCE);
                }
            }
            Outcome::Staged { endpoint, .. } => {
                self.planner.not_loading(&endpoint);
                self.planner.hold(endpoint, now + REST_AFTER_FAILURE);
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
                    self.planner.hold(endpoint, now + REST_AFTER_SILENCE);
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

async fn carry_out(
    step: Step,
    beliefs: &Beliefs,
    client: &HttpClient,
    engines: &Engines,
    announce: impl FnOnce(GroupKey),
) -> Option<Outcome> {
    match step {
        Step::Join(formation) => Some(join(beliefs, engines, formation).await),
        Step::Open(formation) => {
            let head = formation.members.first()?;
            let order = Order::Open(formation.key.clone());
            let outcome = engines.order(head, &order).await;
            Some(Outcome::Opened {
                opening: is_done(&outcome),
                key: formation.key,
            })
        }
        Step::Stage { endpoint, model } => {
            let outcome = engines.order(&endpoint, &Order::Stage(model)).await;
            Some(Outcome::Staged {
                begun: is_done(&outcome),
                endpoint,
            })
        }
        Step::Close(key) => {
            let head = head_of(beliefs, &key)?;
            engines.order(&head, &Order::Close(key)).await;
            None
        }
        Step::Dissolve(key) => {
            let examined = Examined {
                verdict: Verdict::Lost,
                silent: Vec::new(),
            };
            Some(dissolve(beliefs, engines, key, examined).await)
        }
        Step::Examine(key) => {
            let examined = watch::examine(beliefs, client, &key).await;
            if examined.verdict == Verdict::Sound {
                return Some(Outcome::Sound { key });
            }
            beliefs.lose_group(&key);
            announce(key.clone());
            Some(dissolve(beliefs, engines, key, examined).await)
        }
    }
}

fn is_done(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Begun | OrderOutcome::Already)
}

async fn join(beliefs: &Beliefs, engines: &Engines, formation: Formation) -> Outcome {
    let members: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    beliefs.events.write(&Event::GroupPlanned {
        group: &formation.key.to_string(),
        model: formation.model.as_str(),
        members: &members.join(" "),
        fence: engines.fence().0,
    });
    let silent = engines.silent(&formation.members).await;
    if !silent.is_empty() {
        let key = formation.key;
        return Outcome::Unreachable { key, silent };
    }
    let order = Order::Join {
        key: formation.key.clone(),
        model: formation.model.clone(),
        members: formation.members.clone(),
    };
    let orders = formation.members.iter().map(|id| engines.order(id, &order));
    let all = join_all(orders).await.iter().all(is_done);
    Outcome::Joined {
        key: formation.key,
        all,
    }
}

fn head_of(beliefs: &Beliefs, key: &GroupKey) -> Option<EndpointId> {
    let head = watch::head_of(&beliefs.directory.load(), key);
    head.map(|head| head.id.clone())
}

/// Takes a group apart.
///
/// A member that joined elsewhere while the old head might still serve would be in two groups at once.
/// So the head leaves first, which ends the group; where it doesn't answer, each other member leaves
/// before it joins anything, without which the head can't serve.
async fn dissolve(
    beliefs: &Beliefs,
    engines: &Engines,
    key: GroupKey,
    examined: Examined,
) -> Outcome {
    let head = head_of(beliefs, &key);
    let order = Order::Leave(key.clone());
    let head_is_out = match (&head, examined.verdict) {
        (Some(head), Verdict::Lost | Verdict::Sound) => is_done(&engines.order(head, &order).await),
        _ => false,
    };
    let mut untold = examined.silent;
    if !head_is_out {
        let others: Vec<EndpointId> = {
            let directory = beliefs.directory.load();
            let members = directory.members(&key).map(|member| member.id.clone());
            members
                .filter(|id| Some(id) != head.as_ref() && !untold.contains(id))
                .collect()
        };
        let orders = others.iter().map(|id| engines.order(id, &order));
        let outcomes = join_all(orders).await;
        let failed = others.into_iter().zip(outcomes);
        untold.extend(
            failed
                .filter(|(_, outcome)| !is_done(outcome))
                .map(|(id, _)| id),
        );
        untold.extend(head);
    }
    Outcome::Dissolved {
        key,
        head_is_out,
        untold,
    }
}

/// Reads what other nodes tell the controller, from now on.
async fn follow_observations(store: Store, observe: Sender<GroupKey>) {
    let mut from: Option<Offset> = None;
    loop {
        let Some(at) = from else {
            // An offset past the end is answered with where the topic ends.
            match store
                .read(Topic::Observations, Offset(0), Duration::ZERO)
                .await
            {
                Ok(Read::Records { end, .. }) => from = Some(end),
                Ok(Read::Trimmed { first }) => from = Some(first),
                Err(_) => sleep(REST).await,
            }
            continue;
        };
        match store.read(Topic::Observations, at, OBSERVATIONS_WAIT).await {
            Ok(Read::Records { records, next, .. }) => {
                from = Some(next);
                for record in records {
                    let Some(key) = read_observation(&record) else {
                        continue;
                    };
                    if observe.send(key).await.is_err() {
                        return;
                    }
                }
            }
            Ok(Read::Trimmed { first }) => from = Some(first),
            Err(_) => sleep(REST).await,
        }
    }
}

fn read_observation(record: &Record) -> Option<GroupKey> {
    losses::parse_group(std::str::from_utf8(record.value.as_deref()?).ok()?)
}
