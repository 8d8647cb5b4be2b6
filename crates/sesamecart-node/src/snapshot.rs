//! What traffic threads read of the control state: one immutable picture, replaced as a whole.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sesamecart_config::{Configuration, Customer, Endpoint, EndpointKind};
use sesamecart_fold::{DrainTarget, State};
use sesamecart_vocabulary::{
    CustomerId, EndpointId, Generation, KeyHash, ModelId, Offset, Revision, ServiceId,
};

/// One picture of the control state.
///
/// A traffic thread takes a reference at the start of a request and keeps it to its end, so a
/// change in the middle never mixes two configurations in one decision.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The offset of the first record that isn't in this picture.
    pub next_offset: Offset,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// What follows from the configuration alone.
    catalog: Arc<Catalog>,
    /// The endpoints that take no new work by an operator's order.
    drained: IndexSet<EndpointId>,
    /// The generations of the groups behind endpoints, where the log says them.
    generations: IndexMap<EndpointId, Generation>,
}

/// Who may use what, as the configuration alone says.
///
/// Most records of the log don't change it, and making it costs most of a picture: at the target's
/// 660 endpoints it would take a twentieth of a core if it were made anew for every record.
#[derive(Debug, Default)]
struct Catalog {
    /// The customers by the hash of their callers' keys.
    customers: IndexMap<KeyHash, CustomerId>,
    models: IndexMap<ModelId, Vec<EndpointId>>,
    services: IndexMap<ServiceId, Vec<EndpointId>>,
}

impl Catalog {
    fn of(configuration: &Configuration) -> Self {
        let mut catalog = Self::default();
        for (id, customer) in &configuration.customers {
            catalog
                .customers
                .extend(customer.keys.iter().map(|key| (*key, id.clone())));
        }
        for (id, endpoint) in &configuration.endpoints {
            match &endpoint.kind {
                EndpointKind::Group(group) => {
                    if let Some(group) = configuration.groups.get(group) {
                        catalog
                            .models
                            .entry(group.model.clone())
                            .or_default()
                            .push(id.clone());
                    }
                }
                EndpointKind::Service(service) => {
                    catalog
                        .services
                        .entry(service.clone())
                        .or_default()
                        .push(id.clone());
                }
            }
        }
        catalog
    }
}

impl Snapshot {
    /// Makes a picture of a folded state and of the drains that the log doesn't have yet, taking
    /// from the picture before what hasn't changed.
    #[must_use]
    pub fn after(previous: &Self, state: &State, provisional: &IndexSet<DrainTarget>) -> Self {
        let configuration = Arc::clone(&state.configuration);
        let catalog = if Arc::ptr_eq(&configuration, &previous.configuration) {
            Arc::clone(&previous.catalog)
        } else {
            Arc::new(Catalog::of(&configuration))
        };
        let drained = drained(state, provisional);
        let generations = generations(state);
        Self {
            revision: state.revision,
            next_offset: state.next_offset,
            configuration,
            catalog,
            drained,
            generations,
        }
    }

    /// Returns the customer to whom a caller's key belongs.
    #[must_use]
    pub fn customer(&self, key: &KeyHash) -> Option<(&CustomerId, &Customer)> {
        let id = self.catalog.customers.get(key)?;
        Some((id, self.configuration.customers.get(id)?))
    }

    /// Returns the endpoints that may take new work of a customer for a model.
    pub fn model_endpoints<'a>(
        &'a self,
        customer: &'a Customer,
        model: &ModelId,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Endpoint)> {
        self.open(
            customer,
            self.catalog.models.get(model).map_or(&[], Vec::as_slice),
        )
    }

    /// Returns the endpoints that may take new work of a customer for a plain service.
    pub fn service_endpoints<'a>(
        &'a self,
        customer: &'a Customer,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Endpoint)> {
        self.open(
            customer,
            self.catalog
                .services
                .get(service)
                .map_or(&[], Vec::as_slice),
        )
    }

    /// Returns every endpoint of a model by name, also those that take no new work.
    pub fn all_model_endpoints<'a>(
        &'a self,
        model: &ModelId,
    ) -> Box<dyn Iterator<Item = (&'a EndpointId, &'a Endpoint)> + 'a> {
        self.named(self.catalog.models.get(model).map_or(&[], Vec::as_slice))
    }

    /// Returns every endpoint of a plain service by name, also those that take no new work.
    pub fn all_endpoints_of_service<'a>(
        &'a self,
        service: &ServiceId,
    ) -> Box<dyn Iterator<Item = (&'a EndpointId, &'a Endpoint)> + 'a> {
        self.named(
            self.catalog
                .services
                .get(service)
                .map_or(&[], Vec::as_slice),
        )
    }

    /// Returns whether an endpoint may have new work.
    #[must_use]
    pub fn takes_work(&self, endpoint: &EndpointId) -> bool {
        !self.drained.contains(endpoint) && self.configuration.endpoints.contains_key(endpoint)
    }

    /// Returns the generation that an endpoint's group must run to take a request.
    #[must_use]
    pub fn generation(&self, endpoint: &EndpointId) -> Option<Generation> {
        self.generations.get(endpoint).copied()
    }

    fn named<'a>(
        &'a self,
        ids: &'a [EndpointId],
    ) -> Box<dyn Iterator<Item = (&'a EndpointId, &'a Endpoint)> + 'a> {
        let endpoints = &self.configuration.endpoints;
        Box::new(ids.iter().filter_map(|id| Some((id, endpoints.get(id)?))))
    }

    /// Returns every endpoint of a plain service, also those that take no new work.
    pub fn all_service_endpoints(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> {
        let ids = self
            .catalog
            .services
            .get(service)
            .map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| self.configuration.endpoints.get(id))
    }

    fn open<'a>(
        &'a self,
        customer: &'a Customer,
        ids: &'a [EndpointId],
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Endpoint)> {
        ids.iter()
            .filter(|id| customer.endpoints.is_empty() || customer.endpoints.contains(*id))
            .filter(|id| !self.drained.contains(*id))
            .filter_map(|id| Some((id, self.configuration.endpoints.get(id)?)))
    }
}

fn generations(state: &State) -> IndexMap<EndpointId, Generation> {
    let generation = |(id, endpoint): (&EndpointId, &Endpoint)| {
        let EndpointKind::Group(group) = &endpoint.kind else {
            return None;
        };
        Some((id.clone(), *state.generations.get(group)?))
    };
    let endpoints = state.configuration.endpoints.iter();
    endpoints.filter_map(generation).collect()
}

/// Returns the endpoints that an operator's order, or one that the log doesn't have yet, drains.
fn drained(state: &State, provisional: &IndexSet<DrainTarget>) -> IndexSet<EndpointId> {
    if state.drains.is_empty() && provisional.is_empty() {
        return IndexSet::new();
    }
    let is_drained = |id: &&EndpointId| {
        state.is_drained(id) || state.is_drained_by(id, |target| provisional.contains(target))
    };
    state
        .configuration
        .endpoints
        .keys()
        .filter(is_drained)
        .cloned()
        .collect()
}
