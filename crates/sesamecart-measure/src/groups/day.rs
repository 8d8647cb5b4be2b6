//! One day of one deployment under one policy, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_groups::{Assignments, Controller, Effect, Event, OrderOutcome, VmState};
use sesamecart_vocabulary::{Bytes, FabricDomainId, GroupId, ShardId, Timestamp, VmId};

use super::faults::{DAY, Dated};
use super::layout::Layout;
use super::log::Log;
use super::platform::{Platform, STORE_RATE};
use super::policy::Policy;
use super::rebuild::Rebuilder;
use super::tally::Tally;

/// The time between two polls of a group, and the step of virtual time.
///
/// The validity of a report is three of them; nodes poll twice as often.
pub(super) const STEP: Duration = Duration::from_secs(2);
/// How long a shard in which nothing is amiss any more is still played out.
pub(super) const SETTLE: Duration = Duration::from_secs(60);

/// One shard's owner and what it owns.
pub(super) struct Owner {
    pub(super) controller: Controller,
    pub(super) fabrics: IndexMap<FabricDomainId, Members>,
    pub(super) events: Vec<Event>,
    pub(super) awake_until: Timestamp,
    pub(super) rate: Bytes,
    /// The state of the VM list that it was told last.
    pub(super) told_list: u64,
}

#[derive(Default)]
pub(super) struct Members {
    pub(super) groups: Vec<GroupId>,
    pub(super) vms: Vec<VmId>,
}

/// One day as it goes on.
pub(super) struct Day<'a> {
    pub(super) layout: &'a Layout,
    pub(super) policy: Policy,
    pub(super) log: Log,
    pub(super) assignments: Arc<Assignments>,
    pub(super) platform: Platform,
    pub(super) owners: IndexMap<ShardId, Owner>,
    pub(super) shard_of_vm: IndexMap<VmId, ShardId>,
    pub(super) rebuilder: Rebuilder,
    pub(super) tally: Tally,
}

impl<'a> Day<'a> {
    /// Starts a day on which all groups run.
    pub(super) fn begin(layout: &'a Layout, policy: Policy) -> Self {
        let mut log = Log::default();
        log.publish(&layout.fleet);
        let fleet = Arc::new(layout.fleet.clone());
        let mut owners: IndexMap<ShardId, Owner> = IndexMap::new();
        let mut shard_of_vm = IndexMap::new();
        for (vm, place) in &layout.fleet.vms {
            let shard = ShardId::of(place.fabric_domain.as_str());
            let owner = owners.entry(shard).or_insert_with(|| Owner::new(policy));
            let members = owner
                .fabrics
                .entry(place.fabric_domain.clone())
                .or_default();
            members.vms.push(vm.clone());
            shard_of_vm.insert(vm.clone(), shard);
        }
        for (group, plan) in &layout.fleet.groups {
            let members = owners[&plan.shard()].fabrics.get_mut(&plan.fabric_domain);
            members
                .expect("a group's VMs lie there")
                .groups
                .push(group.clone());
        }
        for (shard, owner) in &mut owners {
            let epoch = log.claim(*shard);
            let now = Timestamp::ZERO;
            owner
                .controller
                .handle(Event::Fleet(Arc::clone(&fleet)), now);
            owner.controller.handle(
                Event::EpochGained {
                    shard: *shard,
                    epoch,
                },
                now,
            );
            let heard = now + Duration::from_secs(20);
            for effect in owner.controller.handle(Event::Tick, heard) {
                if let Effect::Append(request) = effect {
                    assert!(log.request(&request), "{request} is the first of its VMs");
                }
            }
        }
        let assignments = log.assignments();
        let platform = Platform::running(&layout.fleet, &assignments);
        let mut day = Self {
            layout,
            policy,
            log,
            assignments,
            platform,
            owners,
            shard_of_vm,
            rebuilder: Rebuilder::default(),
            tally: Tally::default(),
        };
        day.log.group_records = 0;
        day.settle_in();
        day
    }

    /// Lets all owners see that their groups serve, before the day's first fault.
    fn settle_in(&mut self) {
        let now = Timestamp::ZERO + Duration::from_secs(20);
        for owner in self.owners.values_mut() {
            owner
                .events
                .push(Event::Assignments(Arc::clone(&self.assignments)));
            owner.awake_until = now;
        }
        let mut at = Timestamp::ZERO;
        while at < now {
            at = at + STEP;
            self.step(at);
        }
        self.tally = Tally::default();
    }

    /// Plays the day out and returns what it cost.
    pub(super) fn play(mut self, faults: &[Dated]) -> Tally {
        let mut faults = faults.iter().peekable();
        let mut now = Timestamp::ZERO + Duration::from_secs(20);
        while now < DAY {
            now = now + STEP;
            while let Some(dated) = faults.next_if(|dated| dated.at <= now) {
                if let Some(vm) = self.platform.happen(&dated.fault, now) {
                    let owner = &mut self.owners[&self.shard_of_vm[&vm]];
                    owner.awake_until = owner.awake_until.max(now + SETTLE);
                } else {
                    self.tell_drains(now);
                }
            }
            self.step(now);
        }
        self.tally.records = self.log.group_records as f64;
        self.tally
    }

    fn tell_drains(&mut self, now: Timestamp) {
        for owner in self.owners.values_mut() {
            owner
                .events
                .push(Event::Drained(self.platform.drained.clone()));
            owner.awake_until = owner.awake_until.max(now + SETTLE);
        }
    }

    fn step(&mut self, now: Timestamp) {
        for progress in self.platform.advance(now, STEP) {
            if let Some(owner) = self.owner_of(&progress.group) {
                owner.events.push(Event::LoadProgress {
                    group: progress.group,
                    vm: progress.vm,
                    version: progress.version,
                    remaining: progress.remaining,
                });
            }
        }
        self.rebuild(now);
        let awake: Vec<ShardId> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.awake_until >= now)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in &awake {
            let effects = self.run_owner(*shard, now);
            self.carry_out(*shard, effects, now);
        }
        self.share_store(&awake);
        self.count(&awake, now);
    }

    /// Tells a shard's owner what it can see and returns what it wants done.
    fn run_owner(&mut self, shard: ShardId, now: Timestamp) -> Vec<Effect> {
        let owner = &mut self.owners[&shard];
        let mut effects = Vec::new();
        for event in owner.events.drain(..) {
            effects.extend(owner.controller.handle(event, now));
        }
        if owner.told_list != self.platform.list_changes {
            owner.told_list = self.platform.list_changes;
            let list = owner.list(&self.platform);
            effects.extend(owner.controller.handle(Event::VmList(list), now));
        }
        for group in owner.fabrics.values().flat_map(|members| &members.groups) {
            if let Some(report) = self.platform.report(group, now) {
                effects.extend(owner.controller.handle(Event::Report(report), now));
            }
        }
        effects.extend(owner.controller.handle(Event::Tick, now));
        effects
    }

    fn carry_out(&mut self, shard: ShardId, effects: Vec<Effect>, now: Timestamp) {
        let mut answers = Vec::new();
        let mut appended = false;
        for effect in effects {
            match effect {
                Effect::Append(request) => {
                    appended = true;
                    if !self.log.request(&request) {
                        answers.push(Event::Rejected(request));
                    }
                }
                Effect::Order(order) => answers.push(Event::OrderAnswered {
                    answer: self.platform.order(&order, &self.assignments, now),
                    group: order.group,
                }),
                Effect::Load {
                    group,
                    vm,
                    version,
                    bytes_per_s,
                    ..
                } => {
                    answers.push(self.load(group, vm, version, bytes_per_s));
                }
                Effect::Publish { .. } => {}
            }
        }
        if appended {
            self.assignments = self.log.assignments();
            answers.push(Event::Assignments(Arc::clone(&self.assignments)));
        }
        let owner = &mut self.owners[&shard];
        if answers.iter().any(|event| {
            !matches!(
                event,
                Event::OrderAnswered {
                    answer: OrderOutcome::Unknown,
                    ..
                }
            )
        }) {
            owner.awake_until = owner.awake_until.max(now + SETTLE);
        }
        owner.events.extend(answers);
    }

    fn load(&mut self, group: GroupId, vm: VmId, version: String, rate: Bytes) -> Event {
        let total = self
            .layout
            .fleet
            .model_of(&group)
            .map_or(Bytes(0), |m| m.bytes_per_vm);
        match self.platform.load(&group, &vm, &version, rate, total) {
            Some(progress) => Event::LoadProgress {
                group,
                vm,
                version,
                remaining: progress.remaining,
            },
            None => Event::LoadFailed { group, vm },
        }
    }

    /// Baseline: lays out anew the fabric domains in which a VM was lost or came back.
    fn rebuild(&mut self, now: Timestamp) {
        if self.policy != Policy::Rebuild {
            return;
        }
        for owner in self
            .owners
            .values_mut()
            .filter(|owner| owner.awake_until >= now)
        {
            let mut changed = false;
            for (fabric, members) in &owner.fabrics {
                let up = |vm: &&VmId| self.platform.is_up(vm);
                let usable = members.vms.iter().filter(up);
                let (groups, assigned) = (&members.groups, &*self.assignments);
                for request in self.rebuilder.plan(fabric, groups, usable, assigned, now) {
                    changed = true;
                    self.log.request(&request);
                }
            }
            if changed {
                self.assignments = self.log.assignments();
                owner
                    .events
                    .push(Event::Assignments(Arc::clone(&self.assignments)));
            }
        }
    }

    /// Splits the store's rate evenly among the owners that load, as its refusals would do in time.
    fn share_store(&mut self, awake: &[ShardId]) {
        let shards = self.platform.loading().map(|vm| self.shard_of_vm[vm]);
        let loading: IndexSet<ShardId> = shards.filter(|shard| awake.contains(shard)).collect();
        let part = Bytes(STORE_RATE.0 / (loading.len() as u64).max(1));
        for shard in loading {
            let owner = &mut self.owners[&shard];
            if owner.rate != part {
                owner.rate = part;
                owner.events.push(Event::StoreRate(part));
            }
        }
    }

    fn owner_of(&mut self, group: &GroupId) -> Option<&mut Owner> {
        let shard = self.layout.fleet.groups.get(group)?.shard();
        self.owners.get_mut(&shard)
    }
}

impl Owner {
    /// Returns the part of the platform's list that concerns this owner.
    fn list(&self, platform: &Platform) -> IndexMap<VmId, VmState> {
        let vms = self.fabrics.values().flat_map(|members| &members.vms);
        vms.filter_map(|vm| Some((vm.clone(), *platform.list.get(vm)?)))
            .collect()
    }

    fn new(policy: Policy) -> Self {
        Self {
            controller: Controller::new(policy.settings(3 * STEP)),
            fabrics: IndexMap::new(),
            events: Vec::new(),
            awake_until: Timestamp::ZERO,
            rate: STORE_RATE,
            told_list: 0,
        }
    }
}
