//! One node's state of one shard's lease: the newest claim in the log and the node's own role.

use indexmap::IndexMap;
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

use crate::record::{ClaimRecord, Holder, LeaseState, ReleaseRecord, Verdict};
use crate::settings::LeaseSettings;
use crate::vote::{Vote, VoteAnswer, VotePurpose};
use crate::voters::majority;

/// One node's state of a shard's lease.
#[derive(Debug)]
pub(crate) struct Shard {
    id: ShardId,
    /// The last accepted claim.
    pub(crate) lease: Option<LeaseState>,
    pub(crate) role: Role,
    /// When this node last sent a claim or release.
    pub(crate) last_append_at: Option<Timestamp>,
    /// The number of this node's claims that may be in the log but haven't been read yet.
    pub(crate) pending_claims: usize,
    /// Since when another node has been the preferred owner.
    pub(crate) preferred_owner_since: Option<Timestamp>,
}

/// This node's role in a shard's lease.
#[derive(Debug)]
pub(crate) enum Role {
    /// Another node holds the lease, or no node does.
    None,
    /// This node has the newest claim.
    Claimant(Claimant),
    /// This node has stopped acting and appends a release to the log.
    Releasing {
        /// When this node stopped acting.
        since: Timestamp,
    },
}

/// A lease that this node has claimed, whether or not it may act yet.
#[derive(Debug)]
pub(crate) struct Claimant {
    pub(crate) epoch: Epoch,
    pub(crate) takeover: Option<Takeover>,
    /// When the node may start to act; unknown until a majority has confirmed the takeover.
    pub(crate) active_from: Option<Timestamp>,
    /// The time up to which log reads and votes allow the node to act.
    pub(crate) valid_until: Timestamp,
    /// For each voter, the time of the last request that it granted.
    grants: IndexMap<NodeId, Timestamp>,
    pub(crate) last_request_at: Option<Timestamp>,
    pub(crate) announced: bool,
}

/// The state of a takeover, which needs confirmations from a majority of the old lease's voters.
#[derive(Debug)]
pub(crate) struct Takeover {
    pub(crate) voters: Vec<NodeId>,
    /// The voters that have applied the claim, or whose VM was removed.
    pub(crate) confirmed: Vec<NodeId>,
}

impl Shard {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            lease: None,
            role: Role::None,
            last_append_at: None,
            pending_claims: 0,
            preferred_owner_since: None,
        }
    }

    /// Returns the newest accepted epoch, if any.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.lease.as_ref().map(|lease| lease.epoch)
    }

    /// Installs a lease from a checkpoint or from a peer's state.
    pub(crate) fn install(&mut self, lease: LeaseState) {
        if Some(lease.epoch) > self.epoch() {
            self.role = Role::None;
            self.pending_claims = 0;
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
        claim: &ClaimRecord,
        local: &Holder,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> Verdict {
        if claim.builds_on != self.epoch() || Some(claim.epoch) <= self.epoch() {
            return Verdict::Stale;
        }
        let before = self.lease.replace(LeaseState {
            shard: claim.shard,
            epoch: claim.epoch,
            holder: claim.holder.clone(),
            voters: claim.voters.clone(),
            released: false,
        });
        self.pending_claims = 0;
        self.last_append_at = None;
        self.preferred_owner_since = None;
        if claim.holder != *local {
            self.role = Role::None;
            return Verdict::Accepted;
        }
        self.role = match (std::mem::replace(&mut self.role, Role::None), before) {
            (Role::Claimant(claimant), Some(before)) if claimant.epoch == before.epoch => {
                Role::Claimant(claimant.with_new_voters(claim.epoch))
            }
            (_, before) => Role::Claimant(Claimant::new(claim.epoch, before, settings, now)),
        };
        Verdict::Accepted
    }

    /// Applies a release record in log order.
    pub(crate) fn apply_release(&mut self, release: ReleaseRecord) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        if lease.epoch != release.epoch {
            return;
        }
        lease.released = true;
        self.role = Role::None;
        self.pending_claims = 0;
        self.last_append_at = None;
        self.preferred_owner_since = None;
    }

    /// Renews the lease after a tail read that started at `begun` and showed no other claim.
    pub(crate) fn renew_by_read(&mut self, begun: Timestamp, settings: &LeaseSettings) {
        if let Role::Claimant(claimant) = &mut self.role {
            claimant.valid_until = claimant.valid_until.max(begun + settings.length);
        }
    }

    /// Returns whether this node, as a voter, grants a request.
    ///
    /// `has_read_tail` is whether this process has read the log's tail. A restarted voter doesn't know which
    /// claims it has confirmed, and granting an extension without that knowledge would let the old holder act
    /// at the same time as the new one.
    pub(crate) fn answer(&self, vote: &Vote, requester: &NodeId, has_read_tail: bool) -> bool {
        let Some(lease) = &self.lease else {
            return false;
        };
        match vote.purpose {
            VotePurpose::Applied => lease.epoch >= vote.epoch,
            VotePurpose::Extend => {
                has_read_tail
                    && lease.epoch == vote.epoch
                    && lease.holder.node == *requester
                    && !lease.released
            }
        }
    }

    /// Applies a voter's response.
    pub(crate) fn on_vote(
        &mut self,
        answer: &VoteAnswer,
        settings: &LeaseSettings,
        now: Timestamp,
    ) {
        let Role::Claimant(claimant) = &mut self.role else {
            return;
        };
        if !answer.granted || answer.vote.epoch != claimant.epoch {
            return;
        }
        match answer.vote.purpose {
            VotePurpose::Applied => claimant.on_confirmation(&answer.voter, settings, now),
            VotePurpose::Extend => {
                let Some(lease) = &self.lease else {
                    return;
                };
                // A claimant that has read this node's pending claim for new voters sends requests to the new
                // voters only, so votes of the old ones no longer prevent another node from acting.
                if self.pending_claims == 0 || !settings.waits_for_pending_claim() {
                    claimant.on_grant(answer, &lease.voters, settings);
                }
            }
        }
    }

    /// Returns the vote requests that are due.
    pub(crate) fn due_vote_requests(
        &mut self,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> VoteRequests {
        let has_pending_claim = self.pending_claims > 0 && settings.waits_for_pending_claim();
        let (Role::Claimant(claimant), Some(lease)) = (&mut self.role, &self.lease) else {
            return VoteRequests::default();
        };
        if claimant
            .last_request_at
            .is_some_and(|at| now < at + settings.vote_interval)
        {
            return VoteRequests::default();
        }
        let purpose = if claimant.active_from.is_none() {
            VotePurpose::Applied
        } else if !has_pending_claim && claimant.valid_until < now + settings.length / 2 {
            VotePurpose::Extend
        } else {
            return VoteRequests::default();
        };
        let voters = match (purpose, &claimant.takeover) {
            (VotePurpose::Applied, Some(takeover)) => takeover.unconfirmed_voters(),
            (VotePurpose::Applied, None) => Vec::new(),
            (VotePurpose::Extend, _) => lease.voters.clone(),
        };
        claimant.last_request_at = Some(now);
        let vote = Vote {
            shard: self.id,
            epoch: claimant.epoch,
            purpose,
            asked_at: now,
        };
        VoteRequests {
            voters,
            vote: Some(vote),
        }
    }
}

/// A vote request and the voters to send it to.
#[derive(Debug, Default)]
pub(crate) struct VoteRequests {
    pub(crate) voters: Vec<NodeId>,
    pub(crate) vote: Option<Vote>,
}

impl Claimant {
    /// Starts a claim that succeeds the lease `before`, if any.
    fn new(
        epoch: Epoch,
        before: Option<LeaseState>,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> Self {
        let (takeover, active_from) = match before {
            #[cfg(test)]
            Some(_) if settings.mutant == Some(crate::settings::Mutant::NoMajority) => {
                (None, Some(now + settings.takeover_wait()))
            }
            // The holder has released the lease.
            Some(before) if before.released => (None, Some(now)),
            Some(before) => {
                let takeover = Takeover {
                    voters: before.voters,
                    confirmed: Vec::new(),
                };
                (Some(takeover), None)
            }
            // The records of an earlier holder may have been removed by the log's retention before this node
            // read them.
            None => (None, Some(now + settings.takeover_wait())),
        };
        Self {
            epoch,
            takeover,
            active_from,
            valid_until: Timestamp::ZERO,
            grants: IndexMap::new(),
            last_request_at: None,
            announced: false,
        }
    }

    /// Continues under a new epoch after this node has replaced its own voters.
    fn with_new_voters(self, epoch: Epoch) -> Self {
        Self {
            epoch,
            grants: IndexMap::new(),
            last_request_at: None,
            announced: false,
            ..self
        }
    }

    /// Counts a voter of the old lease that no longer grants requests of its holder.
    pub(crate) fn on_confirmation(
        &mut self,
        voter: &NodeId,
        settings: &LeaseSettings,
        now: Timestamp,
    ) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if !takeover.voters.contains(voter) || takeover.confirmed.contains(voter) {
            return;
        }
        takeover.confirmed.push(voter.clone());
        if takeover.confirmed.len() >= majority(takeover.voters.len()) && self.active_from.is_none()
        {
            self.active_from = Some(now + settings.takeover_wait());
        }
    }

    /// Extends the lease to one lease length after the newest request time that a majority has granted.
    fn on_grant(&mut self, answer: &VoteAnswer, voters: &[NodeId], settings: &LeaseSettings) {
        if !voters.contains(&answer.voter) {
            return;
        }
        let latest = self
            .grants
            .entry(answer.voter.clone())
            .or_insert(answer.vote.asked_at);
        *latest = (*latest).max(answer.vote.asked_at);
        let mut request_times: Vec<Timestamp> = self.grants.values().copied().collect();
        request_times.sort_unstable_by(|left, right| right.cmp(left));
        if let Some(asked_at) = request_times.get(majority(voters.len()) - 1) {
            self.valid_until = self.valid_until.max(*asked_at + settings.length);
        }
    }
}

impl Takeover {
    fn unconfirmed_voters(&self) -> Vec<NodeId> {
        let unconfirmed = self
            .voters
            .iter()
            .filter(|voter| !self.confirmed.contains(voter));
        unconfirmed.cloned().collect()
    }
}
