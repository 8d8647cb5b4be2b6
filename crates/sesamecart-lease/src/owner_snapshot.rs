//! A snapshot of the owners of all shards, for threads other than the control thread.

use indexmap::IndexMap;
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

/// A shard's owner as known to this node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The node with the shard's newest claim.
    pub node: NodeId,
    /// The epoch of the claim.
    pub epoch: Epoch,
    /// The period in which this node may act for the shard; `None` if another node owns it.
    pub(crate) local: Option<LeasePeriod>,
}

/// The period in which this node may act for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LeasePeriod {
    /// The start of the period.
    pub(crate) from: Timestamp,
    /// The time from which the node may send requests to endpoints that don't check epochs.
    pub(crate) unfenced_from: Timestamp,
    /// The end of the period, exclusive.
    pub(crate) until: Timestamp,
}

/// The owners of all shards.
///
/// An old snapshot is safe to use, because it contains the time at which a lease ends, and a claimant waits
/// until that time has passed before it acts.
#[derive(Clone, Debug, Default)]
pub struct OwnerSnapshot {
    pub(crate) shards: IndexMap<ShardId, Owner>,
}

impl OwnerSnapshot {
    /// Returns the owner of a shard, or `None` if the shard is unclaimed or released.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<&Owner> {
        self.shards.get(&shard)
    }

    /// Returns the epoch under which this node may act for a shard right now.
    ///
    /// Callers check this immediately before each action, with a time read after the decision to act, because
    /// a thread that was paused in between must not act under a lease that has since expired.
    #[must_use]
    pub fn may_act(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let owner = self.shards.get(&shard)?;
        let local = owner.local?;
        (local.from <= now && now < local.until).then_some(owner.epoch)
    }

    /// Returns the epoch under which this node may send requests to endpoints that don't check epochs.
    ///
    /// Such an endpoint would execute a late request of the previous owner, so in addition to
    /// [`Self::may_act`], a new owner waits for the longest time that a request may be in flight.
    #[must_use]
    pub fn may_act_unfenced(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let local = self.shards.get(&shard)?.local?;
        if now < local.unfenced_from {
            return None;
        }
        self.may_act(shard, now)
    }
}
