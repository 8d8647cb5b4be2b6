//! Carries out the group commit: appends to the log, and copies to voters while it is out.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use sesamecart_actions::{CommitStep, IntentStatus, LogBatch, MirrorBatch, intent_status};
use sesamecart_fold::{ActionIntent, ActionPart, LeaseRecord, Record};
use sesamecart_links::message::MirrorIntentRequest;
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::NodeId;

use super::desk::Desk;

/// How long an append, with its reading back, may take before the voters are asked instead.
///
/// A log that is out may be silent; each caller whose intent was on its way waits this long.
const APPEND_LIMIT: Duration = Duration::from_millis(400);

/// How long one voter may take to keep an intent.
const MIRROR_LIMIT: Duration = Duration::from_millis(300);

/// The time between two looks at what is overdue.
const TICK: Duration = Duration::from_millis(50);

impl Desk {
    /// Runs the commit loop and the ticks until the control thread stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticked = self.now();
        loop {
            let wait = self.step();
            future::or(sleep(wait), async {
                let _woken = self.woken.recv().await;
            })
            .await;
            let now = self.now();
            if now >= ticked + TICK {
                ticked = now;
                self.tick();
                self.claim_free();
            }
        }
    }

    /// Starts all that is due and returns how long to wait.
    fn step(self: &Arc<Self>) -> Duration {
        loop {
            let now = self.now();
            let step = self.lock().commit.step(now);
            match step {
                CommitStep::Append(batch) => self.tasks.spawn(Arc::clone(self).append(batch)),
                CommitStep::Mirror(batch) => self.tasks.spawn(Arc::clone(self).mirror(batch)),
                CommitStep::WaitUntil(at) => return (at - now).min(TICK),
                CommitStep::Idle => return TICK,
            }
        }
    }

    async fn append(self: Arc<Self>, batch: LogBatch) {
        let intents: Vec<_> = intents_of(&batch.parts).cloned().collect();
        let record = Record::ActionBatch { parts: batch.parts }.encode();
        let read_back = async {
            let offset = self.log.append(record.into()).await?;
            self.folded().applied(offset).await;
            Ok::<_, anyhow::Error>(())
        };
        let done = match with_timeout(APPEND_LIMIT, read_back).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::debug!("actions: {error}.");
                self.all_stand(&intents)
            }
            Err(_) => self.all_stand(&intents),
        };
        self.note_logged(batch.id, done);
        self.wake();
    }

    fn note_logged(&self, id: u64, done: bool) {
        let now = self.now();
        let mut state = self.lock();
        let was_out = state.commit.is_log_unavailable();
        let durable = state.commit.finish_append(now, id, done);
        if was_out == done {
            let what = if done { "answers again" } else { "is out" };
            log::warn!("actions: the log {what}.");
        }
        self.committed(&mut state, &durable);
    }

    fn note_mirrored(&self, id: u64, kept: bool) {
        let mut state = self.lock();
        let durable = state.commit.finish_mirror(id, kept);
        self.committed(&mut state, &durable);
    }

    /// Returns whether the follower has read every intent back, though the answer was lost.
    fn all_stand(&self, intents: &[ActionIntent]) -> bool {
        let stands = |intent| {
            self.folded()
                .with(|fold| intent_status(&fold.actions, intent) == IntentStatus::Accepted)
        };
        !intents.is_empty() && intents.iter().all(stands)
    }

    /// Copies intents to the shard's voters.
    ///
    /// A majority must keep them, so that the next owner, which asks a majority, hears of them. At
    /// least one must be in another failure domain, whose loss would otherwise take all copies.
    async fn mirror(self: Arc<Self>, batch: MirrorBatch) {
        let lease = self
            .folded()
            .with(|fold| fold.leases.get(&batch.shard).cloned());
        let lease = lease.filter(|lease| lease.epoch == batch.epoch && !lease.released);
        // A claim for fresh voters may be in the log: its successor would ask only those.
        let renewing = self.lock().renewing.contains(&batch.shard);
        let kept = match lease {
            Some(lease) if !renewing => self.copy_to_voters(&batch, &lease).await,
            Some(_) | None => false,
        };
        self.note_mirrored(batch.id, kept);
        self.wake();
    }

    async fn copy_to_voters(&self, batch: &MirrorBatch, lease: &LeaseRecord) -> bool {
        let record = Record::ActionBatch {
            parts: vec![ActionPart {
                shard: batch.shard,
                epoch: batch.epoch,
                outcomes: Vec::new(),
                intents: batch.intents.clone(),
            }],
        };
        let req = MirrorIntentRequest {
            shard: u32::from(batch.shard.0),
            epoch: batch.epoch.0,
            holder: self.shared.identity.node.to_string(),
            record: record.encode(),
        };
        let copies = lease
            .voters
            .iter()
            .map(|voter| self.copy_to(voter, req.clone()));
        let kept = join_all(copies).await;
        let keepers = || kept.iter().zip(&lease.voters).filter(|(kept, _)| **kept);
        let elsewhere = keepers().any(|(_, voter)| self.directory.is_elsewhere(voter));
        keepers().count() > lease.voters.len() / 2 && elsewhere
    }

    async fn copy_to(&self, voter: &NodeId, req: MirrorIntentRequest) -> bool {
        if *voter == self.shared.identity.node {
            return self.keep(&req);
        }
        let Some(address) = self.directory.address(voter) else {
            return false;
        };
        let mut client = self.peers.links().to(address);
        let reply = with_timeout(MIRROR_LIMIT, client.mirror_intent(req)).await;
        matches!(reply, Ok(Ok(reply)) if reply.get_ref().kept)
    }
}

/// Returns the intents of a batch.
pub(super) fn intents_of(parts: &[ActionPart]) -> impl Iterator<Item = &ActionIntent> {
    parts.iter().flat_map(|part| &part.intents)
}
