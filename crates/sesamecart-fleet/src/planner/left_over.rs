//! Which model gets the engines of a fabric domain that are too few for a group of its own one.
//!
//! It answers losses: what is left of a large group stands idle until as many engines have come as it lost,
//! beside callers of a model with smaller groups who are turned away.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, Timestamp};

use super::conversion::{GAIN_OVER_LOSS, MIN_GAIN_PER_GROUP};
use super::engine::{find_model, holds};
use super::provisioning::Provisioning;
use super::{Planner, PlannerInput};
use crate::catalog::EngineModel;
use crate::endpoint::Endpoint;

/// How long engines have to be left over before they are given to another model: replacements that
/// make their own group whole come within that time.
const LEFT_OVER_FOR: Duration = Duration::from_millis(2_500);

/// Engines that a group may lack and still count as about to be whole.
const NEARLY_WHOLE: usize = 2;

impl Planner {
    /// Gives another model the engines that are too few for a group of their own.
    pub(super) fn convert_left_over(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        free: &IndexMap<FabricDomainId, Vec<&Arc<Endpoint>>>,
        provisioning: &mut Provisioning,
    ) {
        let mut left_over = std::mem::take(&mut self.conversions.left_over);
        left_over.retain(|domain, _| free.contains_key(domain));
        for (domain, engines) in free {
            let primary = self.primaries.get(domain);
            let Some(own) = primary.and_then(|id| find_model(input.spec, id)) else {
                continue;
            };
            let usable: Vec<&Arc<Endpoint>> = engines
                .iter()
                .filter(|engine| self.is_left_over(engine))
                .copied()
                .collect();
            let Some(other) = other_model_for(input, own, usable.len(), provisioning) else {
                left_over.swap_remove(domain);
                continue;
            };
            let since = *left_over.entry(domain.clone()).or_insert(now);
            let loads = usable.iter().filter(|engine| !holds(engine, &other.model));
            let loads = loads.count().min(other.group_size);
            if now.since(since) < LEFT_OVER_FOR || !self.has_room_for(input, loads) {
                continue;
            }
            self.reserve(&usable, other);
            provisioning.add(&other.model, 1.0);
            left_over.swap_remove(domain);
        }
        self.conversions.left_over = left_over;
    }

    fn is_left_over(&self, engine: &Endpoint) -> bool {
        !self.reserved.contains_key(&engine.id) && !self.loading.contains_key(&engine.id)
    }
}

/// Returns the model that engines which are left over should serve instead of their own; none where they
/// are soon enough for a group of their own, or where nobody needs them.
fn other_model_for<'a>(
    input: &PlannerInput<'a>,
    own: &EngineModel,
    engines: usize,
    provisioning: &Provisioning,
) -> Option<&'a EngineModel> {
    if engines >= own.group_size {
        return None;
    }
    let loss = if engines + NEARLY_WHOLE >= own.group_size {
        provisioning.worth_of_change(&own.model, 1.0)
    } else {
        0.0
    };
    let gain = |model: &EngineModel| provisioning.worth_of_change(&model.model, 1.0);
    let others = input.spec.models.iter().filter(|model| {
        model.model != own.model
            && model.group_size <= engines
            && gain(model) >= MIN_GAIN_PER_GROUP
            && gain(model) >= GAIN_OVER_LOSS * loss
    });
    others.max_by(|a, b| gain(a).total_cmp(&gain(b)))
}
