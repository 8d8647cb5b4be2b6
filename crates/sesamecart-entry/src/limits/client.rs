//! Asks the authority for an endpoint's limit, and tells it and the other nodes what this node learns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sesamecart_fleet::{Endpoint, LimitObservation, PeerNode, Permit, PermitRequest};
use sesamecart_links::feed::LimitAnnouncement;
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links};
use sesamecart_platform::ResponseHead;
use sesamecart_runtime::{Tasks, with_timeout};
use sesamecart_vocabulary::{EndpointId, FailureDomainId, RequestId, Timestamp};

use super::message::{decode_permit, encode_limit, encode_report, encode_request};
use crate::authority::{AuthorityClient, Matter};
use crate::clock;
use crate::metrics::PermitOutcome;
use crate::state::EntryState;

/// The timeout of an announcement to a node that others follow.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of nodes that are asked for a permit until one answers.
const PERMIT_ATTEMPTS: usize = 2;

/// The number of nodes to which an observation is reported until one answers. Until one does, each node has to
/// observe the limit itself.
const REPORT_ATTEMPTS: usize = 8;

type Feed = FeedClient<Channel>;

/// Calls other nodes about the limits of endpoints.
#[derive(Clone, Debug)]
pub(crate) struct LimitClient {
    state: Arc<EntryState>,
    authorities: AuthorityClient,
    links: Links,
    tasks: Tasks,
}

impl EntryState {
    /// Returns the node that decides about the requests to an endpoint.
    ///
    /// Nodes in the endpoint's failure domain come first, because most of its requests come from there.
    pub(super) fn limit_authority(&self, endpoint: &EndpointId) -> Option<PeerNode> {
        let failure_domain = self.failure_domain_of(endpoint);
        self.authority(Matter {
            key: endpoint.as_str(),
            failure_domain: failure_domain.as_ref(),
        })
    }

    fn failure_domain_of(&self, endpoint: &EndpointId) -> Option<FailureDomainId> {
        let directory = self.directory.load();
        directory
            .find(endpoint)
            .map(|endpoint| endpoint.failure_domain.clone())
    }
}

impl LimitClient {
    pub(crate) fn new(state: Arc<EntryState>, links: Links, tasks: Tasks) -> Self {
        Self {
            authorities: AuthorityClient::new(Arc::clone(&state), links.clone()),
            state,
            links,
            tasks,
        }
    }

    /// Learns from a response, and tells the authority if it says something new.
    pub(crate) fn observe(
        &self,
        endpoint: &Endpoint,
        request: &RequestId,
        sent_at: Timestamp,
        head: &ResponseHead,
    ) {
        let observation = self.state.observe_limit(endpoint, request, sent_at, head);
        if let Some(observation) = observation {
            let client = self.clone();
            self.tasks
                .spawn(async move { client.report(&observation).await });
        }
    }

    /// Asks whether a request may be sent to a limited endpoint. Returns `None` if no authority answers.
    pub(crate) async fn request(&self, req: &PermitRequest) -> Option<Permit> {
        let endpoint = &req.limit.endpoint;
        for _ in 0..PERMIT_ATTEMPTS {
            let Some(peer) = self.other_authority(endpoint) else {
                return Some(self.decide(req));
            };
            let permit = self.ask(&peer, req, false).await;
            if permit.is_some() {
                return permit;
            }
        }
        None
    }

    /// Decides about the request of another node, or asks the authority if that is yet another node.
    pub(crate) async fn decide_for(&self, req: &PermitRequest, is_relayed: bool) -> Permit {
        let peer = self.other_authority(&req.limit.endpoint);
        if let Some(peer) = peer.filter(|_| !is_relayed)
            && let Some(permit) = self.ask(&peer, req, true).await
        {
            return permit;
        }
        self.decide(req)
    }

    /// Applies the observation of another node, or passes it on to the authority if that is yet another node.
    pub(crate) async fn observe_for(&self, observation: &LimitObservation, is_relayed: bool) {
        let peer = self.other_authority(&observation.endpoint);
        if let Some(peer) = peer.filter(|_| !is_relayed)
            && self.tell(&peer, observation, true).await
        {
            return;
        }
        self.apply(observation);
    }

    async fn report(&self, observation: &LimitObservation) {
        for _ in 0..REPORT_ATTEMPTS {
            let Some(peer) = self.other_authority(&observation.endpoint) else {
                self.apply(observation);
                return;
            };
            if self.tell(&peer, observation, false).await {
                return;
            }
        }
    }

    /// Returns the authority for an endpoint, or `None` if that is this node.
    fn other_authority(&self, endpoint: &EndpointId) -> Option<PeerNode> {
        let authority = self.state.limit_authority(endpoint);
        authority.filter(|peer| peer.node != self.state.settings.node)
    }

    fn decide(&self, req: &PermitRequest) -> Permit {
        let permit = self.state.limits.authority().request(clock::now(), req);
        self.announce_if_due(&req.limit.endpoint);
        permit
    }

    fn apply(&self, observation: &LimitObservation) {
        let now = clock::now();
        self.state.limits.authority().observe(now, observation);
        self.announce_if_due(&observation.endpoint);
    }

    async fn ask(&self, peer: &PeerNode, req: &PermitRequest, is_relayed: bool) -> Option<Permit> {
        let message = encode_request(req, is_relayed);
        let call = |mut feed: Feed| async move { feed.request_permit(message).await };
        let reply = self.authorities.call(peer, is_relayed, call).await?;
        decode_permit(&reply)
    }

    /// Tells the authority what this node has observed. Returns whether the authority answered.
    async fn tell(
        &self,
        peer: &PeerNode,
        observation: &LimitObservation,
        is_relayed: bool,
    ) -> bool {
        let message = encode_report(observation, is_relayed);
        let call = |mut feed: Feed| async move { feed.report_limit(message).await };
        let reply = self.authorities.call(peer, is_relayed, call).await;
        reply.is_some()
    }

    /// Tells the nodes that others follow about the limit of an endpoint that this node is the authority for.
    fn announce_if_due(&self, endpoint: &EndpointId) {
        let now = clock::now();
        let limit = self
            .state
            .limits
            .authority()
            .take_announcement(now, endpoint);
        let Some(limit) = limit else { return };
        self.state.learn_limit(&limit);
        let announcement = LimitAnnouncement {
            limits: vec![encode_limit(&limit)],
        };
        let addresses = self.state.nodes_with_followers();
        let links = self.links.clone();
        self.tasks.spawn(async move {
            let announcements = addresses
                .iter()
                .map(|address| announce_to(&links, *address, announcement.clone()));
            join_all(announcements).await;
        });
    }

    /// Counts the answer to a request of this node.
    pub(crate) fn count_permit(&self, permit: Option<Permit>) {
        let outcome = match permit {
            Some(Permit::Granted) => PermitOutcome::Granted,
            Some(Permit::Denied(_)) => PermitOutcome::Denied,
            Some(Permit::Unlimited) => PermitOutcome::Unlimited,
            None => PermitOutcome::Unanswered,
        };
        self.state.metrics.count_permit(outcome);
    }
}

async fn announce_to(links: &Links, address: SocketAddr, announcement: LimitAnnouncement) {
    let mut feed = links.feed_client(address);
    // A node that misses the announcement hears the next one, or observes the limit itself.
    match with_timeout(ANNOUNCEMENT_TIMEOUT, feed.announce_limits(announcement)).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => log::debug!("limits: node at {address}: announce: {status}."),
        Err(elapsed) => log::debug!("limits: node at {address}: announce: {elapsed}."),
    }
}
