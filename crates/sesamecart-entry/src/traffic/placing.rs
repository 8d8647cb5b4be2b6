//! Which endpoint takes a request.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_fleet::{Candidate, Endpoint, Unavailable, WeightedService};
use sesamecart_vocabulary::{ServiceId, stable_hash};

use crate::beliefs::budgets::Pool;
use crate::clock;
use crate::traffic::call::{Attempts, Call};
use crate::traffic::refusal::Refusal;

/// The part of the time that a caller still waits after which it may come back at the latest: what is left has
/// to be enough for the answer.
const MAX_RETRY_PART: f64 = 1.0 / 3.0;

/// An endpoint that was chosen.
pub(super) struct Placed {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) service: ServiceId,
    pub(super) load: f64,
}

/// What becomes of cold endpoints where one is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ColdEndpoints {
    /// They are taken as far as this node's share of what they bear goes, and that is spent.
    WithinAllowance,
    /// They are passed over: nothing is sent yet.
    PassedOver,
}

impl Call {
    /// Chooses an endpoint that this request hasn't tried.
    pub(super) fn place(
        &self,
        attempts: &Attempts,
        cold: ColdEndpoints,
    ) -> Result<Placed, Unavailable> {
        let service = self.service().ok_or(Unavailable::NoEndpoint)?;
        let known = self.catalog.services.get(service);
        let is_model = known.is_some_and(|known| known.engine.is_some());
        let model = self.asked.model.as_ref().filter(|_| is_model);
        let directory = self.beliefs.directory.load_full();
        let slots = self.usable_slots();
        let mut endpoints: Vec<&Arc<Endpoint>> = directory
            .candidates(service, model)
            .filter(|endpoint| !attempts.tried.contains(&endpoint.id))
            .filter(|endpoint| !self.beliefs.is_lost(endpoint))
            .collect();
        if let (true, Some(model), Some(known)) = (endpoints.is_empty(), model, known)
            && !known.may_hold(model, directory.largest_fabric_domain(service))
        {
            return Err(Unavailable::Unservable);
        }
        let now = clock::now();
        loop {
            let candidates: Vec<Candidate<'_>> = endpoints
                .iter()
                .map(|endpoint| Candidate {
                    id: &endpoint.id,
                    slots: slots.unwrap_or(endpoint.slots),
                    is_local: endpoint.failure_domain == self.beliefs.settings.failure_domain,
                })
                .collect();
            let chosen = self
                .beliefs
                .loads()
                .choose(now, &candidates, fastrand::f64)?;
            if self.is_over_share(attempts, service, chosen.load) {
                return Err(Unavailable::OverShare);
            }
            let endpoint = Arc::clone(endpoints[chosen.index]);
            let cold_per_s = known.and_then(|known| known.cold_per_s);
            let is_refused = cold_per_s.is_some_and(|per_s| {
                directory.is_cold(now, &endpoint.id)
                    && (cold == ColdEndpoints::PassedOver
                        || !self.beliefs.take_cold(&endpoint, per_s))
            });
            if is_refused {
                endpoints.remove(chosen.index);
                continue;
            }
            return Ok(Placed {
                endpoint,
                service: service.clone(),
                load: chosen.load,
            });
        }
    }

    /// Returns whether a first attempt has to leave its place, at an endpoint with `load`, to the callers of other
    /// customers.
    fn is_over_share(&self, attempts: &Attempts, service: &ServiceId, load: f64) -> bool {
        let customer = self.customer.as_ref().filter(|_| attempts.made == 0);
        customer.is_some_and(|customer| {
            let pool = self.pool(service);
            self.beliefs.is_over_share(&pool, &customer.id, load)
        })
    }

    /// Notes that a first attempt has got a place.
    pub(super) fn note_placed(&self, placed: &Placed) {
        let customer = self.customer.as_ref().map(|customer| &customer.id);
        let pool = self.pool(&placed.service);
        self.beliefs.note_placed(&pool, customer);
    }

    /// Returns the endpoints of a service that the request competes for with others.
    fn pool(&self, service: &ServiceId) -> Pool {
        let model = self.engine_model().map(|(_, model)| model.model.clone());
        Pool {
            service: service.clone(),
            model,
        }
    }

    /// Returns when a caller that is refused may come back.
    pub(crate) fn retry_after(&self, refusal: &Refusal) -> Option<Duration> {
        let service = self.service().filter(|_| refusal.is_for_want_of_room());
        let Some(service) = service else {
            return refusal.retry_after(fastrand::f64());
        };
        let after = self.beliefs.schedule_retry(&self.pool(service));
        Some(after.min(self.callers_left().mul_f64(MAX_RETRY_PART)))
    }

    /// Returns the service that the route's weights give this request, the same at each attempt.
    pub(super) fn service(&self) -> Option<&ServiceId> {
        let services = &self.route.services;
        let total: u64 = services.iter().map(|part| u64::from(part.weight)).sum();
        let mut draw = stable_hash(self.asked.id.as_str()) % total.max(1);
        let drawn = services.iter().find(|part| {
            let weight = u64::from(part.weight);
            let found = draw < weight;
            draw = draw.saturating_sub(weight);
            found
        });
        drawn.map(|part: &WeightedService| &part.service)
    }
}
