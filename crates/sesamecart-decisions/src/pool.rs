//! One pool of endpoints at one node, which combines admission, routing and retries.
//!
//! The node's traffic threads and `measure -- policy` both use this module, so that the measured code
//! is the code in production.

use fastrand::Rng;
use sesamecart_vocabulary::{
    Concurrency, EndpointId, FailureDomainId, NodeId, Permits, Timestamp, Tokens,
};

use crate::admission::{Admission, AdmissionDecision, Refusal, Request, Ticket};
use crate::allowance::{Demand, Sample, Slice};
use crate::retry::{FailedAttempt, RetryBudget, RetryDecision};
use crate::routing::{EndpointState, PoolEndpoint, RouteReason, RouteRequest, Router};
use crate::settings::DecisionSettings;

#[cfg(test)]
mod tests;

/// A node's id and failure domain, and the nodes that it shares pools with.
#[derive(Clone, Debug)]
pub struct NodeTopology {
    /// The node's id.
    pub node: NodeId,
    /// The node's failure domain.
    pub domain: FailureDomainId,
    /// All nodes that share the pool, including this one.
    pub nodes: Vec<NodeId>,
}

/// A request to start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The index of its endpoint in [`Pool::endpoints`].
    pub endpoint: usize,
    /// Why the endpoint was chosen.
    pub reason: RouteReason,
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// The request starts.
    Run(StartedRequest),
    /// The request waits; [`Pool::poll`] returns the decision later.
    Wait,
    /// The request is refused without having run.
    Refuse(Refusal),
}

/// A demand to send to the owner of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointDemand {
    /// The index of the endpoint in [`Pool::endpoints`].
    pub endpoint: usize,
    /// The demand.
    pub demand: Demand,
}

/// The number of endpoints to ask for each wanted permit, if fewer permits are wanted than there are
/// endpoints. The second endpoint covers the case that the first has no permits left.
const ENDPOINTS_ASKED_PER_PERMIT: u32 = 2;

/// Admission, routing and retries for one pool at one node.
#[derive(Debug)]
pub struct Pool {
    cfg: DecisionSettings,
    admission: Admission,
    router: Router,
    budget: RetryBudget,
    rng: Rng,
    next_borrow: Timestamp,
}

impl Pool {
    /// Creates a pool whose random choices are determined by `seed`.
    #[must_use]
    pub fn new(
        place: &NodeTopology,
        endpoints: impl IntoIterator<Item = PoolEndpoint>,
        cfg: DecisionSettings,
        seed: u64,
    ) -> Self {
        Self {
            admission: Admission::new(cfg.admission),
            router: Router::new(
                &place.node,
                &place.domain,
                endpoints,
                &place.nodes,
                cfg.routing,
            ),
            budget: RetryBudget::new(cfg.retry),
            rng: Rng::with_seed(seed),
            next_borrow: Timestamp::ZERO,
            cfg,
        }
    }

    /// Sets the KV memory of the largest request that any endpoint of the pool can hold when idle.
    pub const fn set_max_request_kv(&mut self, largest: Tokens) {
        self.admission.set_max_request_kv(largest);
    }

    /// Returns the endpoints that this node uses.
    #[must_use]
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        self.router.endpoints()
    }

    /// Returns the index of an endpoint, if this node uses it.
    #[must_use]
    pub fn endpoint_index(&self, id: &EndpointId) -> Option<usize> {
        self.endpoints()
            .iter()
            .position(|endpoint| endpoint.id == *id)
    }

    /// Returns the router, to report cache events to it.
    pub const fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// Returns the time by which [`Pool::poll`] has to be called.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.admission.next_expiry()
    }

    /// Sets whether an endpoint receives new work.
    ///
    /// An endpoint that becomes active again is cold, and permits lent earlier don't apply to it. Its
    /// slice is therefore invalidated and the owner is asked for a new one.
    pub fn set_state(&mut self, now: Timestamp, endpoint: usize, state: EndpointState) {
        let target = &mut self.router.endpoints_mut()[endpoint];
        let is_reactivated =
            target.state == EndpointState::Draining && state == EndpointState::Active;
        target.state = state;
        if is_reactivated {
            target.borrowed.invalidate_slice(now);
            self.router.endpoint_restarted(endpoint);
        }
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: Timestamp, request: Request) -> Placement {
        self.budget.record_first_attempt();
        self.decide(now, request)
    }

    /// Decides about a request whose attempt failed and for which [`Pool::fail`] returned
    /// [`RetryDecision::Retry`].
    pub fn offer_retry(&mut self, now: Timestamp, request: Request) -> Placement {
        self.decide(now, request)
    }

    /// Returns the decisions about waiting requests: refusals first, then starts.
    ///
    /// Call this after an owner has answered, after a request has ended, and at
    /// [`Pool::next_expiry`].
    pub fn poll(&mut self, now: Timestamp) -> Vec<Placement> {
        let refused = self.admission.expire(now).into_iter();
        let mut placements: Vec<_> = refused.map(Placement::Refuse).collect();
        if self.admission.waiting() == 0 {
            return placements;
        }
        loop {
            let max_kv = self.router.max_request_kv(now);
            let fits = |request: &Request| max_kv.is_some_and(|max_kv| request.kv <= max_kv);
            let Some(request) = self.admission.next(now, fits) else {
                return placements;
            };
            let route_request = self.route_request(&request);
            let start = self.start(now, request.ticket, route_request);
            placements.extend(start.map(Placement::Run));
        }
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.admission.cancel(ticket).is_some()
    }

    /// Ends a request that completed. `sample` has its inter-token times, or its latency at a plain
    /// service.
    pub fn finish(&mut self, now: Timestamp, endpoint: usize, kv: Tokens, sample: &Sample) {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.finish(now, kv);
        self.observe(now, endpoint, sample);
    }

    /// Ends a running request whose caller has disconnected.
    pub fn cancel_running(&mut self, endpoint: usize, kv: Tokens) {
        self.router.endpoints_mut()[endpoint].borrowed.cancel(kv);
    }

    /// Records inter-token times of running requests, so that a slow endpoint is detected before
    /// they end.
    pub fn observe(&mut self, now: Timestamp, endpoint: usize, sample: &Sample) {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.observe(now, sample);
        if sample.tokens.0 > 0 {
            let latency = sample.latency_sum.as_secs_f64() / sample.tokens.0 as f64;
            self.router
                .outliers_mut()
                .record_success(now, endpoint, latency);
        }
    }

    /// Records that an endpoint is alive, for example when the first token of a response arrives.
    pub fn record_alive(&mut self, now: Timestamp, endpoint: usize) {
        self.router.endpoints_mut()[endpoint]
            .borrowed
            .record_alive(now);
    }

    /// Ends a request that failed, and decides whether it is retried.
    pub fn fail(
        &mut self,
        now: Timestamp,
        endpoint: usize,
        kv: Tokens,
        attempt: FailedAttempt,
    ) -> RetryDecision {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.fail(now, kv);
        self.router.outliers_mut().record_failure(now, endpoint);
        self.budget.decide(now, attempt)
    }

    /// Returns the demands that are due: renewals of slices, and, while requests wait for permits,
    /// requests for additional permits at most once per [`AllowanceSettings::min_borrow_interval`].
    ///
    /// [`AllowanceSettings::min_borrow_interval`]: crate::settings::AllowanceSettings::min_borrow_interval
    pub fn due_demands(&mut self, now: Timestamp) -> Vec<EndpointDemand> {
        let may_borrow = self.admission.waiting() > 0 && now >= self.next_borrow;
        if may_borrow {
            self.next_borrow = now + self.cfg.allowance.min_borrow_interval();
        }
        let additional = if may_borrow {
            self.additional_permits()
        } else {
            Vec::new()
        };
        let allowance = self.cfg.allowance;
        let mut demands = Vec::new();
        for (index, endpoint) in self.router.endpoints_mut().iter_mut().enumerate() {
            let borrowed = &mut endpoint.borrowed;
            let extra = additional.get(index).copied().unwrap_or_default();
            let is_due = extra > Permits(0) || borrowed.needs_renewal(now, &allowance);
            if !is_due || !borrowed.may_send_demand(now, &allowance) {
                continue;
            }
            demands.push(EndpointDemand {
                endpoint: index,
                demand: borrowed.demand(now, extra),
            });
        }
        demands
    }

    /// Applies an owner's answer to the demand that was sent at `sent_at`.
    pub fn apply_slice(&mut self, sent_at: Timestamp, endpoint: usize, slice: Slice) {
        self.router.endpoints_mut()[endpoint]
            .borrowed
            .apply_slice(sent_at, slice);
    }

    /// Returns how many permits to request from each endpoint for waiting requests, in addition to
    /// those in use.
    ///
    /// The wanted permits are spread evenly. If that is less than one permit per endpoint, only a
    /// few random endpoints are asked: if all were asked for a single request, their owners would
    /// lend many permits of which all but one stay idle until they are returned.
    fn additional_permits(&mut self) -> Vec<Permits> {
        let mut additional = vec![Permits(0); self.endpoints().len()];
        let mut active: Vec<usize> = self.active_endpoints().map(|(index, _)| index).collect();
        let permits = self.waiting_permits();
        if active.is_empty() || permits == 0 {
            return additional;
        }
        let count = u32::try_from(active.len()).unwrap_or(u32::MAX);
        if ENDPOINTS_ASKED_PER_PERMIT * permits < count {
            self.rng.shuffle(&mut active);
            active.truncate((ENDPOINTS_ASKED_PER_PERMIT * permits) as usize);
        }
        for index in active {
            additional[index] = Permits(permits.div_ceil(count));
        }
        if let Some(target) = self.target_for_largest_request() {
            additional[target.endpoint] = additional[target.endpoint].max(target.permits);
        }
        additional
    }

    /// Returns the number of permits that the waiting requests need.
    fn waiting_permits(&self) -> u32 {
        let Some((_, first)) = self.active_endpoints().next() else {
            return 0;
        };
        let kv = self.admission.waiting_kv();
        let permits = kv.map(|kv| first.borrowed.permits_for(Concurrency(1), kv).0);
        permits.sum()
    }

    /// Selects one endpoint to ask for all permits that the largest waiting request needs.
    ///
    /// A long request needs several permits of the same endpoint, which an even share doesn't give.
    /// It would otherwise wait until its deadline while short requests bypass it.
    fn target_for_largest_request(&self) -> Option<BorrowTarget> {
        let largest = self.admission.waiting_kv().max()?;
        let least_loaded = self
            .active_endpoints()
            .min_by_key(|(_, endpoint)| endpoint.borrowed.in_flight());
        let (index, endpoint) = least_loaded?;
        let permits = endpoint.borrowed.permits_for(Concurrency(1), largest);
        (permits > Permits(1)).then_some(BorrowTarget {
            endpoint: index,
            permits,
        })
    }

    fn active_endpoints(&self) -> impl Iterator<Item = (usize, &PoolEndpoint)> {
        let endpoints = self.endpoints().iter().enumerate();
        endpoints.filter(|(_, endpoint)| endpoint.state == EndpointState::Active)
    }

    fn decide(&mut self, now: Timestamp, request: Request) -> Placement {
        let route_request = self.route_request(&request);
        let ticket = request.ticket;
        let max_kv = self.router.max_request_kv(now);
        let fits = |request: &Request| max_kv.is_some_and(|max_kv| request.kv <= max_kv);
        match self.admission.offer(now, request, fits) {
            AdmissionDecision::Run => match self.start(now, ticket, route_request) {
                Some(start) => Placement::Run(start),
                None => unreachable!("a request that fits must start at some endpoint"),
            },
            AdmissionDecision::Wait => Placement::Wait,
            AdmissionDecision::Refuse(refusal) => Placement::Refuse(refusal),
        }
    }

    fn route_request(&mut self, request: &Request) -> RouteRequest {
        RouteRequest {
            prefix: request.prefix,
            kv: request.kv,
            random: self.rng.u64(..),
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        route_request: RouteRequest,
    ) -> Option<StartedRequest> {
        let route = self.router.choose(now, route_request)?;
        let started = self.router.start(now, route.endpoint, &route_request);
        started.then_some(StartedRequest {
            ticket,
            endpoint: route.endpoint,
            reason: route.reason,
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct BorrowTarget {
    endpoint: usize,
    permits: Permits,
}
