//! Reserves engines for groups of a model other than the one assigned to their fabric domain, until they have
//! loaded it.

use std::sync::Arc;

use sesamecart_vocabulary::{EndpointId, ModelId};

use super::engine::holds;
use super::{Planner, PlannerInput};
use crate::catalog::EngineModel;
use crate::directory::Directory;
use crate::endpoint::Endpoint;

impl Planner {
    /// Returns whether an engine may join a group of a model.
    pub(super) fn may_serve(&self, engine: &EndpointId, model: &ModelId) -> bool {
        self.reserved
            .get(engine)
            .is_none_or(|reserved| reserved == model)
    }

    /// Drops the reservations of engines that have left and of engines in a group that is neither being
    /// closed for another model nor dissolved: either the group keeps serving, or it already serves the
    /// reserved model.
    pub(super) fn prune_reservations(&mut self, directory: &Directory) {
        let (conversions, dissolved) = (&self.conversions, &self.dissolved);
        self.reserved.retain(|id, _| {
            let engine = directory.find(id).filter(|_| directory.is_listed(id));
            engine.is_some_and(|engine| {
                let key = engine.group_key();
                key.is_none_or(|key| conversions.is_retiring(&key) || dissolved.contains(&key))
            })
        });
    }

    /// Returns whether the weight store has capacity for `loads` more loads besides those running or
    /// reserved.
    pub(super) fn has_load_capacity(&self, input: &PlannerInput<'_>, loads: usize) -> bool {
        let waiting = self.reserved.iter().filter(|(id, model)| {
            let engine = input.directory.find(id);
            let needs_load = engine.is_some_and(|engine| !holds(engine, model));
            needs_load && !self.loading.contains_key(*id)
        });
        self.loading.len() + waiting.count() + loads <= input.spec.loads_at_once
    }

    /// Reserves engines for one group of a model: first those that hold the model, then empty ones.
    pub(super) fn reserve(&mut self, usable: &[&Arc<Endpoint>], model: &EngineModel) {
        let mut usable = usable.to_vec();
        usable.sort_by_key(|engine| {
            let is_other = !holds(engine, &model.model);
            (is_other, !engine.staged.is_empty(), engine.id.clone())
        });
        for engine in usable.iter().take(model.group_size) {
            self.reserved.insert(engine.id.clone(), model.model.clone());
        }
    }
}
