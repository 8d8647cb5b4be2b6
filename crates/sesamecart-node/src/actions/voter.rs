//! This node's side as a voter of other nodes' shards.

use sesamecart_fold::{ActionPart, Record};
use sesamecart_links::message::{FetchMirrorsReply, FetchMirrorsRequest, MirrorIntentRequest};
use sesamecart_vocabulary::{Epoch, ShardId};

use super::commit::intents_of;
use super::desk::Desk;

fn shard(number: u32) -> Option<ShardId> {
    u16::try_from(number).ok().map(ShardId)
}

impl Desk {
    /// Keeps another node's intents while the log is out, and returns whether it did.
    pub(crate) fn keep(&self, req: &MirrorIntentRequest) -> bool {
        let Some(shard) = shard(req.shard) else {
            return false;
        };
        let Ok(envelope) = Record::decode(&req.record) else {
            return false;
        };
        let Record::ActionBatch { parts } = envelope.record else {
            return false;
        };
        let intents: Vec<_> = intents_of(&parts).cloned().collect();
        let mut state = self.lock();
        if let Some(offset) = self.folded().settled_from() {
            state.mirrors.settle(offset);
        }
        let in_force = self.in_force(shard);
        state
            .mirrors
            .store(shard, Epoch(req.epoch), in_force, &intents)
    }

    /// Tells a claimant what earlier owners left here, once this node has applied its claim.
    pub(crate) fn tell_mirrors(&self, req: &FetchMirrorsRequest) -> FetchMirrorsReply {
        let Some(shard) = shard(req.shard) else {
            return FetchMirrorsReply::default();
        };
        let state = self.lock();
        let claim = Epoch(req.epoch);
        let Some(gathered) = state
            .mirrors
            .reply_to_claim(shard, claim, self.in_force(shard))
        else {
            return FetchMirrorsReply::default();
        };
        let part = ActionPart {
            shard,
            epoch: claim,
            outcomes: Vec::new(),
            intents: gathered.intents,
        };
        FetchMirrorsReply {
            applied: true,
            settled_from: gathered.log_tail_at_start.0,
            record: Record::ActionBatch { parts: vec![part] }.encode(),
        }
    }

    fn in_force(&self, shard: ShardId) -> Option<Epoch> {
        self.folded().with(|fold| fold.epoch(shard))
    }
}
