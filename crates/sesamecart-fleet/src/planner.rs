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
use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId, Timestamp,
};

use crate::catalog::{EngineModel, EngineSpec};
use crate::directory::{Directory, GroupKey};
use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::number::{Fence, GroupEpoch};

#[cfg(test)]
mod tests;

/// The part of a group's loads that may run beyond what the weight store bears unslowed.
///
/// A group's loads begin together. Waiting until all of them fit would leave the store idle in part;
/// beginning many groups at once would have all of them wait for each other.
const LOADS_OVER: f64 = 0.5;

/// How long the joins of a group may take beyond what its slowest member needs.
const JOIN_SLACK: Duration = Duration::from_millis(2_500);

/// Models whose groups for their share differ by less than this count as equally far behind.
const ABOUT_EQUAL: f64 = 1.05;

/// How long members of a formation that failed are left alone.
const REST_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// How long a member that joins again in the same model takes.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// How often a group that looks unsound is examined.
const EXAMINE_EVERY: Duration = Duration::from_millis(400);

/// Loads that may begin in [`LOAD_WINDOW`]: less than half of what the operator allows (4.5/s), since a
/// controller that takes over counts anew.
const LOAD_STARTS: usize = 10;
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Epochs that one controller may use; its fence gives the next range.
const EPOCHS_PER_FENCE: u64 = 1_000_000;

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
}

/// A load that was begun.
#[derive(Clone, Debug)]
struct Load {
    model: ModelId,
    /// When it counts as failed, if the engine hasn't reported the model by then.
    give_up_at: Timestamp,
}

/// Whether a domain's free engines can form a group of a model now.
enum Forming {
    /// They can, and take so long.
    Possible(Duration),
    /// They could, but the weight store has enough to do.
    WaitsForLoads,
    /// They can't.
    Impossible,
}

/// What came of forming one group of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Formed {
    Group,
    Waits,
    Nothing,
}

/// Plans the groups of one service, under one fence.
#[derive(Debug)]
pub struct Planner {
    fence: Fence,
    formed: u64,
    primaries: IndexMap<FabricDomainId, ModelId>,
    /// The domains whose engines hold or load anything.
    begun: IndexSet<FabricDomainId>,
    formations: IndexMap<GroupKey, Formation>,
    /// The loads that this controller began.
    loading: IndexMap<EndpointId, Load>,
    starts: VecDeque<Timestamp>,
    /// Engines that may not join anything before a time.
    held: IndexMap<EndpointId, Timestamp>,
    examined: IndexMap<GroupKey, Timestamp>,
    /// Groups that were found lost, whose members' entries may still name them.
    dissolved: IndexSet<GroupKey>,
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
            begun: IndexSet::new(),
            formations: IndexMap::new(),
            loading: IndexMap::new(),
            starts: VecDeque::new(),
            held: IndexMap::new(),
            examined: IndexMap::new(),
            dissolved: IndexSet::new(),
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
    pub fn hold(&mut self, endpoint: EndpointId, until: Timestamp) {
        let held = self.held.entry(endpoint).or_default();
        *held = (*held).max(until);
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
            self.hold(member, now + REST_AFTER_FAILURE);
        }
    }

    /// Notes that an engine's load didn't begin.
    pub fn not_loading(&mut self, endpoint: &EndpointId) {
        self.loading.swap_remove(endpoint);
    }

    /// Returns what to do now.
    pub fn plan(&mut self, now: Timestamp, input: &PlannerInput<'_>) -> Vec<Step> {
        self.tidy(now, input);
        self.assign_domains(input);
        let mut steps = Vec::new();
        self.follow_formations(now, input, &mut steps);
        let occupied = self.follow_groups(now, input, &mut steps);
        let mut free = self.free(now, input, &occupied);
        self.form(now, input, &mut free, &mut steps);
        self.stage(now, input, &free, &mut steps);
        steps
    }

    fn tidy(&mut self, now: Timestamp, input: &PlannerInput<'_>) {
        let directory = input.directory;
        self.held.retain(|_, until| *until > now);
        self.loading.retain(|id, load| {
            let engine = directory.find(id).filter(|_| directory.is_listed(id));
            let is_loading = |engine: &Arc<Endpoint>| !holds(engine, &load.model);
            load.give_up_at > now && engine.is_some_and(is_loading)
        });
        while let Some(first) = self.starts.front() {
            if now.since(*first) < LOAD_WINDOW {
                break;
            }
            self.starts.pop_front();
        }
    }

    /// Gives each fabric domain the model that its groups should serve.
    ///
    /// What engines hold already goes first, so that a controller that takes over doesn't reload. The
    /// others get the model whose groups, as many as domains of this size hold, are furthest behind
    /// what its share of the work needs. Counting engines instead of whole groups would give a model
    /// with large groups too little, as its domains have engines left over.
    fn assign_domains(&mut self, input: &PlannerInput<'_>) {
        let mut domains: IndexMap<&FabricDomainId, Vec<&Arc<Endpoint>>> = IndexMap::new();
        for endpoint in engines(input) {
            if let Some(domain) = &endpoint.fabric_domain {
                domains.entry(domain).or_default().push(endpoint);
            }
        }
        let engines_each = domains.values().map(Vec::len).max().unwrap_or(0);
        self.primaries.clear();
        self.begun.clear();
        let mut empty = Vec::new();
        for (domain, engines) in &domains {
            match self.held_in(engines) {
                Some(model) => {
                    self.primaries.insert((*domain).clone(), model);
                    self.begun.insert((*domain).clone());
                }
                None => empty.push((*domain, &engines[0].failure_domain)),
            }
        }
        for domain in by_turns(empty) {
            if let Some(model) = self.behind(input, engines_each) {
                self.primaries.insert(domain.clone(), model);
            }
        }
    }

    /// Returns the model that most engines of a domain hold or load.
    fn held_in(&self, engines: &[&Arc<Endpoint>]) -> Option<ModelId> {
        let mut counts: IndexMap<&ModelId, usize> = IndexMap::new();
        for engine in engines {
            let loading = self.loading.get(&engine.id).map(|load| &load.model);
            if let Some(model) = loading.or(engine.models.first()).or(engine.staged.first()) {
                *counts.entry(model).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(model, _)| model.clone())
    }

    /// Returns the model whose domains hold the fewest groups for its share of the work.
    fn behind(&self, input: &PlannerInput<'_>, engines_each: usize) -> Option<ModelId> {
        let groups_for_share = |model: &EngineModel| {
            let domains = self.primaries.values().filter(|id| **id == model.model);
            let groups = domains.count() * (engines_each / model.group_size);
            groups as f64 * model.group_size as f64 / model.share.max(f64::EPSILON)
        };
        let models = || input.spec.models.iter();
        let least = models().map(groups_for_share).fold(f64::INFINITY, f64::min);
        let behind = models().filter(|model| groups_for_share(model) <= least * ABOUT_EQUAL);
        // Of those about equally far behind the one with the larger groups: it loses one to every
        // engine that is lost, and finds fewer domains with room later.
        let least = behind.max_by_key(|model| model.group_size);
        least.map(|model| model.model.clone())
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
        let mut occupied = IndexSet::new();
        for (key, group) in &groups {
            if self.dissolved.contains(key) || self.formations.contains_key(key) {
                continue;
            }
            let members = group.members.iter().flatten();
            occupied.extend(members.map(|member| member.id.clone()));
            match group.head_state() {
                Some(GroupState::Open) if group.is_sound => {}
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
        if lately.is_some_and(|at| now.since(*at) < EXAMINE_EVERY) {
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
            let held = self.held.get(&engine.id).is_some_and(|until| *until > now);
            let taken = forming.contains(&engine.id) || occupied.contains(&engine.id);
            if held || taken || engine.state != EndpointState::Ready {
                continue;
            }
            if let Some(domain) = &engine.fabric_domain {
                free.entry(domain.clone()).or_default().push(engine);
            }
        }
        free.sort_keys();
        free
    }

    /// Forms groups as long as engines allow, the model that is furthest behind first.
    fn form(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &mut IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        loop {
            let mut models: Vec<&EngineModel> = input.spec.models.iter().collect();
            models.sort_by(|a, b| {
                let a = self.engines_of(input, a) / a.share.max(f64::EPSILON);
                let b = self.engines_of(input, b) / b.share.max(f64::EPSILON);
                a.total_cmp(&b)
            });
            let formed = models
                .into_iter()
                .map(|model| self.form_one(now, input, model, free, steps))
                .find(|formed| *formed != Formed::Nothing);
            if formed != Some(Formed::Group) {
                return;
            }
        }
    }

    /// Returns the engines in groups of a model, those being formed included.
    fn engines_of(&self, input: &PlannerInput<'_>, model: &EngineModel) -> f64 {
        let open = engines(input)
            .filter(|engine| engine.is_open_head() && engine.models.contains(&model.model));
        let forming = self.formations.values();
        let forming = forming.filter(|formation| formation.model == model.model);
        ((open.count() + forming.count()) * model.group_size) as f64
    }

    fn form_one(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        model: &EngineModel,
        free: &mut IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) -> Formed {
        let mut waits = false;
        let mut best: Option<(Duration, bool, usize, FabricDomainId)> = None;
        for (domain, engines) in free.iter() {
            let time = match self.forming_time(input, domain, model, engines) {
                Forming::Possible(time) => time,
                Forming::WaitsForLoads => {
                    waits = true;
                    continue;
                }
                Forming::Impossible => continue,
            };
            // How large domains are shows only when all engines have come; until then few domains
            // are begun, so that the others can still get the model that needs them.
            let is_begun = self.begun.contains(domain);
            let groups = self.groups_near(input, model, engines);
            let place = (time, !is_begun, groups);
            let is_best = best
                .as_ref()
                .is_none_or(|(time, new, groups, _)| place < (*time, *new, *groups));
            if is_best {
                best = Some((time, !is_begun, groups, domain.clone()));
            }
        }
        let Some((time, _, _, domain)) = best else {
            // A model with smaller groups would take each place in the weight store that becomes
            // free, and the one that is furthest behind would never find room for all its loads.
            return if waits {
                Formed::Waits
            } else {
                Formed::Nothing
            };
        };
        let engines = &mut free[&domain];
        engines.sort_by_key(|engine| (joining_time(engine, model), engine.id.clone()));
        let members: Vec<EndpointId> = engines
            .drain(..model.group_size)
            .map(|engine| engine.id.clone())
            .collect();
        for id in &members {
            let engine = input.directory.find(id);
            if engine.is_some_and(|engine| needs_load(engine, model)) {
                self.note_load(now, input, id, model);
            }
        }
        let slack = if input.in_traffic {
            JOIN_SLACK
        } else {
            // The first loads take a tenth of their time, but many at once slow each other.
            JOIN_SLACK + JOIN_SLACK
        };
        self.formed += 1;
        let formation = Formation {
            key: self.next_key(),
            model: model.model.clone(),
            members,
            progress: Progress::Joining,
            give_up_at: now + time + slack,
        };
        self.formations
            .insert(formation.key.clone(), formation.clone());
        steps.push(Step::Join(formation));
        Formed::Group
    }

    fn next_key(&self) -> GroupKey {
        let name = format!("g{}-{}", self.fence, self.formed);
        // The name holds digits and a hyphen only, which names allow.
        let group = name.parse::<GroupId>().unwrap_or_else(|_| unreachable!());
        let epoch = GroupEpoch(self.fence.0 * EPOCHS_PER_FENCE + self.formed);
        GroupKey { group, epoch }
    }

    /// Returns how long a group of a domain's free engines takes, if it may be formed now.
    fn forming_time(
        &self,
        input: &PlannerInput<'_>,
        domain: &FabricDomainId,
        model: &EngineModel,
        engines: &[&Arc<Endpoint>],
    ) -> Forming {
        if engines.len() < model.group_size {
            return Forming::Impossible;
        }
        let mut times: Vec<Duration> = engines
            .iter()
            .map(|engine| joining_time(engine, model))
            .collect();
        times.sort();
        let members = &times[..model.group_size];
        let time = members[model.group_size - 1];
        let loads = members.iter().filter(|time| **time >= model.load_time);
        let loads = loads.count();
        if loads == 0 {
            return Forming::Possible(time);
        }
        let is_primary = self.primaries.get(domain) == Some(&model.model);
        // Engines that the domain's own model can still use aren't spent on another one.
        let fits_primary = self.primaries.get(domain).is_some_and(|primary| {
            group_size(input.spec, primary).is_some_and(|size| engines.len() >= size)
        });
        if input.in_traffic || (!is_primary && fits_primary) {
            return Forming::Impossible;
        }
        let over = (model.group_size as f64 * LOADS_OVER) as usize;
        let most = input.spec.loads_at_once + over;
        let has_room = self.loading.is_empty() || self.loading.len() + loads <= most;
        if has_room || self.loads_the_rest(input) {
            Forming::Possible(time)
        } else {
            Forming::WaitsForLoads
        }
    }

    /// Returns whether all engines that are left begin their loads at once.
    ///
    /// Before the first request a load takes a tenth of its time, and one that has begun keeps that.
    /// When the first requests come is not known. So once half of the engines hold a model, which
    /// serves the first requests, the others begin all together: 18 engines of 54 were loaded so by the
    /// third second of traffic that would else have taken 12 to 16 s for each six.
    fn loads_the_rest(&self, input: &PlannerInput<'_>) -> bool {
        if input.in_traffic {
            return false;
        }
        let all = engines(input).count();
        let loaded = engines(input).filter(|engine| {
            let models = input.spec.models.iter();
            models.map(|model| &model.model).any(|id| holds(engine, id))
        });
        loaded.count() * 2 >= all
    }

    /// Counts the groups of a model in the failure domain of some engines, to spread them.
    fn groups_near(
        &self,
        input: &PlannerInput<'_>,
        model: &EngineModel,
        near: &[&Arc<Endpoint>],
    ) -> usize {
        let Some(failure_domain) = near.first().map(|engine| &engine.failure_domain) else {
            return 0;
        };
        let is_near = |engine: &Endpoint| engine.failure_domain == *failure_domain;
        let open = engines(input).filter(|engine| {
            engine.is_open_head() && engine.models.contains(&model.model) && is_near(engine)
        });
        let forming = self.formations.values().filter(|formation| {
            let head = formation.members.first();
            let head = head.and_then(|id| input.directory.find(id));
            formation.model == model.model && head.is_some_and(|head| is_near(head))
        });
        open.count() + forming.count()
    }

    /// Loads the domain's model ahead onto free engines that hold nothing useful.
    fn stage(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        if !input.in_traffic && !self.loads_the_rest(input) {
            // Whole groups come first; what is left over is loaded after them.
            return;
        }
        let mut wanted: Vec<(usize, &Arc<Endpoint>, &EngineModel)> = Vec::new();
        for (domain, engines) in free {
            let primary = self.primaries.get(domain);
            let model = primary.and_then(|id| find_model(input.spec, id));
            let Some(model) = model else { continue };
            let held = engines.iter().filter(|engine| !needs_load(engine, model));
            let lacking = model.group_size.saturating_sub(held.count());
            let empty = engines.iter().filter(|engine| needs_load(engine, model));
            wanted.extend(empty.map(|engine| (lacking, *engine, model)));
        }
        // The group that lacks least is whole soonest.
        wanted.sort_by_key(|(lacking, engine, _)| (*lacking, engine.id.clone()));
        for (_, engine, model) in wanted {
            if self.loading.len() >= input.spec.loads_at_once && !self.loads_the_rest(input) {
                return;
            }
            if self.loading.contains_key(&engine.id) {
                continue;
            }
            if input.in_traffic && self.starts.len() >= LOAD_STARTS {
                return;
            }
            self.note_load(now, input, &engine.id, model);
            steps.push(Step::Stage {
                endpoint: engine.id.clone(),
                model: model.model.clone(),
            });
        }
    }

    fn note_load(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        endpoint: &EndpointId,
        model: &EngineModel,
    ) {
        if input.in_traffic {
            self.starts.push_back(now);
        }
        let load = Load {
            model: model.model.clone(),
            give_up_at: now + loading_time(input, model) * LOAD_PATIENCE,
        };
        self.loading.insert(endpoint.clone(), load);
    }
}

/// How much longer than alone a load may take before it counts as failed: loads slow each other.
const LOAD_PATIENCE: u32 = 3;

fn loading_time(input: &PlannerInput<'_>, model: &EngineModel) -> Duration {
    if input.in_traffic {
        model.load_time
    } else {
        model.load_time / EARLY_LOADS_FASTER
    }
}

/// Loads before the first request take this part of their time.
const EARLY_LOADS_FASTER: u32 = 10;

fn engines<'a>(input: &PlannerInput<'a>) -> impl Iterator<Item = &'a Arc<Endpoint>> + use<'a> {
    let service = input.service;
    let listed = input.directory.listed();
    listed.filter(move |endpoint| endpoint.service == *service)
}

fn find_model<'a>(spec: &'a EngineSpec, id: &ModelId) -> Option<&'a EngineModel> {
    spec.models.iter().find(|model| model.model == *id)
}

fn group_size(spec: &EngineSpec, id: &ModelId) -> Option<usize> {
    find_model(spec, id).map(|model| model.group_size)
}

fn holds(engine: &Endpoint, model: &ModelId) -> bool {
    engine.models.contains(model) || engine.staged.contains(model)
}

fn needs_load(engine: &Endpoint, model: &EngineModel) -> bool {
    !holds(engine, &model.model)
}

fn joining_time(engine: &Endpoint, model: &EngineModel) -> Duration {
    if engine.models.contains(&model.model) {
        REJOIN_TIME
    } else if engine.staged.contains(&model.model) {
        model.warm_time
    } else {
        model.load_time
    }
}

/// Orders domains so that those of one failure domain don't follow each other: each model then lies in
/// several of them, and the loss of one takes none away.
fn by_turns<'a>(
    mut domains: Vec<(&'a FabricDomainId, &'a FailureDomainId)>,
) -> Vec<&'a FabricDomainId> {
    domains.sort();
    let mut turns: IndexMap<&FailureDomainId, usize> = IndexMap::new();
    let mut ordered: Vec<(usize, &FabricDomainId)> = Vec::new();
    for (domain, failure_domain) in domains {
        let turn = turns.entry(failure_domain).or_default();
        ordered.push((*turn, domain));
        *turn += 1;
    }
    ordered.sort();
    ordered.into_iter().map(|(_, domain)| domain).collect()
}

fn state_in(directory: &Directory, id: &EndpointId, key: &GroupKey) -> Option<GroupState> {
    let role = directory.find(id)?.group.as_ref()?;
    (role.group == key.group && role.epoch == key.epoch).then_some(role.state)
}

/// Returns whether all that is wrong with a group is that members are about to leave.
fn leaves(directory: &Directory, group: &crate::directory::GroupView) -> bool {
    group.members.iter().all(|member| {
        let member = member.as_ref();
        member.is_some_and(|member| directory.is_listed(&member.id))
    })
}
