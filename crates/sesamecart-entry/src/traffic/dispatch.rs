//! Requests whose endpoint is assigned by the dispatcher of their pool.

use sesamecart_fleet::{Assignment, Endpoint, Unavailable};

use crate::clock;
use crate::dispatch::{AssignedTicket, DispatchQuery, Dispatched, HeldAttempt};
use crate::events::Event;
use crate::metrics::DispatchOutcome;
use crate::traffic::admission::admit;
use crate::traffic::call::{Attempts, Call};
use crate::traffic::placement::{Placement, RestrictedEndpointPolicy};
use crate::traffic::refusal::Refusal;

impl Call {
    /// Asks the dispatcher of the request's pool for an endpoint, once and only for the first attempt of a caller's
    /// request. Returns `None` if this node has to choose an endpoint itself.
    ///
    /// # Errors
    ///
    /// Returns the dispatcher's refusal, or that of a request that isn't allowed any more after it has waited.
    pub(super) async fn dispatch(
        &self,
        attempts: &mut Attempts,
    ) -> Result<Option<Placement>, Refusal> {
        if self.hop.is_some() || attempts.made > 0 || attempts.is_offered {
            return Ok(None);
        }
        let pools = self.state.dispatch_pools();
        let pool = self
            .engine_model()
            .zip(self.service())
            .and_then(|((_, model), service)| pools.get(service, &model.model));
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
        if self.time_left().is_zero() {
            return Err(Refusal::NotRun("its time ran out".to_owned()));
        }
        Ok(match answer {
            Dispatched::Assigned(assignment, ticket) => {
                self.use_assignment(attempts, &assignment, ticket)
            }
            Dispatched::Refused(_) | Dispatched::Unanswered => None,
        })
    }

    /// Returns the assigned placement, or this node's own choice.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint is available to the request.
    pub(super) fn place_unless_assigned(
        &self,
        attempts: &Attempts,
        assigned: Option<Placement>,
    ) -> Result<Placement, Unavailable> {
        assigned.map_or_else(|| self.place(attempts, self.placement_policy()), Ok)
    }

    /// Returns how this node's own choice uses cold endpoints: not at all where a dispatcher grants their use for all
    /// nodes.
    fn placement_policy(&self) -> RestrictedEndpointPolicy {
        let model = self.engine_model().map(|(_, model)| &model.model);
        let pools = self.state.dispatch_pools();
        let pool = self
            .service()
            .zip(model)
            .and_then(|(service, model)| pools.get(service, model));
        match pool {
            Some(_) => RestrictedEndpointPolicy::SkipCold,
            None => RestrictedEndpointPolicy::WithinLimits,
        }
    }

    /// Describes the request to the dispatcher. Returns `None` if this node may not send it to any endpoint.
    fn dispatch_query(&self, attempts: &Attempts) -> Option<DispatchQuery> {
        let now = clock::now();
        let time_left = self.time_left();
        Some(DispatchQuery {
            request: self.metadata.id.clone(),
            fingerprint: self.fingerprint(),
            customer: self.customer.as_ref().map(|customer| customer.id.clone()),
            urgency: self.priority(),
            tokens: self.expected_tokens()?,
            latency_target: self.route.latency_target.unwrap_or(time_left),
            arrived_at: self.arrived_at,
            deadline: now + time_left,
            excluded: self.excluded_endpoints(attempts)?,
        })
    }

    /// Returns the placement at an assigned endpoint, if that passes the checks of this node.
    fn use_assignment(
        &self,
        attempts: &Attempts,
        assignment: &Assignment,
        ticket: AssignedTicket,
    ) -> Option<Placement> {
        let placement = self.place_assigned(attempts, &assignment.endpoint, ticket);
        if placement.is_none() {
            self.state
                .metrics
                .count_dispatched(DispatchOutcome::Unusable);
            self.state.events.write(&Event::DispatchUnusable {
                request: self.metadata.id.as_str(),
                endpoint: assignment.endpoint.as_str(),
            });
        }
        placement
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
