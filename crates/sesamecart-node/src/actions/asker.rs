//! This node's side as the one that asks: it finds a key's owner and tells it how the try ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamecart_actions::{AttemptRequest, Decision, RefusalReason};
use sesamecart_links::message::{
    BeginActionReply, BeginActionRequest, FinishActionReply, FinishActionRequest, HeartbeatRequest,
};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::{NodeId, ShardId, Timestamp};

use super::desk::{Desk, shard_of};
use super::wire::{self, Ending};

/// How long a request waits for its key's shard to get an owner.
const OWNER_LIMIT: Duration = Duration::from_secs(8);
/// The time between two looks for the owner.
const OWNER_REST: Duration = Duration::from_millis(25);
/// How long the owner may take for one call; it is above the time that the owner gives itself.
const CALL_LIMIT: Duration = Duration::from_millis(1_900);
/// How long a node may take to say that it is alive.
const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// The first and the longest time between two tries to tell an end.
const TELL_RESTS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The most ends that wait to be told; beyond it a request tells its own before it answers.
const MAX_UNTOLD: usize = 4_096;

/// What became of an asking.
#[derive(Clone, Debug)]
pub(crate) enum Asked {
    /// The owner decided.
    Decided(Decision),
    /// No owner could be reached in time, so nothing is known of the key.
    NoOwner,
}

/// Where a shard's owner is.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Place {
    Here,
    There(NodeId),
    /// Nobody holds it, and this node should.
    ToTake,
}

impl Desk {
    /// Asks the key's owner whether an action may be sent.
    ///
    /// The same attempt may be asked for many times; the owner allows it once, and this node sends
    /// it once.
    pub(crate) async fn ask(self: &Arc<Self>, asking: &AttemptRequest) -> Asked {
        let shard = shard_of(&asking.key);
        let begun = self.now();
        let owner_by = (begun + OWNER_LIMIT).min(asking.deadline);
        loop {
            let decision = self.ask_once(shard, asking).await;
            let now = self.now();
            match decision {
                Some(Decision::Running { retry_after }) if now < asking.deadline => {
                    sleep(retry_after.min(asking.deadline - now)).await;
                }
                Some(
                    Decision::NotOwner
                    | Decision::Refused {
                        reason: RefusalReason::TakingOver,
                        ..
                    },
                )
                | None => {
                    if now >= owner_by {
                        return Asked::NoOwner;
                    }
                    sleep(OWNER_REST).await;
                }
                Some(decision) => return Asked::Decided(decision),
            }
        }
    }

    async fn ask_once(
        self: &Arc<Self>,
        shard: ShardId,
        asking: &AttemptRequest,
    ) -> Option<Decision> {
        match self.place(shard) {
            Place::Here => Some(self.begin_here(asking.clone()).await),
            Place::ToTake => {
                self.take_over(shard);
                None
            }
            Place::There(node) => self.ask_there(&node, shard, asking).await,
        }
    }

    async fn ask_there(
        &self,
        node: &NodeId,
        shard: ShardId,
        asking: &AttemptRequest,
    ) -> Option<Decision> {
        let now = self.now();
        let mut client = self.peers.links().to(self.directory.address(node)?);
        let req = wire::begin_request(asking, &self.shared.identity.node, now);
        let reply = with_timeout(CALL_LIMIT, client.begin_action(req)).await;
        let Ok(Ok(reply)) = reply else {
            log::info!("actions: {node} does not answer for shard {shard}.");
            self.directory.suspect(node, self.now());
            return None;
        };
        self.directory.trust(node);
        let decision = wire::decision(reply.into_inner()).ok()?;
        // A node that was to take the shard and doesn't, as when it leaves, is passed over.
        if decision == Decision::NotOwner && self.holder(shard).as_ref() != Some(node) {
            self.directory.suspect(node, self.now());
        }
        Some(decision)
    }

    fn holder(&self, shard: ShardId) -> Option<NodeId> {
        self.folded().with(|fold| {
            let lease = fold.leases.get(&shard)?;
            (!lease.released).then(|| lease.holder.clone())
        })
    }

    fn place(&self, shard: ShardId) -> Place {
        let now = self.now();
        let me = &self.shared.identity.node;
        if let Some(holder) = self.holder(shard) {
            if holder == *me {
                let mut state = self.lock();
                if self.owns(&mut state, shard) {
                    return Place::Here;
                }
                // An earlier life of this node held it.
                return Place::ToTake;
            }
            if self.directory.is_trusted(&holder, now) {
                return Place::There(holder);
            }
        }
        let candidate = self.directory.candidate(shard, now);
        if candidate == *me {
            Place::ToTake
        } else {
            Place::There(candidate)
        }
    }

    /// Returns whether nobody holds a shard and this node should.
    pub(super) fn is_to_take(&self, shard: ShardId) -> bool {
        self.place(shard) == Place::ToTake
    }

    /// Decides for another node that asks over a link.
    pub(crate) async fn begin_for(
        self: &Arc<Self>,
        req: &BeginActionRequest,
    ) -> Result<BeginActionReply, wire::BadMessage> {
        let asking = wire::asking(req, self.now())?;
        let shard = shard_of(&asking.key);
        let decision = match self.place(shard) {
            Place::Here => self.begin_here(asking).await,
            Place::ToTake => {
                self.take_over(shard);
                taking_over()
            }
            Place::There(node) => {
                // The asker believes that the holder is gone; look for oneself.
                self.probe(&node).await;
                if self.place(shard) == Place::ToTake {
                    self.take_over(shard);
                    taking_over()
                } else {
                    Decision::NotOwner
                }
            }
        };
        Ok(wire::begin_reply(decision))
    }

    async fn probe(&self, node: &NodeId) {
        let Some(address) = self.directory.address(node) else {
            return;
        };
        let mut client = self.peers.links().to(address);
        let probed = with_timeout(PROBE_LIMIT, client.heartbeat(HeartbeatRequest::default())).await;
        if matches!(probed, Ok(Ok(_))) {
            self.directory.trust(node);
        } else {
            self.directory.suspect(node, self.now());
        }
    }

    /// Notes an end that another node tells over a link.
    pub(crate) async fn finish_for(
        &self,
        req: FinishActionRequest,
    ) -> Result<FinishActionReply, wire::BadMessage> {
        let ending = wire::ending(req)?;
        let recorded = self.finish_here(ending).await;
        Ok(FinishActionReply { recorded })
    }

    /// Counts a keyed action as under way; its guard goes to [`Self::tell`] in the end.
    pub(crate) fn under_way(self: &Arc<Self>) -> UnderWay {
        let count = self.shared.untold_ends.fetch_add(1, Ordering::AcqRel) + 1;
        UnderWay {
            desk: Arc::clone(self),
            many: count > MAX_UNTOLD,
        }
    }

    /// Tells the key's owner how a try ended, until it is durable.
    ///
    /// It runs in the background, so that the caller's answer doesn't wait for the log. Were too
    /// many to wait, as in a long outage, the request itself waits, which bounds the memory.
    pub(crate) async fn tell(self: &Arc<Self>, ending: Ending, guard: UnderWay, by: Timestamp) {
        let many = guard.many;
        let desk = Arc::clone(self);
        let telling = async move {
            desk.tell_until_recorded(&ending).await;
            drop(guard);
        };
        if many {
            let _late = with_timeout(by - self.now(), telling).await;
        } else {
            self.tasks.spawn(telling);
        }
    }

    /// Tells the key's owner how a try ended and waits until that is durable, or until `by`.
    pub(crate) async fn tell_now(self: &Arc<Self>, ending: Ending, by: Timestamp) {
        let _late = with_timeout(by - self.now(), self.tell_until_recorded(&ending)).await;
    }

    /// Returns how many ends wait to be told.
    pub(super) fn untold(&self) -> usize {
        self.shared.untold_ends.load(Ordering::Acquire)
    }

    async fn tell_until_recorded(self: &Arc<Self>, ending: &Ending) {
        let until = self.now() + Duration::from_millis(sesamecart_fold::ACTION_RETENTION_MS);
        let (mut rest, longest) = TELL_RESTS;
        while self.now() < until {
            if self.tell_once(ending).await {
                return;
            }
            sleep(rest).await;
            rest = (rest * 2).min(longest);
        }
        log::warn!("actions: the end of {} was never recorded.", ending.attempt);
    }

    async fn tell_once(self: &Arc<Self>, ending: &Ending) -> bool {
        let shard = shard_of(&ending.key);
        match self.place(shard) {
            Place::Here => self.finish_here(ending.clone()).await,
            Place::ToTake => {
                self.take_over(shard);
                false
            }
            Place::There(node) => {
                let Some(address) = self.directory.address(&node) else {
                    return false;
                };
                let mut client = self.peers.links().to(address);
                let req = wire::finish_request(ending);
                let reply = with_timeout(CALL_LIMIT, client.finish_action(req)).await;
                match reply {
                    Ok(Ok(reply)) => reply.get_ref().recorded,
                    Ok(Err(_)) | Err(_) => {
                        self.directory.suspect(&node, self.now());
                        false
                    }
                }
            }
        }
    }
}

const fn taking_over() -> Decision {
    Decision::Refused {
        reason: RefusalReason::TakingOver,
        retry_after: OWNER_REST,
    }
}

/// A keyed action that this node was allowed to send and whose end isn't recorded yet.
#[derive(Debug)]
pub(crate) struct UnderWay {
    desk: Arc<Desk>,
    many: bool,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.desk.shared.untold_ends.fetch_sub(1, Ordering::AcqRel);
    }
}
