//! The lease under which one node controls the groups.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sesamecart_fleet::Fence;
use sesamecart_platform::Store;
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::follower::Dependency;

/// How long the store keeps a member that sends nothing; another node takes over after it.
///
/// Shorter, a slow store would move control to and fro; longer, losses wait longer for repair while
/// a holder that was killed is waited for.
const TTL: Duration = Duration::from_millis(1_100);

/// How often the lease is renewed: a third of its time, so that two renewals may be lost.
const RENEW_EVERY: Duration = Duration::from_millis(330);

/// What is kept of the lease for an order that is on its way when it ends.
const MARGIN: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    fence: Fence,
    until: Timestamp,
}

/// The lease: the store deals the control topic's partition to one member at a time.
///
/// A node acts only while the renewal that was last answered was *sent* less than the lease ago, by
/// the clock that goes on through a suspension; a node that wakes after seconds finds it run out. The
/// group's generation, which goes up whenever the partition moves, is the fencing token of all orders,
/// so an order of an earlier holder that is still on its way is refused.
#[derive(Debug)]
pub(crate) struct Lease {
    beliefs: Arc<Beliefs>,
    store: Store,
    /// This process as the store's group knows it.
    ///
    /// A process that was killed and started again within the lease's time is another member. Under
    /// the node's name alone it would hold the lease at once under the fence of the one that died,
    /// and give names and epochs a second time that groups have already.
    member: String,
    held: Mutex<Option<Held>>,
    /// Fences up to here were refused by an engine.
    refused: AtomicU64,
}

impl Lease {
    pub(crate) fn new(beliefs: Arc<Beliefs>, store: Store) -> Self {
        let member = format!("{}-{:08x}", beliefs.settings.node, fastrand::u32(..));
        Self {
            beliefs,
            store,
            member,
            held: Mutex::new(None),
            refused: AtomicU64::new(0),
        }
    }

    /// Returns the fence under which this node may act right now.
    pub(crate) fn holds(&self) -> Option<Fence> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let held = held.filter(|held| clock::now() < held.until)?;
        Some(held.fence)
    }

    /// Gives control up at once: another node has used a fence higher than `fence`.
    pub(crate) fn step_down(&self, fence: Fence, reason: &str) {
        self.refused.fetch_max(fence.0, Ordering::AcqRel);
        self.set(None, reason);
    }

    /// Takes the lease when it is free and renews it, until the task is dropped.
    pub(crate) async fn keep(self: Arc<Self>) {
        let least = Duration::from_millis(self.beliefs.settings.bounds.lease_least_ms);
        let ttl = TTL.max(least);
        let mut dependency = Dependency::new("store, control");
        let mut generation = 0;
        loop {
            // Control is left to the nodes that read the store: calls of all nodes to stay in the group
            // would grow with the nodes.
            while !self.beliefs.reads_store() {
                self.set(None, "the node doesn't read the store");
                sleep(RENEW_EVERY).await;
            }
            let sent = clock::now();
            match self.store.join(&self.member, ttl, generation).await {
                Ok(joined) => {
                    let _was_away = dependency.answered(&self.beliefs);
                    generation = joined.generation;
                    let is_refused = generation <= self.refused.load(Ordering::Acquire);
                    if joined.holds && is_refused {
                        // Only a change of the group brings a fence that engines accept.
                        self.give_back("an engine refused the fence").await;
                        sleep(RENEW_EVERY).await;
                        continue;
                    }
                    let held = joined.holds.then_some(Held {
                        fence: Fence(generation),
                        until: sent + ttl.saturating_sub(MARGIN),
                    });
                    self.set(held, "the store says so");
                }
                Err(error) => dependency.failed(&self.beliefs, &error),
            }
            if self.beliefs.is_leaving() {
                return self.give_back("the node is leaving").await;
            }
            sleep(RENEW_EVERY).await;
        }
    }

    async fn give_back(&self, reason: &str) {
        self.set(None, reason);
        if let Err(error) = self.store.leave(&self.member).await {
            // The others wait until the lease has run out.
            log::warn!("control: the lease could not be given back: {error}.");
        }
    }

    fn set(&self, held: Option<Held>, reason: &str) {
        let before = {
            let mut current = self.held.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *current, held)
        };
        self.beliefs.note_control(held.is_some());
        if before.is_some() != held.is_some() {
            let fence = held.or(before).unwrap_or_default().fence;
            self.beliefs.events.write(&Event::ControlChanged {
                leads: held.is_some(),
                fence: fence.0,
                reason,
            });
        }
    }
}
