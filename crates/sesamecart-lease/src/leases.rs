//! One node's state machine for the leases of all shards.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

use crate::owner_snapshot::{LeasePeriod, Owner, OwnerSnapshot};
use crate::placement::desired_owners;
use crate::record::{ClaimDraft, ClaimRecord, Effect, Holder, LeaseState, ReleaseRecord, Verdict};
use crate::settings::{LeaseSettings, LeaseSettingsError};
use crate::shard::{Role, Shard};
use crate::view::{NodeState, View};
use crate::vote::{Vote, VoteAnswer};
use crate::voters::{MAX_VOTERS, choose_voters};

/// One node's state machine for the leases of all shards.
///
/// The caller passes in the log's records in order, each completely applied tail read, the votes and the
/// view. It calls [`Self::tick`] a few times per second and carries out the effects, after it has published
/// [`Self::owners`] to other threads.
#[derive(Debug)]
pub struct Leases {
    local: Holder,
    settings: LeaseSettings,
    shards: Vec<Shard>,
    started_at: Timestamp,
    /// Whether this process has read the log's tail.
    has_read_tail: bool,
    /// When the last tail read finished.
    last_tail_read_at: Option<Timestamp>,
    is_leaving: bool,
    pinned: IndexSet<ShardId>,
    desired_view: View,
    desired: IndexMap<ShardId, NodeId>,
}

impl Leases {
    /// Creates the state of a node that has just started.
    ///
    /// # Errors
    ///
    /// Returns the first problem found in the settings.
    pub fn new(
        local: Holder,
        shards: u16,
        settings: LeaseSettings,
        now: Timestamp,
    ) -> Result<Self, LeaseSettingsError> {
        settings.check()?;
        Ok(Self {
            local,
            settings,
            shards: (0..shards).map(|id| Shard::new(ShardId(id))).collect(),
            started_at: now,
            has_read_tail: false,
            last_tail_read_at: None,
            is_leaving: false,
            pinned: IndexSet::new(),
            desired_view: View::default(),
            desired: IndexMap::new(),
        })
    }

    /// Installs a lease from a checkpoint or from a peer's state; an older one than the known lease is
    /// ignored.
    pub fn install(&mut self, lease: LeaseState) {
        if let Some(shard) = self.shard_mut(lease.shard) {
            shard.install(lease);
        }
    }

    /// Applies a claim record; records must come in log order.
    pub fn on_claim(&mut self, claim: &ClaimRecord, now: Timestamp) -> Verdict {
        let (local, settings) = (self.local.clone(), self.settings);
        match self.shard_mut(claim.shard) {
            Some(shard) => shard.apply_claim(claim, &local, &settings, now),
            None => Verdict::Stale,
        }
    }

    /// Applies a release record; records must come in log order.
    pub fn on_release(&mut self, release: ReleaseRecord) {
        if let Some(shard) = self.shard_mut(release.shard) {
            shard.apply_release(release);
        }
    }

    /// Renews all held leases after a log read that started at `begun` and was applied up to the tail.
    ///
    /// Records forwarded by peers don't renew a lease, because a peer's tail may be outdated.
    pub fn on_tail_read(&mut self, begun: Timestamp, now: Timestamp) {
        self.has_read_tail = true;
        self.last_tail_read_at = Some(now);
        for shard in &mut self.shards {
            shard.renew_by_read(begun, &self.settings);
        }
    }

    /// Returns whether this node, as a voter, grants another node's request.
    #[must_use]
    pub fn answer(&self, vote: &Vote, requester: &NodeId) -> bool {
        let has_read_tail = self.has_read_tail;
        #[cfg(test)]
        let has_read_tail = has_read_tail
            || self.settings.mutant == Some(crate::settings::Mutant::VotesBeforeLogRead);
        let shard = self.shards.get(usize::from(vote.shard.0));
        shard.is_some_and(|shard| shard.answer(vote, requester, has_read_tail))
    }

    /// Applies a voter's response.
    pub fn on_vote(&mut self, answer: &VoteAnswer, now: Timestamp) {
        let settings = self.settings;
        if let Some(shard) = self.shard_mut(answer.vote.shard) {
            shard.on_vote(answer, &settings, now);
        }
    }

    /// Records that a claim of this node is being appended that didn't result from an effect of
    /// [`Self::tick`].
    ///
    /// Until the claim is read back, the holder doesn't extend its lease by votes, because a claimant that
    /// has read the claim requests votes only from the voters named in it.
    pub fn claim_sent(&mut self, shard: ShardId, now: Timestamp) {
        if let Some(shard) = self.shard_mut(shard) {
            shard.pending_claims += 1;
            shard.last_append_at = Some(now);
        }
    }

    /// Records that the log refused one of this node's claims without appending it.
    ///
    /// The refusal must be certain. If the reply was lost, the log may contain the claim.
    pub fn append_refused(&mut self, shard: ShardId) {
        if let Some(shard) = self.shard_mut(shard) {
            shard.pending_claims = shard.pending_claims.saturating_sub(1);
        }
    }

    /// Records that this node is about to claim a shard that it already holds again with new voters.
    ///
    /// Returns whether it may do so. Until the claim is read back, the holder doesn't extend its lease by the
    /// old voters' votes, because a claimant that has read the claim requests votes only from the new voters.
    pub fn begin_voter_change(&mut self, shard: ShardId, now: Timestamp) -> bool {
        if self.may_act(shard, now).is_none() {
            return false;
        }
        let Some(shard) = self.shard_mut(shard) else {
            return false;
        };
        shard.last_append_at = Some(now);
        shard.pending_claims += 1;
        true
    }

    /// Sets the shards whose leases must not change because work under them is in flight.
    ///
    /// While a shard is pinned, it is neither handed over nor given new voters.
    pub fn pin(&mut self, shards: IndexSet<ShardId>) {
        self.pinned = shards;
    }

    /// Returns whether the newest claim of a shard is this node's.
    #[must_use]
    pub fn is_claimant(&self, shard: ShardId) -> bool {
        let shard = self.shards.get(usize::from(shard.0));
        shard.is_some_and(|shard| matches!(shard.role, Role::Claimant(_)))
    }

    /// Starts to hand over all shards because this node is shutting down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this node has handed over or lost all shards.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| matches!(shard.role, Role::None))
    }

    /// Returns the epoch under which this node may act for a shard now, if any.
    #[must_use]
    pub fn may_act(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let shard = self.shards.get(usize::from(shard.0))?;
        let period = self.local_period(shard)?;
        if now < period.from || period.until <= now {
            return None;
        }
        shard.epoch()
    }

    /// Returns a snapshot of all owners for use by other threads.
    #[must_use]
    pub fn owners(&self) -> OwnerSnapshot {
        let mut owners = OwnerSnapshot::default();
        for shard in &self.shards {
            let Some(lease) = &shard.lease else {
                continue;
            };
            if lease.released {
                continue;
            }
            let owner = Owner {
                node: lease.holder.node.clone(),
                epoch: lease.epoch,
                local: self.local_period(shard),
            };
            owners.shards.insert(lease.shard, owner);
        }
        owners
    }

    /// Returns the shards for which this node may act now.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> Vec<ShardId> {
        let ids = (0..self.shards.len()).filter_map(|id| u16::try_from(id).ok());
        ids.map(ShardId)
            .filter(|id| self.may_act(*id, now).is_some())
            .collect()
    }

    /// Advances the state to `now` and returns the effects that are due, given the node's view of the
    /// cluster.
    pub fn tick(&mut self, view: &View, now: Timestamp) -> Vec<Effect> {
        if self.desired.is_empty() || *view != self.desired_view {
            let shards = u16::try_from(self.shards.len()).expect("made from a u16");
            self.desired = desired_owners(shards, view);
            self.desired_view = view.clone();
        }
        let mut effects = Vec::new();
        let mut appends = 0;
        for index in 0..self.shards.len() {
            self.confirm_removed_voters(index, view, now);
            self.request_votes(index, now, &mut effects);
            self.emit_transition(index, now, &mut effects);
            if appends < self.settings.appends_per_tick
                && let Some(append) = self.append_due(index, view, now)
            {
                appends += 1;
                effects.push(append);
            }
        }
        effects
    }

    fn shard_mut(&mut self, shard: ShardId) -> Option<&mut Shard> {
        self.shards.get_mut(usize::from(shard.0))
    }

    fn local_period(&self, shard: &Shard) -> Option<LeasePeriod> {
        let Role::Claimant(claimant) = &shard.role else {
            return None;
        };
        let from = claimant.active_from?;
        Some(LeasePeriod {
            from,
            unfenced_from: from + self.settings.max_request_time,
            until: claimant.valid_until,
        })
    }

    /// Counts voters whose VM was removed as confirmations of a takeover, because they can't grant votes any
    /// more.
    ///
    /// Otherwise, a shard would never get a holder again if most of its voters were replaced while its holder
    /// was disconnected from the log.
    fn confirm_removed_voters(&mut self, index: usize, view: &View, now: Timestamp) {
        let Role::Claimant(claimant) = &mut self.shards[index].role else {
            return;
        };
        let Some(takeover) = &claimant.takeover else {
            return;
        };
        if claimant.active_from.is_some() {
            return;
        }
        let gone = |voter: &&NodeId| view.state(voter) == Some(NodeState::Gone);
        let gone: Vec<NodeId> = takeover.voters.iter().filter(gone).cloned().collect();
        for voter in gone {
            claimant.on_confirmation(&voter, &self.settings, now);
        }
    }

    /// Emits the vote requests that are due, and answers those to this node itself.
    fn request_votes(&mut self, index: usize, now: Timestamp, effects: &mut Vec<Effect>) {
        let requests = self.shards[index].due_vote_requests(&self.settings, now);
        let Some(vote) = requests.vote else {
            return;
        };
        for to in requests.voters {
            if to != self.local.node {
                effects.push(Effect::RequestVote {
                    to,
                    vote: vote.clone(),
                });
                continue;
            }
            let granted = self.answer(&vote, &to);
            let answer = VoteAnswer {
                voter: to,
                vote: vote.clone(),
                granted,
            };
            self.on_vote(&answer, now);
        }
    }

    /// Emits one effect when a lease becomes active and one when it has expired.
    fn emit_transition(&mut self, index: usize, now: Timestamp, effects: &mut Vec<Effect>) {
        let shard = ShardId(u16::try_from(index).expect("made from a u16"));
        let is_active = self.may_act(shard, now).is_some();
        let Role::Claimant(claimant) = &mut self.shards[index].role else {
            return;
        };
        let epoch = claimant.epoch;
        if is_active == claimant.announced {
            return;
        }
        claimant.announced = is_active;
        effects.push(if is_active {
            Effect::Acquired { shard, epoch }
        } else {
            Effect::Lost { shard, epoch }
        });
    }

    /// Returns the append that is due for a shard, if any.
    fn append_due(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        if !self.is_log_available(now) {
            return None;
        }
        let shard = &self.shards[index];
        let retry_at = shard
            .last_append_at
            .map(|at| at + self.settings.append_retry);
        if retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        let effect = match &shard.role {
            Role::None if self.should_claim(id, shard, view, now) => {
                Effect::AppendClaim(self.draft(id, shard, view))
            }
            Role::None => return None,
            Role::Releasing { since } if now < *since + self.settings.vote_interval => return None,
            Role::Releasing { .. } => Effect::AppendRelease(ReleaseRecord {
                shard: id,
                epoch: shard.epoch()?,
            }),
            Role::Claimant(_) => return self.maintain_or_release(index, view, now),
        };
        self.record_append(index, effect, now)
    }

    /// Records an append and returns its effect.
    fn record_append(&mut self, index: usize, effect: Effect, now: Timestamp) -> Option<Effect> {
        let shard = &mut self.shards[index];
        shard.last_append_at = Some(now);
        if matches!(effect, Effect::AppendClaim(_)) {
            shard.pending_claims += 1;
        }
        Some(effect)
    }

    /// Replaces the voters or starts the handover of a shard for which this node acts.
    fn maintain_or_release(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        self.may_act(id, now)?;
        if self.pinned.contains(&id) {
            return None;
        }
        if self.shards[index].pending_claims > 0 {
            return self.retry_voter_change(index, view, now);
        }
        if self.should_release(index, view, now) {
            self.shards[index].role = Role::Releasing { since: now };
            return None;
        }
        let shard = &self.shards[index];
        let voters = &shard.lease.as_ref()?.voters;
        let has_lost_voter = voters.iter().any(|voter| !is_live(view, voter));
        if !has_lost_voter && voters.len() >= MAX_VOTERS {
            return None;
        }
        let chosen = choose_voters(id, view);
        if (!has_lost_voter && voters.len() >= chosen.len()) || chosen == *voters {
            return None;
        }
        let effect = Effect::AppendClaim(self.draft(id, shard, view));
        self.record_append(index, effect, now)
    }

    fn retry_voter_change(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        let effect = Effect::AppendClaim(self.draft(id, &self.shards[index], view));
        self.record_append(index, effect, now)
    }

    /// Drafts a claim for a shard.
    ///
    /// A takeover keeps the voters of the previous lease, because the old holder may still act on their
    /// votes. If a claimant replaced the voters and then failed before it acted, the next claimant would
    /// request votes from the new voters only, and could act at the same time as the old holder.
    fn draft(&self, id: ShardId, shard: &Shard, view: &View) -> ClaimDraft {
        let is_claimant = matches!(shard.role, Role::Claimant(_));
        #[cfg(test)]
        let is_claimant =
            is_claimant || self.settings.mutant == Some(crate::settings::Mutant::ReplacesVoters);
        let voters = match &shard.lease {
            Some(lease) if !is_claimant && !lease.released => lease.voters.clone(),
            _ => choose_voters(id, view),
        };
        ClaimDraft {
            shard: id,
            builds_on: shard.epoch(),
            voters,
        }
    }

    fn should_claim(&self, id: ShardId, shard: &Shard, view: &View, now: Timestamp) -> bool {
        if self.is_leaving || self.desired.get(&id) != Some(&self.local.node) {
            return false;
        }
        if now < self.started_at + self.settings.startup_delay {
            return false;
        }
        let Some(lease) = &shard.lease else {
            return true;
        };
        lease.released || self.is_holder_down(&lease.holder, view, now)
    }

    fn is_holder_down(&self, holder: &Holder, view: &View, now: Timestamp) -> bool {
        // A checkpoint can contain a claim of this node for which it never started the takeover wait.
        if *holder == self.local {
            return true;
        }
        let Some(node) = view.nodes.get(&holder.node) else {
            return now >= self.started_at + self.settings.unknown_holder_delay;
        };
        if node.incarnation > holder.incarnation {
            return true;
        }
        matches!(node.state, NodeState::Suspected | NodeState::Gone)
    }

    fn should_release(&mut self, index: usize, view: &View, now: Timestamp) -> bool {
        if self.is_leaving {
            return true;
        }
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        let has_preferred_owner = self
            .desired
            .get(&id)
            .is_some_and(|node| *node != self.local.node && is_live(view, node));
        let shard = &mut self.shards[index];
        if !has_preferred_owner {
            shard.preferred_owner_since = None;
            return false;
        }
        let since = *shard.preferred_owner_since.get_or_insert(now);
        now >= since + self.settings.handover_delay
    }

    /// Returns whether the log was read recently, so that an append is likely to succeed.
    fn is_log_available(&self, now: Timestamp) -> bool {
        self.last_tail_read_at
            .is_some_and(|seen| now < seen + self.settings.length)
    }
}

fn is_live(view: &View, node: &NodeId) -> bool {
    view.state(node) == Some(NodeState::Live)
}
