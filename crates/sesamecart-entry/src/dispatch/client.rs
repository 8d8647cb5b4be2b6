//! Asks dispatchers for endpoints.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_fleet::{
    Assignment, DispatchDecision, DispatchRefusal, DispatchRequest, PeerNode, PoolPart,
    RefusalCause, TicketKey, TokenCounts, choose_parts,
};
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links};
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::{CustomerId, EndpointId, Fingerprint, NodeId, RequestId, Timestamp};

use crate::authority::AuthorityClient;
use crate::clock;
use crate::dispatch::message::{decode_reply, encode_request};
use crate::dispatch::pools::{DispatchedPool, PoolPartView};
use crate::dispatch::ticket::{AssignedEndpoint, AssignedTicket};
use crate::events::Event;
use crate::follower::millis;
use crate::metrics::DispatchOutcome;
use crate::state::EntryState;

/// How long this node waits for its own dispatcher, as long as for another one.
const OWN_DISPATCHER_TIMEOUT: Duration = Duration::from_millis(160);

type Feed = FeedClient<Channel>;

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct DispatchQuery {
    pub(crate) request: RequestId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) urgency: u8,
    pub(crate) tokens: TokenCounts,
    pub(crate) latency_target: Duration,
    pub(crate) arrived_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The endpoints that this node must not send it to.
    pub(crate) excluded: Vec<EndpointId>,
}

/// What the dispatchers of a pool answered.
#[derive(Debug)]
pub(crate) enum Dispatched {
    /// The request is to be sent to an endpoint.
    Assigned(AssignedEndpoint),
    /// It is refused.
    Refused(DispatchRefusal),
    /// No dispatcher answered.
    Unanswered,
}

/// A request and the dispatcher that was asked about it, for the log.
struct AskedDispatcher<'a> {
    request: &'a RequestId,
    dispatcher: &'a NodeId,
    part: u32,
    waited_ms: u64,
}

/// Asks dispatchers for endpoints.
#[derive(Clone, Debug)]
pub(crate) struct DispatchClient {
    state: Arc<EntryState>,
    authorities: AuthorityClient,
}

impl DispatchClient {
    pub(crate) fn new(state: Arc<EntryState>, links: Links) -> Self {
        Self {
            authorities: AuthorityClient::new(Arc::clone(&state), links),
            state,
        }
    }

    /// Asks the dispatcher of one part of a pool, and that of another part if the first one is full.
    pub(crate) async fn ask(&self, pool: &DispatchedPool, query: &DispatchQuery) -> Dispatched {
        let heads: Vec<usize> = pool.parts.iter().map(|part| part.heads.len()).collect();
        let mut answer = Dispatched::Unanswered;
        for part in choose_parts(&heads, fastrand::f64) {
            answer = self.ask_part(&pool.parts[part as usize], query).await;
            let is_full = matches!(
                &answer,
                Dispatched::Refused(refusal) if refusal.cause == RefusalCause::Full
            );
            if !is_full {
                break;
            }
        }
        answer
    }

    async fn ask_part(&self, part: &PoolPartView, query: &DispatchQuery) -> Dispatched {
        let Some(peer) = self.state.dispatcher_of(part) else {
            return Dispatched::Unanswered;
        };
        let asked_at = clock::now();
        let mut ticket = AssignedTicket::new(Arc::clone(&self.state), part.name.clone());
        let req = self.request(query, asked_at, &ticket);
        let decision = self.call(&peer, &part.name, req).await;
        let waited = clock::now().since(asked_at);
        self.state.metrics.record_dispatch_wait(waited);
        let asked = AskedDispatcher {
            request: &query.request,
            dispatcher: &peer.node,
            part: part.name.part,
            waited_ms: millis(waited),
        };
        match decision {
            Some(DispatchDecision::Send(assignment)) => {
                self.record_assigned(&asked, &assignment);
                Dispatched::Assigned(AssignedEndpoint {
                    endpoint: assignment.endpoint,
                    ticket,
                })
            }
            Some(DispatchDecision::Refuse(refusal)) => {
                self.record_refused(&asked, refusal);
                ticket.mark_refused();
                Dispatched::Refused(refusal)
            }
            Some(DispatchDecision::Wait) | None => {
                self.record_unanswered(&asked);
                Dispatched::Unanswered
            }
        }
    }

    /// Returns the decision of a dispatcher, or `None` if it doesn't answer.
    async fn call(
        &self,
        peer: &PeerNode,
        part: &PoolPart,
        req: DispatchRequest,
    ) -> Option<DispatchDecision> {
        if peer.node == self.state.settings.node {
            let own = self.state.decide_dispatch(part, req);
            return with_timeout(OWN_DISPATCHER_TIMEOUT, own).await.ok()?;
        }
        let message = encode_request(part, &req);
        let call = |mut feed: Feed| async move { feed.dispatch(message).await };
        let reply = self.authorities.call(peer, false, call).await?;
        decode_reply(&reply)
    }

    fn record_assigned(&self, asked: &AskedDispatcher<'_>, assignment: &Assignment) {
        let outcome = DispatchOutcome::Assigned;
        self.state.metrics.count_dispatched(outcome);
        let event = Event::DispatchAssigned {
            request: asked.request.as_str(),
            dispatcher: asked.dispatcher.as_str(),
            endpoint: assignment.endpoint.as_str(),
            predicted_start_ms: millis(assignment.predicted_start),
            waited_ms: asked.waited_ms,
        };
        self.state.events.write_success(clock::now(), &event);
    }

    fn record_refused(&self, asked: &AskedDispatcher<'_>, refusal: DispatchRefusal) {
        let outcome = DispatchOutcome::Refused(refusal.cause);
        self.state.metrics.count_dispatched(outcome);
        self.state.events.write(&Event::DispatchRefused {
            request: asked.request.as_str(),
            dispatcher: asked.dispatcher.as_str(),
            part: asked.part,
            cause: &refusal.cause.to_string(),
            retry_after_ms: millis(refusal.retry_after),
            waited_ms: asked.waited_ms,
        });
    }

    fn record_unanswered(&self, asked: &AskedDispatcher<'_>) {
        let outcome = DispatchOutcome::Unanswered;
        self.state.metrics.count_dispatched(outcome);
        self.state.events.write(&Event::DispatchUnanswered {
            request: asked.request.as_str(),
            dispatcher: asked.dispatcher.as_str(),
            waited_ms: asked.waited_ms,
        });
    }

    fn request(
        &self,
        query: &DispatchQuery,
        now: Timestamp,
        ticket: &AssignedTicket,
    ) -> DispatchRequest {
        let settings = &self.state.settings;
        DispatchRequest {
            key: TicketKey {
                node: settings.node.clone(),
                ticket: ticket.ticket(),
            },
            fingerprint: query.fingerprint,
            customer: query.customer.clone(),
            urgency: query.urgency,
            failure_domain: settings.failure_domain.clone(),
            tokens: query.tokens,
            latency_target: query.latency_target,
            waited: now.since(query.arrived_at),
            time_left: query.deadline.since(now),
            excluded: query.excluded.clone(),
        }
    }
}
