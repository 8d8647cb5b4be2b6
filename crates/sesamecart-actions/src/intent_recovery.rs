//! Recovery of the intents that the previous owner stored at its voters.
//!
//! A new owner queries these voters before it decides on any new action.

use derive_more::{Display, From};
use indexmap::{IndexMap, IndexSet};
use sesamecart_fold::{ActionIntent, ActionKey};
use sesamecart_vocabulary::{Epoch, NodeId, Offset};

/// A voter of the previous owner.
pub type VoterId = NodeId;

/// A voter's reply to a new owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterReply {
    /// The log's tail when the voter's current process first read it; intents stored by an earlier process of
    /// the voter are lost.
    pub log_tail_at_start: Offset,
    /// The intents of earlier epochs that the voter stores.
    pub intents: Vec<ActionIntent>,
}

/// Whether enough voters have replied.
#[derive(Clone, Copy, Debug, Display, Eq, From, PartialEq)]
pub(crate) enum Progress {
    /// Too few voters have replied.
    Pending,
    /// Every intent that a majority of the voters stored is known.
    Complete,
}

/// The replies of the previous owner's voters to a new owner.
#[derive(Clone, Debug)]
pub struct IntentRecovery {
    /// The epoch of the previous owner.
    previous: Epoch,
    voters: IndexSet<VoterId>,
    /// The voters whose replies are known to be complete.
    complete_voters: IndexSet<VoterId>,
    intents: IndexMap<ActionKey, ActionIntent>,
}

impl IntentRecovery {
    /// Starts the recovery for a claim that succeeds the lease of epoch `previous`.
    #[must_use]
    pub fn new(previous: Epoch, voters: impl IntoIterator<Item = VoterId>) -> Self {
        Self {
            previous,
            voters: voters.into_iter().collect(),
            complete_voters: IndexSet::new(),
            intents: IndexMap::new(),
        }
    }

    /// Returns the voters that haven't sent a complete reply yet.
    pub fn pending_voters(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.difference(&self.complete_voters)
    }

    /// Records a voter's reply.
    ///
    /// A voter whose process started after the previous owner's epoch may have lost intents. Those it returns
    /// are used, but its reply doesn't count as complete.
    pub fn record_reply(&mut self, voter: &VoterId, reply: VoterReply) {
        if !self.voters.contains(voter) {
            return;
        }
        for intent in reply.intents {
            self.intents.entry(intent.action_key()).or_insert(intent);
        }
        if reply.log_tail_at_start <= Offset(self.previous.0 + 1) {
            self.complete_voters.insert(voter.clone());
        }
    }

    /// Returns the previous owner's intents once they must include every one that a majority stored.
    #[must_use]
    pub fn recovered_intents(&self) -> Option<Vec<ActionIntent>> {
        match self.progress() {
            Progress::Pending => None,
            Progress::Complete => Some(self.intents.values().cloned().collect()),
        }
    }

    /// Returns the intents received so far.
    #[must_use]
    pub fn received_intents(&self) -> Vec<ActionIntent> {
        self.intents.values().cloned().collect()
    }

    /// Returns whether enough complete replies have arrived.
    ///
    /// A majority stored each intent, so any `voters - majority + 1` voters include one of that majority.
    fn progress(&self) -> Progress {
        let all = self.voters.len();
        let majority = all / 2 + 1;
        let needed = (all + 1).saturating_sub(majority);
        if self.complete_voters.len() >= needed || all == 0 {
            Progress::Complete
        } else {
            Progress::Pending
        }
    }
}
