//! The operator's configuration in force: routes, services, customers, limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, CustomerId, ModelId, ServiceId};

use crate::number::CatalogVersion;
use crate::step_model::{StepModel, TokenCounts};

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
    /// How long work takes; nothing where the configuration gives no times that can be used.
    pub steps: Option<StepModel>,
}

/// Something in a service's engines that can't be used as it stands, and what is done instead.
#[derive(Clone, Debug, derive_more::Display, Eq, PartialEq)]
pub enum SpecProblem {
    /// No model has a share of the work that can be used.
    #[display("no model has a share above 0; all count alike until requests come")]
    NoShares,
    /// One model's share can't be used.
    #[display("model {_0} has no share above 0; it gets engines once requests for it come")]
    NoShare(ModelId),
    /// One model's pace can't be used.
    #[display("the pace of model {_0} isn't above 0; it counts as 1")]
    Pace(ModelId),
    /// The times of steps can't be used.
    #[display("the times of steps can't be used; work is counted in requests")]
    Steps,
    /// The mean request isn't given.
    #[display("the tokens of a mean request are missing; requests that name none count as empty")]
    MeanTokens,
}

impl EngineSpec {
    /// Returns what can't be used as it stands; the planner falls back as each problem says.
    #[must_use]
    pub fn problems(&self) -> Vec<SpecProblem> {
        let mut problems = Vec::new();
        let lacks_share = |model: &&EngineModel| model.share_or_zero() == 0.0;
        if self.models.len() > 1 {
            if self.models.iter().all(|model| lacks_share(&model)) {
                problems.push(SpecProblem::NoShares);
            } else {
                let lacking = self.models.iter().filter(lacks_share);
                problems.extend(lacking.map(|model| SpecProblem::NoShare(model.model.clone())));
            }
        }
        let slow = self.models.iter().filter(|model| !is_positive(model.pace));
        problems.extend(slow.map(|model| SpecProblem::Pace(model.model.clone())));
        match &self.steps {
            None => problems.push(SpecProblem::Steps),
            Some(steps) if !(is_positive(steps.mean.prompt) && is_positive(steps.mean.answer)) => {
                problems.push(SpecProblem::MeanTokens);
            }
            Some(_) => {}
        }
        problems
    }

    /// Returns the requests that a group works on at once while each begins in time: its slots, or fewer
    /// where reading the prompts of so many takes longer than writing their answers. Without the tokens of a
    /// mean request its slots are all that is known.
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

    /// Returns the time that a request takes of one of a model's groups.
    ///
    /// Without times of steps each request counts alike, so that demand is compared by requests.
    #[must_use]
    pub fn group_time(&self, model: &EngineModel, tokens: TokenCounts) -> Duration {
        let Some(steps) = &self.steps else {
            return UNKNOWN_GROUP_TIME;
        };
        steps.group_time(tokens, self.slots, model.usable_pace())
    }

    /// Returns the tokens of a request; those that it doesn't name are those of a mean request.
    #[must_use]
    pub fn tokens(&self, prompt: Option<f64>, answer: Option<f64>) -> TokenCounts {
        let mean = self.steps.map_or(NO_TOKENS, |steps| steps.mean);
        TokenCounts {
            prompt: prompt.unwrap_or(mean.prompt),
            answer: answer.unwrap_or(mean.answer),
        }
    }
}

impl EngineModel {
    /// Returns the share of the work, 0 where it can't be used.
    #[must_use]
    pub fn share_or_zero(&self) -> f64 {
        if is_positive(self.share) {
            self.share
        } else {
            0.0
        }
    }

    /// Returns the factor on the group's times, 1 where it can't be used.
    #[must_use]
    pub fn usable_pace(&self) -> f64 {
        if is_positive(self.pace) {
            self.pace
        } else {
            1.0
        }
    }
}

const NO_TOKENS: TokenCounts = TokenCounts {
    prompt: 0.0,
    answer: 0.0,
};

/// What a request takes of a group whose times aren't known.
const UNKNOWN_GROUP_TIME: Duration = Duration::from_millis(50);

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
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
