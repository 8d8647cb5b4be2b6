//! Which engines form which groups, and what is loaded ahead.
//!
//! It answers engines that are lost in pairs every few seconds while empty ones come as often, and a
//! start at which all engines are empty. Loads are scarce (a few at once, seconds each), so a group is
//! made of the engines that are ready soonest, and each fabric domain is kept to one model: survivors
//! of two broken groups then fit together. docs/design/platform-run.md has the ways weighed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{EndpointId, FabricDomainId, ModelId, ServiceId, Timestamp};

use crate::catalog::EngineSpec;
use crate::demand::Demand;
use crate::directory::{Directory, GroupKey};
use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::number::Fence;
use crate::planner::conversion::Conversions;
use crate::planner::domain_sizes::DomainSizes;
use crate::planner::engine::{engines, group_size, holds, state_in};
use crate::planner::loading::LOAD_WINDOW;
pub use crate::planner::summary::ModelSummary;

mod assignment;
mod conversion;
mod domain_sizes;
mod domains;
mod engine;
mod forming;
mod left_over;
mod loading;
mod provisioning;
mod reservation;
mod summary;
#[cfg(test)]
mod tests;

/// How long the joins of a group may take beyond what its slowest member needs.
const JOIN_SLACK: Duration = Duration::from_millis(2_500);

/// How long members of a formation that failed are left alone.
const REST_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// How often a group that looks unsound is examined.
const EXAMINE_EVERY: Duration = Duration::from_millis(400);

/// How much longer a group whose head can't be reached is left alone; a cut lasts seconds.
const UNREACHABLE_REST: Duration = Duration::from_millis(1_200);

/// How far a group that is being formed is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The members were told to join.
    Joining,
    /// The head was told to open.
    Opening,
}

/// A group that is being formed.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Which membership.
    pub key: GroupKey,
    /// The model.
    pub model: ModelId,
    /// The members; the first one is the head.
    pub members: Vec<EndpointId>,
    progress: Progress,
    give_up_at: Timestamp,
}

/// What the controller has to do next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Tell all members to join.
    Join(Formation),
    /// Tell the head to open.
    Open(Formation),
    /// Load a model onto an engine's host.
    Stage {
        /// The engine.
        endpoint: EndpointId,
        /// The model.
        model: ModelId,
    },
    /// Ask a group's members whether it is sound.
    Examine(GroupKey),
    /// Take a group apart that nobody forms any more; its head isn't open.
    Dissolve(GroupKey),
    /// Let the head take no more requests and end those it has: a member is about to leave.
    Close(GroupKey),
    /// The same for a group whose engines serve more in groups of another model.
    Retire {
        /// The group.
        key: GroupKey,
        /// Its model.
        from: ModelId,
        /// The model that gets its engines.
        to: ModelId,
    },
}

/// What a plan is made from.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// The service whose engines are planned.
    pub service: &'a ServiceId,
    /// How its engines work.
    pub spec: &'a EngineSpec,
    /// All endpoints.
    pub directory: &'a Directory,
    /// Whether requests have come: from then on loads take their full time and are limited.
    pub in_traffic: bool,
    /// What callers ask of each model, once that is known.
    pub demand: Option<&'a Demand>,
}

/// A load that was begun.
#[derive(Clone, Debug)]
struct Load {
    model: ModelId,
    /// When it counts as failed, if the engine hasn't reported the model by then.
    give_up_at: Timestamp,
}

/// Plans the groups of one service, under one fence.
#[derive(Debug)]
pub struct Planner {
    fence: Fence,
    formed: u64,
    primaries: IndexMap<FabricDomainId, ModelId>,
    sizes: DomainSizes,
    /// The domains whose engines hold or load anything.
    begun: IndexSet<FabricDomainId>,
    formations: IndexMap<GroupKey, Formation>,
    /// The loads that this controller began.
    loading: IndexMap<EndpointId, Load>,
    starts: VecDeque<Timestamp>,
    /// Engines that may not join anything before a time.
    quarantined: IndexMap<EndpointId, Timestamp>,
    examined: IndexMap<GroupKey, Timestamp>,
    /// Groups that were found lost, whose members' entries may still name them.
    dissolved: IndexSet<GroupKey>,
    /// Engines that are kept for groups of a model which isn't their fabric domain's.
    reserved: IndexMap<EndpointId, ModelId>,
    conversions: Conversions,
}

impl Planner {
    /// Makes a planner for a controller that has just been given `fence`; `formed` groups have got
    /// names under it already.
    #[must_use]
    pub fn new(fence: Fence, formed: u64) -> Self {
        Self {
            fence,
            formed,
            primaries: IndexMap::new(),
            sizes: DomainSizes::default(),
            begun: IndexSet::new(),
            formations: IndexMap::new(),
            loading: IndexMap::new(),
            starts: VecDeque::new(),
            quarantined: IndexMap::new(),
            examined: IndexMap::new(),
            dissolved: IndexSet::new(),
            reserved: IndexMap::new(),
            conversions: Conversions::default(),
        }
    }

    /// Returns how many groups have got names.
    #[must_use]
    pub const fn formed(&self) -> u64 {
        self.formed
    }

    /// Returns whether groups are being formed.
    #[must_use]
    pub fn is_forming(&self) -> bool {
        !self.formations.is_empty()
    }

    /// Returns whether a group was taken apart.
    #[must_use]
    pub fn is_dissolved(&self, key: &GroupKey) -> bool {
        self.dissolved.contains(key)
    }

    /// Keeps an engine from joining anything before `until`.
    pub fn quarantine(&mut self, endpoint: EndpointId, until: Timestamp) {
        let held = self.quarantined.entry(endpoint).or_default();
        *held = (*held).max(until);
    }

    /// Notes that a group's head couldn't be told to leave; it is examined again after a while.
    ///
    /// Where a failure domain is cut off, nobody there can be told anything, and its groups serve on
    /// for callers on the other side. Members that still show the group aren't free, however long
    /// they were silent: joined to others when the cut heals, they would be in two groups at once.
    pub fn rest_examination(&mut self, key: &GroupKey, now: Timestamp) {
        self.examined.insert(key.clone(), now + UNREACHABLE_REST);
    }

    /// Notes that a group was taken apart, so that its members may join others.
    pub fn dissolved(&mut self, key: &GroupKey) {
        self.formations.swap_remove(key);
        self.dissolved.insert(key.clone());
    }

    /// Notes that a formation won't come about; its members rest for a while.
    ///
    /// Some may have joined and the head may even have opened, so the group isn't taken for gone: it
    /// is taken apart like any group that nobody forms.
    pub fn abandon(&mut self, key: &GroupKey, now: Timestamp) {
        let Some(formation) = self.formations.swap_remove(key) else {
            return;
        };
        for member in formation.members {
            self.loading.swap_remove(&member);
            self.quarantine(member, now + REST_AFTER_FAILURE);
        }
    }

    /// Notes that an engine's load didn't begin.
    pub fn not_loading(&mut self, endpoint: &EndpointId) {
        self.loading.swap_remove(endpoint);
    }

    /// Returns what to do now.
    pub fn plan(&mut self, now: Timestamp, input: &PlannerInput<'_>) -> Vec<Step> {
        self.tidy(now, input);
        self.assign_domains(now, input);
        let mut steps = Vec::new();
        self.follow_formations(now, input, &mut steps);
        let occupied = self.follow_groups(now, input, &mut steps);
        let mut free = self.free(now, input, &occupied);
        self.convert(now, input, &free, &mut steps);
        self.form(now, input, &mut free, &mut steps);
        self.stage(now, input, &free, &mut steps);
        steps
    }

    fn tidy(&mut self, now: Timestamp, input: &PlannerInput<'_>) {
        let directory = input.directory;
        self.quarantined.retain(|_, until| *until > now);
        self.loading.retain(|id, load| {
            let engine = directory.find(id).filter(|_| directory.is_listed(id));
            let is_loading = |engine: &Arc<Endpoint>| !holds(engine, &load.model);
            load.give_up_at > now && engine.is_some_and(is_loading)
        });
        self.tidy_reserved(directory);
        while let Some(first) = self.starts.front() {
            if now.since(*first) < LOAD_WINDOW {
                break;
            }
            self.starts.pop_front();
        }
    }

    /// Opens formations that are ready and gives up those that take too long.
    fn follow_formations(
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
                .map(|id| state_in(input.directory, id, key))
                .collect();
            if states.first() == Some(&Some(GroupState::Open)) {
                ended.push((key.clone(), false));
                continue;
            }
            let ready = states.iter().all(|state| *state == Some(GroupState::Ready));
            if ready && formation.progress == Progress::Joining {
                formation.progress = Progress::Opening;
                formation.give_up_at = now + JOIN_SLACK;
                steps.push(Step::Open(formation.clone()));
            } else if now > formation.give_up_at {
                ended.push((key.clone(), true));
            }
        }
        for (key, gave_up) in ended {
            if gave_up {
                self.abandon(&key, now);
            } else {
                self.formations.swap_remove(&key);
            }
        }
    }

    /// Looks after the groups that exist; returns the engines that belong to one.
    fn follow_groups(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        steps: &mut Vec<Step>,
    ) -> IndexSet<EndpointId> {
        let size = |model: &ModelId| group_size(input.spec, model);
        let groups = input.directory.groups(input.service, size);
        self.dissolved.retain(|key| groups.contains_key(key));
        self.conversions.forget(now, |key| groups.contains_key(key));
        let mut occupied = IndexSet::new();
        for (key, group) in &groups {
            if self.dissolved.contains(key) || self.formations.contains_key(key) {
                continue;
            }
            let members = group.members.iter().flatten();
            occupied.extend(members.map(|member| member.id.clone()));
            match group.head_state() {
                Some(GroupState::Open) if group.is_sound => {
                    if self.conversions.retires(key) && self.may_examine(now, key) {
                        steps.push(Step::Close(key.clone()));
                    }
                }
                Some(GroupState::Open) if leaves(input.directory, group) => {
                    if self.may_examine(now, key) {
                        steps.push(Step::Close(key.clone()));
                    }
                }
                Some(GroupState::Joining | GroupState::Ready) => {
                    if self.may_examine(now, key) {
                        steps.push(Step::Dissolve(key.clone()));
                    }
                }
                // It ends the requests that it has.
                Some(GroupState::Closing) if self.conversions.retires(key) => {}
                Some(GroupState::Open | GroupState::Closing | GroupState::Broken) | None => {
                    if self.may_examine(now, key) {
                        steps.push(Step::Examine(key.clone()));
                    }
                }
            }
        }
        self.examined.retain(|_, at| now.since(*at) < EXAMINE_EVERY);
        occupied
    }

    fn may_examine(&mut self, now: Timestamp, key: &GroupKey) -> bool {
        let lately = self.examined.get(key);
        if lately.is_some_and(|at| now < *at + EXAMINE_EVERY) {
            return false;
        }
        self.examined.insert(key.clone(), now);
        true
    }

    fn free<'a>(
        &self,
        now: Timestamp,
        input: &PlannerInput<'a>,
        occupied: &IndexSet<EndpointId>,
    ) -> IndexMap<FabricDomainId, Vec<&'a Arc<Endpoint>>> {
        let forming: IndexSet<&EndpointId> = self
            .formations
            .values()
            .flat_map(|formation| &formation.members)
            .collect();
        let mut free: IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>> = IndexMap::new();
        for engine in engines(input) {
            let held = self
                .quarantined
                .get(&engine.id)
                .is_some_and(|until| *until > now);
            let taken = forming.contains(&engine.id) || occupied.contains(&engine.id);
            if held || taken || engine.state != EndpointState::Ready {
                continue;
            }
            if let Some(domain) = &engine.fabric_domain
                && self.may_begin(now, input, domain)
            {
                free.entry(domain.clone()).or_default().push(engine);
            }
        }
        free.sort_keys();
        free
    }
}

/// Returns whether all that is wrong with a group is that members are about to leave.
fn leaves(directory: &Directory, group: &crate::directory::GroupView) -> bool {
    group.members.iter().all(|member| {
        let member = member.as_ref();
        member.is_some_and(|member| directory.is_listed(&member.id))
    })
}
