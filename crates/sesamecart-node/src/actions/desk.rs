//! What this node holds of keyed actions: the shards that it owns, its group commit and its mirrors.

use std::sync::atomic::AtomicU16;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use indexmap::{IndexMap, IndexSet};
use sesamecart_actions::{
    AttemptRequest, CallId, CommitConfig, CommitResult, Decision, Effect, GroupCommit,
    MirroredIntents, MirroredIntentsConfig, Owner, OwnerContext,
};
use sesamecart_edges::Log;
use sesamecart_fold::ActionKey;
use sesamecart_runtime::{Tasks, with_timeout};
use sesamecart_vocabulary::{Incarnation, NodeId, ShardId, Timestamp};

use super::directory::Directory;
use super::wire::Ending;
use crate::control::{Folded, Peers};
use crate::shared::Shared;

/// How long a call waits for the first answer to a key before it is told to ask again.
///
/// It is below the links' limit for one call, so that the asker isn't left in doubt.
const REPLY_LIMIT: Duration = Duration::from_millis(1_500);

/// How long the end of a try may take to become durable before its teller is told to try again.
const RECORD_LIMIT: Duration = Duration::from_millis(1_500);

/// Returns the shard of a key.
pub(super) fn shard_of(key: &ActionKey) -> ShardId {
    ShardId::of(&key.to_string())
}

/// The state behind one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) owners: IndexMap<ShardId, Owner>,
    pub(super) commit: GroupCommit,
    pub(super) mirrors: MirroredIntents,
    /// The shards whose claim or take-over is under way.
    pub(super) taking_over: IndexSet<ShardId>,
    /// The shards whose claim for fresh voters is sent and whose verdict isn't read.
    pub(super) renewing: IndexSet<ShardId>,
    /// The lives of each owned shard's voters when they were first heard under its epoch.
    pub(super) voter_lives: IndexMap<ShardId, IndexMap<NodeId, Incarnation>>,
    pub(super) leaving: bool,
    begins: IndexMap<CallId, Sender<Decision>>,
    finishes: IndexMap<CallId, Sender<bool>>,
    next_ticket: u64,
}

/// This node's desk for keyed actions, shared by all its threads.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(super) shared: Arc<Shared>,
    pub(super) log: Arc<dyn Log>,
    pub(super) peers: Peers,
    pub(super) tasks: Tasks,
    pub(super) directory: Directory,
    state: Mutex<State>,
    /// The shard from which the next tick looks for free ones.
    pub(super) next_free: AtomicU16,
    wake: Sender<()>,
    pub(super) woken: Receiver<()>,
}

impl Desk {
    pub(crate) fn new(
        shared: Arc<Shared>,
        log: Arc<dyn Log>,
        peers: Peers,
        tasks: Tasks,
    ) -> Arc<Self> {
        let (wake, woken) = async_channel::bounded(1);
        let directory = Directory::new(&shared.settings, peers.clone());
        let state = State {
            owners: IndexMap::new(),
            commit: GroupCommit::new(CommitConfig::default()),
            mirrors: MirroredIntents::new(MirroredIntentsConfig::default()),
            taking_over: IndexSet::new(),
            renewing: IndexSet::new(),
            voter_lives: IndexMap::new(),
            leaving: false,
            begins: IndexMap::new(),
            finishes: IndexMap::new(),
            next_ticket: 0,
        };
        Arc::new(Self {
            shared,
            log,
            peers,
            tasks,
            directory,
            state: Mutex::new(state),
            next_free: AtomicU16::new(0),
            wake,
            woken,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn folded(&self) -> &Folded {
        &self.shared.folded
    }

    pub(super) fn now(&self) -> Timestamp {
        self.shared.clock.now()
    }

    /// Lets the commit loop look again.
    pub(super) fn wake(&self) {
        // A wake-up that already waits is enough.
        let _full = self.wake.try_send(());
    }

    /// Decides on an action as its key's owner.
    pub(super) async fn begin_here(&self, asking: AttemptRequest) -> Decision {
        let shard = shard_of(&asking.key);
        let (reply, replied) = async_channel::bounded(1);
        let ticket = {
            let mut state = self.lock();
            if state.leaving || !self.owns(&mut state, shard) {
                return Decision::NotOwner;
            }
            let ticket = state.ticket();
            state.begins.insert(ticket, reply);
            self.with_owner(&mut state, shard, |owner, known, out| {
                owner.begin(known, ticket, asking, out);
            });
            ticket
        };
        self.wake();
        let decided = with_timeout(REPLY_LIMIT, replied.recv()).await;
        self.lock().begins.swap_remove(&ticket);
        match decided {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) => Decision::NotOwner,
            Err(_) => Decision::Running {
                retry_after: Duration::ZERO,
            },
        }
    }

    /// Notes the end of a try as its key's owner, and returns whether it is durable.
    pub(super) async fn finish_here(&self, ending: Ending) -> bool {
        let shard = shard_of(&ending.key);
        let (reply, replied) = async_channel::bounded(1);
        let ticket = {
            let mut state = self.lock();
            if !self.owns(&mut state, shard) {
                return false;
            }
            let ticket = state.ticket();
            state.finishes.insert(ticket, reply);
            self.with_owner(&mut state, shard, |owner, known, out| {
                owner.record_outcome(known, ticket, &ending.key, &ending.attempt, ending.end, out);
            });
            ticket
        };
        self.wake();
        let recorded = with_timeout(RECORD_LIMIT, replied.recv()).await;
        self.lock().finishes.swap_remove(&ticket);
        matches!(recorded, Ok(Ok(true)))
    }

    /// Returns whether this node owns a shard by all it knows; a replaced owner is deposed.
    pub(super) fn owns(&self, state: &mut State, shard: ShardId) -> bool {
        let Some(epoch) = state.owners.get(&shard).map(Owner::epoch) else {
            return false;
        };
        let identity = &self.shared.identity;
        let newest = self.folded().with(|fold| {
            let lease = fold.leases.get(&shard).filter(|lease| !lease.released)?;
            let own = lease.holder == identity.node && lease.incarnation == identity.incarnation;
            own.then_some(lease.epoch)
        });
        if let Some(newest) = newest.filter(|newest| *newest > epoch)
            && let Some(owner) = state.owners.get_mut(&shard)
        {
            owner.set_epoch(newest);
            state.renewing.swap_remove(&shard);
            state.voter_lives.swap_remove(&shard);
        }
        let in_force = newest.is_some_and(|newest| newest >= epoch);
        if !in_force && let Some(owner) = state.owners.swap_remove(&shard) {
            log::info!("actions: shard {shard} has another owner now.");
            state.renewing.swap_remove(&shard);
            state.voter_lives.swap_remove(&shard);
            let mut out = Vec::new();
            owner.step_down(&mut out);
            state.carry_out(out);
        }
        in_force
    }

    /// Lets a shard's owner act, and carries out what it decides.
    pub(super) fn with_owner(
        &self,
        state: &mut State,
        shard: ShardId,
        act: impl FnOnce(&mut Owner, OwnerContext<'_>, &mut Vec<Effect>),
    ) {
        let has_room = state.commit.has_room();
        let Some(owner) = state.owners.get_mut(&shard) else {
            return;
        };
        let mut out = Vec::new();
        let (now, wall_ms) = (self.now(), wall_ms());
        self.folded().with(|fold| {
            let known = OwnerContext {
                now,
                wall_ms,
                actions: &fold.actions,
                has_room,
            };
            act(owner, known, &mut out);
        });
        state.carry_out(out);
    }

    /// Tells owners what became of their items.
    pub(super) fn committed(&self, state: &mut State, durable: &[CommitResult]) {
        for one in durable {
            let (shard, epoch) = one.lease();
            let owner = state.owners.get(&shard);
            if owner.is_some_and(|owner| owner.has_held(epoch)) {
                self.with_owner(state, shard, |owner, known, out| {
                    owner.on_commit_result(known, one, out);
                });
            }
        }
    }

    /// Ends what is overdue, and forgets what the log tells by now.
    pub(super) fn tick(&self) {
        let mut state = self.lock();
        if let Some(offset) = self.folded().settled_from() {
            state.mirrors.settle(offset);
        }
        if !state.mirrors.is_empty() {
            self.folded()
                .with(|fold| state.mirrors.forget_logged(&fold.actions));
        }
        let shards: Vec<_> = state.owners.keys().copied().collect();
        for shard in shards {
            if self.owns(&mut state, shard) {
                self.with_owner(&mut state, shard, |owner, known, out| {
                    owner.tick(known, out)
                });
            }
        }
    }
}

impl State {
    fn ticket(&mut self) -> CallId {
        self.next_ticket += 1;
        CallId(self.next_ticket)
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit(item) => self.commit.push(item),
                Effect::Reply(ticket, decision) => {
                    if let Some(reply) = self.begins.swap_remove(&ticket) {
                        // The call may have ended meanwhile.
                        let _gone = reply.try_send(decision);
                    }
                }
                Effect::AckOutcome(ticket, recorded) => {
                    if let Some(reply) = self.finishes.swap_remove(&ticket) {
                        let _gone = reply.try_send(recorded);
                    }
                }
            }
        }
    }
}

/// Returns the wall-clock time in milliseconds.
pub(super) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
