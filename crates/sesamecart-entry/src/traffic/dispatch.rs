//! Requests whose endpoint is assigned by the dispatcher of their pool.

use sesamecart_fleet::Endpoint;

use crate::clock;
use crate::dispatch::{
    AssignedEndpoint, AssignedTicket, DispatchPools, DispatchQuery, Dispatched, DispatchedPool,
    HeldAttempt,
};
use crate::events::Event;
use crate::metrics::DispatchOutcome;
use crate::traffic::admission::admit;
use crate::traffic::call::{Attempts, Call};
use crate::traffic::placement::RestrictedEndpointPolicy;
use crate::traffic::refusal::Refusal;

impl Call {
    /// Asks the dispatcher of the request's pool for an endpoint, once and only for the first attempt of a caller's
    /// request. Returns `None` if this node has to choose an endpoint itself.
    ///
    /// # Errors
    ///
    /// Returns the dispatcher's refusal, or that of a request that isn't allowed any more after it has waited.
    pub(super) async fn ask_dispatcher(
        &self,
        attempts: &mut Attempts,
    ) -> Result<Option<AssignedEndpoint>, Refusal> {
        if self.hop.is_some() || attempts.made > 0 || attempts.is_offered {
            return Ok(None);
        }
        let pools = self.state.dispatch_pools();
        let pool = self.dispatched_pool(&pools);
        let Some((pool, query)) = pool.zip(self.dispatch_query(attempts)) else {
            return Ok(None);
        };
        attempts.is_offered = true;
        let answer = self.dispatcher.ask(pool, &query).await;
        if let Dispatched::Refused(refusal) = answer {
            return Err(Refusal::Dispatched(refusal));
        }
        // The configuration may have changed while the request waited.
        admit(&self.state, &self.head, &self.metadata)?;
        Ok(match answer {
            Dispatched::Assigned(assigned) => Some(assigned),
            Dispatched::Refused(_) | Dispatched::Unanswered => None,
        })
    }

    /// Returns how this node's own choice uses cold endpoints: not at all where a dispatcher grants their use for all
    /// nodes.
    pub(super) fn placement_policy(&self) -> RestrictedEndpointPolicy {
        match self.dispatched_pool(&self.state.dispatch_pools()) {
            Some(_) => RestrictedEndpointPolicy::SkipCold,
            None => RestrictedEndpointPolicy::WithinLimits,
        }
    }

    fn dispatched_pool<'a>(&self, pools: &'a DispatchPools) -> Option<&'a DispatchedPool> {
        let (_, model) = self.engine_model()?;
        pools.get(self.service()?, &model.model)
    }

    /// Describes the request to the dispatcher. Returns `None` if this node may not send it to any endpoint.
    fn dispatch_query(&self, attempts: &Attempts) -> Option<DispatchQuery> {
        let now = clock::now();
        let time_left = self.time_left();
        Some(DispatchQuery {
            request: self.metadata.id.clone(),
            fingerprint: self.fingerprint(),
            customer: self.customer.as_ref().map(|customer| customer.id.clone()),
            urgency: self.route.priority,
            tokens: self.expected_tokens()?,
            latency_target: self.route.latency_target.unwrap_or(time_left),
            arrived_at: self.arrived_at,
            deadline: now + time_left,
            excluded: self.excluded_endpoints(attempts)?,
        })
    }

    /// Records that the endpoint that was assigned to the request can't be used.
    pub(super) fn record_unusable(&self, assigned: &AssignedEndpoint) {
        let outcome = DispatchOutcome::Unusable;
        self.state.metrics.count_dispatched(outcome);
        self.state.events.write(&Event::DispatchUnusable {
            request: self.metadata.id.as_str(),
            endpoint: assigned.endpoint.as_str(),
        });
    }

    /// Records that the request is sent to an endpoint, if that belongs to a dispatched pool.
    pub(super) fn hold(
        &self,
        endpoint: &Endpoint,
        ticket: Option<AssignedTicket>,
    ) -> Option<HeldAttempt> {
        let tokens = self.expected_tokens()?;
        HeldAttempt::start(&self.state, endpoint, tokens, ticket)
    }
}
