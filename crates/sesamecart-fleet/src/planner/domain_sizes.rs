//! Tracks the number of engines in each fabric domain.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, Timestamp};

use super::engine::is_ready;
use crate::endpoint::Endpoint;

/// How long no new engine may have registered before smaller domains count as complete.
///
/// On a cold start, engines register one after the other. A domain measured when only the first of them had
/// registered would look too small for the model with the larger groups and would be loaded with another one.
const STABILIZATION_WINDOW: Duration = Duration::from_millis(500);

/// The engines of each fabric domain.
pub(super) type EnginesByDomain<'a> = IndexMap<&'a FabricDomainId, Vec<&'a Arc<Endpoint>>>;

/// The number of ready engines in each fabric domain, which determines the models that it can hold.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainSizes {
    sizes: IndexMap<FabricDomainId, usize>,
    last_growth_at: Timestamp,
    /// Since when a domain has had too few engines for the model that they hold.
    undersized_since: IndexMap<FabricDomainId, Timestamp>,
}

impl DomainSizes {
    /// Updates the sizes from the engines that are registered now.
    pub(super) fn update(&mut self, now: Timestamp, domains: &EnginesByDomain<'_>) {
        let previous = std::mem::take(&mut self.sizes);
        for (domain, engines) in domains {
            let ready = engines.iter().filter(|engine| is_ready(engine)).count();
            if previous.get(*domain).is_none_or(|known| ready > *known) {
                self.last_growth_at = now;
            }
            self.sizes.insert((*domain).clone(), ready);
        }
        self.undersized_since
            .retain(|domain, _| domains.contains_key(domain));
    }

    /// Returns whether a domain has been too small for its model for at least `min_duration`.
    ///
    /// Without this delay, its engines would be loaded with another model just before replacements arrive, or
    /// before engines that were disconnected from the store return.
    pub(super) fn is_undersized_for(
        &mut self,
        now: Timestamp,
        domain: &FabricDomainId,
        is_undersized: bool,
        min_duration: Duration,
    ) -> bool {
        if !is_undersized {
            self.undersized_since.swap_remove(domain);
            return false;
        }
        let since = self.undersized_since.entry(domain.clone()).or_insert(now);
        now.since(*since) >= min_duration
    }

    /// Returns whether all engines of a domain seem to have registered. Before the fleet is stable, this
    /// holds only for a domain of the largest size that has room for a group of `largest_group` engines.
    pub(super) fn is_complete(
        &self,
        now: Timestamp,
        domain: &FabricDomainId,
        largest_group: usize,
    ) -> bool {
        let size = self.size_of(domain);
        self.is_stable(now) || (size == self.largest() && size >= largest_group)
    }

    /// Returns whether no new engine has registered for a while.
    pub(super) fn is_stable(&self, now: Timestamp) -> bool {
        now.since(self.last_growth_at) >= STABILIZATION_WINDOW
    }

    /// Returns the number of engines in the largest domain.
    pub(super) fn largest(&self) -> usize {
        self.sizes.values().copied().max().unwrap_or(0)
    }

    pub(super) fn size_of(&self, domain: &FabricDomainId) -> usize {
        self.sizes.get(domain).copied().unwrap_or(0)
    }
}
