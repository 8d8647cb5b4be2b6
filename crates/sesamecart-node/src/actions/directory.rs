//! The nodes that this one knows of, and which of them failed to answer lately.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_config::Settings;
use sesamecart_edges::{ListedVm, VmRole, VmState};
use sesamecart_lease::{NodeState, NodeView, View};
use sesamecart_vocabulary::rendezvous_weight;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId, ShardId, Timestamp};

/// How long a node that didn't answer is passed over.
///
/// A wrong suspicion only moves a shard, since the log decides between owners. A longer one would
/// keep a node that was paused for a moment from its shards.
const SUSPICION: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    failure_domain: FailureDomainId,
    leaving: bool,
    suspected_until: Timestamp,
}

/// The nodes that this one knows of, itself left out.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    me: NodeId,
    home: FailureDomainId,
    known: Arc<Mutex<IndexMap<NodeId, Known>>>,
}

impl Directory {
    pub(crate) fn new(settings: &Settings) -> Self {
        let peers = settings.peers.iter().map(|peer| {
            let known = Known {
                address: peer.address,
                failure_domain: peer.failure_domain.clone(),
                leaving: false,
                suspected_until: Timestamp::ZERO,
            };
            (peer.node.clone(), known)
        });
        Self {
            me: settings.node.clone(),
            home: settings.failure_domain.clone(),
            known: Arc::new(Mutex::new(peers.collect())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<NodeId, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the platform's list, which names every entry VM that it still knows.
    pub(crate) fn take_list(&self, listed: &[ListedVm]) {
        let mut known = self.lock();
        let mut next = IndexMap::new();
        for vm in listed.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Ok(node) = vm.vm.as_str().parse::<NodeId>() else {
                continue;
            };
            if node == self.me {
                continue;
            }
            let before = known
                .get(&node)
                .filter(|before| before.address == vm.address);
            let entry = Known {
                address: vm.address,
                failure_domain: vm.failure_domain.clone(),
                leaving: vm.state == VmState::Leaving,
                suspected_until: before.map_or(Timestamp::ZERO, |before| before.suspected_until),
            };
            next.insert(node, entry);
        }
        *known = next;
    }

    /// Notes that a node didn't answer.
    pub(crate) fn suspect(&self, node: &NodeId, now: Timestamp) {
        if let Some(known) = self.lock().get_mut(node) {
            known.suspected_until = now + SUSPICION;
        }
    }

    /// Notes that a node answered.
    pub(crate) fn trust(&self, node: &NodeId) {
        if let Some(known) = self.lock().get_mut(node) {
            known.suspected_until = Timestamp::ZERO;
        }
    }

    pub(crate) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.lock().get(node).map(|known| known.address)
    }

    pub(crate) fn is_elsewhere(&self, node: &NodeId) -> bool {
        let known = self.lock();
        known
            .get(node)
            .is_some_and(|known| known.failure_domain != self.home)
    }

    /// Returns whether a node is known and not suspected.
    pub(crate) fn is_trusted(&self, node: &NodeId, now: Timestamp) -> bool {
        let known = self.lock();
        known
            .get(node)
            .is_some_and(|known| known.suspected_until <= now)
    }

    /// Returns the node that should own a shard nobody holds.
    pub(crate) fn candidate(&self, shard: ShardId, now: Timestamp) -> NodeId {
        let key = format!("shard-{shard}");
        let known = self.lock();
        let others = known
            .iter()
            .filter(|(_, known)| known.suspected_until <= now && !known.leaving)
            .map(|(node, _)| node);
        others
            .chain([&self.me])
            .max_by_key(|node| rendezvous_weight(&key, node.as_str()))
            .cloned()
            .unwrap_or_else(|| self.me.clone())
    }

    /// Returns the nodes as the choice of voters takes them.
    pub(crate) fn view(&self, now: Timestamp) -> View {
        let view = |failure_domain: &FailureDomainId, live| NodeView {
            failure_domain: failure_domain.clone(),
            incarnation: Incarnation(0),
            state: if live {
                NodeState::Live
            } else {
                NodeState::Suspected
            },
        };
        let known = self.lock();
        let others = known.iter().map(|(node, known)| {
            let live = known.suspected_until <= now && !known.leaving;
            (node.clone(), view(&known.failure_domain, live))
        });
        let me = (self.me.clone(), view(&self.home, true));
        View {
            nodes: others.chain([me]).collect(),
        }
    }
}
