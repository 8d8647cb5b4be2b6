//! One pool of endpoints at one node: admission, routing and retries put together.
//!
//! The node's traffic threads and `measure -- policy` both go through it, so that what is measured
//! is what runs.

use fastrand::Rng;
use sesamecart_vocabulary::{
    Concurrency, EndpointId, FailureDomainId, NodeId, Permits, Timestamp, Tokens,
};

use crate::admission::{Admission, Offer, Refusal, Request, Ticket};
use crate::allowance::{Demand, Sample, Slice};
use crate::retry::{FailedAttempt, RetryBudget, RetryDecision};
use crate::routing::{Ask, EndpointState, PoolEndpoint, RouteReason, Router};
use crate::settings::DecisionSettings;

#[cfg(test)]
mod tests;

/// Who a node is, as its pools need to know it.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Its name.
    pub node: NodeId,
    /// The failure domain that it lies in.
    pub domain: FailureDomainId,
    /// All nodes that share the pool, this one included.
    pub nodes: Vec<NodeId>,
}

/// A request that starts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// The request.
    pub ticket: Ticket,
    /// Its endpoint's place among [`Pool::endpoints`].
    pub endpoint: usize,
    /// Why it goes there.
    pub reason: RouteReason,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// It starts.
    Run(Start),
    /// It waits, and [`Pool::poll`] tells what becomes of it.
    Wait,
    /// It was not run, and this is final.
    Refuse(Refusal),
}

/// One endpoint's demand, to be sent to its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointDemand {
    /// The endpoint's place among [`Pool::endpoints`].
    pub endpoint: usize,
    /// What the node tells its owner.
    pub demand: Demand,
}

/// How many endpoints are asked for each permit that is wanted, if fewer are wanted than there are
/// endpoints: a second one for when the first has none left.
const ASK_AROUND: u32 = 2;

/// All decisions of one pool at one node.
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
    /// Makes a pool whose random draws follow from `seed`.
    #[must_use]
    pub fn new(
        place: &NodePlace,
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

    /// Sets the largest request, by KV memory, that any endpoint of the pool could ever hold.
    pub const fn set_largest(&mut self, largest: Tokens) {
        self.admission.set_largest(largest);
    }

    /// Returns the endpoints that this node uses.
    #[must_use]
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        self.router.endpoints()
    }

    /// Returns the place of an endpoint, if this node uses it.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<usize> {
        self.endpoints().iter().position(|known| known.id == *id)
    }

    /// Returns the router, to which cache events go.
    pub const fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// Returns when [`Pool::poll`] has to be called at the latest.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.admission.next_expiry()
    }

    /// Lets an endpoint have new work or not.
    ///
    /// One that comes back is cold, and what was lent before says nothing about it, so its slice is
    /// dropped and the owner is asked again.
    pub fn set_state(&mut self, now: Timestamp, endpoint: usize, state: EndpointState) {
        let known = &mut self.router.endpoints_mut()[endpoint];
        let returns = known.state == EndpointState::Draining && state == EndpointState::Active;
        known.state = state;
        if returns {
            known.borrowed.drop_slice(now);
            self.router.restarted(endpoint);
        }
    }

    /// Takes a new request.
    pub fn offer(&mut self, now: Timestamp, request: Request) -> Placement {
        self.budget.first_attempt();
        self.place(now, request)
    }

    /// Takes a request again whose attempt failed and for which [`Pool::fail`] said to retry.
    pub fn offer_again(&mut self, now: Timestamp, request: Request) -> Placement {
        self.place(now, request)
    }

    /// Returns what becomes of waiting requests: refusals first, then starts.
    ///
    /// Call it after an answer from an owner, after the end of a request, and at
    /// [`Pool::next_expiry`].
    pub fn poll(&mut self, now: Timestamp) -> Vec<Placement> {
        let refused = self.admission.expire(now).into_iter();
        let mut placements: Vec<_> = refused.map(Placement::Refuse).collect();
        if self.admission.waiting() == 0 {
            return placements;
        }
        loop {
            let largest = self.router.largest(now);
            let fits = |request: &Request| largest.is_some_and(|largest| request.kv <= largest);
            let Some(request) = self.admission.next(now, fits) else {
                return placements;
            };
            let ask = self.ask(&request);
            let start = self.start(now, request.ticket, ask);
            placements.extend(start.map(Placement::Run));
        }
    }

    /// Takes out a request whose caller has gone while it waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.admission.cancel(ticket).is_some()
    }

    /// Ends a request that was answered; `seen` are its times between tokens, or its own time at a
    /// plain service.
    pub fn finish(&mut self, now: Timestamp, endpoint: usize, kv: Tokens, seen: &Sample) {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.finish(now, kv);
        self.observe(now, endpoint, seen);
    }

    /// Ends a request whose caller has gone while it ran.
    pub fn abandon(&mut self, endpoint: usize, kv: Tokens) {
        self.router.endpoints_mut()[endpoint].borrowed.cancel(kv);
    }

    /// Notes times between tokens of requests that still run, so that a slow endpoint is noticed
    /// before they end.
    pub fn observe(&mut self, now: Timestamp, endpoint: usize, seen: &Sample) {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.observe(now, seen);
        if seen.tokens.0 > 0 {
            let latency = seen.latency.as_secs_f64() / seen.tokens.0 as f64;
            self.router.outliers_mut().succeeded(now, endpoint, latency);
        }
    }

    /// Notes a sign of life from an endpoint, such as the first token of an answer.
    pub fn alive(&mut self, now: Timestamp, endpoint: usize) {
        self.router.endpoints_mut()[endpoint].borrowed.alive(now);
    }

    /// Ends a request that failed, and decides whether it is sent again.
    pub fn fail(
        &mut self,
        now: Timestamp,
        endpoint: usize,
        kv: Tokens,
        attempt: FailedAttempt,
    ) -> RetryDecision {
        let borrowed = &mut self.router.endpoints_mut()[endpoint].borrowed;
        borrowed.fail(now, kv);
        self.router.outliers_mut().failed(now, endpoint);
        self.budget.decide(now, attempt)
    }

    /// Returns the demands that are due: slices to renew, and all of them when requests wait for
    /// lack of permits, though not more often than once in the borrow gap.
    pub fn demands(&mut self, now: Timestamp) -> Vec<EndpointDemand> {
        let waiting = self.admission.waiting() > 0 && now >= self.next_borrow;
        if waiting {
            self.next_borrow = now + self.cfg.allowance.borrow_gap();
        }
        let extra = if waiting { self.extra() } else { Vec::new() };
        let allowance = self.cfg.allowance;
        let mut demands = Vec::new();
        for (index, endpoint) in self.router.endpoints_mut().iter_mut().enumerate() {
            let borrowed = &mut endpoint.borrowed;
            let more = extra.get(index).copied().unwrap_or_default();
            let due = more > Permits(0) || borrowed.needs_renewal(now, &allowance);
            if !due || !borrowed.may_ask(now, &allowance) {
                continue;
            }
            demands.push(EndpointDemand {
                endpoint: index,
                demand: borrowed.demand(now, more),
            });
        }
        demands
    }

    /// Takes an owner's answer to the demand that was sent at `asked`.
    pub fn lend(&mut self, asked: Timestamp, endpoint: usize, slice: Slice) {
        self.router.endpoints_mut()[endpoint]
            .borrowed
            .take(asked, slice);
    }

    /// Returns for each endpoint the permits to ask for beyond those in use, because requests wait.
    ///
    /// What waits is spread evenly. For less than one permit each, only some random endpoints are
    /// asked: asked everywhere for one request, owners would lend many permits of which all but
    /// one lie idle until they are given back.
    fn extra(&mut self) -> Vec<Permits> {
        let mut extra = vec![Permits(0); self.endpoints().len()];
        let mut active: Vec<usize> = self.active().map(|(index, _)| index).collect();
        let permits = self.waiting_permits();
        if active.is_empty() || permits == 0 {
            return extra;
        }
        let count = u32::try_from(active.len()).unwrap_or(u32::MAX);
        if ASK_AROUND * permits < count {
            self.rng.shuffle(&mut active);
            active.truncate((ASK_AROUND * permits) as usize);
        }
        for index in active {
            extra[index] = Permits(permits.div_ceil(count));
        }
        if let Some(target) = self.target_of_largest() {
            extra[target.endpoint] = extra[target.endpoint].max(target.permits);
        }
        extra
    }

    /// Returns the permits that the waiting requests take.
    fn waiting_permits(&self) -> u32 {
        let Some((_, first)) = self.active().next() else {
            return 0;
        };
        let each = self.admission.waiting_kv();
        let each = each.map(|kv| first.borrowed.permits_for(Concurrency(1), kv).0);
        each.sum()
    }

    /// Picks one endpoint to ask for all the permits that the largest waiting request takes.
    ///
    /// An even share of many endpoints never adds up to one long request, which would then wait
    /// until its deadline while short ones pass.
    fn target_of_largest(&self) -> Option<Target> {
        let largest = self.admission.waiting_kv().max()?;
        let least = self
            .active()
            .min_by_key(|(_, known)| known.borrowed.in_flight());
        let (endpoint, known) = least?;
        let permits = known.borrowed.permits_for(Concurrency(1), largest);
        (permits > Permits(1)).then_some(Target { endpoint, permits })
    }

    fn active(&self) -> impl Iterator<Item = (usize, &PoolEndpoint)> {
        let endpoints = self.endpoints().iter().enumerate();
        endpoints.filter(|(_, endpoint)| endpoint.state == EndpointState::Active)
    }

    fn place(&mut self, now: Timestamp, request: Request) -> Placement {
        let ask = self.ask(&request);
        let ticket = request.ticket;
        let largest = self.router.largest(now);
        let fits = |request: &Request| largest.is_some_and(|largest| request.kv <= largest);
        match self.admission.offer(now, request, fits) {
            Offer::Run => match self.start(now, ticket, ask) {
                Some(start) => Placement::Run(start),
                None => unreachable!("an endpoint has room for what fits its free permits"),
            },
            Offer::Wait => Placement::Wait,
            Offer::Refuse(refusal) => Placement::Refuse(refusal),
        }
    }

    fn ask(&mut self, request: &Request) -> Ask {
        Ask {
            prefix: request.prefix,
            kv: request.kv,
            draw: self.rng.u64(..),
        }
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, ask: Ask) -> Option<Start> {
        let routed = self.router.choose(now, ask)?;
        let started = self.router.start(now, routed.endpoint, &ask);
        started.then_some(Start {
            ticket,
            endpoint: routed.endpoint,
            reason: routed.reason,
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Target {
    endpoint: usize,
    permits: Permits,
}
