//! Reassigns engines of a fabric domain that are too few for a group of the domain's own model.
//!
//! After losses, the remaining engines of a large group are idle until as many engines have arrived as were
//! lost, while callers of a model with smaller groups are refused.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, Timestamp};

use super::conversion::{MIN_GAIN_LOSS_RATIO, MIN_GAIN_PER_GROUP};
use super::engine::{find_model, holds};
use super::provisioning::Provisioning;
use super::{Planner, PlannerInput};
use crate::catalog::EngineModel;
use crate::endpoint::Endpoint;

/// How long engines have to be left over before they are given to another model. Replacements that complete a
/// group of their own model arrive within that time.
const MIN_LEFTOVER_TIME: Duration = Duration::from_millis(2_500);

/// The number of engines that a group may lack and still count as nearly complete.
const NEARLY_COMPLETE_MARGIN: usize = 2;

impl Planner {
    /// Gives engines that are too few for a group of their own model to another model.
    pub(super) fn convert_leftover(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        provisioning: &mut Provisioning,
    ) {
        let mut leftover_since = std::mem::take(&mut self.conversions.leftover_since);
        leftover_since.retain(|domain, _| free.contains_key(domain));
        for (domain, engines) in free {
            let assigned = self.domain_models.get(domain);
            let Some(own) = assigned.and_then(|id| find_model(input.spec, id)) else {
                continue;
            };
            let usable: Vec<&Arc<Endpoint>> = engines
                .iter()
                .filter(|engine| self.is_unclaimed(engine))
                .copied()
                .collect();
            let Some(other) = other_model_for(input, own, usable.len(), provisioning) else {
                leftover_since.swap_remove(domain);
                continue;
            };
            let since = *leftover_since.entry(domain.clone()).or_insert(now);
            let loads = usable.iter().filter(|engine| !holds(engine, &other.model));
            let loads = loads.count().min(other.group_size);
            if now.since(since) < MIN_LEFTOVER_TIME || !self.has_load_capacity(input, loads) {
                continue;
            }
            self.reserve(&usable, other);
            provisioning.add(&other.model, 1.0);
            leftover_since.swap_remove(domain);
        }
        self.conversions.leftover_since = leftover_since;
    }

    fn is_unclaimed(&self, engine: &Endpoint) -> bool {
        !self.reserved.contains_key(&engine.id) && !self.loading.contains_key(&engine.id)
    }
}

/// Returns the model that leftover engines should serve instead of their own. Returns `None` if they will
/// soon complete a group of their own model, or if no other model needs them.
fn other_model_for<'a>(
    input: &PlannerInput<'a>,
    own: &EngineModel,
    engines: usize,
    provisioning: &Provisioning,
) -> Option<&'a EngineModel> {
    if engines >= own.group_size {
        return None;
    }
    let own_gain = if engines + NEARLY_COMPLETE_MARGIN >= own.group_size {
        provisioning.value_of_change(&own.model, 1.0)
    } else {
        0.0
    };
    let loss = |model: &EngineModel| own_gain * provisioning.loss_factor(&own.model, &model.model);
    let gain = |model: &EngineModel| provisioning.value_of_change(&model.model, 1.0);
    let others = input.spec.models.iter().filter(|model| {
        model.model != own.model
            && model.group_size <= engines
            && gain(model) >= MIN_GAIN_PER_GROUP
            && gain(model) >= MIN_GAIN_LOSS_RATIO * loss(model)
    });
    others.max_by(|a, b| gain(a).total_cmp(&gain(b)))
}
