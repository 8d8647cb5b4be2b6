//! Calls to the node that decides about something for all nodes.
//!
//! Bounds on what all nodes do together are kept by one of them, the authority. All nodes that know the same
//! nodes choose the same one, and the next one if it doesn't answer.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_fleet::PeerNode;
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links, Response, Status};
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::FailureDomainId;

use crate::clock;
use crate::state::EntryState;

/// The timeout of a call to the authority. A caller waits meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(160);

/// The timeout of a call that is made for another node, which itself waits for `CALL_TIMEOUT`.
const RELAYED_CALL_TIMEOUT: Duration = Duration::from_millis(70);

/// What an authority decides about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Matter<'a> {
    /// Its name, from which the authority is chosen.
    pub(crate) key: &'a str,
    /// The failure domain whose nodes come first.
    pub(crate) failure_domain: Option<&'a FailureDomainId>,
}

/// Calls authorities.
#[derive(Clone, Debug)]
pub(crate) struct AuthorityClient {
    state: Arc<EntryState>,
    links: Links,
}

impl EntryState {
    /// Returns the node that decides about a matter.
    pub(crate) fn authority(&self, matter: Matter<'_>) -> Option<PeerNode> {
        let nodes = self.nodes.load();
        let ranking = self.authorities();
        let Matter {
            key,
            failure_domain,
        } = matter;
        let authority = ranking.authority(clock::now(), key, failure_domain, &nodes);
        authority.cloned()
    }
}

impl AuthorityClient {
    pub(crate) const fn new(state: Arc<EntryState>, links: Links) -> Self {
        Self { state, links }
    }

    /// Returns the authority for a matter, or `None` if that is this node.
    pub(crate) fn other_authority(&self, matter: Matter<'_>) -> Option<PeerNode> {
        let authority = self.state.authority(matter);
        authority.filter(|peer| peer.node != self.state.settings.node)
    }

    /// Calls an authority, for another node if `is_relayed` is set. Returns `None` if it doesn't answer; it is then
    /// passed over for some time.
    pub(crate) async fn call<T, F>(
        &self,
        peer: &PeerNode,
        is_relayed: bool,
        call: impl FnOnce(FeedClient<Channel>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let timeout = if is_relayed {
            RELAYED_CALL_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let called = with_timeout(timeout, call(self.links.feed_client(peer.links)));
        let cause = match called.await {
            Ok(Ok(response)) => {
                self.state.authorities().mark_responsive(&peer.node);
                return Some(response.into_inner());
            }
            Ok(Err(status)) => status.to_string(),
            Err(elapsed) => elapsed.to_string(),
        };
        log::debug!("authority: {}: {cause}.", peer.node);
        self.state
            .authorities()
            .mark_unresponsive(clock::now(), &peer.node);
        None
    }
}
