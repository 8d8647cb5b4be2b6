//! The intents that a voter stores for other nodes while the log is unavailable.
//!
//! An owner that can't reach the log mirrors its intents to the shard's voters before it sends. If the owner
//! crashes, its successor must learn of these intents, or an action would run twice. A voter that has applied
//! a later claim stores nothing more for the old owner, so a majority that stored an intent and a majority
//! that applied the claim overlap in a voter that reports the intent to the successor.

use indexmap::IndexMap;
use sesamecart_fold::{ActionIntent, ActionKey, Actions};
use sesamecart_vocabulary::{Epoch, Offset, ShardId};

use crate::intent_recovery::VoterReply;

/// The limits of a voter's storage.
#[derive(Clone, Copy, Debug)]
pub struct MirroredIntentsConfig {
    /// The maximum number of stored intents; the voter rejects further ones.
    pub max_intents: usize,
}

impl Default for MirroredIntentsConfig {
    /// Enough for an outage of several minutes at a few hundred actions per second.
    fn default() -> Self {
        Self {
            max_intents: 65_536,
        }
    }
}

/// An intent and the epoch of the owner that sent it.
#[derive(Clone, Debug)]
struct StoredIntent {
    epoch: Epoch,
    intent: ActionIntent,
}

/// The intents that one node stores as a voter.
#[derive(Clone, Debug)]
pub struct MirroredIntents {
    config: MirroredIntentsConfig,
    /// The log's tail when this process first read it.
    log_tail_at_start: Option<Offset>,
    stored: IndexMap<ShardId, IndexMap<ActionKey, StoredIntent>>,
    count: usize,
}

impl MirroredIntents {
    /// Creates a voter that hasn't read the log's tail yet and therefore stores nothing.
    #[must_use]
    pub fn new(config: MirroredIntentsConfig) -> Self {
        Self {
            config,
            log_tail_at_start: None,
            stored: IndexMap::new(),
            count: 0,
        }
    }

    /// Records that the node has read the log's tail at `offset`; only the first call has an effect.
    pub fn settle(&mut self, offset: Offset) {
        self.log_tail_at_start.get_or_insert(offset);
    }

    /// Returns the number of stored intents.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no intents are stored.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Stores either all or none of an owner's intents, and returns whether they were stored.
    ///
    /// `current_epoch` is the shard's epoch in this node's own fold. If it differs from `epoch`, a claimant
    /// that the owner doesn't know of may already have queried this voter.
    pub fn store(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        current_epoch: Option<Epoch>,
        intents: &[ActionIntent],
    ) -> bool {
        if self.log_tail_at_start.is_none() || current_epoch != Some(epoch) {
            return false;
        }
        if self.count + intents.len() > self.config.max_intents {
            return false;
        }
        let stored = self.stored.entry(shard).or_default();
        for intent in intents {
            let entry = StoredIntent {
                epoch,
                intent: intent.clone(),
            };
            if stored.insert(intent.action_key(), entry).is_none() {
                self.count += 1;
            }
        }
        true
    }

    /// Returns the intents of earlier owners for the claimant of epoch `claim`.
    ///
    /// Returns `None` until this node has read the log's tail and applied the claim.
    #[must_use]
    pub fn reply_to_claim(
        &self,
        shard: ShardId,
        claim: Epoch,
        current_epoch: Option<Epoch>,
    ) -> Option<VoterReply> {
        let log_tail_at_start = self.log_tail_at_start?;
        if current_epoch.is_none_or(|epoch| epoch < claim) {
            return None;
        }
        let stored = self.stored.get(&shard);
        let intents = stored
            .into_iter()
            .flat_map(IndexMap::values)
            .filter(|stored| stored.epoch < claim)
            .map(|stored| stored.intent.clone())
            .collect();
        Some(VoterReply {
            log_tail_at_start,
            intents,
        })
    }

    /// Removes the intents whose keys the log has by now.
    pub fn forget_logged(&mut self, actions: &Actions) {
        for stored in self.stored.values_mut() {
            stored.retain(|key, _| actions.get(key).is_none());
        }
        self.stored.retain(|_, stored| !stored.is_empty());
        self.count = self.stored.values().map(IndexMap::len).sum();
    }
}
