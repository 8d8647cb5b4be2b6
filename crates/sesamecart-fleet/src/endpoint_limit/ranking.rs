//! Which node decides about something for all nodes.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, NodeId, Timestamp, rendezvous_weight};

use crate::sources::PeerNode;

/// How long a node that didn't answer isn't asked again; each further failure doubles it.
const BASE_UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);

/// The longest time for which a node isn't asked again. A node that was replaced never answers.
const MAX_UNRESPONSIVE_TIME: Duration = Duration::from_secs(16);

/// A node that didn't answer.
#[derive(Clone, Copy, Debug)]
struct Unresponsive {
    until: Timestamp,
    time: Duration,
}

/// The order of the nodes in which they are the authority for the limit of an endpoint or another matter.
///
/// All nodes that know the same nodes compute the same order. The first node that answers is the authority.
#[derive(Debug, Default)]
pub struct AuthorityRanking {
    unresponsive: IndexMap<NodeId, Unresponsive>,
}

impl AuthorityRanking {
    /// Returns the authority for `key` among `nodes`, without those that didn't answer lately. Nodes in
    /// `failure_domain` come first.
    #[must_use]
    pub fn authority<'a>(
        &self,
        now: Timestamp,
        key: &str,
        failure_domain: Option<&FailureDomainId>,
        nodes: &'a [PeerNode],
    ) -> Option<&'a PeerNode> {
        let responsive = nodes
            .iter()
            .filter(|peer| self.is_responsive(now, &peer.node));
        responsive.min_by_key(|peer| {
            let weight = rendezvous_weight(key, peer.node.as_str());
            let is_preferred = Some(&peer.failure_domain) == failure_domain;
            (!is_preferred, Reverse(weight))
        })
    }

    /// Returns whether a node is asked, because it hasn't failed to answer lately.
    #[must_use]
    pub fn is_responsive(&self, now: Timestamp, node: &NodeId) -> bool {
        let unresponsive = self.unresponsive.get(node);
        unresponsive.is_none_or(|unresponsive| unresponsive.until <= now)
    }

    /// Records that a node didn't answer.
    pub fn mark_unresponsive(&mut self, now: Timestamp, node: &NodeId) {
        self.unresponsive
            .retain(|_, failed| failed.until + MAX_UNRESPONSIVE_TIME > now);
        let time = match self.unresponsive.get(node) {
            // Requests that were sent at the same time fail together.
            Some(failed) if failed.until > now => return,
            Some(failed) => (failed.time * 2).min(MAX_UNRESPONSIVE_TIME),
            None => BASE_UNRESPONSIVE_TIME,
        };
        let until = now + time;
        self.unresponsive
            .insert(node.clone(), Unresponsive { until, time });
    }

    /// Records that a node answered.
    pub fn mark_responsive(&mut self, node: &NodeId) {
        self.unresponsive.swap_remove(node);
    }
}
