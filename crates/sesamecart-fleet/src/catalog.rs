//! The operator's configuration in force: routes, services, customers, limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, CustomerId, ModelId, ServiceId};

use crate::number::CatalogVersion;

#[cfg(test)]
mod tests;

/// What a request of a route may be put through.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Delivery {
    /// It may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once for each attempt of its caller.
    #[display("at most once")]
    AtMostOnce,
    /// Its answer is a stream of events.
    #[display("stream")]
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl Delivery {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is passed on event by event.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and the share of a route's requests that it gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight beside the route's other services.
    pub weight: u32,
}

/// Requests of one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PathRoute {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be delivered.
    pub delivery: Delivery,
    /// The longest time that a caller is kept waiting.
    pub time_limit: Option<Duration>,
    /// The time to an answer (of a stream: to its first event) that callers are promised.
    pub latency_aim: Option<Duration>,
    /// The longest pause between events that callers are promised.
    pub pause_aim: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The most endpoints to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Where its requests go.
    pub services: Vec<WeightedService>,
}

/// A model that the engines of a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The model.
    pub model: ModelId,
    /// The number of engines that hold one replica.
    pub group_size: usize,
    /// The share of the work that this model is expected to get.
    pub share: f64,
    /// A factor on the group's times.
    pub pace: f64,
    /// How long an engine takes to load it from the weight store.
    pub load_time: Duration,
    /// How long an engine takes to start it once its host holds it.
    pub warm_time: Duration,
}

/// How the engines of a service work.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The requests that one group works on at once.
    pub slots: u32,
    /// The models, in the operator's order.
    pub models: Vec<EngineModel>,
    /// The loads that may begin in a second, over all engines.
    pub loads_per_s: f64,
    /// The loads that run at once without slowing each other.
    pub loads_at_once: usize,
}

/// A service and the rules of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// The connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// The requests a second that a cold endpoint bears, from all nodes together; none: no bound.
    pub cold_per_s: Option<f64>,
    /// How its engines work, if it serves models in groups.
    pub engine: Option<EngineSpec>,
}

impl Service {
    /// Returns whether a fabric domain of so many engines may hold a group of a model; one that isn't
    /// configured needs none.
    #[must_use]
    pub fn may_hold(&self, model: &ModelId, engines: usize) -> bool {
        let models = self.engine.iter().flat_map(|engine| &engine.models);
        let mut models = models.filter(|known| known.model == *model);
        models.all(|known| known.group_size <= engines)
    }
}

/// A customer whose callers use the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// The customer's name, which endpoints are told.
    pub id: CustomerId,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest head of a request.
    pub max_header_bytes: Bytes,
    /// The largest body of a request.
    pub max_body_bytes: Bytes,
    /// How long a head may take to arrive.
    pub header_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

/// One configuration, as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Its version.
    pub version: CatalogVersion,
    routes: IndexMap<String, Vec<Arc<PathRoute>>>,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// The customers by key; nothing if requests need no key at all.
    pub customers: Option<IndexMap<String, Arc<Customer>>>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// The route of a request, or why there is none.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The longest prefix of the host that begins the path.
    Found(Arc<PathRoute>),
    /// No route of the host begins the path.
    NotFound,
}

impl Catalog {
    /// Puts a configuration together; each host's routes are kept longest prefix first.
    #[must_use]
    pub fn new(
        version: CatalogVersion,
        routes: impl IntoIterator<Item = PathRoute>,
        services: IndexMap<ServiceId, Service>,
        customers: Option<IndexMap<String, Arc<Customer>>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: IndexMap<String, Vec<Arc<PathRoute>>> = IndexMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            customers,
            limits,
        }
    }

    /// Finds the route of a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> RouteMatch {
        let routes = self.routes.get(host).map(Vec::as_slice).unwrap_or_default();
        let found = routes.iter().find(|route| path.starts_with(&route.prefix));
        found.map_or(RouteMatch::NotFound, |route| {
            RouteMatch::Found(Arc::clone(route))
        })
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
