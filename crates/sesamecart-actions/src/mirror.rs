//! What a voter keeps of other nodes' intents while the log is out.
//!
//! An owner that can't reach the log hands its intents to the shard's voters before it sends. If it
//! dies, its successor must learn of them, or a booking would run twice. A voter that has applied a
//! later claim keeps nothing more for the old owner, so a majority that kept an intent and a
//! majority that applied the claim share a voter that tells of it.

use indexmap::IndexMap;
use sesamecart_fold::{ActionIntent, ActionKey, Actions};
use sesamecart_vocabulary::{Epoch, Offset, ShardId};

use crate::gather::Gathered;

/// The bounds of a voter.
#[derive(Clone, Copy, Debug)]
pub struct MirrorsConfig {
    /// The most intents that are kept; beyond it the voter keeps no more.
    pub max_intents: usize,
}

impl Default for MirrorsConfig {
    /// Room for an outage of some minutes at a few hundred actions a second.
    fn default() -> Self {
        Self {
            max_intents: 65_536,
        }
    }
}

#[derive(Clone, Debug)]
struct Kept {
    epoch: Epoch,
    intent: ActionIntent,
}

/// The intents that one node keeps as a voter.
#[derive(Clone, Debug)]
pub struct Mirrors {
    config: MirrorsConfig,
    /// The log's tail when this life of the node first read it.
    settled_from: Option<Offset>,
    kept: IndexMap<ShardId, IndexMap<ActionKey, Kept>>,
    count: usize,
}

impl Mirrors {
    /// Makes a voter that hasn't read the log's tail yet and so promises nothing.
    #[must_use]
    pub fn new(config: MirrorsConfig) -> Self {
        Self {
            config,
            settled_from: None,
            kept: IndexMap::new(),
            count: 0,
        }
    }

    /// Notes that the node has read the log's tail at `offset`; only the first call counts.
    pub fn settle(&mut self, offset: Offset) {
        self.settled_from.get_or_insert(offset);
    }

    /// Returns the number of intents that are kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Returns whether nothing is kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Keeps an owner's intents, all of them or none, and returns whether it did.
    ///
    /// `in_force` is the shard's epoch by this node's own fold. Another one means that a claim which
    /// the owner hasn't heard of may already have asked this voter.
    pub fn keep(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        in_force: Option<Epoch>,
        intents: &[ActionIntent],
    ) -> bool {
        if self.settled_from.is_none() || in_force != Some(epoch) {
            return false;
        }
        if self.count + intents.len() > self.config.max_intents {
            return false;
        }
        let kept = self.kept.entry(shard).or_default();
        for intent in intents {
            let entry = Kept {
                epoch,
                intent: intent.clone(),
            };
            if kept.insert(intent.action_key(), entry).is_none() {
                self.count += 1;
            }
        }
        true
    }

    /// Tells the claimant of `claim` what earlier owners left, once this node has applied the claim.
    #[must_use]
    pub fn gather(
        &self,
        shard: ShardId,
        claim: Epoch,
        in_force: Option<Epoch>,
    ) -> Option<Gathered> {
        let settled_from = self.settled_from?;
        if in_force.is_none_or(|epoch| epoch < claim) {
            return None;
        }
        let kept = self.kept.get(&shard);
        let intents = kept
            .into_iter()
            .flat_map(IndexMap::values)
            .filter(|kept| kept.epoch < claim)
            .map(|kept| kept.intent.clone())
            .collect();
        Some(Gathered {
            settled_from,
            intents,
        })
    }

    /// Forgets the intents that the log tells of by now.
    pub fn forget_logged(&mut self, actions: &Actions) {
        for kept in self.kept.values_mut() {
            kept.retain(|key, _| actions.get(key).is_none());
        }
        self.kept.retain(|_, kept| !kept.is_empty());
        self.count = self.kept.values().map(IndexMap::len).sum();
    }
}
