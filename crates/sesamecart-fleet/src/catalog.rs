//! The operator's active configuration: routes, services, customers and limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Bytes, CustomerId, ModelId, ServiceId};

use crate::demand::Urgency;
use crate::number::CatalogVersion;
use crate::step_model::{StepModel, TokenCounts};

#[cfg(test)]
mod tests;

/// The delivery guarantee for the requests of a route.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Delivery {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Each request that a caller sends runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// The response is a stream of events.
    #[display("stream")]
    Stream {
        /// Whether another endpoint may continue the stream after the last event.
        resumable: bool,
    },
}

impl Delivery {
    /// Returns whether a request may be sent again although it may already have run.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is forwarded event by event.
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
    /// Its weight relative to the route's other services.
    pub weight: u32,
}

/// The route of a host's requests under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PathRoute {
    /// The route's name.
    pub name: String,
    /// The host name in the requests.
    pub host: String,
    /// The prefix of the paths. It starts and ends with a slash.
    pub prefix: String,
    /// The delivery guarantee for its requests.
    pub delivery: Delivery,
    /// The maximum time that a caller has to wait.
    pub time_limit: Option<Duration>,
    /// The promised time to a response, or of a stream to its first event.
    pub latency_target: Option<Duration>,
    /// The promised maximum gap between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of endpoints that are tried for one request of a caller, not counting a few that
    /// fail or reject it before they run it.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// The services that its requests are distributed over.
    pub services: Vec<WeightedService>,
}

/// A model that the engines of a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The model.
    pub model: ModelId,
    /// The number of engines that together hold one replica.
    pub group_size: usize,
    /// The model's expected share of the work.
    pub share: f64,
    /// A factor by which the step times of the model's groups are multiplied. Higher is slower.
    pub pace: f64,
    /// The time that an engine takes to load the model from the weight store.
    pub load_time: Duration,
    /// The time that an engine takes to start the model once its host holds the weights.
    pub warm_time: Duration,
}

/// The properties of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that one group processes concurrently.
    pub slots: u32,
    /// The models, in the order of the configuration.
    pub models: Vec<EngineModel>,
    /// The number of model loads that may start per second, over all engines.
    pub loads_per_s: f64,
    /// The number of model loads that can run concurrently without slowing each other down.
    pub loads_at_once: usize,
    /// The step times of groups, or nothing if the configuration has no usable times.
    pub steps: Option<StepModel>,
    /// The number of tokens that one group can hold, if that is configured.
    pub kv_capacity_tokens: Option<f64>,
}

/// A property of a service's engines that can't be used as configured. The message also says what is used
/// instead.
#[derive(Clone, Debug, derive_more::Display, Eq, PartialEq)]
pub enum SpecProblem {
    /// No model has a usable share of the work.
    #[display("no model has a share above 0; all count alike until requests come")]
    NoShares,
    /// The share of one model isn't usable.
    #[display("model {_0} has no share above 0; it gets engines once requests for it come")]
    NoShare(ModelId),
    /// The pace of one model isn't usable.
    #[display("the pace of model {_0} isn't above 0; it counts as 1")]
    Pace(ModelId),
    /// The step times aren't usable.
    #[display("the times of steps can't be used; work is counted in requests")]
    Steps,
    /// The token counts of a mean request are missing.
    #[display("the tokens of a mean request are missing; requests that name none count as empty")]
    MeanTokens,
}

impl EngineSpec {
    /// Returns the properties that can't be used as configured. The planner uses the fallback that each
    /// problem names.
    #[must_use]
    pub fn problems(&self) -> Vec<SpecProblem> {
        let mut problems = Vec::new();
        let lacks_share = |model: &&EngineModel| model.share_or_zero() == 0.0;
        if self.models.len() > 1 {
            if self.models.iter().all(|model| lacks_share(&model)) {
                problems.push(SpecProblem::NoShares);
            } else {
                let without_share = self.models.iter().filter(lacks_share);
                problems
                    .extend(without_share.map(|model| SpecProblem::NoShare(model.model.clone())));
            }
        }
        let unusable = self.models.iter().filter(|model| !is_positive(model.pace));
        problems.extend(unusable.map(|model| SpecProblem::Pace(model.model.clone())));
        match &self.steps {
            None => problems.push(SpecProblem::Steps),
            Some(steps) if !(is_positive(steps.mean.prompt) && is_positive(steps.mean.answer)) => {
                problems.push(SpecProblem::MeanTokens);
            }
            Some(_) => {}
        }
        problems
    }

    /// Returns the number of requests that a group can process concurrently while each of them starts in
    /// time. This is the number of slots, or less if the prefill of that many requests takes longer than their
    /// decoding. Without the token counts of a mean request, it is always the number of
    /// slots.
    #[must_use]
    pub fn usable_slots(&self, mean: Option<TokenCounts>) -> u32 {
        let Some(steps) = &self.steps else {
            return self.slots;
        };
        let mean = mean.unwrap_or(steps.mean);
        if !(is_positive(mean.prompt) && is_positive(mean.answer)) {
            return self.slots;
        }
        let concurrency = steps.concurrency(mean);
        (concurrency.ceil() as u32).clamp(1, self.slots.max(1))
    }

    /// Returns the time that a request occupies one of a model's groups.
    ///
    /// Without step times, all requests count the same, so that demand is compared by the number of
    /// requests.
    #[must_use]
    pub fn group_time(&self, model: &EngineModel, tokens: TokenCounts) -> Duration {
        let Some(steps) = &self.steps else {
            return DEFAULT_GROUP_TIME;
        };
        steps.group_time(tokens, self.slots, model.usable_pace())
    }

    /// Returns the token counts of a request. Missing counts are taken from the mean request.
    #[must_use]
    pub fn tokens(&self, prompt: Option<f64>, answer: Option<f64>) -> TokenCounts {
        let mean = self.steps.map_or(ZERO_TOKENS, |steps| steps.mean);
        TokenCounts {
            prompt: prompt.unwrap_or(mean.prompt),
            answer: answer.unwrap_or(mean.answer),
        }
    }
}

impl EngineModel {
    /// Returns the share of the work, or 0 if it isn't usable.
    #[must_use]
    pub fn share_or_zero(&self) -> f64 {
        if is_positive(self.share) {
            self.share
        } else {
            0.0
        }
    }

    /// Returns the pace, or 1 if it isn't usable.
    #[must_use]
    pub fn usable_pace(&self) -> f64 {
        if is_positive(self.pace) {
            self.pace
        } else {
            1.0
        }
    }
}

const ZERO_TOKENS: TokenCounts = TokenCounts {
    prompt: 0.0,
    answer: 0.0,
};

/// The time that a request occupies a group with unknown step times.
const DEFAULT_GROUP_TIME: Duration = Duration::from_millis(50);

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// A service and the properties of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections to one endpoint, for all callers together.
    pub max_connections: u32,
    /// The maximum number of requests per second to a cold endpoint, for all nodes together. There is no
    /// limit if it is missing.
    pub cold_per_s: Option<f64>,
    /// The properties of its engines, if it serves models in groups.
    pub engine: Option<EngineSpec>,
}

impl Service {
    /// Returns whether a fabric domain with `engines` engines has enough of them for a group of a model.
    /// A model that isn't configured has no minimum, so the result is `true` for it.
    #[must_use]
    pub fn can_host(&self, model: &ModelId, engines: usize) -> bool {
        let models = self.engine.iter().flat_map(|engine| &engine.models);
        let mut models = models.filter(|known| known.model == *model);
        models.all(|known| known.group_size <= engines)
    }
}

/// A customer of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// The customer's ID, which is also sent to endpoints.
    pub id: CustomerId,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's header section.
    pub max_header_bytes: Bytes,
    /// The maximum size of a request's body.
    pub max_body_bytes: Bytes,
    /// The timeout for receiving a request's header section.
    pub header_time: Duration,
    /// The idle timeout of a connection.
    pub idle_time: Duration,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// The version of the configuration.
    pub version: CatalogVersion,
    routes: IndexMap<String, Vec<Arc<PathRoute>>>,
    /// The services whose routes differ in priority.
    unequal_services: IndexSet<ServiceId>,
    /// The services by ID.
    pub services: IndexMap<ServiceId, Service>,
    /// The customers by API key, or nothing if requests need no key at all.
    pub customers: Option<IndexMap<String, Arc<Customer>>>,
    /// The limits for callers.
    pub limits: Limits,
}

/// The result of looking up a request's route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route of the host with the longest prefix of the path.
    Found(Arc<PathRoute>),
    /// No route of the host has a prefix of the path.
    NotFound,
}

impl Catalog {
    /// Creates a configuration. The routes of each host are sorted by descending prefix length.
    #[must_use]
    pub fn new(
        version: CatalogVersion,
        routes: impl IntoIterator<Item = PathRoute>,
        services: IndexMap<ServiceId, Service>,
        customers: Option<IndexMap<String, Arc<Customer>>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: IndexMap<String, Vec<Arc<PathRoute>>> = IndexMap::new();
        let mut priorities: IndexMap<ServiceId, u8> = IndexMap::new();
        let mut unequal_services = IndexSet::new();
        for route in routes {
            for WeightedService { service, .. } in &route.services {
                let known = *priorities.entry(service.clone()).or_insert(route.priority);
                if known != route.priority {
                    unequal_services.insert(service.clone());
                }
            }
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            unequal_services,
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

    /// Returns whether the routes to a service differ in priority.
    #[must_use]
    pub fn has_unequal_routes(&self, service: &ServiceId) -> bool {
        self.unequal_services.contains(service)
    }

    /// Returns the urgency of a route's requests among those to a service. It differs only where the routes to the
    /// service differ in priority.
    ///
    /// The priorities of customers don't count here: they order the requests for one model, but say nothing about
    /// which model a route's callers need.
    #[must_use]
    pub fn urgency(&self, service: &ServiceId, route: &PathRoute) -> Urgency {
        if self.has_unequal_routes(service) {
            Urgency::of_priority(route.priority)
        } else {
            Urgency::MOST
        }
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
