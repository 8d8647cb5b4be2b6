//! One shard's lease as one node sees it: what the log says, and this node's own part.

use indexmap::IndexMap;
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

use crate::record::{ClaimSeen, Holder, LeaseSeen, ReleaseSeen, Verdict};
use crate::settings::LeaseSettings;
use crate::vote::{Vote, VoteAnswer, VotePurpose};
use crate::voters::majority;

/// A shard's lease as one node sees it.
#[derive(Debug)]
pub(crate) struct Shard {
    id: ShardId,
    /// The last accepted claim.
    pub(crate) lease: Option<LeaseSeen>,
    pub(crate) role: Role,
    /// When the last own claim or release was sent.
    pub(crate) appended_at: Option<Timestamp>,
    /// Own claims that may stand in the log and weren't read yet.
    pub(crate) undecided: usize,
    /// When another node first looked like the better owner.
    pub(crate) better_owner_since: Option<Timestamp>,
}

/// This node's part in a shard's lease.
#[derive(Debug)]
pub(crate) enum Role {
    /// Another node's, or nobody's.
    None,
    /// This node's claim is the newest one.
    Claimant(Claimant),
    /// This node acts no more and lets the log know.
    Releasing {
        /// When it stopped.
        since: Timestamp,
    },
}

/// A lease that this node claimed and may come to act under.
#[derive(Debug)]
pub(crate) struct Claimant {
    pub(crate) epoch: Epoch,
    pub(crate) takeover: Option<Takeover>,
    /// From when it may act; unknown until the takeover has its majority.
    pub(crate) acts_from: Option<Timestamp>,
    /// Until when reads and promises let it act.
    pub(crate) until: Timestamp,
    /// For each voter, the time of the last question that it answered with a promise.
    promises: IndexMap<NodeId, Timestamp>,
    pub(crate) asked_at: Option<Timestamp>,
    pub(crate) announced: bool,
}

/// What a claimant still needs from the voters of the lease that it takes over.
#[derive(Debug)]
pub(crate) struct Takeover {
    pub(crate) voters: Vec<NodeId>,
    pub(crate) applied: Vec<NodeId>,
}

impl Shard {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            lease: None,
            role: Role::None,
            appended_at: None,
            undecided: 0,
            better_owner_since: None,
        }
    }

    /// Returns the newest accepted epoch, if any.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.lease.as_ref().map(|lease| lease.epoch)
    }

    /// Takes a lease from a checkpoint or from the state of peers.
    pub(crate) fn install(&mut self, lease: LeaseSeen) {
        if Some(lease.epoch) > self.epoch() {
            self.role = Role::None;
            self.undecided = 0;
            self.lease = Some(lease);
        } else if Some(lease.epoch) == self.epoch()
            && lease.released
            && let Some(known) = &mut self.lease
        {
            known.released = true;
        }
    }

    /// Applies a claim record in log order.
    pub(crate) fn apply_claim(
        &mut self,
        claim: &ClaimSeen,
        me: &Holder,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> Verdict {
        if claim.builds_on != self.epoch() || Some(claim.epoch) <= self.epoch() {
            return Verdict::Past;
        }
        let before = self.lease.replace(LeaseSeen {
            shard: claim.shard,
            epoch: claim.epoch,
            holder: claim.holder.clone(),
            voters: claim.voters.clone(),
            released: false,
        });
        self.undecided = 0;
        self.appended_at = None;
        self.better_owner_since = None;
        if claim.holder != *me {
            self.role = Role::None;
            return Verdict::Accepted;
        }
        self.role = match (std::mem::replace(&mut self.role, Role::None), before) {
            (Role::Claimant(own), Some(before)) if own.epoch == before.epoch => {
                Role::Claimant(own.with_new_voters(claim.epoch))
            }
            (_, before) => Role::Claimant(Claimant::after(claim.epoch, before, settings, now)),
        };
        Verdict::Accepted
    }

    /// Applies a release record in log order.
    pub(crate) fn apply_release(&mut self, release: ReleaseSeen) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        if lease.epoch != release.epoch {
            return;
        }
        lease.released = true;
        self.role = Role::None;
        self.undecided = 0;
        self.appended_at = None;
        self.better_owner_since = None;
    }

    /// Renews the lease by a tail read that began at `begun` and showed no other claim.
    pub(crate) fn renew_by_read(&mut self, begun: Timestamp, settings: &LeaseSettings) {
        if let Role::Claimant(own) = &mut self.role {
            own.until = own.until.max(begun + settings.length);
        }
    }

    /// Answers a question to this node as a voter.
    ///
    /// `settled` says whether this life of the node has read the log's tail: one that restarted has
    /// forgotten the claims it confirmed, and a promise out of that ignorance would let the old
    /// holder act beside the new one.
    pub(crate) fn answer(&self, vote: &Vote, asker: &NodeId, settled: bool) -> bool {
        let Some(lease) = &self.lease else {
            return false;
        };
        match vote.purpose {
            VotePurpose::Applied => lease.epoch >= vote.epoch,
            VotePurpose::Extend => {
                settled
                    && lease.epoch == vote.epoch
                    && lease.holder.node == *asker
                    && !lease.released
            }
        }
    }

    /// Takes a voter's answer.
    pub(crate) fn on_vote(
        &mut self,
        answer: &VoteAnswer,
        settings: &LeaseSettings,
        now: Timestamp,
    ) {
        let Role::Claimant(own) = &mut self.role else {
            return;
        };
        if !answer.granted || answer.vote.epoch != own.epoch {
            return;
        }
        match answer.vote.purpose {
            VotePurpose::Applied => own.on_applied(&answer.voter, settings, now),
            VotePurpose::Extend => {
                let Some(lease) = &self.lease else {
                    return;
                };
                // A claimant that read this node's undecided voter change asks the new voters only,
                // so promises of the old ones no longer keep anyone else from acting.
                if self.undecided == 0 || !settings.waits_for_verdict() {
                    own.on_promise(answer, &lease.voters, settings);
                }
            }
        }
    }

    /// Returns the questions to ask now.
    pub(crate) fn questions(&mut self, settings: &LeaseSettings, now: Timestamp) -> Questions {
        let undecided = self.undecided > 0 && settings.waits_for_verdict();
        let (Role::Claimant(own), Some(lease)) = (&mut self.role, &self.lease) else {
            return Questions::default();
        };
        if own
            .asked_at
            .is_some_and(|at| now < at + settings.vote_interval)
        {
            return Questions::default();
        }
        let purpose = if own.acts_from.is_none() {
            VotePurpose::Applied
        } else if !undecided && own.until < now + settings.length / 2 {
            VotePurpose::Extend
        } else {
            return Questions::default();
        };
        let to = match (purpose, &own.takeover) {
            (VotePurpose::Applied, Some(takeover)) => takeover.unasked(),
            (VotePurpose::Applied, None) => Vec::new(),
            (VotePurpose::Extend, _) => lease.voters.clone(),
        };
        own.asked_at = Some(now);
        let vote = Vote {
            shard: self.id,
            epoch: own.epoch,
            purpose,
            asked_at: now,
        };
        Questions {
            to,
            vote: Some(vote),
        }
    }
}

/// A question and whom to ask it.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    pub(crate) to: Vec<NodeId>,
    pub(crate) vote: Option<Vote>,
}

impl Claimant {
    /// Begins a lease after whatever lease came before it.
    fn after(
        epoch: Epoch,
        before: Option<LeaseSeen>,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> Self {
        let (takeover, acts_from) = match before {
            #[cfg(test)]
            Some(_) if settings.mutant == Some(crate::settings::Mutant::NoMajority) => {
                (None, Some(now + settings.takeover_wait()))
            }
            // Its holder said that it acts no more.
            Some(before) if before.released => (None, Some(now)),
            Some(before) => {
                let takeover = Takeover {
                    voters: before.voters,
                    applied: Vec::new(),
                };
                (Some(takeover), None)
            }
            // Records of an earlier holder may have passed the log's retention unseen.
            None => (None, Some(now + settings.takeover_wait())),
        };
        Self {
            epoch,
            takeover,
            acts_from,
            until: Timestamp::ZERO,
            promises: IndexMap::new(),
            asked_at: None,
            announced: false,
        }
    }

    /// Goes on under a new epoch after this node changed its own voters.
    fn with_new_voters(self, epoch: Epoch) -> Self {
        Self {
            epoch,
            promises: IndexMap::new(),
            asked_at: None,
            announced: false,
            ..self
        }
    }

    /// Counts a voter of the old lease that promises nothing more to its holder.
    pub(crate) fn on_applied(&mut self, voter: &NodeId, settings: &LeaseSettings, now: Timestamp) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if !takeover.voters.contains(voter) || takeover.applied.contains(voter) {
            return;
        }
        takeover.applied.push(voter.clone());
        if takeover.applied.len() >= majority(takeover.voters.len()) && self.acts_from.is_none() {
            self.acts_from = Some(now + settings.takeover_wait());
        }
    }

    /// Extends the lease to one length after the newest question that a majority has answered.
    fn on_promise(&mut self, answer: &VoteAnswer, voters: &[NodeId], settings: &LeaseSettings) {
        if !voters.contains(&answer.voter) {
            return;
        }
        let latest = self
            .promises
            .entry(answer.voter.clone())
            .or_insert(answer.vote.asked_at);
        *latest = (*latest).max(answer.vote.asked_at);
        let mut asked: Vec<Timestamp> = self.promises.values().copied().collect();
        asked.sort_unstable_by(|left, right| right.cmp(left));
        if let Some(asked_at) = asked.get(majority(voters.len()) - 1) {
            self.until = self.until.max(*asked_at + settings.length);
        }
    }
}

impl Takeover {
    fn unasked(&self) -> Vec<NodeId> {
        let unasked = self
            .voters
            .iter()
            .filter(|voter| !self.applied.contains(voter));
        unasked.cloned().collect()
    }
}
