//! Selects the endpoint for a request.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_fleet::{
    Candidate, Directory, Endpoint, Pool, Service, Unavailable, WeightedService, return_delay,
};
use sesamecart_vocabulary::{EndpointId, ModelId, ServiceId, Timestamp, stable_hash};

use crate::clock;
use crate::dispatch::AssignedTicket;
use crate::traffic::call::{Attempts, Call};
use crate::traffic::refusal::Refusal;

/// The maximum `Retry-After` as a fraction of the caller's remaining time. The rest of that time has to be
/// enough for the response.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// The load of an endpoint that is full by this node's own estimate, in requests per slot.
const FULL_LOAD: f64 = 1.0;

/// The endpoint selected for an attempt, and its load.
pub(super) struct Placement {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) service: ServiceId,
    pub(super) load: f64,
    /// The ticket by which the pool's dispatcher has assigned the endpoint.
    pub(super) ticket: Option<AssignedTicket>,
}

/// The endpoints that an attempt may be sent to, as far as that doesn't depend on their load.
struct Eligible<'a> {
    endpoints: Vec<&'a Arc<Endpoint>>,
    /// Whether limits exclude others.
    is_limited: bool,
}

/// How endpoint selection handles cold endpoints and those that limit the requests of all nodes together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RestrictedEndpointPolicy {
    /// Cold endpoints are used within this node's share of the request rate that they can handle, and each
    /// use is charged to that share. Limited endpoints are selected, but the request then needs a permit.
    WithinLimits,
    /// Cold endpoints are skipped, because the pool's dispatcher grants their use for all nodes. Limited endpoints
    /// are handled as with [`Self::WithinLimits`].
    SkipCold,
    /// They are skipped, because the selection only probes for a placement and sends no request.
    Skip,
}

impl Call {
    /// Selects an endpoint that this request hasn't tried: the assigned one, if the request may use it.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint is available to the request.
    pub(super) fn place(
        &self,
        attempts: &Attempts,
        policy: RestrictedEndpointPolicy,
        assigned: Option<&EndpointId>,
    ) -> Result<Placement, Unavailable> {
        let service = self.service().ok_or(Unavailable::NoEndpoint)?;
        let directory = self.state.directory.load_full();
        let slots = self.usable_slots();
        let Eligible {
            mut endpoints,
            is_limited,
        } = self.eligible(attempts, policy, service, &directory)?;
        let cold_per_s = self.service_config().and_then(|config| config.cold_per_s);
        let now = clock::now();
        self.avoid_unproved(now, attempts, &mut endpoints);
        if let Some(endpoint) = endpoints.iter().find(|one| Some(&one.id) == assigned)
            && let Some(load) = self.assigned_load(now, self.candidate(endpoint, slots))
        {
            return Ok(Placement {
                endpoint: Arc::clone(endpoint),
                service: service.clone(),
                load,
                ticket: None,
            });
        }
        loop {
            let candidates: Vec<Candidate<'_>> = endpoints
                .iter()
                .map(|endpoint| self.candidate(endpoint, slots))
                .collect();
            let chosen = self.state.loads().choose(now, &candidates, fastrand::f64);
            let chosen = chosen.map_err(|unavailable| match unavailable {
                Unavailable::NoEndpoint if is_limited => Unavailable::Limited,
                unavailable => unavailable,
            })?;
            if self.is_over_share(attempts, service, chosen.load) {
                return Err(Unavailable::OverShare);
            }
            let endpoint = Arc::clone(endpoints[chosen.index]);
            let is_skipped = cold_per_s.is_some_and(|per_s| {
                directory.is_cold(now, &endpoint.id)
                    && (policy != RestrictedEndpointPolicy::WithinLimits
                        || !self.state.try_take_cold_request(&endpoint, per_s))
            });
            if is_skipped {
                endpoints.remove(chosen.index);
                continue;
            }
            return Ok(Placement {
                endpoint,
                service: service.clone(),
                load: chosen.load,
                ticket: None,
            });
        }
    }

    /// Returns the endpoints that this request hasn't tried and may be sent to.
    fn eligible<'a>(
        &'a self,
        attempts: &Attempts,
        policy: RestrictedEndpointPolicy,
        service: &'a ServiceId,
        directory: &'a Directory,
    ) -> Result<Eligible<'a>, Unavailable> {
        let service_config = self.service_config();
        let model = self.served_model();
        let mut candidates: Vec<&Arc<Endpoint>> = directory.candidates(service, model).collect();
        if candidates.is_empty() {
            let drain_time = self.state.settings.bounds.drain_time();
            let last_resort = directory.last_resort(clock::now(), drain_time, service, model);
            candidates.extend(last_resort);
        }
        let mut endpoints: Vec<&Arc<Endpoint>> = candidates
            .iter()
            .copied()
            .filter(|endpoint| !attempts.tried.contains(&endpoint.id))
            .filter(|endpoint| !self.state.is_group_avoided(endpoint))
            .collect();
        if let (true, Some(model), Some(config)) = (endpoints.is_empty(), model, service_config)
            && !config.can_host(model, directory.largest_fabric_domain(service))
        {
            return Err(Unavailable::Unservable);
        }
        self.restrict(attempts, &candidates, &mut endpoints);
        if self.remove_backing_off(&candidates, &mut endpoints) {
            return Err(Unavailable::BackingOff);
        }
        let is_limited = self.remove_limited(attempts, policy, &mut endpoints);
        Ok(Eligible {
            endpoints,
            is_limited,
        })
    }

    /// Removes the endpoints that have never answered if this request has tried such a one and others have answered, so
    /// that entries of the registry that name no endpoint cost a request one attempt.
    fn avoid_unproved(
        &self,
        now: Timestamp,
        attempts: &Attempts,
        endpoints: &mut Vec<&Arc<Endpoint>>,
    ) {
        if attempts.tried.is_empty() {
            return;
        }
        let loads = self.state.loads();
        let is_usable = |id| loads.has_answered(id) && !loads.is_ejected(now, id);
        let has_tried_unproved = attempts.tried.iter().any(|id| !loads.has_answered(id));
        if has_tried_unproved && endpoints.iter().any(|endpoint| is_usable(&endpoint.id)) {
            endpoints.retain(|endpoint| loads.has_answered(&endpoint.id));
        }
    }

    /// Returns the endpoints of the pool that this request may not be sent to, or `None` if there are no others.
    pub(super) fn excluded_endpoints(&self, attempts: &Attempts) -> Option<Vec<EndpointId>> {
        let service = self.service()?;
        let directory = self.state.directory.load_full();
        let policy = RestrictedEndpointPolicy::SkipCold;
        let mut usable = self
            .eligible(attempts, policy, service, &directory)
            .ok()?
            .endpoints;
        let now = clock::now();
        let loads = self.state.loads();
        usable.retain(|endpoint| !loads.is_ejected(now, &endpoint.id));
        drop(loads);
        if usable.is_empty() {
            return None;
        }
        let usable: IndexSet<&EndpointId> = usable.iter().map(|endpoint| &endpoint.id).collect();
        let candidates = directory.candidates(service, self.served_model());
        let excluded = candidates.filter(|endpoint| !usable.contains(&endpoint.id));
        Some(excluded.map(|endpoint| endpoint.id.clone()).collect())
    }

    fn service_config(&self) -> Option<&Service> {
        self.catalog.services.get(self.service()?)
    }

    /// Returns the requested model, if the service has engines.
    fn served_model(&self) -> Option<&ModelId> {
        let has_engine = self
            .service_config()
            .is_some_and(|config| config.engine.is_some());
        self.metadata.model.as_ref().filter(|_| has_engine)
    }

    fn candidate<'a>(&self, endpoint: &'a Endpoint, slots: Option<u32>) -> Candidate<'a> {
        Candidate {
            id: &endpoint.id,
            slots: slots.unwrap_or(endpoint.slots),
            is_local: endpoint.failure_domain == self.state.settings.failure_domain,
        }
    }

    /// Returns the load of an assigned endpoint, or `None` if this node has ejected it.
    ///
    /// Whether it is full was decided with the requests of all nodes, of which this node knows only a part.
    fn assigned_load(&self, now: Timestamp, assigned: Candidate<'_>) -> Option<f64> {
        match self.state.loads().choose(now, &[assigned], fastrand::f64) {
            Ok(choice) => Some(choice.load),
            Err(Unavailable::Full) => Some(FULL_LOAD),
            Err(_) => None,
        }
    }

    /// Returns whether a first attempt exceeds its customer's fair share, so that the slot at an endpoint
    /// with `load` has to be left to other customers.
    fn is_over_share(&self, attempts: &Attempts, service: &ServiceId, load: f64) -> bool {
        let customer = self.customer.as_ref().filter(|_| attempts.made == 0);
        customer.is_some_and(|customer| {
            let pool = self.pool(service);
            self.state.is_over_share(&pool, &customer.id, load)
        })
    }

    /// Records that a first attempt was assigned an endpoint.
    pub(super) fn record_placement(&self, placement: &Placement) {
        let customer_id = self.customer.as_ref().map(|customer| &customer.id);
        let pool = self.pool(&placement.service);
        self.state.record_placed(&pool, customer_id);
    }

    /// Returns the pool of endpoints for which the request competes with others.
    pub(super) fn pool(&self, service: &ServiceId) -> Pool {
        let model = self.engine_model().map(|(_, model)| model.model.clone());
        Pool {
            service: service.clone(),
            model,
        }
    }

    /// Returns the time after which a refused caller may retry.
    pub(crate) fn retry_after(&self, refusal: &Refusal) -> Option<Duration> {
        if let Some(earliest) = self.backoff_end(refusal) {
            return Some(return_delay(clock::now(), earliest, fastrand::f64()));
        }
        let service = self.service().filter(|_| refusal.is_capacity_shortage());
        let Some(service) = service else {
            return refusal.retry_after(fastrand::f64());
        };
        let after = self.state.schedule_retry(&self.pool(service));
        Some(after.min(self.caller_time_left().mul_f64(MAX_RETRY_AFTER_FRACTION)))
    }

    /// Returns the service selected by the route's weights. It depends on the request's id, so all attempts
    /// of a request use the same service.
    pub(super) fn service(&self) -> Option<&ServiceId> {
        let services = &self.route.services;
        let total: u64 = services.iter().map(|part| u64::from(part.weight)).sum();
        let mut draw = stable_hash(self.metadata.id.as_str()) % total.max(1);
        let selected = services.iter().find(|part| {
            let weight = u64::from(part.weight);
            let is_selected = draw < weight;
            draw = draw.saturating_sub(weight);
            is_selected
        });
        selected.map(|part: &WeightedService| &part.service)
    }
}
