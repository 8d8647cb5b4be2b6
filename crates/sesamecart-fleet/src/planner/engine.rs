//! Properties of one engine with respect to a model, such as how soon it can serve it.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, ModelId};

use super::PlannerInput;
use crate::catalog::{EngineModel, EngineSpec};
use crate::directory::{Directory, GroupKey};
use crate::endpoint::{Endpoint, EndpointState, GroupState};

/// How long an engine takes to join a group of the model that it already serves.
const REJOIN_TIME: Duration = Duration::from_millis(200);

pub(super) fn engines<'a>(
    input: &PlannerInput<'a>,
) -> impl Iterator<Item = &'a Arc<Endpoint>> + use<'a> {
    let service = input.service;
    let listed = input.directory.listed();
    listed.filter(move |endpoint| endpoint.service == *service)
}

pub(super) fn find_model<'a>(spec: &'a EngineSpec, id: &ModelId) -> Option<&'a EngineModel> {
    spec.models.iter().find(|model| model.model == *id)
}

pub(super) fn group_size(spec: &EngineSpec, id: &ModelId) -> Option<usize> {
    find_model(spec, id).map(|model| model.group_size)
}

pub(super) fn is_ready(engine: &Endpoint) -> bool {
    engine.state == EndpointState::Ready
}

pub(super) fn holds(engine: &Endpoint, model: &ModelId) -> bool {
    engine.models.contains(model) || engine.staged.contains(model)
}

pub(super) fn needs_load(engine: &Endpoint, model: &EngineModel) -> bool {
    !holds(engine, &model.model)
}

pub(super) fn join_time(engine: &Endpoint, model: &EngineModel) -> Duration {
    if engine.models.contains(&model.model) {
        REJOIN_TIME
    } else if engine.staged.contains(&model.model) {
        model.warm_time
    } else {
        model.load_time
    }
}

pub(super) fn member_state(
    directory: &Directory,
    id: &EndpointId,
    key: &GroupKey,
) -> Option<GroupState> {
    let role = directory.find(id)?.group.as_ref()?;
    (role.group == key.group && role.epoch == key.epoch).then_some(role.state)
}
