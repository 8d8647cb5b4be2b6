//! What a request takes of the groups of the model that it asks for.

use sesamecart_fleet::{EngineModel, EngineSpec};

use crate::clock;
use crate::traffic::call::Call;

impl Call {
    /// Counts what this request asks of its model, whether it will be served or not.
    pub(super) fn note_demand(&self) {
        let Some((spec, model)) = self.engine_model() else {
            return;
        };
        let prompt = self.asked.size.map(|size| size.prompt as f64);
        let tokens = spec.tokens(prompt, self.answer_tokens());
        let group_time = spec.group_time(model, tokens);
        let now = clock::now();
        let mut demand = self.beliefs.demand();
        demand.note(now, &model.model, group_time, tokens);
    }

    /// Returns how many requests a group of the model holds while each of them begins in time.
    pub(super) fn usable_slots(&self) -> Option<u32> {
        let (spec, model) = self.engine_model()?;
        let mean = self
            .beliefs
            .demand()
            .mean_tokens(clock::now(), &model.model);
        Some(spec.usable_slots(mean))
    }

    /// Returns the model that the request asks for, where its service serves it in groups.
    pub(super) fn engine_model(&self) -> Option<(&EngineSpec, &EngineModel)> {
        let service = self.catalog.services.get(self.service()?)?;
        let spec = service.engine.as_ref()?;
        let asked = self.asked.model.as_ref()?;
        let model = spec.models.iter().find(|model| model.model == *asked)?;
        Some((spec, model))
    }

    /// Returns how long an answer is to be expected, if the caller says anything of it.
    fn answer_tokens(&self) -> Option<f64> {
        let most = self.asked.size.map(|size| size.answer_most as f64);
        let hint = self.asked.length_hint.map(|tokens| tokens as f64);
        match (hint, most) {
            (Some(hint), Some(most)) => Some(hint.min(most)),
            (hint, _) => hint,
        }
    }
}
