//! Claiming a shard, hearing its last owner's voters, and giving shards up on leave.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_actions::{IntentRecovery, Owner, OwnerConfig, VoterId, VoterReply};
use sesamecart_fold::{ActionIntent, LeaseRecord, Record, State};
use sesamecart_lease::choose_voters;
use sesamecart_links::message::FetchMirrorsRequest;
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::{Epoch, NodeId, Offset, SHARD_COUNT, ShardId, Timestamp};

use super::commit::intents_of;
use super::desk::Desk;

/// How long a claim may take to be appended and read back.
const CLAIM_LIMIT: Duration = Duration::from_secs(1);
/// The fewest voters of a claim; with less, no outage could be borne.
const FEWEST_VOTERS: usize = 3;
/// How long after its start a node waits for the list of nodes before it claims with fewer voters.
const START_HOLD: Duration = Duration::from_secs(3);
/// The shards that one tick looks at, so that many nodes don't make a tick long.
const SHARDS_PER_TICK: u16 = 8;
/// How long one voter may take to tell what it keeps.
const GATHER_CALL_LIMIT: Duration = Duration::from_millis(400);
/// The time between two rounds of questions to the last owner's voters.
const GATHER_REST: Duration = Duration::from_millis(100);

impl Desk {
    /// Claims a shard that nobody holds, in the background.
    ///
    /// Two nodes may do so at once; the fold lets the first claim win.
    pub(super) fn take_over(self: &Arc<Self>, shard: ShardId) {
        if !self.directory.hears_most(self.now()) {
            return;
        }
        let mut state = self.lock();
        let held = state.owners.contains_key(&shard);
        if state.leaving || held || !state.taking_over.insert(shard) {
            return;
        }
        drop(state);
        let desk = Arc::clone(self);
        self.tasks.spawn(async move {
            if let Err(error) = desk.claim(shard).await {
                log::info!("actions: shard {shard} can't be claimed: {error}.");
            }
            desk.lock().taking_over.swap_remove(&shard);
        });
    }

    /// Claims the next shards that nobody holds and this node should.
    ///
    /// No claim can be made while the log is out, so a shard that was only claimed when the first
    /// key came would refuse every key in an outage.
    pub(super) fn claim_free(self: &Arc<Self>) {
        let ready = self.shared.folded.log_answers() && self.shared.unready_because().is_none();
        if !ready {
            return;
        }
        let first = self.next_free.fetch_add(SHARDS_PER_TICK, Ordering::Relaxed) % SHARD_COUNT;
        for shard in (first..SHARD_COUNT).take(usize::from(SHARDS_PER_TICK)) {
            if self.is_to_take(ShardId(shard)) {
                self.take_over(ShardId(shard));
            }
        }
    }

    async fn claim(&self, shard: ShardId) -> anyhow::Result<()> {
        let now = self.now();
        let last = self.folded().with(|fold| fold.leases.get(&shard).cloned());
        let voters = self.voters_of_claim(shard, last.as_ref());
        if voters.len() < FEWEST_VOTERS && now < Timestamp::ZERO + START_HOLD {
            return Ok(());
        }
        let record = Record::Claim {
            shard,
            holder: self.shared.identity.node.clone(),
            incarnation: self.shared.identity.incarnation,
            builds_on: last.as_ref().map(|lease| lease.epoch),
            voters,
        };
        let appended = async {
            let offset = self.append_claim(shard, &record).await?;
            self.folded().applied(offset).await;
            Ok::<_, anyhow::Error>(offset)
        };
        let offset = match with_timeout(CLAIM_LIMIT, appended).await {
            Ok(offset) => offset?,
            Err(elapsed) => return Err(elapsed.into()),
        };
        let epoch = Epoch(offset.0);
        if self.folded().with(|fold| fold.epoch(shard)) != Some(epoch) {
            return Ok(());
        }
        log::info!("actions: shard {shard} is owned here under epoch {epoch}.");
        let owner = Owner::new(shard, epoch, OwnerConfig::default());
        self.lock().owners.insert(shard, owner);
        self.gather(shard, epoch, last).await;
        Ok(())
    }

    /// Appends a claim, and lets the leases know that its verdict is open.
    pub(super) async fn append_claim(
        &self,
        shard: ShardId,
        record: &Record,
    ) -> anyhow::Result<Offset> {
        self.shared.duties.claim_sent(shard, self.now());
        let appended = self.log.append(record.encode().into()).await;
        let appended = appended.map_err(anyhow::Error::from);
        if let Err(error) = &appended {
            self.shared.duties.claim_failed(shard, error);
        }
        appended
    }

    /// Returns the voters that a claim names.
    ///
    /// A claim that takes over keeps those of the lease before: its holder may still act on their
    /// promises, and they keep its intents. Were they replaced by a claimant that comes to nothing,
    /// the next one would ask others and know of neither. Only a lease that was released, or that
    /// this node itself has in effect, gets fresh ones.
    fn voters_of_claim(&self, shard: ShardId, last: Option<&LeaseRecord>) -> Vec<NodeId> {
        let now = self.now();
        let in_effect = self.shared.duties.owners().may_act(shard, now);
        match last {
            Some(lease) if !lease.released && in_effect != Some(lease.epoch) => {
                lease.voters.clone()
            }
            _ => choose_voters(shard, &self.directory.view(now)),
        }
    }

    /// Returns the shards whose keyed actions don't allow that their lease changes.
    pub(crate) fn busy_shards(&self) -> IndexSet<ShardId> {
        let state = self.lock();
        let backlog = state.commit.backlog() > 0;
        let busy = state
            .owners
            .iter()
            .filter(|(_, owner)| backlog || owner.in_flight_count() > 0 || owner.is_recovering());
        busy.map(|(shard, _)| *shard).collect()
    }

    /// Asks the last owner's voters until every intent that a majority kept is known.
    ///
    /// A lease that was given up needs no asking: its owner had nothing left that wasn't in the log.
    async fn gather(&self, shard: ShardId, epoch: Epoch, last: Option<LeaseRecord>) {
        let last = last.filter(|lease| !lease.released);
        let mut gather = match last {
            Some(lease) => IntentRecovery::new(lease.epoch, lease.voters),
            None => IntentRecovery::new(Epoch(0), []),
        };
        loop {
            if let Some(intents) = gather.recovered_intents() {
                self.adopt(shard, intents);
                return;
            }
            let unheard: Vec<_> = gather.pending_voters().cloned().collect();
            let asked = unheard
                .iter()
                .map(|voter| self.ask_voter(voter, shard, epoch));
            for (voter, told) in unheard.iter().zip(join_all(asked).await) {
                if let Some(told) = told {
                    gather.record_reply(voter, told);
                }
            }
            if !self.still_owns(shard) {
                return;
            }
            if gather.recovered_intents().is_none() {
                sleep(GATHER_REST).await;
            }
        }
    }

    fn still_owns(&self, shard: ShardId) -> bool {
        let mut state = self.lock();
        self.owns(&mut state, shard)
    }

    /// Begins to decide, with what the last owner's voters kept.
    ///
    /// A node that started from a checkpoint doesn't know the keyed actions before it; it refuses
    /// keys that it never heard of, since one of them may have run.
    fn adopt(&self, shard: ShardId, intents: Vec<ActionIntent>) {
        let complete = self.folded().with(State::has_all_actions);
        if !complete {
            log::warn!("actions: shard {shard} refuses new keys, since older ones aren't known.");
        }
        {
            let mut state = self.lock();
            if self.owns(&mut state, shard) {
                self.with_owner(&mut state, shard, |owner, known, out| {
                    owner.complete_takeover(known, intents, complete, out);
                });
            }
        }
        self.wake();
    }

    async fn ask_voter(&self, voter: &VoterId, shard: ShardId, epoch: Epoch) -> Option<VoterReply> {
        let req = FetchMirrorsRequest {
            shard: u32::from(shard.0),
            epoch: epoch.0,
        };
        let reply = if *voter == self.shared.identity.node {
            self.tell_mirrors(&req)
        } else {
            let mut client = self.peers.links().to(self.directory.address(voter)?);
            let reply = with_timeout(GATHER_CALL_LIMIT, client.fetch_mirrors(req)).await;
            reply.ok()?.ok()?.into_inner()
        };
        if !reply.applied {
            return None;
        }
        let envelope = Record::decode(&reply.record).ok()?;
        let Record::ActionBatch { parts } = envelope.record else {
            return None;
        };
        Some(VoterReply {
            log_tail_at_start: Offset(reply.settled_from),
            intents: intents_of(&parts).cloned().collect(),
        })
    }

    /// Ends all work on shards, once nothing of them is under way or missing in the log.
    ///
    /// Returns whether that was so within the limit; without it the next owners ask the voters.
    pub(crate) async fn leave(&self, limit: Duration) -> bool {
        let settled = with_timeout(limit, async {
            while self.untold() > 0 {
                sleep(GATHER_REST).await;
            }
            self.lock().leaving = true;
            while !self.is_settled() {
                sleep(GATHER_REST).await;
            }
        });
        let settled = settled.await.is_ok();
        self.lock().leaving = true;
        if !settled {
            log::warn!("actions: the node leaves with keyed actions under way.");
            return false;
        }
        // The leases' part of the node releases them, as it knows which are in effect.
        self.lock().owners.clear();
        true
    }

    fn is_settled(&self) -> bool {
        let state = self.lock();
        state.commit.backlog() == 0
            && state
                .owners
                .values()
                .all(|owner| owner.in_flight_count() == 0)
    }
}
