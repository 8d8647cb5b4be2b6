//! The leases of all shards as one node sees and holds them.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Epoch, NodeId, ShardId, Timestamp};

use crate::balance::desired_owners;
use crate::owners::{OwnSpan, Owner, Owners};
use crate::record::{ClaimDraft, ClaimSeen, Effect, Holder, LeaseSeen, ReleaseSeen, Verdict};
use crate::settings::{LeaseSettings, LeaseSettingsError};
use crate::shard::{Role, Shard};
use crate::view::{NodeState, View};
use crate::vote::{Vote, VoteAnswer};
use crate::voters::{MAX_VOTERS, choose_voters};

/// The leases of all shards as one node sees and holds them.
///
/// Feed it the records in log order, each tail read that was applied to its end, votes and the
/// view; call [`Self::tick`] a few times a second and carry out the effects. Publish
/// [`Self::owners`] to other threads before carrying them out.
#[derive(Debug)]
pub struct Leases {
    me: Holder,
    settings: LeaseSettings,
    shards: Vec<Shard>,
    started: Timestamp,
    /// Whether this life of the node has read the log's tail.
    settled: bool,
    /// When the last tail read ended.
    tail_seen: Option<Timestamp>,
    leaving: bool,
    pinned: IndexSet<ShardId>,
    desired_for: View,
    desired: IndexMap<ShardId, NodeId>,
}

impl Leases {
    /// Makes the state of a node that has just started.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the settings break.
    pub fn new(
        me: Holder,
        shards: u16,
        settings: LeaseSettings,
        now: Timestamp,
    ) -> Result<Self, LeaseSettingsError> {
        settings.check()?;
        Ok(Self {
            me,
            settings,
            shards: (0..shards).map(|id| Shard::new(ShardId(id))).collect(),
            started: now,
            settled: false,
            tail_seen: None,
            leaving: false,
            pinned: IndexSet::new(),
            desired_for: View::default(),
            desired: IndexMap::new(),
        })
    }

    /// Takes a lease from a checkpoint or from peers' state; older ones than known are ignored.
    pub fn install(&mut self, lease: LeaseSeen) {
        if let Some(shard) = self.shard_mut(lease.shard) {
            shard.install(lease);
        }
    }

    /// Applies a claim record; records must come in log order.
    pub fn on_claim(&mut self, claim: &ClaimSeen, now: Timestamp) -> Verdict {
        let (me, settings) = (self.me.clone(), self.settings);
        match self.shard_mut(claim.shard) {
            Some(shard) => shard.apply_claim(claim, &me, &settings, now),
            None => Verdict::Past,
        }
    }

    /// Applies a release record; records must come in log order.
    pub fn on_release(&mut self, release: ReleaseSeen) {
        if let Some(shard) = self.shard_mut(release.shard) {
            shard.apply_release(release);
        }
    }

    /// Renews all held leases: a read of the log that began at `begun` reached the tail, and all
    /// that it showed was applied.
    ///
    /// Records passed on by peers don't count, as a peer's tail may be old.
    pub fn on_tail(&mut self, begun: Timestamp, now: Timestamp) {
        self.settled = true;
        self.tail_seen = Some(now);
        for shard in &mut self.shards {
            shard.renew_by_read(begun, &self.settings);
        }
    }

    /// Answers another node's question to this node as a voter.
    #[must_use]
    pub fn answer(&self, vote: &Vote, asker: &NodeId) -> bool {
        let settled = self.settled;
        #[cfg(test)]
        let settled =
            settled || self.settings.mutant == Some(crate::settings::Mutant::ForgetfulVoter);
        let shard = self.shards.get(usize::from(vote.shard.0));
        shard.is_some_and(|shard| shard.answer(vote, asker, settled))
    }

    /// Takes a voter's answer.
    pub fn on_vote(&mut self, answer: &VoteAnswer, now: Timestamp) {
        let settings = self.settings;
        if let Some(shard) = self.shard_mut(answer.vote.shard) {
            shard.on_vote(answer, &settings, now);
        }
    }

    /// Takes note that a claim of this node is being appended that no effect of [`Self::tick`] asked
    /// for.
    ///
    /// Until its verdict is read, a holder doesn't extend by its voters: a claimant that read the
    /// claim asks only those that it names.
    pub fn claim_sent(&mut self, shard: ShardId, now: Timestamp) {
        if let Some(shard) = self.shard_mut(shard) {
            shard.undecided += 1;
            shard.appended_at = Some(now);
        }
    }

    /// Takes note that the log refused one of this node's claims without appending it.
    ///
    /// Only a certain refusal counts. After a lost answer the claim may stand in the log.
    pub fn append_refused(&mut self, shard: ShardId) {
        if let Some(shard) = self.shard_mut(shard) {
            shard.undecided = shard.undecided.saturating_sub(1);
        }
    }

    /// Notes that this node is about to claim a shard that it holds once more, with other voters.
    ///
    /// Returns whether it may. Until the verdict is read it doesn't extend by the old voters, since
    /// a claimant that has seen the record asks only the new ones.
    pub fn begin_voter_change(&mut self, shard: ShardId, now: Timestamp) -> bool {
        if self.may_act(shard, now).is_none() {
            return false;
        }
        let Some(shard) = self.shard_mut(shard) else {
            return false;
        };
        shard.appended_at = Some(now);
        shard.undecided += 1;
        true
    }

    /// Names the shards whose leases must stay as they are, since duties under them are under way.
    ///
    /// They are neither handed over nor given new voters until they are no longer named.
    pub fn pin(&mut self, shards: IndexSet<ShardId>) {
        self.pinned = shards;
    }

    /// Returns whether the newest claim of a shard is this node's.
    #[must_use]
    pub fn is_claimant(&self, shard: ShardId) -> bool {
        let shard = self.shards.get(usize::from(shard.0));
        shard.is_some_and(|shard| matches!(shard.role, Role::Claimant(_)))
    }

    /// Begins to hand over all shards because this node is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this node has handed over or lost all that it held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| matches!(shard.role, Role::None))
    }

    /// Returns the epoch under which this node may act for a shard right now.
    #[must_use]
    pub fn may_act(&self, shard: ShardId, now: Timestamp) -> Option<Epoch> {
        let shard = self.shards.get(usize::from(shard.0))?;
        let own = self.own_span(shard)?;
        if now < own.from || own.until <= now {
            return None;
        }
        shard.epoch()
    }

    /// Returns a snapshot of all owners for other threads.
    #[must_use]
    pub fn owners(&self) -> Owners {
        let mut owners = Owners::default();
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
                own: self.own_span(shard),
            };
            owners.shards.insert(lease.shard, owner);
        }
        owners
    }

    /// Returns the shards for which this node may act right now.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> Vec<ShardId> {
        let ids = (0..self.shards.len()).filter_map(|id| u16::try_from(id).ok());
        ids.map(ShardId)
            .filter(|id| self.may_act(*id, now).is_some())
            .collect()
    }

    /// Does what is due at `now`, given what the node believes about the others.
    pub fn tick(&mut self, view: &View, now: Timestamp) -> Vec<Effect> {
        if self.desired.is_empty() || *view != self.desired_for {
            let shards = u16::try_from(self.shards.len()).expect("made from a u16");
            self.desired = desired_owners(shards, view);
            self.desired_for = view.clone();
        }
        let mut effects = Vec::new();
        let mut appends = 0;
        for index in 0..self.shards.len() {
            self.count_gone_voters(index, view, now);
            self.ask(index, now, &mut effects);
            self.announce(index, now, &mut effects);
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

    fn own_span(&self, shard: &Shard) -> Option<OwnSpan> {
        let Role::Claimant(own) = &shard.role else {
            return None;
        };
        let from = own.acts_from?;
        Some(OwnSpan {
            from,
            unchecked_from: from + self.settings.order_limit,
            until: own.until,
        })
    }

    /// A voter whose VM is gone promises nothing any more.
    ///
    /// Without this, a shard whose voters were mostly replaced while its holder was cut off from
    /// the log would never get a holder again.
    fn count_gone_voters(&mut self, index: usize, view: &View, now: Timestamp) {
        let Role::Claimant(own) = &mut self.shards[index].role else {
            return;
        };
        let Some(takeover) = &own.takeover else {
            return;
        };
        if own.acts_from.is_some() {
            return;
        }
        let gone = |voter: &&NodeId| view.state(voter) == Some(NodeState::Gone);
        let gone: Vec<NodeId> = takeover.voters.iter().filter(gone).cloned().collect();
        for voter in gone {
            own.on_applied(&voter, &self.settings, now);
        }
    }

    fn ask(&mut self, index: usize, now: Timestamp, effects: &mut Vec<Effect>) {
        let questions = self.shards[index].questions(&self.settings, now);
        let Some(vote) = questions.vote else {
            return;
        };
        for to in questions.to {
            if to != self.me.node {
                effects.push(Effect::AskVote {
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

    /// Tells once when a lease begins to hold and once when it has lapsed.
    fn announce(&mut self, index: usize, now: Timestamp, effects: &mut Vec<Effect>) {
        let shard = ShardId(u16::try_from(index).expect("made from a u16"));
        let acting = self.may_act(shard, now).is_some();
        let Role::Claimant(own) = &mut self.shards[index].role else {
            return;
        };
        let epoch = own.epoch;
        if acting == own.announced {
            return;
        }
        own.announced = acting;
        effects.push(if acting {
            Effect::Acquired { shard, epoch }
        } else {
            Effect::Lost { shard, epoch }
        });
    }

    /// Returns the record that this node should append for a shard now, if any.
    fn append_due(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        if !self.log_is_up(now) {
            return None;
        }
        let shard = &self.shards[index];
        let retry_at = shard.appended_at.map(|at| at + self.settings.append_retry);
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
            Role::Releasing { .. } => Effect::AppendRelease(ReleaseSeen {
                shard: id,
                epoch: shard.epoch()?,
            }),
            Role::Claimant(_) => return self.keep_or_release(index, view, now),
        };
        self.sent(index, effect, now)
    }

    fn sent(&mut self, index: usize, effect: Effect, now: Timestamp) -> Option<Effect> {
        let shard = &mut self.shards[index];
        shard.appended_at = Some(now);
        if matches!(effect, Effect::AppendClaim(_)) {
            shard.undecided += 1;
        }
        Some(effect)
    }

    /// Changes voters or begins a hand-over for a shard that this node acts for.
    fn keep_or_release(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        self.may_act(id, now)?;
        if self.pinned.contains(&id) {
            return None;
        }
        if self.shards[index].undecided > 0 {
            return self.retry_voter_change(index, view, now);
        }
        if self.should_release(index, view, now) {
            self.shards[index].role = Role::Releasing { since: now };
            return None;
        }
        let shard = &self.shards[index];
        let voters = &shard.lease.as_ref()?.voters;
        let lost = voters.iter().any(|voter| !is_live(view, voter));
        if !lost && voters.len() >= MAX_VOTERS {
            return None;
        }
        let chosen = choose_voters(id, view);
        if (!lost && voters.len() >= chosen.len()) || chosen == *voters {
            return None;
        }
        let effect = Effect::AppendClaim(self.draft(id, shard, view));
        self.sent(index, effect, now)
    }

    fn retry_voter_change(&mut self, index: usize, view: &View, now: Timestamp) -> Option<Effect> {
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        let effect = Effect::AppendClaim(self.draft(id, &self.shards[index], view));
        self.sent(index, effect, now)
    }

    /// Drafts a claim on a shard.
    ///
    /// A claim that takes over keeps the voters of the lease before it. The old holder may still be
    /// acting on their promises; were the voters replaced by a claimant that never came to act, the
    /// next claimant would ask the new ones and act beside that holder.
    fn draft(&self, id: ShardId, shard: &Shard, view: &View) -> ClaimDraft {
        let own = matches!(shard.role, Role::Claimant(_));
        #[cfg(test)]
        let own = own || self.settings.mutant == Some(crate::settings::Mutant::NewVoters);
        let voters = match &shard.lease {
            Some(lease) if !own && !lease.released => lease.voters.clone(),
            _ => choose_voters(id, view),
        };
        ClaimDraft {
            shard: id,
            builds_on: shard.epoch(),
            voters,
        }
    }

    fn should_claim(&self, id: ShardId, shard: &Shard, view: &View, now: Timestamp) -> bool {
        if self.leaving || self.desired.get(&id) != Some(&self.me.node) {
            return false;
        }
        if now < self.started + self.settings.start_hold {
            return false;
        }
        let Some(lease) = &shard.lease else {
            return true;
        };
        lease.released || self.holder_is_down(&lease.holder, view, now)
    }

    fn holder_is_down(&self, holder: &Holder, view: &View, now: Timestamp) -> bool {
        // A checkpoint can show a claim of this node whose wait it never began.
        if *holder == self.me {
            return true;
        }
        let Some(node) = view.nodes.get(&holder.node) else {
            return now >= self.started + self.settings.unheard_hold;
        };
        if node.incarnation > holder.incarnation {
            return true;
        }
        matches!(node.state, NodeState::Suspected | NodeState::Gone)
    }

    fn should_release(&mut self, index: usize, view: &View, now: Timestamp) -> bool {
        if self.leaving {
            return true;
        }
        let id = ShardId(u16::try_from(index).expect("made from a u16"));
        let better = self
            .desired
            .get(&id)
            .is_some_and(|node| *node != self.me.node && is_live(view, node));
        let shard = &mut self.shards[index];
        if !better {
            shard.better_owner_since = None;
            return false;
        }
        let since = *shard.better_owner_since.get_or_insert(now);
        now >= since + self.settings.handover_hold
    }

    /// Returns whether the log was read lately, so that an append is likely to be taken.
    fn log_is_up(&self, now: Timestamp) -> bool {
        self.tail_seen
            .is_some_and(|seen| now < seen + self.settings.length)
    }
}

fn is_live(view: &View, node: &NodeId) -> bool {
    view.state(node) == Some(NodeState::Live)
}
