//! Which nodes live and which of them owns which shard.
//!
//! The pure state machines are in the membership and lease crates; here they get records, messages
//! and the time, and their effects are carried out. See docs/design/membership.md and
//! docs/design/leases.md.

mod records;
mod runner;
mod wire;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use sesamecart_config::Settings;
use sesamecart_edges::LogError;
use sesamecart_lease::{Holder, LeaseSettings, Leases, NodeState, NodeView, OwnerSnapshot, View};
use sesamecart_membership::{Liveness, Member, Membership, MembershipSettings, Seed, Status};
use sesamecart_vocabulary::{Incarnation, NodeId, SHARD_COUNT, ShardId, Timestamp, stable_hash};

use crate::control::Peer;
pub(crate) use crate::duties::runner::Runner;
use crate::identity::Identity;

/// Shards aren't handed over to a node that joins.
///
/// The keyed actions' desk chooses who claims, by plain rendezvous without a bound. Were the leases
/// to hand over to the owner of their bounded choice, both would move shards back and forth.
const NEVER: Duration = Duration::from_secs(u64::MAX / 2_000_000);

/// The other nodes' states and the shards' leases, as one node sees them.
///
/// Its lock is only held for the length of a call and never across a wait.
#[derive(Debug)]
pub(crate) struct Duties {
    state: Mutex<State>,
    owners: ArcSwap<OwnerSnapshot>,
}

#[derive(Debug)]
struct State {
    membership: Membership,
    leases: Leases,
}

impl Duties {
    /// Makes the state of a node that has just started.
    pub(crate) fn new(
        settings: &Settings,
        identity: &Identity,
        now: Timestamp,
    ) -> anyhow::Result<Self> {
        let me = Member {
            node: identity.node.clone(),
            address: settings.links,
            failure_domain: settings.failure_domain.clone(),
            incarnation: identity.incarnation,
            heartbeat: 1,
            status: Status::Alive,
        };
        let seed = stable_hash(identity.node.as_str()) ^ identity.incarnation.0;
        let mut membership = Membership::new(me, MembershipSettings::default(), seed, now);
        membership.add_seeds(settings.peers.iter().map(|peer| Seed {
            node: peer.node.clone(),
            address: peer.address,
            failure_domain: peer.failure_domain.clone(),
        }));
        let holder = Holder {
            node: identity.node.clone(),
            incarnation: identity.incarnation,
        };
        let settings = LeaseSettings {
            handover_delay: NEVER,
            ..LeaseSettings::default()
        };
        let leases = Leases::new(holder, SHARD_COUNT, settings, now)?;
        Ok(Self {
            state: Mutex::new(State { membership, leases }),
            owners: ArcSwap::default(),
        })
    }

    /// Returns who owns which shard.
    pub(crate) fn owners(&self) -> Arc<OwnerSnapshot> {
        self.owners.load_full()
    }

    /// A read of the log that began at `begun` reached the tail.
    pub(crate) fn on_tail(&self, begun: Timestamp, now: Timestamp) {
        let mut state = self.lock();
        state.leases.on_tail_read(begun, now);
        self.publish(&state);
    }

    /// A claim of this node is being appended.
    pub(crate) fn claim_sent(&self, shard: ShardId, now: Timestamp) {
        self.lock().leases.claim_sent(shard, now);
    }

    /// An append of a claim failed.
    ///
    /// Only a refusal proves that the claim isn't in the log; after a lost answer reading tells.
    pub(crate) fn claim_failed(&self, shard: ShardId, error: &anyhow::Error) {
        let refused = matches!(
            error.downcast_ref::<LogError>(),
            Some(LogError::Refused { .. } | LogError::NotSent { .. })
        );
        if refused {
            self.lock().leases.append_refused(shard);
        }
    }

    /// Tells the other nodes that this one is about to go.
    pub(crate) fn announce_leave(&self) {
        self.lock().membership.leave();
    }

    /// Begins to hand over all shards.
    pub(crate) fn leave(&self) {
        self.lock().leases.leave();
    }

    /// Returns whether this node holds no lease and waits for none.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().leases.is_empty()
    }

    /// Returns what is believed of a node, if it was ever heard of.
    pub(crate) fn standing(&self, node: &NodeId, now: Timestamp) -> Option<Liveness> {
        self.lock().membership.liveness(node, now)
    }

    /// Returns the life of another node's process that was last heard of.
    pub(crate) fn life(&self, node: &NodeId) -> Option<Incarnation> {
        self.lock().membership.incarnation(node)
    }

    /// Returns whether heartbeats tell of any other live node.
    pub(crate) fn knows_others(&self, now: Timestamp) -> bool {
        !self.living(now).is_empty()
    }

    /// Returns where the other nodes that live take links.
    pub(crate) fn living(&self, now: Timestamp) -> Vec<Peer> {
        let state = self.lock();
        let me = &state.membership.local_member().node;
        let living = state.membership.members(now).filter(|(member, standing)| {
            member.node != *me && matches!(standing, Liveness::Live | Liveness::Leaving)
        });
        let peers = living.map(|(member, _)| Peer {
            node: member.node.clone(),
            address: member.address,
            failure_domain: member.failure_domain.clone(),
        });
        peers.collect()
    }

    /// Shows other threads the newest owners.
    ///
    /// It must come before a release is appended: the next holder acts as soon as it reads that.
    fn publish(&self, state: &State) {
        self.owners.store(Arc::new(state.leases.owners()));
    }

    /// Notes that a claim for other voters of a held shard is about to be appended; tells whether it
    /// may be.
    pub(crate) fn begin_voter_change(&self, shard: ShardId, now: Timestamp) -> bool {
        self.lock().leases.begin_voter_change(shard, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the nodes as the choice of owners and voters takes them.
    fn view(&self, now: Timestamp) -> View {
        let nodes = self.membership.members(now).map(|(member, standing)| {
            let state = match standing {
                Liveness::Live => NodeState::Live,
                Liveness::Leaving => NodeState::Leaving,
                Liveness::Suspected => NodeState::Suspected,
                Liveness::Gone => NodeState::Gone,
            };
            let view = NodeView {
                failure_domain: member.failure_domain.clone(),
                incarnation: member.incarnation,
                state,
            };
            (member.node.clone(), view)
        });
        let mut nodes: Vec<(NodeId, NodeView)> = nodes.collect();
        nodes.sort_by(|left, right| left.0.cmp(&right.0));
        View {
            nodes: nodes.into_iter().collect(),
        }
    }
}
