//! The lease that lets one node at a time control the groups.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sesamecart_fleet::{FencingToken, MAX_LEASE_TTL, RenewalPace};
use sesamecart_platform::{GroupMembership, Store, StoreEra, StoreError};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::events::Event;
use crate::follower::{Dependency, millis};
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// How long the store keeps a member that doesn't renew, where renewals are quick. After that, another node takes over.
///
/// With a longer one, losses would be repaired later after the holder was killed. Where renewals take long, the TTL
/// follows them, so that control doesn't move while its holder lives.
const MIN_LEASE_TTL: Duration = Duration::from_millis(1_100);

/// Interval between renewals: less than a third of the TTL, so that two renewals may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(330);

/// Subtracted from the lease, to allow for an order that is in flight when the lease expires.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, Default)]
struct HeldLease {
    fence: FencingToken,
    /// The era in which the store assigned the lease. In a later one, it may have assigned it to another node.
    era: StoreEra,
    /// When the leases of an earlier era have expired at the latest.
    valid_from: Timestamp,
    expires_at: Timestamp,
}

/// The control lease: the store assigns the partition of the control topic to one member at a time.
///
/// A node acts only while the last renewal that was answered was *sent* less than the lease duration ago. The
/// clock also advances while the machine is suspended, so a node that resumes after seconds finds its lease
/// expired. The generation of the store's group increases whenever the partition moves. It is the fencing
/// token of all orders, so an order of an earlier holder that is still in flight is refused.
#[derive(Debug)]
pub(crate) struct Lease {
    state: Arc<EntryState>,
    store: Store,
    /// The member ID of this process in the store's group.
    ///
    /// It is random, so that a process that is killed and restarted within the TTL is a new member. With the
    /// node's name alone, the new process would hold the lease at once under the fence of the old one, and
    /// reuse names and epochs that groups already have.
    member: String,
    held: Mutex<Option<HeldLease>>,
    /// The highest fence that an engine refused.
    highest_refused: AtomicU64,
}

impl Lease {
    pub(crate) fn new(state: Arc<EntryState>, store: Store) -> Self {
        let member = format!("{}-{:08x}", state.settings.node, fastrand::u32(..));
        Self {
            state,
            store,
            member,
            held: Mutex::new(None),
            highest_refused: AtomicU64::new(0),
        }
    }

    /// Returns the fence under which this node may act now, or `None` if it doesn't hold the lease.
    pub(crate) fn fence(&self) -> Option<FencingToken> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::now();
        let held = held.filter(|held| held.era == self.state.store_eras.latest())?;
        (held.valid_from <= now && now < held.expires_at).then_some(held.fence)
    }

    /// Gives up control immediately, because another node has used a fence higher than `fence`.
    pub(crate) fn step_down(&self, fence: FencingToken, reason: &str) {
        self.highest_refused.fetch_max(fence.0, Ordering::AcqRel);
        self.set_held(None, reason);
    }

    /// Acquires the lease when it is free and renews it, until the node leaves or the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let min_ttl = Duration::from_millis(self.state.settings.bounds.lease_least_ms);
        let min_ttl = MIN_LEASE_TTL.max(min_ttl);
        let mut pace = RenewalPace::default();
        let mut dependency = Dependency::new("store, control");
        let mut generation = 0;
        let mut is_member = false;
        let mut era = StoreEra::default();
        loop {
            // The store gives out generations again in a later era.
            let latest = self.state.store_eras.latest();
            if std::mem::replace(&mut era, latest) != latest {
                generation = 0;
            }
            if let Some(reason) = self.reason_not_to_compete() {
                // A member that doesn't act would keep control from the others until it expires.
                if std::mem::take(&mut is_member) {
                    self.release(reason).await;
                }
                self.set_held(None, reason);
                sleep(RENEW_INTERVAL).await;
                continue;
            }
            let (sent, ttl) = (clock::now(), pace.ttl(min_ttl));
            is_member = true;
            match self.store.join(&self.member, ttl, generation).await {
                Ok(membership) => {
                    dependency.record_success(&self.state);
                    pace.record_answer(sent, clock::now());
                    generation = membership.generation;
                    let held = self.held_lease(&membership, sent, ttl);
                    let is_refused = held.fence.0 <= self.highest_refused.load(Ordering::Acquire);
                    if membership.is_holder && is_refused {
                        // Engines accept only a higher fence, and only a change of the group raises it.
                        self.release("an engine refused the fence").await;
                        sleep(RENEW_INTERVAL).await;
                        continue;
                    }
                    let held = membership.is_holder.then_some(held);
                    self.log_lapse(held.as_ref(), sent);
                    self.set_held(held, "the store says so");
                }
                Err(error) => {
                    if is_outage(&error) {
                        pace.record_outage();
                    }
                    dependency.record_failure(&self.state, &error);
                }
            }
            if self.state.is_leaving() {
                return self.release("the node is leaving").await;
            }
            sleep(RENEW_INTERVAL).await;
        }
    }

    /// Returns the lease of the holder of a generation, which was renewed for `ttl` by a call that was sent at `sent`.
    ///
    /// The holder in an earlier era acts until its last renewal expires, which it sent before the store returned. So
    /// this node waits for the longest time that this may take after it has learned the era, and for its own TTL if it
    /// has just started. When a deployment starts for the first time, there is no earlier holder.
    fn held_lease(
        &self,
        membership: &GroupMembership,
        sent: Timestamp,
        ttl: Duration,
    ) -> HeldLease {
        let eras = &self.state.store_eras;
        let is_first = self.state.settings.first_start && eras.is_first();
        let valid_from = match (is_first, eras.is_first()) {
            (true, _) => Timestamp::ZERO,
            (false, true) => eras.learned_at() + ttl,
            (false, false) => eras.learned_at() + ttl.max(MAX_LEASE_TTL),
        };
        HeldLease {
            fence: FencingToken::of(membership.era, membership.generation),
            era: membership.era,
            valid_from,
            expires_at: sent + ttl.saturating_sub(EXPIRY_MARGIN),
        }
    }

    /// Returns why this node doesn't compete for control now, or `None` if it does.
    ///
    /// Only nodes that read the store compete: if all nodes renewed a membership, the calls to the store would
    /// grow with the number of nodes. A node that reaches no engine leaves control to nodes that do and that it
    /// has asked to compete. Whoever has control keeps it while the store answers its renewals, as each move ends the
    /// groups that are being formed.
    fn reason_not_to_compete(&self) -> Option<&'static str> {
        let state = &self.state;
        if state.reach.should_hand_over_control() {
            return Some("the node reaches no engine");
        }
        let competes = state.reads_store() || state.reach.is_control_requested();
        (!competes && self.fence().is_none()).then_some("the node doesn't read the store")
    }

    /// Logs that the lease had run out before it was renewed, by an answer to a call that was sent at `sent`.
    fn log_lapse(&self, renewed: Option<&HeldLease>, sent: Timestamp) {
        let before = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let (Some(before), Some(renewed)) = (before, renewed) else {
            return;
        };
        let now = clock::now();
        if now >= before.expires_at {
            self.state.events.write(&Event::LeaseLapsed {
                fence: before.fence.0,
                fence_now: renewed.fence.0,
                away_ms: millis(now.since(before.expires_at)),
                answer_ms: millis(now.since(sent)),
            });
        }
    }

    async fn release(&self, reason: &str) {
        self.set_held(None, reason);
        if let Err(error) = self.store.leave(&self.member).await {
            // The other nodes wait until the lease expires.
            log::warn!("control: the lease could not be released: {error}.");
        }
    }

    fn set_held(&self, held: Option<HeldLease>, reason: &str) {
        let before = {
            let mut current = self.held.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *current, held)
        };
        self.state.set_controller(held.is_some());
        if before.is_some() != held.is_some() {
            let fence = held.or(before).unwrap_or_default().fence;
            self.state.events.write(&Event::ControlChanged {
                leads: held.is_some(),
                fence: fence.0,
                reason,
            });
        }
    }
}

/// Returns whether the store has refused a renewal, or wasn't reached, rather than taken long.
const fn is_outage(error: &StoreError) -> bool {
    !error.may_have_run
}
