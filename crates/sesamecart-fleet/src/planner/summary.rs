//! What the engines of a service are used for, in a few numbers.

use sesamecart_vocabulary::ModelId;

use super::engine::{engines, holds};
use super::{Planner, PlannerInput};
use crate::endpoint::EndpointState;

/// What a model has, as its controller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSummary {
    /// The model.
    pub model: ModelId,
    /// Its open groups.
    pub open: usize,
    /// Those of them that take requests: none in a failure domain that is evacuated.
    pub reachable: usize,
    /// Its groups that are being formed.
    pub forming: usize,
    /// Engines outside of groups that hold it.
    pub spare: usize,
    /// Engines that load it.
    pub loading: usize,
}

impl Planner {
    /// Counts what each model has, and the engines that hold none and load none.
    #[must_use]
    pub fn summary(&self, input: &PlannerInput<'_>) -> (Vec<ModelSummary>, usize) {
        let mut empty = 0;
        let models = input.spec.models.iter();
        let mut summaries: Vec<ModelSummary> = models
            .map(|known| ModelSummary {
                model: known.model.clone(),
                forming: self
                    .formations
                    .values()
                    .filter(|formation| formation.model == known.model)
                    .count(),
                loading: self
                    .loading
                    .values()
                    .filter(|load| load.model == known.model)
                    .count(),
                open: 0,
                reachable: 0,
                spare: 0,
            })
            .collect();
        for engine in engines(input).filter(|engine| engine.state == EndpointState::Ready) {
            let held = input
                .spec
                .models
                .iter()
                .position(|known| holds(engine, &known.model));
            match held {
                Some(place) if engine.is_open_head() => {
                    summaries[place].open += 1;
                    summaries[place].reachable += usize::from(input.directory.takes_work(engine));
                }
                Some(place) if engine.group.is_none() => summaries[place].spare += 1,
                None if engine.group.is_none() && !self.loading.contains_key(&engine.id) => {
                    empty += 1
                }
                _ => {}
            }
        }
        (summaries, empty)
    }
}
