//! The other nodes: where they are, and calls to several of them at once.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use sesamecart_edges::{ListedVm, VmRole};
use sesamecart_links::message::{HeartbeatReply, HeartbeatRequest, Member, ProvisionalDrain};
use sesamecart_links::{Links, Request};
use sesamecart_membership::Liveness;
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId, Offset, Revision, Timestamp};

use crate::shared::Shared;

/// How long one call of another node may take.
pub(crate) const PEER_LIMIT: Duration = Duration::from_millis(800);

/// The most calls at once, so that asking hundreds of nodes doesn't open hundreds of connections.
const CALLS_AT_ONCE: usize = 48;

/// Another node, as settings, the VM list or its own calls name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomainId,
}

/// What another node answered.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    pub(crate) peer: Peer,
    /// What it has folded; none if it didn't answer.
    pub(crate) standing: Option<PeerStanding>,
}

/// How far another node has folded the log.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PeerStanding {
    pub(crate) revision: Revision,
    pub(crate) next_offset: Offset,
}

/// The other nodes that this one knows.
///
/// It is only an address book: whether a node lives is decided elsewhere.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
    links: Links,
    known: Arc<Mutex<IndexMap<NodeId, Peer>>>,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>, links: Links) -> Self {
        let known = shared.settings.peers.iter().map(|peer| Peer {
            node: peer.node.clone(),
            address: peer.address,
            failure_domain: peer.failure_domain.clone(),
        });
        let known: IndexMap<_, _> = known.map(|peer| (peer.node.clone(), peer)).collect();
        Self {
            shared,
            links,
            known: Arc::new(Mutex::new(known)),
        }
    }

    /// Returns the other nodes.
    pub(crate) fn all(&self) -> Vec<Peer> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.values().cloned().collect()
    }

    /// Returns another node by its name.
    pub(crate) fn get(&self, node: &NodeId) -> Option<Peer> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(node).cloned()
    }

    /// Returns the links to other nodes.
    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    /// Takes the entry VMs of the platform's list; those that settings name stay.
    pub(crate) fn take_list(&self, vms: &[ListedVm]) {
        let own = &self.shared.settings.node;
        let mut listed: IndexMap<NodeId, Peer> = IndexMap::new();
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Ok(node) = vm.vm.as_str().parse::<NodeId>() else {
                continue;
            };
            if node == *own {
                continue;
            }
            let peer = Peer {
                node: node.clone(),
                address: vm.address,
                failure_domain: vm.failure_domain.clone(),
            };
            listed.insert(node, peer);
        }
        let settings = &self.shared.settings.peers;
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|node, _| {
            listed.contains_key(node) || settings.iter().any(|peer| peer.node == *node)
        });
        known.extend(listed);
    }

    /// Returns the life of a node that heartbeats told of last.
    pub(crate) fn life(&self, node: &NodeId) -> Option<Incarnation> {
        self.shared.duties.life(node)
    }

    /// Returns whether heartbeats tell that a node is down.
    pub(crate) fn is_down(&self, node: &NodeId, now: Timestamp) -> bool {
        let standing = self.shared.duties.standing(node, now);
        matches!(standing, Some(Liveness::Suspected | Liveness::Gone))
    }

    /// Returns whether a node said that it is about to go.
    pub(crate) fn is_leaving(&self, node: &NodeId, now: Timestamp) -> bool {
        self.shared.duties.standing(node, now) == Some(Liveness::Leaving)
    }

    /// Takes the nodes that heartbeats tell of.
    pub(crate) fn take_members(&self, members: impl IntoIterator<Item = Peer>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for peer in members {
            known.insert(peer.node.clone(), peer);
        }
    }

    /// Asks every other node how far it has folded the log, and passes on provisional drains.
    pub(crate) async fn ask_all(&self) -> Vec<PeerView> {
        let peers = self.all();
        let mut views = Vec::with_capacity(peers.len());
        for some in peers.chunks(CALLS_AT_ONCE) {
            let asked = some.iter().map(|peer| self.ask(peer.clone()));
            views.extend(join_all(asked).await);
        }
        views
    }

    async fn ask(&self, peer: Peer) -> PeerView {
        let mut link = self.links.to(peer.address);
        let request = Request::new(self.shared.heartbeat_request());
        let answered = with_timeout(PEER_LIMIT, link.heartbeat(request)).await;
        let reply = answered.ok().and_then(Result::ok);
        let standing = reply.map(|reply| {
            let reply = reply.into_inner();
            self.shared.take_heartbeat_drains(&reply.drains);
            PeerStanding {
                revision: Revision(reply.revision),
                next_offset: Offset(reply.next_offset),
            }
        });
        PeerView { peer, standing }
    }
}

impl Shared {
    /// Returns this node as other nodes know it.
    pub(crate) fn member(&self) -> Member {
        self.duties.me()
    }

    pub(crate) fn heartbeat_request(&self) -> HeartbeatRequest {
        let standing = self.standing();
        HeartbeatRequest {
            sender: Some(self.member()),
            members: Vec::new(),
            next_offset: standing.next_offset.0,
            revision: standing.revision.0,
            drains: self.heartbeat_drains(),
        }
    }

    /// Returns the answer to another node's heartbeat.
    pub(crate) fn heartbeat_reply(&self) -> HeartbeatReply {
        let standing = self.standing();
        HeartbeatReply {
            receiver: Some(self.member()),
            members: Vec::new(),
            next_offset: standing.next_offset.0,
            revision: standing.revision.0,
            drains: self.heartbeat_drains(),
        }
    }

    /// Returns how far this node has folded the log.
    pub(crate) fn standing(&self) -> PeerStanding {
        self.folded.with(|state| PeerStanding {
            revision: state.revision,
            next_offset: state.next_offset,
        })
    }

    /// Returns the provisional drains as heartbeats carry them.
    pub(crate) fn heartbeat_drains(&self) -> Vec<ProvisionalDrain> {
        let now = self.clock.now();
        self.folded.with_drains(|_, drains| {
            let drains = drains.iter().map(|(publish_id, drain)| ProvisionalDrain {
                publish_id: publish_id.to_string(),
                record: drain.record.clone(),
                remaining_ms: u64::try_from((drain.expires_at - now).as_millis()).unwrap_or(0),
            });
            drains.collect()
        })
    }

    /// Takes the provisional drains of another node's heartbeat.
    pub(crate) fn take_heartbeat_drains(&self, drains: &[ProvisionalDrain]) {
        for drain in drains {
            let remaining = Duration::from_millis(drain.remaining_ms);
            self.take_provisional(&drain.record, remaining);
        }
    }
}
