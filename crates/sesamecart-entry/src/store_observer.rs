//! Observes this node's calls to the store: counts them, and learns the store's era from the answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sesamecart_fleet::StaleEra;
use sesamecart_platform::{NamedEra, StoreObserver, StoreOperation, Topic};
use sesamecart_vocabulary::StoreEra;

use crate::clock;
use crate::events::Event;
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
