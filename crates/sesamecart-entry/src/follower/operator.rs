//! The operator topic: the configuration and the evacuated failure domains, which receive no new work.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{Catalog, CatalogVersion, Directory, EngineSpec};
use sesamecart_links::feed::OperatorState as NeighborState;
use sesamecart_platform::{
    Record, StoreEra, Topic, decode_configuration, evacuated_domain, is_configuration,
};
use sesamecart_vocabulary::{FailureDomainId, Timestamp};

use super::topic_era::TopicEra;
use super::{log_ignored_record, present_keys};
use crate::clock;
use crate::events::Event;
use crate::start_steps::StartStep;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// How long after a return of the store the operator may take to write again what was lost. Until then, what nodes
/// know from before holds.
const REWRITE_GRACE: Duration = Duration::from_secs(10);

/// What the topic says, and what this node knows besides.
pub(super) struct OperatorState {
    era: TopicEra,
    /// The evacuated failure domains that the topic names.
    evacuated: IndexSet<FailureDomainId>,
    /// Other evacuated failure domains, known from before a return of the store or from other nodes, and until when
    /// they count.
    kept: IndexMap<FailureDomainId, Timestamp>,
    /// The version of the topic's configuration, which may be older than the one in force.
    topic_version: CatalogVersion,
    /// Whether other nodes may know of a newer configuration or of another evacuation.
    needs_neighbors: bool,
}

impl OperatorState {
    /// Creates the state of a node that has read nothing. Unless the whole deployment is starting, the store may have
    /// returned just before.
    pub(super) fn new(is_first_start: bool) -> Self {
        Self {
            era: TopicEra::default(),
            evacuated: IndexSet::new(),
            kept: IndexMap::new(),
            topic_version: CatalogVersion::default(),
            needs_neighbors: !is_first_start,
        }
    }

    /// Replaces the topic's contents with `records` and with the keys in `unchanged`, whose records this node
    /// has.
    pub(super) fn replace(
        &mut self,
        state: &EntryState,
        era: StoreEra,
        records: &[Record],
        unchanged: &IndexSet<String>,
    ) {
        let is_restored = self.begin(era);
        if !present_keys(records, unchanged).any(is_configuration) {
            self.topic_version = CatalogVersion::default();
        }
        let evacuated = present_keys(records, unchanged).filter_map(evacuated_domain);
        let before = std::mem::replace(&mut self.evacuated, evacuated.collect());
        if is_restored {
            self.keep(before);
        }
        self.publish_evacuated(state);
        for record in records {
            self.apply_configuration(state, record);
        }
    }

    pub(super) fn apply(&mut self, state: &EntryState, era: StoreEra, records: &[Record]) {
        let is_restored = self.begin(era);
        for record in records {
            let Some(key) = record.key.as_deref() else {
                log_ignored_record(state, Topic::Operator, "", "the key is unreadable");
                continue;
            };
            if let Some(domain) = evacuated_domain(key) {
                self.kept.shift_remove(&domain);
                if record.value.is_some() {
                    self.evacuated.insert(domain);
                } else if self.evacuated.shift_remove(&domain) && is_restored {
                    self.keep([domain]);
                }
            } else {
                self.apply_configuration(state, record);
            }
        }
        self.publish_evacuated(state);
    }

    fn begin(&mut self, era: StoreEra) -> bool {
        let is_restored = self.era.advance(era);
        self.needs_neighbors |= is_restored;
        is_restored
    }

    /// Returns whether other nodes have to be asked for what they know, once for each return of the store.
    pub(super) fn take_needs_neighbors(&mut self) -> bool {
        std::mem::take(&mut self.needs_neighbors)
    }

    /// Takes in what other nodes know. The newest configuration is put in force, wherever it comes from.
    pub(super) fn learn(&mut self, state: &EntryState, neighbors: &[NeighborState]) {
        let before = state.configuration_version();
        for neighbor in neighbors {
            if let Some(value) = &neighbor.configuration {
                let record = Record {
                    key: None,
                    value: Some(value.clone()),
                };
                put_in_force(state, &record);
            }
            let domains = neighbor.evacuated.iter();
            self.keep(domains.filter_map(|domain| domain.parse().ok()));
        }
        self.publish_evacuated(state);
        state.events.write(&Event::NeighborsAsked {
            answered: neighbors.len(),
            version: state.configuration_version(),
            before,
            kept: self.kept.len(),
        });
    }

    fn keep(&mut self, domains: impl IntoIterator<Item = FailureDomainId>) {
        let until = clock::now() + REWRITE_GRACE;
        for domain in domains {
            if !self.evacuated.contains(&domain) {
                self.kept.insert(domain, until);
            }
        }
    }

    /// Records that a read of the topic, sent at `sent`, has shown all that there is. It confirms the configuration
    /// in force if the topic vouches for that.
    pub(super) fn confirm(&mut self, state: &EntryState, sent: Timestamp) {
        let now = clock::now();
        self.expire(state, now);
        state.record_source_read(sent);
        if self.vouches_for(state, now) {
            state.confirm_configuration(sent);
        }
    }

    /// Ends evacuations that the operator hasn't written again in time.
    fn expire(&mut self, state: &EntryState, now: Timestamp) {
        if self.kept.is_empty() {
            return;
        }
        self.kept.retain(|_, until| now < *until);
        self.publish_evacuated(state);
    }

    /// Returns whether the topic vouches for the configuration in force. One that is older doesn't: the operator's
    /// newer ones aren't written again yet, and there may be some that this node never had.
    fn vouches_for(&self, state: &EntryState, now: Timestamp) -> bool {
        let in_force = state.catalog.load();
        let in_force = in_force.as_ref().map(|catalog| catalog.version);
        let is_rewritten = now.since(state.store_eras.learned_at()) >= REWRITE_GRACE;
        in_force.is_some_and(|version| self.topic_version >= version || is_rewritten)
    }

    fn apply_configuration(&mut self, state: &EntryState, record: &Record) {
        if !record.key.as_deref().is_some_and(is_configuration) {
            return;
        }
        if let Some(version) = put_in_force(state, record) {
            self.topic_version = version;
        }
    }

    fn publish_evacuated(&self, state: &EntryState) {
        let kept = self.kept.keys();
        let evacuated: IndexSet<FailureDomainId> =
            self.evacuated.iter().chain(kept).cloned().collect();
        if evacuated != *state.directory.load().evacuated() {
            set_evacuated(state, &evacuated);
        }
    }
}

fn set_evacuated(state: &EntryState, evacuated: &IndexSet<FailureDomainId>) {
    state.directory.rcu(|directory| {
        let mut directory = Directory::clone(directory);
        directory.set_evacuated(evacuated.clone());
        directory
    });
    state.metrics.record_evacuated(evacuated.len());
    let names: Vec<String> = evacuated.iter().map(ToString::to_string).collect();
    state.events.write(&Event::EvacuationChanged {
        failure_domains: &names,
    });
}

/// Puts a configuration in force unless the current version is the same or newer: a reread, a delayed reply or a
/// store that has returned from a copy must not restore a revoked key. Returns the record's version.
fn put_in_force(state: &EntryState, record: &Record) -> Option<CatalogVersion> {
    let value = record.value.as_deref()?;
    let catalog = match decode_configuration(value) {
        Ok(catalog) => catalog,
        Err(error) => {
            let key = record.key.as_deref().unwrap_or_default();
            log_ignored_record(state, Topic::Operator, key, &error.to_string());
            return None;
        }
    };
    let version = catalog.version;
    let in_force = state.catalog.load_full();
    let before = in_force.map(|catalog| catalog.version);
    if before.is_some_and(|before| before >= version) {
        return Some(version);
    }
    state.events.write(&Event::ConfigurationApplied {
        version: catalog.version.0,
        before: before.map_or(0, |version| version.0),
        routes: catalog.route_count(),
    });
    log_new_problems(state, &catalog);
    state.catalog.store(Some(Arc::new(catalog)));
    state.reach_start_step(StartStep::Configuration);
    state
        .configuration_record
        .store(Some(Arc::new(value.to_vec())));
    Some(version)
}

/// Logs the problems of `catalog` that the current configuration doesn't have.
fn log_new_problems(state: &EntryState, catalog: &Catalog) {
    let in_force = state.catalog.load_full();
    for (id, service) in &catalog.services {
        let Some(spec) = &service.engine else {
            continue;
        };
        let before = in_force
            .as_ref()
            .and_then(|catalog| catalog.services.get(id));
        let before = before.and_then(|service| service.engine.as_ref());
        let known = before.map(EngineSpec::problems).unwrap_or_default();
        for problem in spec.problems() {
            if known.contains(&problem) {
                continue;
            }
            state.events.write(&Event::ConfigurationDoubtful {
                service: id.as_str(),
                problem: &problem.to_string(),
            });
        }
    }
}
