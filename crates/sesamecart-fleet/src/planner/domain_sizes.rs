//! How many engines each fabric domain has.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FabricDomainId, Timestamp};

use super::engine::is_ready;
use crate::endpoint::Endpoint;

/// How long no engine may have come before domains that are smaller than others count as complete.
///
/// At a start engines register one after the other. Domains that were measured by the first of them
/// would look too small for the model with the larger groups, and be loaded with another one.
const SETTLED_AFTER: Duration = Duration::from_millis(500);

/// The engines of each fabric domain.
pub(super) type Domains<'a> = IndexMap<&'a FabricDomainId, Vec<&'a Arc<Endpoint>>>;

/// The engines that each fabric domain has, which decide what models it can hold.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainSizes {
    sizes: IndexMap<FabricDomainId, usize>,
    grown_at: Timestamp,
    /// Since when a domain's engines have been too few for the model that they hold.
    short_since: IndexMap<FabricDomainId, Timestamp>,
}

impl DomainSizes {
    /// Follows what is registered now.
    pub(super) fn follow(&mut self, now: Timestamp, domains: &Domains<'_>) {
        let before = std::mem::take(&mut self.sizes);
        for (domain, engines) in domains {
            let ready = engines.iter().filter(|engine| is_ready(engine)).count();
            if before.get(*domain).is_none_or(|known| ready > *known) {
                self.grown_at = now;
            }
            self.sizes.insert((*domain).clone(), ready);
        }
        self.short_since
            .retain(|domain, _| domains.contains_key(domain));
    }

    /// Returns whether a domain has been too small for its model for at least `wait`.
    ///
    /// Its engines would be loaded with another model otherwise just before they are joined by
    /// replacements, or by those that were cut off from the store.
    pub(super) fn is_short_for(
        &mut self,
        now: Timestamp,
        domain: &FabricDomainId,
        is_short: bool,
        wait: Duration,
    ) -> bool {
        if !is_short {
            self.short_since.swap_remove(domain);
            return false;
        }
        let since = self.short_since.entry(domain.clone()).or_insert(now);
        now.since(*since) >= wait
    }

    /// Returns whether all engines of a domain seem to have come, where one that holds a group of
    /// `largest_group` engines would have more.
    pub(super) fn is_complete(
        &self,
        now: Timestamp,
        domain: &FabricDomainId,
        largest_group: usize,
    ) -> bool {
        let size = self.of(domain);
        self.are_settled(now) || (size == self.largest() && size >= largest_group)
    }

    /// Returns whether no engine has come for a while.
    pub(super) fn are_settled(&self, now: Timestamp) -> bool {
        now.since(self.grown_at) >= SETTLED_AFTER
    }

    /// Returns the engines of the largest domain.
    pub(super) fn largest(&self) -> usize {
        self.sizes.values().copied().max().unwrap_or(0)
    }

    pub(super) fn of(&self, domain: &FabricDomainId) -> usize {
        self.sizes.get(domain).copied().unwrap_or(0)
    }
}
