//! The lease under which one node controls the groups.

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
/// Shorter, a slow store would move control to and fro; longer, losses wait longer for repair.
const TTL: Duration = Duration::from_millis(1_500);

/// How often the lease is renewed: a third of its time, so that two renewals may be lost.
const RENEW_EVERY: Duration = Duration::from_millis(450);

/// What is kept of the lease for an order that is on its way when it ends.
const MARGIN: Duration = Duration::from_millis(250);

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
    held: Mutex<Option<Held>>,
}

impl Lease {
    pub(crate) const fn new(beliefs: Arc<Beliefs>, store: Store) -> Self {
        Self {
            beliefs,
            store,
            held: Mutex::new(None),
        }
    }

    /// Returns the fence under which this node may act right now.
    pub(crate) fn holds(&self) -> Option<Fence> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let held = held.filter(|held| clock::now() < held.until)?;
        Some(held.fence)
    }

    /// Gives control up at once: another node has used a higher fence.
    pub(crate) fn step_down(&self, reason: &str) {
        self.set(None, reason);
    }

    /// Takes the lease when it is free and renews it, until the task is dropped.
    pub(crate) async fn keep(self: Arc<Self>) {
        let least = Duration::from_millis(self.beliefs.settings.bounds.lease_least_ms);
        let ttl = TTL.max(least);
        let member = self.beliefs.settings.node.to_string();
        let mut dependency = Dependency::new("store, control");
        let mut generation = 0;
        loop {
            let sent = clock::now();
            match self.store.join(&member, ttl, generation).await {
                Ok(joined) => {
                    let _was_away = dependency.answered(&self.beliefs);
                    generation = joined.generation;
                    let held = joined.holds.then_some(Held {
                        fence: Fence(generation),
                        until: sent + ttl.saturating_sub(MARGIN),
                    });
                    self.set(held, "the store says so");
                }
                Err(error) => dependency.failed(&self.beliefs, &error),
            }
            if self.beliefs.is_leaving() {
                return self.give_back(&member).await;
            }
            sleep(RENEW_EVERY).await;
        }
    }

    async fn give_back(&self, member: &str) {
        self.set(None, "the node is leaving");
        if let Err(error) = self.store.leave(member).await {
            // The others wait until the lease has run out.
            log::warn!("control: the lease could not be given back: {error}.");
        }
    }

    fn set(&self, held: Option<Held>, reason: &str) {
        let before = {
            let mut current = self.held.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *current, held)
        };
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
