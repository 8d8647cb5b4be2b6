//! Decides which engines form which groups and which models are loaded in advance.
//!
//! The planner has to cope with engines that are lost in pairs every few seconds while empty ones arrive at
//! the same rate, and with a cold start in which every engine is empty. Model loads are scarce (a few at
//! once, seconds each), so a group is formed from the engines that are ready soonest. Each fabric domain is
//! assigned to one model, so that the survivors of two broken groups can form a new group together.
//! docs/design/platform-run.md compares the alternatives.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, ModelId, RequestRate, ServiceId, Timestamp,
};

use crate::catalog::EngineSpec;
use crate::demand::Demand;
use crate::directory::{Directory, GroupKey};
use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::number::{FencingToken, GroupEpoch};
use crate::planner::conversion::Conversions;
use crate::planner::domain_sizes::DomainSizes;
use crate::planner::engine::{engines, group_size, holds, member_state};
use crate::planner::forming::epoch_of;
use crate::planner::loading::LOAD_RATE_WINDOW;
pub use crate::planner::summary::ModelSummary;

mod adoption;
mod assignment;
mod conversion;
mod domain_sizes;
mod domains;
mod engine;
mod forming;
mod leftover;
mod loading;
mod provisioning;
mod reservation;
mod summary;
#[cfg(test)]
mod tests;

/// Time a formation gets beyond the expected join time of its slowest member, and time its head gets to open.
const JOIN_TIMEOUT_MARGIN: Duration = Duration::from_millis(2_500);

/// How long the orders of a phase may take until they are answered, before the time of the members begins. They end by
/// themselves earlier, unless processors are scarce.
const ORDERS_TIME_LIMIT: Duration = Duration::from_secs(8);

/// How long the members of a failed formation are excluded from new groups.
const FAILED_FORMATION_QUARANTINE: Duration = Duration::from_millis(400);

/// Minimum interval between two examinations of a group that looks unsound, and between repeated steps that
/// close or dissolve the same group.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(400);

/// Extra delay before a group with an unreachable head is examined again. A network partition lasts for
/// seconds.
const UNREACHABLE_HEAD_COOLDOWN: Duration = Duration::from_millis(1_200);

/// The phase of a group formation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The members have been asked to join.
    Joining,
    /// The head has been asked to open.
    Opening,
}

/// A group that is being formed.
#[derive(Clone, Debug)]
pub struct Formation {
    /// The group and the epoch of its membership.
    pub key: GroupKey,
    /// The model that the group will serve.
    pub model: ModelId,
    /// The members in rank order. The first one is the head.
    pub members: Vec<EndpointId>,
    phase: Phase,
    /// How long the slowest member needs to join, and a margin.
    time_limit: Duration,
    /// When the present phase counts as failed.
    deadline: Timestamp,
}

impl Formation {
    /// Sets the deadline of the present phase, whose orders have been accepted.
    fn begin_work(&mut self, now: Timestamp) {
        let time = match self.phase {
            Phase::Joining => self.time_limit,
            Phase::Opening => JOIN_TIMEOUT_MARGIN,
        };
        self.deadline = now + time;
    }
}

/// An action for the controller to carry out.
#[derive(Clone, Debug)]
pub enum Step {
    /// Ask all members to join.
    Join(Formation),
    /// Ask the head to open.
    Open(Formation),
    /// Load a model onto the host of an engine.
    Stage {
        /// The engine.
        endpoint: EndpointId,
        /// The model.
        model: ModelId,
    },
    /// Ask the members of a group whether they are still in it.
    Examine(GroupKey),
    /// Dissolve a group whose formation nobody is driving. Its head isn't open.
    Dissolve(GroupKey),
    /// Ask the head to stop taking requests and to finish those in flight, because a member is about to
    /// leave.
    Close(GroupKey),
    /// Close a group, as [`Step::Close`] does, because its engines are worth more in groups of another model.
    Retire {
        /// The group.
        key: GroupKey,
        /// The model that the group serves.
        from: ModelId,
        /// The model that its engines will be loaded with.
        to: ModelId,
    },
}

/// The capacity of groups whose heads take fewer requests than others, as a fraction of what a group can serve.
///
/// A group that counted in full would leave its model short of groups, although engines are idle.
#[derive(Clone, Debug, Default)]
pub struct GroupCapacities(IndexMap<EndpointId, f64>);

impl GroupCapacities {
    /// Sets the capacity of the group of `head`, which takes `limit` requests that occupy a group for
    /// `group_time` each.
    pub fn limit(&mut self, head: EndpointId, limit: RequestRate, group_time: Duration) {
        let capacity = (limit.per_s() * group_time.as_secs_f64()).min(1.0);
        self.0.insert(head, capacity);
    }

    /// Sets the capacity of the group of `head` to zero, because it takes no requests for now.
    pub fn exclude(&mut self, head: EndpointId) {
        self.0.insert(head, 0.0);
    }

    fn of(&self, head: &EndpointId) -> f64 {
        self.0.get(head).copied().unwrap_or(1.0)
    }
}

/// The input of one planning pass.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The service whose engines are planned.
    pub service: &'a ServiceId,
    /// The models, slots and load limits of its engines.
    pub spec: &'a EngineSpec,
    /// All known endpoints.
    pub directory: &'a Directory,
    /// Whether the first request has arrived. From then on, loads take their full time and are rate-limited.
    pub has_traffic: bool,
    /// The capacity of groups that can serve less than others.
    pub capacities: &'a GroupCapacities,
    /// The observed demand for each model, once it is known.
    pub demand: Option<&'a Demand>,
}

/// A model load that has been started.
#[derive(Clone, Debug)]
struct Load {
    model: ModelId,
    /// When the load counts as failed if the engine hasn't reported the model.
    deadline: Timestamp,
}

/// Plans the groups of one service, under one fencing token.
#[derive(Debug)]
pub struct Planner {
    fence: FencingToken,
    formed_count: u64,
    /// The epoch of the last group that was named before this planner, by an earlier controller or an earlier term.
    inherited_epoch: GroupEpoch,
    /// The model assigned to each fabric domain.
    domain_models: IndexMap<FabricDomainId, ModelId>,
    domain_sizes: DomainSizes,
    /// The domains in which some engine holds or loads a model.
    active_domains: IndexSet<FabricDomainId>,
    formations: IndexMap<GroupKey, Formation>,
    /// The loads in progress that this controller started.
    loading: IndexMap<EndpointId, Load>,
    /// When the loads within the last [`LOAD_RATE_WINDOW`] were started.
    recent_load_starts: VecDeque<Timestamp>,
    /// Engines that may not join a group, and until when.
    quarantined: IndexMap<EndpointId, Timestamp>,
    /// When each group was last examined, closed or dissolved. A time in the future delays the next of these
    /// steps.
    examined: IndexMap<GroupKey, Timestamp>,
    /// Groups whose formation has failed. They are dissolved.
    abandoned: IndexSet<GroupKey>,
    /// Groups that were dissolved. The registry entries of their members may still name them.
    dissolved: IndexSet<GroupKey>,
    /// Engines reserved for groups of a model other than the one assigned to their fabric domain.
    reserved: IndexMap<EndpointId, ModelId>,
    conversions: Conversions,
}

impl Planner {
    /// Creates a planner for a controller that has just been granted `fence`. `formed_count` is the
    /// number of groups already named under that fencing token.
    #[must_use]
    pub fn new(fence: FencingToken, formed_count: u64) -> Self {
        Self {
            fence,
            formed_count,
            inherited_epoch: epoch_of(fence, formed_count),
            domain_models: IndexMap::new(),
            domain_sizes: DomainSizes::default(),
            active_domains: IndexSet::new(),
            formations: IndexMap::new(),
            loading: IndexMap::new(),
            recent_load_starts: VecDeque::new(),
            quarantined: IndexMap::new(),
            examined: IndexMap::new(),
            abandoned: IndexSet::new(),
            dissolved: IndexSet::new(),
            reserved: IndexMap::new(),
            conversions: Conversions::default(),
        }
    }

    /// Returns the number of groups that have been named under the current fencing token.
    #[must_use]
    pub const fn formed_count(&self) -> u64 {
        self.formed_count
    }

    /// Returns whether any group is being formed.
    #[must_use]
    pub fn is_forming(&self) -> bool {
        !self.formations.is_empty()
    }

    /// Returns whether a group has been dissolved.
    #[must_use]
    pub fn is_dissolved(&self, key: &GroupKey) -> bool {
        self.dissolved.contains(key)
    }

    /// Keeps an engine from joining any group before `until`.
    pub fn quarantine(&mut self, endpoint: EndpointId, until: Timestamp) {
        let current = self.quarantined.entry(endpoint).or_default();
        *current = (*current).max(until);
    }

    /// Records that the head of a group couldn't be asked to leave, which delays the next examination of the
    /// group.
    ///
    /// When a failure domain is partitioned, none of its engines can be reached, but its groups keep serving
    /// callers on their side of the partition. An unreachable member whose registry entry still names the
    /// group isn't free, however long it has been unreachable: if it joined another group, it would be in two
    /// groups at once when the partition heals.
    pub fn defer_examination(&mut self, key: &GroupKey, now: Timestamp) {
        self.examined
            .insert(key.clone(), now + UNREACHABLE_HEAD_COOLDOWN);
    }

    /// Records that a group was dissolved, so that its members may join other groups.
    pub fn record_dissolved(&mut self, key: &GroupKey) {
        self.formations.swap_remove(key);
        self.dissolved.insert(key.clone());
    }

    /// Abandons a formation and quarantines its members for a while.
    ///
    /// Some members may have joined, and the head may even have opened. The group therefore isn't assumed to
    /// be gone: it is dissolved like any other group whose formation nobody is driving.
    pub fn abandon_formation(&mut self, key: &GroupKey, now: Timestamp) {
        let Some(formation) = self.formations.swap_remove(key) else {
            return;
        };
        self.abandoned.insert(key.clone());
        for member in formation.members {
            self.loading.swap_remove(&member);
            self.quarantine(member, now + FAILED_FORMATION_QUARANTINE);
        }
    }

    /// Records that the orders of a formation's phase have been accepted, so that its members or its head are at work.
    pub fn record_begun(&mut self, key: &GroupKey, now: Timestamp) {
        if let Some(formation) = self.formations.get_mut(key) {
            formation.begin_work(now);
        }
    }

    /// Removes the record of an engine's load, because it wasn't started.
    pub fn cancel_load(&mut self, endpoint: &EndpointId) {
        self.loading.swap_remove(endpoint);
    }

    /// Returns the actions to take now.
    pub fn plan(&mut self, now: Timestamp, input: &PlannerInput<'_>) -> Vec<Step> {
        self.prune(now, input);
        self.assign_domains(now, input);
        let mut steps = Vec::new();
        self.advance_formations(now, input, &mut steps);
        let grouped = self.reconcile_groups(now, input, &mut steps);
        let mut free = self.free_engines(now, input, &grouped);
        self.convert(now, input, &free, &mut steps);
        self.form_groups(now, input, &mut free, &mut steps);
        self.stage_models(now, input, &free, &mut steps);
        steps
    }

    fn prune(&mut self, now: Timestamp, input: &PlannerInput<'_>) {
        let directory = input.directory;
        self.quarantined.retain(|_, until| *until > now);
        self.loading.retain(|id, load| {
            let engine = directory.find(id).filter(|_| directory.is_listed(id));
            let is_loading = |engine: &Arc<Endpoint>| !holds(engine, &load.model);
            load.deadline > now && engine.is_some_and(is_loading)
        });
        self.prune_reservations(directory);
        while let Some(first) = self.recent_load_starts.front() {
            if now.since(*first) < LOAD_RATE_WINDOW {
                break;
            }
            self.recent_load_starts.pop_front();
        }
    }

    /// Opens formations whose members are all ready and abandons those that have timed out.
    fn advance_formations(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        steps: &mut Vec<Step>,
    ) {
        let mut ended = Vec::new();
        for (key, formation) in &mut self.formations {
            let states: Vec<Option<GroupState>> = formation
                .members
                .iter()
                .map(|id| member_state(input.directory, id, key))
                .collect();
            if states.first() == Some(&Some(GroupState::Open)) {
                ended.push((key.clone(), false));
                continue;
            }
            let ready = states.iter().all(|state| *state == Some(GroupState::Ready));
            if ready && formation.phase == Phase::Joining {
                formation.phase = Phase::Opening;
                formation.deadline = now + ORDERS_TIME_LIMIT;
                steps.push(Step::Open(formation.clone()));
            } else if now > formation.deadline {
                ended.push((key.clone(), true));
            }
        }
        for (key, timed_out) in ended {
            if timed_out {
                self.abandon_formation(&key, now);
            } else {
                self.formations.swap_remove(&key);
            }
        }
    }

    /// Plans actions for existing groups and returns the engines that belong to one.
    fn reconcile_groups(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        steps: &mut Vec<Step>,
    ) -> IndexSet<EndpointId> {
        let size = |model: &ModelId| group_size(input.spec, model);
        let groups = input.directory.groups(input.service, size);
        self.dissolved.retain(|key| groups.contains_key(key));
        self.abandoned.retain(|key| groups.contains_key(key));
        self.adopt_formations(now, input, &groups);
        self.conversions.prune(now, |key| groups.contains_key(key));
        let mut grouped = IndexSet::new();
        for (key, group) in &groups {
            if self.dissolved.contains(key) || self.formations.contains_key(key) {
                continue;
            }
            let members = group.members.iter().flatten();
            grouped.extend(members.map(|member| member.id.clone()));
            match group.head_state() {
                Some(GroupState::Open) if group.is_complete => {
                    if self.conversions.is_retiring(key) && self.begin_step_if_due(now, key) {
                        steps.push(Step::Close(key.clone()));
                    }
                }
                Some(GroupState::Open) if are_all_members_listed(input.directory, group) => {
                    if self.begin_step_if_due(now, key) {
                        steps.push(Step::Close(key.clone()));
                    }
                }
                Some(GroupState::Joining | GroupState::Ready) => {
                    if self.begin_step_if_due(now, key) {
                        steps.push(Step::Dissolve(key.clone()));
                    }
                }
                // The head is finishing its requests in flight.
                Some(GroupState::Closing) if self.conversions.is_retiring(key) => {}
                Some(GroupState::Open | GroupState::Closing | GroupState::Broken) | None => {
                    if self.begin_step_if_due(now, key) {
                        steps.push(Step::Examine(key.clone()));
                    }
                }
            }
        }
        self.examined
            .retain(|_, at| now.since(*at) < EXAMINATION_INTERVAL);
        grouped
    }

    /// Returns whether the next step for an existing group is due and, if so, records it as made now.
    fn begin_step_if_due(&mut self, now: Timestamp, key: &GroupKey) -> bool {
        let last = self.examined.get(key);
        if last.is_some_and(|at| now < *at + EXAMINATION_INTERVAL) {
            return false;
        }
        self.examined.insert(key.clone(), now);
        true
    }

    fn free_engines<'a>(
        &self,
        now: Timestamp,
        input: &PlannerInput<'a>,
        grouped: &IndexSet<EndpointId>,
    ) -> IndexMap<FabricDomainId, Vec<&'a Arc<Endpoint>>> {
        let forming: IndexSet<&EndpointId> = self
            .formations
            .values()
            .flat_map(|formation| &formation.members)
            .collect();
        let mut free: IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>> = IndexMap::new();
        for engine in engines(input) {
            let is_quarantined = self
                .quarantined
                .get(&engine.id)
                .is_some_and(|until| *until > now);
            let is_taken = forming.contains(&engine.id) || grouped.contains(&engine.id);
            if is_quarantined || is_taken || engine.state != EndpointState::Ready {
                continue;
            }
            if let Some(domain) = &engine.fabric_domain
                && self.may_form_groups(now, input, domain)
            {
                free.entry(domain.clone()).or_default().push(engine);
            }
        }
        free.sort_keys();
        free
    }
}

/// Returns whether every member of an unsound group is still listed, so that the group is unsound only
/// because some of them are about to leave.
fn are_all_members_listed(directory: &Directory, group: &crate::directory::GroupView) -> bool {
    group.members.iter().all(|member| {
        let member = member.as_ref();
        member.is_some_and(|member| directory.is_listed(&member.id))
    })
}
