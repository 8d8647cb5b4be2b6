//! A small fake of what group control talks to, in virtual time.
//!
//! It keeps the truth about VMs and engines, and answers as docs/design/platform.md says: the list
//! of VMs lags, a group's front reports only while its own VM works, an engine dies with any of its
//! members, and the weight store gives a fixed rate.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_groups::{
    Assignments, FencedOrder, Fleet, GroupReport, MemberReport, OrderOutcome, VmState,
};
use sesamecart_vocabulary::{
    Bytes, FailureDomainId, Generation, GroupId, Incarnation, Timestamp, VmId,
};

use super::faults::Fault;

/// How far the platform's list of VMs lags.
const LIST_LAG: Duration = Duration::from_secs(12);
/// How long an engine takes to start once its members hold their weights.
pub(super) const ENGINE_START: Duration = Duration::from_secs(30);
/// What the weight store gives in a second.
pub(super) const STORE_RATE: Bytes = Bytes(20_000_000_000);

/// A VM as it really is.
#[derive(Clone, Debug)]
struct Vm {
    up: bool,
    paused_until: Timestamp,
    weights: Option<Weights>,
}

/// What a VM has loaded; it is of use only to the group it was loaded for, since every member holds
/// another part of the model.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Weights {
    group: GroupId,
    version: String,
    remaining: Bytes,
    rate: Bytes,
}

/// An engine as it really is.
#[derive(Clone, Debug)]
struct Engine {
    generation: Generation,
    incarnation: Incarnation,
    members: Vec<VmId>,
    state: EngineState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineState {
    Dead,
    Starting(Timestamp),
    Ready,
}

/// A load that has gone on.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) group: GroupId,
    pub(super) vm: VmId,
    pub(super) version: String,
    pub(super) remaining: Bytes,
}

#[derive(Debug)]
struct ListChange {
    due: Timestamp,
    vm: VmId,
    state: Option<VmState>,
}

/// The VMs, engines and the weight store.
#[derive(Debug)]
pub(super) struct Platform {
    vms: IndexMap<VmId, Vm>,
    engines: IndexMap<GroupId, Engine>,
    /// The engine that each VM was last told to join.
    joined: IndexMap<VmId, GroupId>,
    changes: VecDeque<ListChange>,
    pub(super) list: IndexMap<VmId, VmState>,
    /// How often the list has changed.
    pub(super) list_changes: u64,
    /// The VMs that have something to load.
    loading: IndexSet<VmId>,
    pub(super) drained: IndexSet<FailureDomainId>,
}

impl Platform {
    /// Makes a platform on which all groups of `assignments` run.
    pub(super) fn running(fleet: &Fleet, assignments: &Assignments) -> Self {
        let vm = |vm: &VmId| {
            let weights = assignments.owner(vm).map(|group| Weights {
                group: group.clone(),
                version: assignments
                    .group(group)
                    .map_or(String::new(), |g| g.version.clone()),
                remaining: Bytes(0),
                rate: Bytes(0),
            });
            let vm_state = Vm {
                up: true,
                paused_until: Timestamp::ZERO,
                weights,
            };
            (vm.clone(), vm_state)
        };
        let mut platform = Self {
            vms: fleet.vms.keys().map(vm).collect(),
            engines: IndexMap::new(),
            joined: IndexMap::new(),
            changes: VecDeque::new(),
            list: fleet
                .vms
                .keys()
                .map(|vm| (vm.clone(), VmState::Live))
                .collect(),
            list_changes: 1,
            loading: IndexSet::new(),
            drained: IndexSet::new(),
        };
        for (group, assigned) in assignments.groups() {
            let members: Vec<VmId> = assigned.members.iter().cloned().collect();
            platform.join(group, assigned.generation, members, EngineState::Ready);
        }
        platform
    }

    fn join(
        &mut self,
        group: &GroupId,
        generation: Generation,
        members: Vec<VmId>,
        state: EngineState,
    ) {
        for vm in &members {
            self.joined.insert(vm.clone(), group.clone());
        }
        let life = self
            .engines
            .get(group)
            .map_or(0, |engine| engine.incarnation.0);
        let engine = Engine {
            generation,
            incarnation: Incarnation(life + 1),
            members,
            state,
        };
        self.engines.insert(group.clone(), engine);
    }

    /// Lets a fault happen; returns the VM that it touches.
    pub(super) fn happen(&mut self, fault: &Fault, now: Timestamp) -> Option<VmId> {
        match fault {
            Fault::Notice(vm) => {
                self.list_later(vm, Some(VmState::Leaving), now);
                Some(vm.clone())
            }
            Fault::Down(vm) => {
                self.stop(vm);
                self.list_later(vm, None, now);
                Some(vm.clone())
            }
            Fault::Up(vm) => {
                self.vms[vm].up = true;
                self.list_later(vm, Some(VmState::Live), now);
                Some(vm.clone())
            }
            Fault::Pause(vm, until) => {
                self.vms[vm].paused_until = *until;
                Some(vm.clone())
            }
            Fault::Drain(domain) => {
                self.drained.insert(domain.clone());
                None
            }
            Fault::Undrain(domain) => {
                self.drained.swap_remove(domain);
                None
            }
        }
    }

    fn stop(&mut self, vm: &VmId) {
        let state = &mut self.vms[vm];
        state.up = false;
        state.weights = None;
        if let Some(engine) = self
            .joined
            .get(vm)
            .and_then(|group| self.engines.get_mut(group))
            && engine.members.contains(vm)
        {
            engine.state = EngineState::Dead;
        }
    }

    fn list_later(&mut self, vm: &VmId, state: Option<VmState>, now: Timestamp) {
        self.changes.push_back(ListChange {
            due: now + LIST_LAG,
            vm: vm.clone(),
            state,
        });
    }

    /// Brings the list, loads and engines to `now`; returns the loads that went on.
    pub(super) fn advance(&mut self, now: Timestamp, step: Duration) -> Vec<Progress> {
        while self.changes.front().is_some_and(|change| change.due <= now) {
            let change = self.changes.pop_front().expect("there is a first change");
            self.list_changes += 1;
            match change.state {
                Some(state) => self.list.insert(change.vm, state),
                None => self.list.swap_remove(&change.vm),
            };
        }
        for engine in self.engines.values_mut() {
            if let EngineState::Starting(ready_at) = engine.state
                && ready_at <= now
            {
                engine.state = EngineState::Ready;
            }
        }
        self.advance_loads(step)
    }

    /// Lets all loads go on; asked for more than it has, the store gives each its part.
    fn advance_loads(&mut self, step: Duration) -> Vec<Progress> {
        let vms = &self.vms;
        let weights = |vm: &VmId| vms[vm].weights.as_ref();
        self.loading
            .retain(|vm| weights(vm).is_some_and(|w| w.remaining > Bytes(0)));
        let asked: Bytes = self
            .loading
            .iter()
            .filter_map(weights)
            .map(|w| w.rate)
            .sum();
        if asked == Bytes(0) {
            return Vec::new();
        }
        let part = (STORE_RATE.0 as f64 / asked.0 as f64).min(1.0) * step.as_secs_f64();
        let mut progress = Vec::new();
        for vm in &self.loading {
            let weights = self.vms[vm].weights.as_mut();
            let Some(weights) = weights.filter(|weights| weights.rate > Bytes(0)) else {
                continue;
            };
            let loaded = Bytes((weights.rate.0 as f64 * part) as u64);
            weights.remaining = weights.remaining.saturating_sub(loaded);
            progress.push(Progress {
                group: weights.group.clone(),
                vm: vm.clone(),
                version: weights.version.clone(),
                remaining: weights.remaining,
            });
        }
        progress
    }

    /// Starts or goes on with a load; nothing if the VM doesn't take it.
    pub(super) fn load(
        &mut self,
        group: &GroupId,
        vm: &VmId,
        version: &str,
        rate: Bytes,
        total: Bytes,
    ) -> Option<Progress> {
        let state = self.vms.get_mut(vm).filter(|vm| vm.up)?;
        let same = |weights: &Weights| weights.group == *group && weights.version == version;
        if !state.weights.as_ref().is_some_and(same) {
            state.weights = Some(Weights {
                group: group.clone(),
                version: version.to_owned(),
                remaining: total,
                rate,
            });
        }
        let weights = state.weights.as_mut()?;
        weights.rate = rate;
        self.loading.insert(vm.clone());
        Some(Progress {
            group: group.clone(),
            vm: vm.clone(),
            version: version.to_owned(),
            remaining: weights.remaining,
        })
    }

    /// Returns the VMs that still have something to load.
    pub(super) fn loading(&self) -> impl Iterator<Item = &VmId> {
        self.loading.iter()
    }

    /// Takes an order to start a generation's members.
    pub(super) fn order(
        &mut self,
        order: &FencedOrder,
        assignments: &Assignments,
        now: Timestamp,
    ) -> OrderOutcome {
        let Some(assigned) = assignments.group(&order.group) else {
            return OrderOutcome::Unknown;
        };
        let members: Vec<VmId> = assigned.members.iter().cloned().collect();
        if !members.first().is_some_and(|front| self.works(front, now)) {
            return OrderOutcome::Unknown;
        }
        let holds = |vm: &VmId| {
            let weights = self.vms[vm].weights.as_ref();
            self.vms[vm].up
                && weights.is_some_and(|w| w.group == order.group && w.remaining == Bytes(0))
        };
        let state = if assigned.generation == order.generation && members.iter().all(holds) {
            EngineState::Starting(now + ENGINE_START)
        } else {
            EngineState::Dead
        };
        self.join(&order.group, order.generation, members, state);
        OrderOutcome::Accepted
    }

    /// Says whether a VM runs and isn't paused.
    pub(super) fn works(&self, vm: &VmId, now: Timestamp) -> bool {
        self.is_up(vm) && self.vms[vm].paused_until <= now
    }

    /// Says whether a VM runs.
    pub(super) fn is_up(&self, vm: &VmId) -> bool {
        self.vms.get(vm).is_some_and(|vm| vm.up)
    }

    /// Says whether a group really answers as a whole.
    pub(super) fn serves(&self, group: &GroupId, now: Timestamp) -> bool {
        self.engines.get(group).is_some_and(|engine| {
            engine.state == EngineState::Ready
                && engine
                    .members
                    .iter()
                    .all(|vm| self.works(vm, now) && self.joined.get(vm) == Some(group))
        })
    }

    /// Asks a group's front; nothing if its VM doesn't answer.
    pub(super) fn report(&self, group: &GroupId, now: Timestamp) -> Option<GroupReport> {
        let engine = self.engines.get(group)?;
        let front = engine.members.first()?;
        if !self.works(front, now) {
            return None;
        }
        let ready = engine.state == EngineState::Ready;
        let member = MemberReport {
            incarnation: engine.incarnation,
            generation: engine.generation,
            ready,
        };
        let seen = engine
            .members
            .iter()
            .filter(|vm| self.works(vm, now) && self.joined.get(*vm) == Some(group));
        Some(GroupReport {
            group: group.clone(),
            asked_at: now,
            incarnation: engine.incarnation,
            generation: engine.generation,
            ready,
            members: seen.map(|vm| (vm.clone(), member)).collect(),
        })
    }
}
