//! Rolling updates of the replicas of a model to a new version.

use indexmap::IndexMap;
use sesamecart_vocabulary::{GroupId, ModelId};

use super::group::Preparation;
use super::planning::Batch;
use super::{Controller, GroupPhase};
use crate::rollout::{Replica, next_to_update};

impl Controller {
    pub(super) fn plan_version_updates(&mut self, batch: &mut Batch) {
        for (model, wanted) in self.outdated_models.clone() {
            let replicas = self.replicas(&model, &wanted, batch);
            let Some(group) = next_to_update(&replicas).cloned() else {
                continue;
            };
            if self.is_pending(&group) || batch.changed.contains(&group) {
                continue;
            }
            let is_serving = self.phase(&group) == Some(GroupPhase::Serving);
            let Some(control) = self.groups.get_mut(&group) else {
                continue;
            };
            if is_serving {
                control.preparation = Some(Preparation::Version(wanted));
            } else {
                self.request_version(batch, &group, &wanted);
            }
        }
        self.finish_version_updates(batch);
    }

    /// Returns the target version of each model of which a controlled group runs another version.
    pub(super) fn find_outdated_models(&self) -> IndexMap<ModelId, String> {
        let mut outdated = IndexMap::new();
        for group in self.groups.keys() {
            let Some((plan, model)) = self.group_and_model(group) else {
                continue;
            };
            let assigned = self.assignments.group(group);
            if assigned.is_some_and(|assigned| assigned.version != model.version) {
                outdated.insert(plan.model.clone(), model.version.clone());
            }
        }
        outdated
    }

    /// Returns the controlled replicas of a model. The owner of each fabric domain updates its own replicas.
    fn replicas(&self, model: &ModelId, wanted: &str, batch: &Batch) -> Vec<Replica> {
        let is_model = |group: &&GroupId| {
            let plan = self.fleet.groups.get(*group);
            plan.is_some_and(|plan| plan.model == *model)
        };
        let replica = |group: &GroupId| {
            let assigned = self.assignments.group(group)?;
            let control = self.groups.get(group)?;
            let phase = self.phase(group)?;
            let up_to_date = assigned.version == wanted;
            let is_preparing = matches!(control.preparation, Some(Preparation::Version(_)));
            let is_pending = self.is_pending(group) || batch.changed.contains(group);
            Some(Replica {
                group: group.clone(),
                routable: phase == GroupPhase::Serving,
                up_to_date,
                updating: is_preparing
                    || is_pending
                    || (up_to_date && phase == GroupPhase::Recovering),
            })
        };
        self.groups
            .keys()
            .filter(is_model)
            .filter_map(replica)
            .collect()
    }

    fn finish_version_updates(&mut self, batch: &mut Batch) {
        for group in self.groups_in_preparation() {
            let Some(Preparation::Version(wanted)) = self
                .groups
                .get(&group)
                .and_then(|control| control.preparation.clone())
            else {
                continue;
            };
            let members = self
                .assignments
                .group(&group)
                .map(|assigned| &assigned.members);
            let is_loaded = members.is_some_and(|members| {
                let loads = &self.groups[&group].loads;
                let is_done = |vm| loads.get(vm).is_some_and(|load| load.is_done(&wanted));
                members.iter().all(is_done)
            });
            let is_serving = self.phase(&group) == Some(GroupPhase::Serving);
            if is_loaded {
                self.request_version(batch, &group, &wanted);
            }
            if is_loaded || !is_serving {
                self.groups[&group].preparation = None;
            }
        }
    }
}
