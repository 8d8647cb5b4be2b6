//! Summarizes how the engines of a service are used.

use sesamecart_vocabulary::ModelId;

use super::engine::{engines, holds};
use super::{Planner, PlannerInput};
use crate::endpoint::EndpointState;

/// Group and engine counts of one model, as seen by its controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSummary {
    /// The model.
    pub model: ModelId,
    /// The number of open groups.
    pub open: usize,
    /// The number of open groups that take requests. Groups in an evacuated failure domain don't.
    pub reachable: usize,
    /// The number of groups being formed.
    pub forming: usize,
    /// The number of engines that hold the model and belong to no group.
    pub spare: usize,
    /// The number of engines that are loading the model.
    pub loading: usize,
}

impl Planner {
    /// Counts the groups and engines of each model, and the engines that neither hold nor load a model.
    #[must_use]
    pub fn summarize(&self, input: &PlannerInput<'_>) -> (Vec<ModelSummary>, usize) {
        let mut empty = 0;
        let models = input.spec.models.iter();
        let mut summaries: Vec<ModelSummary> = models
            .map(|spec_model| ModelSummary {
                model: spec_model.model.clone(),
                forming: self
                    .formations
                    .values()
                    .filter(|formation| formation.model == spec_model.model)
                    .count(),
                loading: self
                    .loading
                    .values()
                    .filter(|load| load.model == spec_model.model)
                    .count(),
                open: 0,
                reachable: 0,
                spare: 0,
            })
            .collect();
        for engine in engines(input).filter(|engine| engine.state == EndpointState::Ready) {
            let held_index = input
                .spec
                .models
                .iter()
                .position(|spec_model| holds(engine, &spec_model.model));
            match held_index {
                Some(index) if engine.is_open_head() => {
                    summaries[index].open += 1;
                    summaries[index].reachable += usize::from(input.directory.takes_work(engine));
                }
                Some(index) if engine.group.is_none() => summaries[index].spare += 1,
                None if engine.group.is_none() && !self.loading.contains_key(&engine.id) => {
                    empty += 1
                }
                _ => {}
            }
        }
        (summaries, empty)
    }
}
