//! The group controller's loop in the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};
use sesamecart_config::Configuration;
use sesamecart_edges::{HttpClient, Log, VmList, VmRole, WeightStore};
use sesamecart_fold::DrainTarget;
use sesamecart_groups::{Controller, Effect, Event, Fleet, GroupSettings, OrderOutcome, VmState};
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::{Bytes, EndpointId, Epoch, GroupId, ShardId, Timestamp, VmId};

use super::carry::{Carrier, LoadStep, WantedLoad};
use super::fleet::{assignments_of, endpoint_of, fleet_of};
use super::load::fetch_load;
use crate::shared::Shared;

/// The time between two polls of the groups that are controlled here.
const POLL: Duration = Duration::from_secs(1);
/// The time between two reads of the VM list, which lags by more.
const LIST_POLL: Duration = Duration::from_secs(5);
/// The least rate that an owner goes down to when the store refuses.
const LEAST_RATE: Bytes = Bytes(100_000_000);

/// The controller of the groups whose shards this node holds, and what it needs to act.
#[derive(Debug)]
pub(crate) struct Duty {
    carrier: Carrier,
    vm_list: Option<Arc<dyn VmList>>,
    tasks: Tasks,
    controller: Controller,
    cfg: Arc<Configuration>,
    fleet: Arc<Fleet>,
    held: IndexMap<ShardId, Epoch>,
    loads: IndexMap<VmId, Load>,
    full_rate: Bytes,
    rate: Bytes,
    listed_at: Option<Timestamp>,
    news: (async_channel::Sender<Event>, async_channel::Receiver<Event>),
}

/// A load that the store has taken on.
#[derive(Debug)]
struct Load {
    wanted: WantedLoad,
    bytes: Bytes,
    done_at: Option<Timestamp>,
}

impl Duty {
    pub(crate) fn new(
        shared: Arc<Shared>,
        log: Arc<dyn Log>,
        store: Arc<dyn WeightStore>,
        vm_list: Option<Arc<dyn VmList>>,
        client: HttpClient,
        tasks: Tasks,
    ) -> Self {
        let settings = GroupSettings::default();
        let rate = settings.store_rate;
        Self {
            carrier: Carrier {
                shared,
                log,
                store,
                client,
            },
            vm_list,
            tasks,
            controller: Controller::new(settings),
            cfg: Arc::default(),
            fleet: Arc::default(),
            held: IndexMap::new(),
            loads: IndexMap::new(),
            full_rate: rate,
            rate,
            listed_at: None,
            news: async_channel::unbounded(),
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            sleep(POLL).await;
            if self.carrier.shared.unready_because().is_some() {
                continue;
            }
            self.take_state();
            if self.held.is_empty() {
                continue;
            }
            self.read_list().await;
            self.poll().await;
            self.go_on_loading().await;
            self.tell(Event::Tick);
        }
    }

    fn now(&self) -> Timestamp {
        self.carrier.shared.clock.now()
    }

    /// Tells the controller what the fold and the leases have changed.
    fn take_state(&mut self) {
        let folded = &self.carrier.shared.folded;
        let (cfg, assignments, drained) = folded.with(|state| {
            let domains = state.drains.keys().filter_map(|target| match target {
                DrainTarget::FailureDomain(domain) => Some(domain.clone()),
                _ => None,
            });
            let drained: IndexSet<_> = domains.collect();
            (
                Arc::clone(&state.configuration),
                assignments_of(state),
                drained,
            )
        });
        if !Arc::ptr_eq(&cfg, &self.cfg) {
            self.fleet = Arc::new(fleet_of(&cfg));
            self.cfg = cfg;
            self.tell(Event::Fleet(Arc::clone(&self.fleet)));
        }
        let held = self.held_shards();
        let lost: Vec<ShardId> = self
            .held
            .keys()
            .filter(|s| !held.contains_key(*s))
            .copied()
            .collect();
        for shard in lost {
            self.tell(Event::EpochLost(shard));
        }
        for (shard, epoch) in &held {
            if self.held.get(shard) != Some(epoch) {
                self.tell(Event::EpochGained {
                    shard: *shard,
                    epoch: *epoch,
                });
            }
        }
        self.held = held;
        self.tell(Event::Drained(drained));
        self.tell(Event::Assignments(Arc::new(assignments)));
        while let Ok(event) = self.news.1.try_recv() {
            self.tell(event);
        }
    }

    /// Returns the held shards that control groups.
    fn held_shards(&self) -> IndexMap<ShardId, Epoch> {
        let shards: IndexSet<ShardId> = self
            .fleet
            .groups
            .values()
            .map(|plan| plan.shard())
            .collect();
        let held = |shard: ShardId| Some((shard, self.carrier.shared.may_act(shard)?));
        shards.into_iter().filter_map(held).collect()
    }

    fn groups(&self) -> Vec<GroupId> {
        let held = self
            .fleet
            .groups
            .iter()
            .filter(|(_, plan)| self.held.contains_key(&plan.shard()));
        held.map(|(group, _)| group.clone()).collect()
    }

    fn front(&self, group: &GroupId) -> Option<(EndpointId, SocketAddr)> {
        let id = endpoint_of(&self.cfg, group)?;
        Some((id.clone(), self.cfg.endpoints.get(id)?.address))
    }

    async fn read_list(&mut self) {
        let now = self.now();
        let due = self.listed_at.is_none_or(|at| now.since(at) >= LIST_POLL);
        let Some(list) = self.vm_list.clone().filter(|_| due) else {
            return;
        };
        self.listed_at = Some(now);
        match list.read().await {
            Ok(vms) => {
                let back = vms.into_iter().filter(|vm| vm.role == VmRole::Backend);
                let vms: IndexMap<VmId, VmState> =
                    back.map(|vm| (vm.vm, state_of(vm.state))).collect();
                // A list without back ends says nothing about them.
                if !vms.is_empty() {
                    self.tell(Event::VmList(vms));
                }
            }
            Err(error) => log::warn!("groups: {error}."),
        }
    }

    async fn poll(&mut self) {
        let client = &self.carrier.client;
        let asked_at = self.now();
        let reads = self.groups().into_iter().filter_map(|group| {
            let (_, peer) = self.front(&group)?;
            Some(async move {
                let load = fetch_load(client, peer).await?;
                Some(load.of_group(group, asked_at))
            })
        });
        for report in join_all(reads).await.into_iter().flatten() {
            self.tell(Event::Report(report));
        }
    }

    /// Asks the store for loads that it hasn't taken on yet, and counts those that are done.
    async fn go_on_loading(&mut self) {
        let now = self.now();
        let open = self.loads.values().filter(|load| load.done_at.is_none());
        let open: Vec<WantedLoad> = open.map(|load| load.wanted.clone()).collect();
        let carrier = &self.carrier;
        let steps = join_all(open.iter().map(|load| carrier.load(load))).await;
        for (wanted, step) in open.iter().zip(steps) {
            match step {
                LoadStep::Running { bytes, done_after } => {
                    self.set_rate(Bytes(self.rate.0 + self.full_rate.0 / 20));
                    if let Some(load) = self.loads.get_mut(&wanted.vm) {
                        load.bytes = bytes;
                        load.done_at = Some(now + done_after);
                    }
                }
                LoadStep::OutOfRate => self.set_rate(Bytes(self.rate.0 / 2)),
                LoadStep::Failed => {}
            }
        }
        let done = self
            .loads
            .values()
            .filter(|load| load.done_at.is_some_and(|at| at <= now));
        let done: Vec<WantedLoad> = done.map(|load| load.wanted.clone()).collect();
        for load in done {
            self.loads.swap_remove(&load.vm);
            self.tell(Event::LoadProgress {
                group: load.group,
                vm: load.vm,
                version: load.version,
                remaining: Bytes(0),
            });
        }
    }

    fn set_rate(&mut self, rate: Bytes) {
        self.rate = rate.clamp(LEAST_RATE, self.full_rate);
        self.tell(Event::StoreRate(self.rate));
    }

    fn tell(&mut self, event: Event) {
        let now = self.now();
        for effect in self.controller.handle(event, now) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append(request) => {
                let plan = self.fleet.groups.get(request.group());
                let epoch = plan.and_then(|plan| self.held.get(&plan.shard()));
                if let Some(epoch) = epoch.copied() {
                    let carrier = self.carrier.clone();
                    self.spawn(async move { carrier.append(request, epoch).await });
                }
            }
            Effect::Order(order) => {
                let Some((endpoint, peer)) = self.front(&order.group) else {
                    let answer = OrderOutcome::Unknown;
                    let event = Event::OrderAnswered {
                        group: order.group,
                        answer,
                    };
                    self.spawn(async move { Some(event) });
                    return;
                };
                let carrier = self.carrier.clone();
                self.spawn(async move { Some(carrier.order(order, endpoint, peer).await) });
            }
            Effect::Load {
                group,
                vm,
                model,
                version,
                bytes_per_s,
            } => {
                let wanted = WantedLoad {
                    group,
                    vm,
                    model,
                    version,
                };
                self.want(wanted, bytes_per_s);
            }
            Effect::Publish { group, routability } => {
                log::debug!("groups: {group}: {routability}.");
            }
        }
    }

    /// Notes a load to ask the store for, or drops one that is to pause.
    fn want(&mut self, wanted: WantedLoad, rate: Bytes) {
        if rate == Bytes(0) {
            self.loads.swap_remove(&wanted.vm);
            return;
        }
        let load = Load {
            wanted,
            bytes: Bytes(0),
            done_at: None,
        };
        self.loads.entry(load.wanted.vm.clone()).or_insert(load);
    }

    /// Lets work go on beside the loop and brings its news back to it.
    fn spawn(&self, work: impl Future<Output = Option<Event>> + Send + 'static) {
        let news = self.news.0.clone();
        self.tasks.spawn(async move {
            if let Some(event) = work.await {
                // The loop has ended when nobody receives.
                let _ended = news.send(event).await;
            }
        });
    }
}

fn state_of(state: sesamecart_edges::VmState) -> VmState {
    match state {
        sesamecart_edges::VmState::Live => VmState::Live,
        sesamecart_edges::VmState::Leaving => VmState::Leaving,
    }
}
