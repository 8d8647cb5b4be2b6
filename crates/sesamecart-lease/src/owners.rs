//! A snapshot of who owns which shard, for threads other than the control thread.

use indexmap::IndexMap;
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

/// A shard's owner as this node knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The node that last claimed the shard.
    pub node: NodeId,
    /// Its epoch.
    pub epoch: Epoch,
    /// When this node itself may act; empty if another node owns the shard.
    pub(crate) own: Option<OwnSpan>,
}

/// From when to when this node may act for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OwnSpan {
    /// The first time to act.
    pub(crate) from: Timestamp,
    /// The first time to give orders to endpoints that don't check epochs.
    pub(crate) unchecked_from: Timestamp,
    /// The first time not to act any more.
    pub(crate) until: Timestamp,
}

/// Who owns which shard.
///
/// An old snapshot is safe to ask: the end of a lease is a time fixed in advance, and no event ends
/// a lease earlier than a claimant's wait does.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    pub(crate) shards: IndexMap<ShardId, Owner>,
}

impl Owners {
    /// Returns the node to ask about a shard, if somebody claimed it and hasn't released it.
    #[must_use]
    pub fn owner(&self, shard: ShardId) -> Option<&Owner> {
        self.shards.get(&shard)
    }

    /// Returns the epoch under which this node may act for a shard right now.
    ///
    /// Callers ask immediately before each effect, with the time read after the decision: a thread
    /// that was paused in between must not act on a lease that has lapsed meanwhile.
    #[must_use]
    pub fn may_act(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let owner = self.shards.get(&shard)?;
        let own = owner.own?;
        (own.from <= now && now < own.until).then_some(owner.epoch)
    }

    /// Like [`Self::may_act`], for orders to endpoints that don't check epochs.
    ///
    /// Such an endpoint would run an order of the last owner that arrives late, so this owner
    /// first lets the longest order in flight pass.
    #[must_use]
    pub fn may_order_unchecked(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let own = self.shards.get(&shard)?.own?;
        if now < own.unchecked_from {
            return None;
        }
        self.may_act(shard, now)
    }
}
