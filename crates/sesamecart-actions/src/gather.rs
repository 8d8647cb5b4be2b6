//! What a new owner hears from the voters of its predecessor before it decides anything.

use derive_more::{Display, From};
use indexmap::{IndexMap, IndexSet};
use sesamecart_fold::{ActionIntent, ActionKey};
use sesamecart_vocabulary::{Epoch, NodeId, Offset};

/// A voter of the last owner.
pub type VoterId = NodeId;

/// What one voter tells a claimant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gathered {
    /// The log's tail when the voter's present life began; what it kept before is forgotten.
    pub settled_from: Offset,
    /// The intents that it keeps of earlier epochs.
    pub intents: Vec<ActionIntent>,
}

/// How far a claimant has come.
#[derive(Clone, Copy, Debug, Display, Eq, From, PartialEq)]
pub(crate) enum Reach {
    /// Too few voters have answered.
    Pending,
    /// Every intent that a majority kept is known.
    Complete,
}

/// A claimant's round of questions to the last owner's voters.
#[derive(Clone, Debug)]
pub struct Gather {
    /// The epoch of the last owner.
    last: Epoch,
    voters: IndexSet<VoterId>,
    vouching: IndexSet<VoterId>,
    intents: IndexMap<ActionKey, ActionIntent>,
}

impl Gather {
    /// Starts a round for a claim that follows the lease of epoch `last`.
    #[must_use]
    pub fn new(last: Epoch, voters: impl IntoIterator<Item = VoterId>) -> Self {
        Self {
            last,
            voters: voters.into_iter().collect(),
            vouching: IndexSet::new(),
            intents: IndexMap::new(),
        }
    }

    /// Returns the voters that haven't vouched yet.
    pub fn unheard(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.difference(&self.vouching)
    }

    /// Notes what a voter told.
    ///
    /// A voter whose life began after the last owner's epoch may have forgotten what it kept, so its
    /// intents count but its silence doesn't.
    pub fn hear(&mut self, voter: &VoterId, gathered: Gathered) {
        if !self.voters.contains(voter) {
            return;
        }
        for intent in gathered.intents {
            self.intents.entry(intent.action_key()).or_insert(intent);
        }
        if gathered.settled_from <= Offset(self.last.0 + 1) {
            self.vouching.insert(voter.clone());
        }
    }

    /// Returns the intents of the last owner once every one that a majority kept must be among them.
    #[must_use]
    pub fn complete(&self) -> Option<Vec<ActionIntent>> {
        match self.reach() {
            Reach::Pending => None,
            Reach::Complete => Some(self.intents.values().cloned().collect()),
        }
    }

    /// Returns the intents heard of so far.
    #[must_use]
    pub fn so_far(&self) -> Vec<ActionIntent> {
        self.intents.values().cloned().collect()
    }

    /// A majority kept each intent, so any `voters - majority + 1` voters include one that did.
    fn reach(&self) -> Reach {
        let all = self.voters.len();
        let majority = all / 2 + 1;
        let needed = (all + 1).saturating_sub(majority);
        if self.vouching.len() >= needed || all == 0 {
            Reach::Complete
        } else {
            Reach::Pending
        }
    }
}
