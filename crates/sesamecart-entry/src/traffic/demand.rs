//! The capacity that a request needs from the groups of its model.

use sesamecart_fleet::{EngineModel, EngineSpec, TokenCounts};

use crate::clock;
use crate::traffic::call::Call;

impl Call {
    /// Adds this request to the demand for its model, whether or not it will be served.
    pub(super) fn record_demand(&self) {
        let (Some(service), Some((spec, model))) = (self.service(), self.engine_model()) else {
            return;
        };
        let tokens = self.tokens(spec);
        let group_time = spec.group_time(model, tokens);
        let urgency = self.catalog.urgency(service, &self.route);
        let now = clock::now();
        let mut demand = self.state.demand();
        demand.note(now, &model.model, group_time, tokens, urgency);
    }

    /// Returns how many requests a group of the model can hold while each of them still starts in time.
    pub(super) fn usable_slots(&self) -> Option<u32> {
        let (spec, model) = self.engine_model()?;
        let mean = self.state.demand().mean_tokens(clock::now(), &model.model);
        Some(spec.usable_slots(mean))
    }

    /// Returns the requested model, if the request's service serves it in groups.
    pub(super) fn engine_model(&self) -> Option<(&EngineSpec, &EngineModel)> {
        let service = self.catalog.services.get(self.service()?)?;
        let spec = service.engine.as_ref()?;
        let requested = self.metadata.model.as_ref()?;
        let model = spec.models.iter().find(|model| model.model == *requested)?;
        Some((spec, model))
    }

    /// Returns the tokens that the request is expected to take, if its service serves its model in groups.
    pub(super) fn expected_tokens(&self) -> Option<TokenCounts> {
        self.engine_model().map(|(spec, _)| self.tokens(spec))
    }

    fn tokens(&self, spec: &EngineSpec) -> TokenCounts {
        let prompt = self.metadata.size.map(|size| size.prompt as f64);
        spec.tokens(prompt, self.expected_output_tokens())
    }

    /// Returns the expected length of the output in tokens, if the caller gave a hint.
    fn expected_output_tokens(&self) -> Option<f64> {
        let max = self
            .metadata
            .size
            .map(|size| size.max_response_tokens as f64);
        let hint = self.metadata.length_hint.map(|tokens| tokens as f64);
        match (hint, max) {
            (Some(hint), Some(max)) => Some(hint.min(max)),
            (hint, _) => hint,
        }
    }
}
