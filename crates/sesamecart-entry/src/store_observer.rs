//! Observes this node's calls to the store: counts them, and learns from the answers the store's era and whether the
//! store was away.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sesamecart_fleet::{StaleEra, StoreReport};
use sesamecart_platform::{CallOutcome, NamedEra, StoreObserver, StoreOperation, Topic};
use sesamecart_vocabulary::{StoreEra, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::lock::lock;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// The observer of one client of the store.
pub(crate) struct StoreCalls {
    state: Arc<EntryState>,
    /// Whether the last answer's era was unreadable, which is logged once.
    is_unreadable: AtomicBool,
}

impl StoreCalls {
    pub(crate) const fn new(state: Arc<EntryState>) -> Self {
        Self {
            state,
            is_unreadable: AtomicBool::new(false),
        }
    }
}

impl StoreObserver for StoreCalls {
    fn on_call(&self, step: StoreOperation, topic: Topic) {
        self.state.metrics.count_store_call(step, topic);
    }

    fn on_outcome(&self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered => self.state.record_store_answer(),
            CallOutcome::Failed => self.state.record_store_failure(),
        }
    }

    fn attribute(&self, named: &NamedEra) -> Result<StoreEra, StaleEra> {
        let was_unreadable = self
            .is_unreadable
            .swap(matches!(named, NamedEra::Unreadable(_)), Ordering::AcqRel);
        let named = match named {
            NamedEra::Era(era) => {
                self.state.learn_store_era(*era, "the store");
                Some(*era)
            }
            NamedEra::Unreadable(text) => {
                if !was_unreadable {
                    self.state.events.write(&Event::StoreEraUnreadable { text });
                }
                None
            }
            NamedEra::Missing => None,
        };
        self.state.store_eras.attribute(named)
    }
}

impl EntryState {
    fn record_store_answer(&self) {
        let outage = lock(&self.store_availability).record_answer(clock::now());
        self.log_store_return(outage, "the store");
    }

    /// Records that the store didn't answer a call, or refused it.
    pub(crate) fn record_store_failure(&self) {
        lock(&self.store_availability).record_failure();
    }

    /// Learns from another node, `source`, when the store has answered.
    pub(crate) fn learn_store_report(&self, report: &StoreReport, source: &str) {
        let outage = lock(&self.store_availability).record_report(report);
        self.log_store_return(outage, source);
    }

    /// Records that the store has returned from a copy, which may lack entries of running endpoints.
    pub(crate) fn record_store_restored(&self, now: Timestamp) {
        lock(&self.store_availability).record_restored(now);
    }

    /// Returns what this node tells its followers of the store, once the store has answered.
    pub(crate) fn store_report(&self) -> Option<StoreReport> {
        lock(&self.store_availability).report()
    }

    /// Returns when the store returned from its last outage.
    pub(crate) fn store_returned_at(&self) -> Option<Timestamp> {
        lock(&self.store_availability).returned_at()
    }

    fn log_store_return(&self, outage: Option<Duration>, source: &str) {
        if let Some(outage) = outage {
            self.events.write(&Event::StoreReturned {
                away_ms: millis(outage),
                source,
            });
        }
    }

    /// Learns an era of the store from `source`.
    pub(crate) fn learn_store_era(&self, era: StoreEra, source: &str) {
        let Some(before) = self.store_eras.learn(clock::now(), era) else {
            return;
        };
        self.metrics.record_store_era(era);
        self.events.write(&Event::StoreEraChanged {
            era: era.0,
            before: before.0,
            source,
        });
        self.era_changed.notify(usize::MAX);
    }
}
