//! Simulates two groups of three VMs and a spare in one fabric domain, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_config::{Configuration, FailureDomain, Group, Model, Vm};
use sesamecart_fold::{Applied, Fold, Record};
use sesamecart_vocabulary::{
    Bytes, Epoch, Generation, GroupId, Incarnation, Revision, ShardId, Timestamp, VmId, Weight,
};

use crate::assignment::{AssignedGroup, AssignmentRequest, Assignments};
use crate::controller::{Controller, Effect, Event, VmState};
use crate::fleet::{Fleet, GroupPlan, ModelPlan, VmLocation};
use crate::order::{FencedOrder, OrderKind, OrderOutcome};
use crate::settings::GroupSettings;
use crate::state::{GroupReport, MemberReport};

pub(super) const STORE_RATE: Bytes = Bytes(25);
pub(super) const ENGINE_START: Duration = Duration::from_secs(4);
const VM_RATE: Bytes = Bytes(10);
const BYTES_PER_VM: Bytes = Bytes(50);
const TICK_INTERVAL: Duration = Duration::from_secs(1);
const VMS: [&str; 7] = ["a-0", "a-1", "a-2", "b-0", "b-1", "b-2", "spare-1"];

/// An order that was sent, and its outcome.
pub(super) struct SentOrder {
    pub(super) epoch: Epoch,
    pub(super) kind: OrderKind,
    pub(super) answer: OrderOutcome,
}

struct Engine {
    generation: Generation,
    incarnation: Incarnation,
    members: Vec<VmId>,
    /// When it becomes ready; never if a member has failed.
    ready_at: Timestamp,
}

/// A load and its remaining bytes.
struct LoadState {
    group: GroupId,
    version: String,
    remaining: Bytes,
}

/// The controller and the simulated systems that it interacts with.
pub(super) struct Simulation {
    pub(super) controller: Controller,
    pub(super) list: IndexMap<VmId, VmState>,
    pub(super) orders: Vec<SentOrder>,
    pub(super) granted: IndexMap<VmId, Bytes>,
    now: Timestamp,
    fold: Fold,
    fleet: Fleet,
    engines: IndexMap<GroupId, Engine>,
    loads: IndexMap<VmId, LoadState>,
    dead: IndexSet<VmId>,
    paused: IndexMap<VmId, Timestamp>,
    /// When the newest report of each group was requested, and whether the group was complete then.
    reported: IndexMap<GroupId, (Timestamp, bool)>,
    /// The highest epoch that the endpoints have seen.
    newest_epoch: Epoch,
}

impl Simulation {
    /// Starts both groups and waits until they are serving.
    pub(super) fn running() -> Self {
        let fleet = fleet();
        let settings = GroupSettings {
            store_rate: STORE_RATE,
            vm_rate: VM_RATE,
            ..GroupSettings::default()
        };
        let mut sim = Self {
            controller: Controller::new(settings),
            list: VMS.map(|vm| (vm.parse().unwrap(), VmState::Live)).into(),
            orders: Vec::new(),
            granted: IndexMap::new(),
            now: Timestamp::ZERO,
            fold: Fold::new(),
            fleet,
            engines: IndexMap::new(),
            loads: IndexMap::new(),
            dead: IndexSet::new(),
            paused: IndexMap::new(),
            reported: IndexMap::new(),
            newest_epoch: Epoch(0),
        };
        sim.publish_configuration();
        let epoch = sim.claim(None);
        sim.dispatch(Event::Fleet(Arc::new(sim.fleet.clone())));
        sim.dispatch(Event::EpochGained {
            shard: shard(),
            epoch,
        });
        sim.run(Duration::from_secs(40));
        assert!(sim.is_routable("a") && sim.is_routable("b"));
        sim.orders.clear();
        sim
    }

    pub(super) fn kill(&mut self, vm: &str) {
        let vm: VmId = vm.parse().unwrap();
        for engine in self
            .engines
            .values_mut()
            .filter(|e| e.members.contains(&vm))
        {
            engine.ready_at = Timestamp::NEVER;
        }
        self.list.swap_remove(&vm);
        self.loads.swap_remove(&vm);
        self.granted.swap_remove(&vm);
        self.dead.insert(vm);
    }

    pub(super) fn pause(&mut self, vm: &str, time: Duration) {
        self.paused.insert(vm.parse().unwrap(), self.now + time);
    }

    fn revive(&mut self, vm: &str) {
        let vm: VmId = vm.parse().unwrap();
        self.dead.swap_remove(&vm);
        self.list.insert(vm, VmState::Live);
    }

    pub(super) fn inject_fault(&mut self, kind: u8, target: u8) {
        let vm = VMS[usize::from(target) % VMS.len()];
        match kind % 6 {
            0 => self.kill(vm),
            1 | 2 => self.revive(vm),
            3 => self.pause(vm, Duration::from_secs(u64::from(target % 10))),
            4 if self.list.contains_key(&vm.parse::<VmId>().unwrap()) => {
                self.list.insert(vm.parse().unwrap(), VmState::Leaving);
            }
            _ => {
                let epoch = self.claim(Some(self.current_epoch()));
                self.dispatch(Event::EpochGained {
                    shard: shard(),
                    epoch,
                });
            }
        }
    }

    /// Claims the shard for another owner without notifying the controller.
    pub(super) fn claim_shard_for_another_owner(&mut self) {
        self.newest_epoch = self.claim(Some(self.current_epoch()));
    }

    pub(super) fn lose_shard(&mut self) {
        self.dispatch(Event::EpochLost(shard()));
    }

    pub(super) fn publish_version(&mut self, version: &str) {
        self.fleet.models[0].version = version.to_owned();
        self.dispatch(Event::Fleet(Arc::new(self.fleet.clone())));
    }

    pub(super) fn members(&self, group: &str) -> Vec<VmId> {
        self.fold
            .state()
            .members(&group.parse().unwrap())
            .cloned()
            .collect()
    }

    pub(super) fn version(&self, group: &str) -> &str {
        &self.fold.state().versions[&group.parse::<GroupId>().unwrap()]
    }

    pub(super) fn is_routable(&self, group: &str) -> bool {
        let routability = self.controller.routability(&group.parse().unwrap());
        routability.is_some_and(|routability| routability.is_routable(self.now))
    }

    pub(super) fn was_complete_when_polled(&self, group: &str) -> bool {
        let (asked_at, is_complete) = self.reported[&group.parse::<GroupId>().unwrap()];
        is_complete && self.now.since(asked_at) < GroupSettings::default().report_validity
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.step();
        }
    }

    fn step(&mut self) {
        self.advance_loads();
        self.dispatch(Event::VmList(self.list.clone()));
        let groups: Vec<GroupId> = self.fleet.groups.keys().cloned().collect();
        for group in groups {
            if let Some(report) = self.report(&group) {
                let is_complete = report.ready && report.members.len() == 3;
                self.reported.insert(group, (self.now, is_complete));
                self.dispatch(Event::Report(report));
            }
        }
        self.dispatch(Event::Tick);
    }

    fn dispatch(&mut self, event: Event) {
        for effect in self.controller.handle(event, self.now) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Append(request) => self.append_request(request),
            Effect::Order(order) => self.receive_order(order),
            Effect::Load {
                group,
                vm,
                version,
                bytes_per_s,
                ..
            } => {
                self.start_load(group, vm, version, bytes_per_s);
            }
            Effect::Publish { .. } => {}
        }
    }

    fn append_request(&mut self, request: AssignmentRequest) {
        let shard_epoch = self
            .controller
            .epochs
            .get(&shard())
            .copied()
            .unwrap_or_default();
        let record = request.clone().into_record(shard_epoch);
        if let Applied::Rejected(_) = self.append_record(&record) {
            self.dispatch(Event::Rejected(request));
        }
        let assignments = self.assignments();
        self.dispatch(Event::Assignments(Arc::new(assignments)));
    }

    fn append_record(&mut self, record: &Record) -> Applied {
        let next = self.fold.state().next_offset;
        self.fold.apply(next, next.0, &record.encode())
    }

    fn assignments(&self) -> Assignments {
        let state = self.fold.state();
        let group = |(group, generation): (&GroupId, &Generation)| {
            let assigned = AssignedGroup {
                generation: *generation,
                version: state.versions[group].clone(),
                members: state.members(group).cloned().collect(),
            };
            (group.clone(), assigned)
        };
        Assignments::new(state.generations.iter().map(group).collect())
    }

    fn receive_order(&mut self, order: FencedOrder) {
        let members = self.members(order.group.as_str());
        let has_loaded = |vm: &VmId| {
            let load = self.loads.get(vm);
            load.is_some_and(|l| l.group == order.group && l.remaining == Bytes(0))
        };
        let answer = if order.epoch < self.newest_epoch {
            OrderOutcome::Fenced(self.newest_epoch)
        } else if members
            .first()
            .is_none_or(|first| !self.is_responsive(first))
        {
            OrderOutcome::Unknown
        } else {
            self.newest_epoch = order.epoch;
            let can_start = members
                .iter()
                .all(|vm| self.is_responsive(vm) && has_loaded(vm));
            let incarnation = self
                .engines
                .get(&order.group)
                .map_or(0, |engine| engine.incarnation.0);
            let engine = Engine {
                generation: order.generation,
                incarnation: Incarnation(incarnation + 1),
                members,
                ready_at: if can_start {
                    self.now + ENGINE_START
                } else {
                    Timestamp::NEVER
                },
            };
            self.engines.insert(order.group.clone(), engine);
            OrderOutcome::Accepted
        };
        self.orders.push(SentOrder {
            epoch: order.epoch,
            kind: order.kind,
            answer,
        });
        self.dispatch(Event::OrderAnswered {
            group: order.group,
            answer,
        });
    }

    fn start_load(&mut self, group: GroupId, vm: VmId, version: String, rate: Bytes) {
        if self.dead.contains(&vm) {
            self.dispatch(Event::LoadFailed { group, vm });
            return;
        }
        let is_same = |l: &LoadState| l.group == group && l.version == version;
        if !self.loads.get(&vm).is_some_and(is_same) {
            let load = LoadState {
                group,
                version,
                remaining: BYTES_PER_VM,
            };
            self.loads.insert(vm.clone(), load);
        }
        self.granted.insert(vm.clone(), rate);
        self.dispatch_progress(&vm);
    }

    fn advance_loads(&mut self) {
        let loading: Vec<VmId> = self.granted.keys().cloned().collect();
        for vm in loading {
            let rate = self.granted[&vm];
            let Some(load) = self.loads.get_mut(&vm) else {
                continue;
            };
            load.remaining = load.remaining.saturating_sub(rate);
            if load.remaining == Bytes(0) {
                self.granted.swap_remove(&vm);
            }
            self.dispatch_progress(&vm);
        }
    }

    fn dispatch_progress(&mut self, vm: &VmId) {
        let load = &self.loads[vm];
        let event = Event::LoadProgress {
            group: load.group.clone(),
            vm: vm.clone(),
            version: load.version.clone(),
            remaining: load.remaining,
        };
        self.dispatch(event);
    }

    fn report(&self, group: &GroupId) -> Option<GroupReport> {
        let Some(engine) = self.engines.get(group) else {
            return Some(GroupReport {
                group: group.clone(),
                asked_at: self.now,
                incarnation: Incarnation(0),
                generation: Generation(0),
                ready: false,
                members: IndexMap::new(),
            });
        };
        if !self.is_responsive(engine.members.first()?) {
            return None;
        }
        let ready = engine.ready_at <= self.now;
        let member = MemberReport {
            incarnation: engine.incarnation,
            generation: engine.generation,
            ready,
        };
        let responsive = engine.members.iter().filter(|vm| self.is_responsive(vm));
        Some(GroupReport {
            group: group.clone(),
            asked_at: self.now,
            incarnation: engine.incarnation,
            generation: engine.generation,
            ready,
            members: responsive.map(|vm| (vm.clone(), member)).collect(),
        })
    }

    fn is_responsive(&self, vm: &VmId) -> bool {
        let paused = self.paused.get(vm).is_some_and(|until| self.now < *until);
        !paused && !self.dead.contains(vm)
    }

    fn current_epoch(&self) -> Epoch {
        self.fold.state().epoch(shard()).unwrap()
    }

    fn claim(&mut self, builds_on: Option<Epoch>) -> Epoch {
        let applied = self.append_record(&Record::Claim {
            shard: shard(),
            holder: "node-1".parse().unwrap(),
            incarnation: Incarnation(1),
            builds_on,
            voters: Vec::new(),
        });
        let Applied::Claimed { epoch, .. } = applied else {
            panic!("a claim that builds on the newest one was rejected: {applied:?}");
        };
        epoch
    }

    fn publish_configuration(&mut self) {
        let mut cfg = Configuration::default();
        let domain = FailureDomain {
            region: "r".parse().unwrap(),
        };
        cfg.failure_domains.insert("z".parse().unwrap(), domain);
        for (vm, place) in &self.fleet.vms {
            let place = Vm {
                failure_domain: place.failure_domain.clone(),
                fabric_domain: place.fabric_domain.clone(),
            };
            cfg.vms.insert(vm.clone(), place);
        }
        let model = Model {
            version: "1".to_owned(),
            vms_per_group: 3,
            adapters: IndexSet::new(),
        };
        cfg.models.insert("m".parse().unwrap(), model);
        for (id, plan) in &self.fleet.groups {
            let group = Group {
                model: plan.model.clone(),
                vms: plan.vms.clone(),
            };
            cfg.groups.insert(id.clone(), group);
        }
        self.append_record(&Record::Publish {
            publish_id: "p".parse().unwrap(),
            base_revision: Revision(0),
            author: "planner".to_owned(),
            from: "test".to_owned(),
            at_ms: 0,
            configuration: Box::new(cfg),
        });
    }
}

fn shard() -> ShardId {
    ShardId::of("f")
}

fn fleet() -> Fleet {
    let place = VmLocation {
        failure_domain: "z".parse().unwrap(),
        fabric_domain: "f".parse().unwrap(),
    };
    let model = ModelPlan {
        version: "1".to_owned(),
        vms_per_group: 3,
        bytes_per_vm: BYTES_PER_VM,
        value: Weight(1),
        adapters: IndexSet::new(),
    };
    let group = |name: &str| {
        let plan = GroupPlan {
            model: "m".parse().unwrap(),
            fabric_domain: "f".parse().unwrap(),
            vms: (0..3)
                .map(|vm| format!("{name}-{vm}").parse().unwrap())
                .collect(),
            checks_epoch: name == "a",
        };
        (name.parse().unwrap(), plan)
    };
    Fleet {
        vms: VMS.map(|vm| (vm.parse().unwrap(), place.clone())).into(),
        models: [("m".parse().unwrap(), model)].into(),
        groups: ["a", "b"].map(group).into(),
    }
}
