//! Asks when a suspected request may be started, once at a time on all nodes.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_links::feed::SuspectRequest;
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links};
use sesamecart_vocabulary::Fingerprint;

use crate::authority::{AuthorityClient, Matter};
use crate::clock;
use crate::follower::millis;
use crate::state::EntryState;

/// The number of nodes that are asked until one answers.
const ATTEMPTS: usize = 2;

/// When the caller of a suspected request may try again if no node decides about it.
const NO_AUTHORITY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Asks the authority for a suspected request whether it may be started.
#[derive(Clone, Debug)]
pub(crate) struct SuspectClient {
    state: Arc<EntryState>,
    authorities: AuthorityClient,
}

impl SuspectClient {
    pub(crate) fn new(state: Arc<EntryState>, links: Links) -> Self {
        Self {
            authorities: AuthorityClient::new(Arc::clone(&state), links),
            state,
        }
    }

    /// Starts a run of a suspected request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be tried again, if it was started a short time ago, or if no
    /// node decides about it.
    pub(crate) async fn try_start(&self, request: Fingerprint) -> Result<(), Duration> {
        for _ in 0..ATTEMPTS {
            if let Some(decision) = self.ask(request, false).await {
                return decision;
            }
        }
        Err(NO_AUTHORITY_RETRY_AFTER)
    }

    /// Decides about a request of another node, or asks the authority if that is yet another node.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be started.
    pub(crate) async fn try_start_for(
        &self,
        request: Fingerprint,
        is_relayed: bool,
    ) -> Result<(), Duration> {
        if !is_relayed && let Some(decision) = self.ask(request, true).await {
            return decision;
        }
        self.decide(request)
    }

    /// Asks the authority. Returns `None` if it doesn't answer.
    async fn ask(&self, request: Fingerprint, is_relayed: bool) -> Option<Result<(), Duration>> {
        let fingerprint = request.to_string();
        let matter = Matter {
            key: &fingerprint,
            failure_domain: None,
        };
        let Some(peer) = self.authorities.other_authority(matter) else {
            return Some(self.decide(request));
        };
        let message = SuspectRequest {
            fingerprint: fingerprint.clone(),
            is_relayed,
        };
        let call = |mut feed: FeedClient<Channel>| async move { feed.start_suspect(message).await };
        let reply = self.authorities.call(&peer, is_relayed, call).await?;
        Some(match reply.retry_after_ms {
            0 => Ok(()),
            ms => Err(Duration::from_millis(ms)),
        })
    }

    fn decide(&self, request: Fingerprint) -> Result<(), Duration> {
        self.state
            .crashes
            .suspect_starts()
            .try_start(clock::now(), request)
    }
}

/// Encodes a decision as the time until the request may be started.
pub(crate) fn encode_decision(decision: Result<(), Duration>) -> u64 {
    decision.map_or_else(|retry_after| millis(retry_after).max(1), |()| 0)
}
