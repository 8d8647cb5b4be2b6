//! Rolling a new version over the replicas of a model.

use indexmap::IndexMap;
use sesamecart_vocabulary::{GroupId, ModelId};

use super::group::Preparation;
use super::planning::Batch;
use super::{Controller, GroupPhase};
use crate::rollout::{Replica, next_to_update};

impl Controller {
    pub(super) fn plan_versions(&mut self, batch: &mut Batch) {
        for (model, wanted) in self.behind.clone() {
            let replicas = self.replicas(&model, &wanted, batch);
            let Some(group) = next_to_update(&replicas).cloned() else {
                continue;
            };
            if self.is_pending(&group) || batch.changed.contains(&group) {
                continue;
            }
            let serves = self.phase(&group) == Some(GroupPhase::Serving);
            let Some(control) = self.groups.get_mut(&group) else {
                continue;
            };
            if serves {
                control.preparation = Some(Preparation::Version(wanted));
            } else {
                self.request_version(batch, &group, &wanted);
            }
        }
        self.finish_versions(batch);
    }

    /// Returns the models of which a controlled group runs another version than wanted.
    pub(super) fn find_behind(&self) -> IndexMap<ModelId, String> {
        let mut behind = IndexMap::new();
        for group in self.groups.keys() {
            let Some((plan, model)) = self.plan_and_model(group) else {
                continue;
            };
            let assigned = self.assignments.group(group);
            if assigned.is_some_and(|assigned| assigned.version != model.version) {
                behind.insert(plan.model.clone(), model.version.clone());
            }
        }
        behind
    }

    /// Returns the controlled replicas of a model; each fabric domain's owner rolls its own.
    fn replicas(&self, model: &ModelId, wanted: &str, batch: &Batch) -> Vec<Replica> {
        let is_model = |group: &&GroupId| {
            let plan = self.fleet.groups.get(*group);
            plan.is_some_and(|plan| plan.model == *model)
        };
        let replica = |group: &GroupId| {
            let assigned = self.assignments.group(group)?;
            let control = self.groups.get(group)?;
            let phase = self.phase(group)?;
            let current = assigned.version == wanted;
            let preparing = matches!(control.preparation, Some(Preparation::Version(_)));
            let pending = self.is_pending(group) || batch.changed.contains(group);
            Some(Replica {
                group: group.clone(),
                routable: phase == GroupPhase::Serving,
                current,
                changing: preparing || pending || (current && phase == GroupPhase::Recovering),
            })
        };
        self.groups
            .keys()
            .filter(is_model)
            .filter_map(replica)
            .collect()
    }

    fn finish_versions(&mut self, batch: &mut Batch) {
        for group in self.preparing() {
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
            let loaded = members.is_some_and(|members| {
                let loads = &self.groups[&group].loads;
                let is_done = |vm| loads.get(vm).is_some_and(|load| load.is_done(&wanted));
                members.iter().all(is_done)
            });
            let serves = self.phase(&group) == Some(GroupPhase::Serving);
            if loaded {
                self.request_version(batch, &group, &wanted);
            }
            if loaded || !serves {
                self.groups[&group].preparation = None;
            }
        }
    }
}
