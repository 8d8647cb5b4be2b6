//! What the control thread and the traffic threads of one node share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use sesamecart_config::Settings;
use sesamecart_edges::Connections;
use sesamecart_lease::OwnerSnapshot;
use sesamecart_runtime::{ByteCounters, Clock};
use sesamecart_vocabulary::{Epoch, ShardId, Timestamp};

use crate::control::Folded;
use crate::duties::Duties;
use crate::groups::Gate;
use crate::identity::Identity;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::snapshot::Snapshot;

/// How long a node that hears neither the log nor a peer still says that it is ready.
///
/// A node that is cut off goes on with the last configuration; after this it must let the platform's
/// balancer choose others, since a drain may have passed it by.
const DEAF_LIMIT: Duration = Duration::from_secs(5);

/// What all threads of one node share.
#[derive(Debug)]
pub struct Shared {
    /// The node's settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// The clock from which pure code is given its time.
    pub clock: Clock,
    /// The newest picture of the control state.
    pub snapshot: ArcSwap<Snapshot>,
    /// The folded log, of which the snapshot is a picture; only the control thread uses it.
    pub(crate) folded: Folded,
    /// The other nodes' states and the shards' leases.
    pub(crate) duties: Duties,
    /// Admission and routing, by which requests get their turn at an endpoint.
    pub(crate) pools: Arc<Pools>,
    /// Whether groups are whole, for the endpoints whose allowance this node owns.
    pub(crate) gate: Gate,
    /// The node's counters.
    pub metrics: Metrics,
    /// The callers' open connections.
    pub connections: Connections,
    /// The bytes that passed over links.
    pub link_bytes: ByteCounters,
    /// The keyed actions that this node was allowed to send and whose end isn't recorded yet.
    pub untold_ends: AtomicUsize,
    heard_at: AtomicU64,
    settled: AtomicBool,
    leaving: AtomicBool,
}

impl Shared {
    /// Makes the shared state of a node that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error when the counters can't be set up.
    pub fn new(settings: Settings) -> anyhow::Result<Arc<Self>> {
        let identity = Identity::new(settings.node.clone());
        let clock = Clock::start();
        let duties = Duties::new(&settings, &identity, clock.now())?;
        let pools = Pools::new(&settings, clock);
        let metrics = Metrics::new()?;
        Ok(Arc::new(Self {
            settings,
            identity,
            clock,
            duties,
            pools,
            snapshot: ArcSwap::default(),
            folded: Folded::default(),
            gate: Gate::new(&metrics),
            metrics,
            connections: Connections::default(),
            link_bytes: ByteCounters::default(),
            untold_ends: AtomicUsize::new(0),
            heard_at: AtomicU64::new(0),
            settled: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }))
    }

    /// Notes that the node's state was as new as the log or a peer at `now`.
    pub fn note_heard(&self, now: Timestamp) {
        self.heard_at.store(now.0, Ordering::Release);
        self.settled.store(true, Ordering::Release);
    }

    /// Returns whether the node has read the log, or a majority's state, since its start.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }

    /// Returns who owns which shard, as this node knows it.
    #[must_use]
    pub fn owners(&self) -> Arc<OwnerSnapshot> {
        self.duties.owners()
    }

    /// Returns the epoch under which this node may act for a shard right now.
    ///
    /// Ask immediately before each effect; the time is read here.
    #[must_use]
    pub fn may_act(&self, shard: ShardId) -> Option<Epoch> {
        let owners = self.owners();
        owners.may_act(shard, self.clock.now())
    }

    /// Notes that the node leaves: it takes no new callers.
    pub fn note_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether the node leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns why the node isn't ready, or nothing when it is.
    #[must_use]
    pub fn unready_because(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("the node is leaving");
        }
        if !self.settled.load(Ordering::Acquire) {
            return Some("the node hasn't read the log yet");
        }
        let heard = Timestamp(self.heard_at.load(Ordering::Acquire));
        if self.clock.now() - heard > DEAF_LIMIT {
            return Some("the node hears neither the log nor other nodes");
        }
        None
    }
}
