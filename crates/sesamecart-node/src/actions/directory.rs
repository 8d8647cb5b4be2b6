//! Which of the other nodes failed to answer lately, and which should own a shard.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_config::Settings;
use sesamecart_lease::{NodeState, NodeView, View};
use sesamecart_vocabulary::{
    FailureDomainId, Incarnation, NodeId, ShardId, Timestamp, rendezvous_weight,
};

use crate::control::Peers;

/// How long a node that didn't answer is passed over.
///
/// A wrong suspicion only moves a shard, since the log decides between owners. A longer one would
/// keep a node that was paused for a moment from its shards.
const SUSPICION: Duration = Duration::from_secs(2);

/// How long a choice of owners is kept unless a call fails; news of nodes take longer to spread.
const CHOICE_TIME: Duration = Duration::from_secs(1);

/// The other nodes, with those that are passed over for a while.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    me: NodeId,
    home: FailureDomainId,
    peers: Peers,
    suspected_until: Arc<Mutex<IndexMap<NodeId, Timestamp>>>,
    chosen: Arc<Mutex<Chosen>>,
}

/// The choice of owners, kept for a while.
///
/// It is asked for every endpoint a few times a second. At hundreds of nodes and endpoints, weighing
/// each pair anew would take a good part of the control thread.
#[derive(Debug, Default)]
struct Chosen {
    until: Timestamp,
    nodes: Vec<NodeId>,
    owners: IndexMap<ShardId, NodeId>,
}

impl Directory {
    pub(crate) fn new(settings: &Settings, peers: Peers) -> Self {
        Self {
            me: settings.node.clone(),
            home: settings.failure_domain.clone(),
            peers,
            suspected_until: Arc::default(),
            chosen: Arc::default(),
        }
    }

    fn suspicions(&self) -> MutexGuard<'_, IndexMap<NodeId, Timestamp>> {
        let suspicions = self.suspected_until.lock();
        suspicions.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a node didn't answer.
    pub(crate) fn suspect(&self, node: &NodeId, now: Timestamp) {
        let mut suspicions = self.suspicions();
        suspicions.retain(|_, until| *until > now);
        suspicions.insert(node.clone(), now + SUSPICION);
        drop(suspicions);
        self.choose_anew();
    }

    /// Notes that a node answered.
    pub(crate) fn trust(&self, node: &NodeId) {
        let was_suspected = self.suspicions().swap_remove(node).is_some();
        if was_suspected {
            self.choose_anew();
        }
    }

    /// Returns the life of a node that was last heard.
    pub(crate) fn life(&self, node: &NodeId) -> Option<Incarnation> {
        self.peers.life(node)
    }

    /// Returns all other nodes.
    pub(crate) fn others(&self) -> Vec<NodeId> {
        self.peers.all().into_iter().map(|peer| peer.node).collect()
    }

    fn is_suspected(&self, node: &NodeId, now: Timestamp) -> bool {
        let by_call = self
            .suspicions()
            .get(node)
            .is_some_and(|until| *until > now);
        by_call || self.peers.is_down(node, now)
    }

    /// Returns whether at least half of the other nodes count as alive.
    ///
    /// A node that was paused or cut off hears nobody and would take itself for the last one alive;
    /// claiming every shard then, it would move them all for nothing.
    pub(crate) fn hears_most(&self, now: Timestamp) -> bool {
        let others = self.peers.all();
        let silent = others
            .iter()
            .filter(|peer| self.is_suspected(&peer.node, now));
        2 * silent.count() <= others.len() + 1
    }

    /// Returns where a node takes links, if it is known.
    pub(crate) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.address)
    }

    /// Returns whether a node lies in another failure domain than this one.
    pub(crate) fn is_elsewhere(&self, node: &NodeId) -> bool {
        let peer = self.peers.get(node);
        peer.is_some_and(|peer| peer.failure_domain != self.home)
    }

    /// Returns whether a node is known and not suspected.
    pub(crate) fn is_trusted(&self, node: &NodeId, now: Timestamp) -> bool {
        self.peers.get(node).is_some() && !self.is_suspected(node, now)
    }

    /// Returns this node and all others that aren't suspected, in order of their names.
    pub(crate) fn trusted(&self, now: Timestamp) -> Vec<NodeId> {
        let others = self.peers.all().into_iter().map(|peer| peer.node);
        let trusted = others.filter(|node| !self.is_suspected(node, now));
        let mut nodes: Vec<_> = trusted.chain([self.me.clone()]).collect();
        nodes.sort();
        nodes
    }

    /// Returns the node that should own a shard nobody holds.
    pub(crate) fn candidate(&self, shard: ShardId, now: Timestamp) -> NodeId {
        let mut chosen = self.chosen();
        if now >= chosen.until {
            *chosen = Chosen {
                until: now + CHOICE_TIME,
                ..Chosen::default()
            };
            let others = self.peers.all().into_iter().map(|peer| peer.node);
            let trusted = others
                .filter(|node| !self.is_suspected(node, now) && !self.peers.is_leaving(node, now));
            chosen.nodes = trusted.chain([self.me.clone()]).collect();
        }
        if let Some(node) = chosen.owners.get(&shard) {
            return node.clone();
        }
        let key = format!("shard-{shard}");
        let best = chosen
            .nodes
            .iter()
            .max_by_key(|node| rendezvous_weight(&key, node.as_str()));
        let best = best.unwrap_or(&self.me).clone();
        chosen.owners.insert(shard, best.clone());
        best
    }

    fn chosen(&self) -> MutexGuard<'_, Chosen> {
        let chosen = self.chosen.lock();
        chosen.unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the next choice with the newest suspicions.
    fn choose_anew(&self) {
        *self.chosen() = Chosen::default();
    }

    /// Returns the nodes as the choice of voters takes them.
    pub(crate) fn view(&self, now: Timestamp) -> View {
        let view = |failure_domain: FailureDomainId, live| NodeView {
            failure_domain,
            incarnation: Incarnation(0),
            state: if live {
                NodeState::Live
            } else {
                NodeState::Suspected
            },
        };
        let others = self.peers.all().into_iter().map(|peer| {
            let live = !self.is_suspected(&peer.node, now);
            (peer.node, view(peer.failure_domain, live))
        });
        let me = (self.me.clone(), view(self.home.clone(), true));
        View {
            nodes: others.chain([me]).collect(),
        }
    }
}
