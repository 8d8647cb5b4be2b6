//! Which free engines form the next group.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, FabricDomainId, GroupId, Timestamp};

use super::engine::{engines, group_size, joining_time, needs_load};
use super::{Formation, JOIN_SLACK, Planner, PlannerInput, Progress, Step};
use crate::catalog::EngineModel;
use crate::directory::GroupKey;
use crate::endpoint::Endpoint;
use crate::number::GroupEpoch;

/// The part of a group's loads that may run beyond what the weight store bears unslowed.
///
/// A group's loads begin together. Waiting until all of them fit would leave the store idle in part;
/// beginning many groups at once would have all of them wait for each other.
const LOAD_OVERCOMMIT: f64 = 0.5;

/// How many times as large as another model's groups a domain's own groups are at least where its spare
/// engines aren't spent on the other model.
///
/// One spare makes a large group whole again soon after a loss; in a small group it serves a part of one.
/// Once the spares are spent on small groups, each loss takes a large group away, and its other engines
/// stand idle for want of one more.
const KEEP_SPARES_RATIO: usize = 2;

/// Epochs that one controller may use; its fence gives the next range.
const EPOCHS_PER_FENCE: u64 = 1_000_000;

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

impl Planner {
    /// Forms groups as long as engines allow, the model that is furthest behind first.
    pub(super) fn form(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &mut IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        steps: &mut Vec<Step>,
    ) {
        loop {
            let provisioning = self.provisioning(input);
            let mut models: Vec<&EngineModel> = input.spec.models.iter().collect();
            models.sort_by(|a, b| {
                let ratio = |model: &EngineModel| provisioning.ratio(&model.model);
                ratio(a).total_cmp(&ratio(b))
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
        engines.sort_by_key(|engine| {
            let is_kept = !self.may_serve(&engine.id, &model.model);
            (is_kept, joining_time(engine, model), engine.id.clone())
        });
        let members: Vec<EndpointId> = engines
            .drain(..model.group_size)
            .map(|engine| engine.id.clone())
            .collect();
        for id in &members {
            self.reserved.swap_remove(id);
        }
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
        let usable = engines
            .iter()
            .filter(|engine| self.may_serve(&engine.id, &model.model));
        let mut times: Vec<Duration> = usable.map(|engine| joining_time(engine, model)).collect();
        if times.len() < model.group_size {
            return Forming::Impossible;
        }
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
        let primary = self.primaries.get(domain);
        let primary_size = primary.and_then(|primary| group_size(input.spec, primary));
        let fits_primary = primary_size.is_some_and(|size| {
            engines.len() >= size || size >= model.group_size * KEEP_SPARES_RATIO
        });
        if input.in_traffic || (!is_primary && fits_primary) {
            return Forming::Impossible;
        }
        let over = (model.group_size as f64 * LOAD_OVERCOMMIT) as usize;
        let most = input.spec.loads_at_once + over;
        let has_room = self.loading.is_empty() || self.loading.len() + loads <= most;
        if has_room || self.loads_the_rest(input) {
            Forming::Possible(time)
        } else {
            Forming::WaitsForLoads
        }
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
}
