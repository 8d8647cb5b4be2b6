//! The operator topic: the configuration and the evacuated failure domains, which receive no new work.

use std::sync::Arc;

use indexmap::IndexSet;
use sesamecart_fleet::{Catalog, Directory, EngineSpec};
use sesamecart_platform::{
    Record, Topic, decode_configuration, evacuated_domain, is_configuration,
};
use sesamecart_vocabulary::FailureDomainId;

use super::log_ignored_record;
use crate::events::Event;
use crate::state::EntryState;

/// The failure domains that the operator has evacuated.
#[derive(Default)]
pub(super) struct OperatorState {
    evacuated: IndexSet<FailureDomainId>,
}

impl OperatorState {
    /// Replaces the topic's contents with `records` and with the keys in `unchanged`, whose records this node
    /// has.
    pub(super) fn replace(
        &mut self,
        state: &EntryState,
        records: &[Record],
        unchanged: &IndexSet<String>,
    ) {
        let changed = records.iter().filter(|record| record.value.is_some());
        let changed = changed.filter_map(|record| record.key.as_deref());
        let present = unchanged.iter().map(String::as_str).chain(changed);
        let evacuated: IndexSet<_> = present.filter_map(evacuated_domain).collect();
        if evacuated != self.evacuated {
            self.evacuated = evacuated;
            publish_evacuated(state, &self.evacuated);
        }
        for record in records {
            apply_configuration(state, record);
        }
    }

    pub(super) fn apply(&mut self, state: &EntryState, records: &[Record]) {
        for record in records {
            let Some(key) = record.key.as_deref() else {
                log_ignored_record(state, Topic::Operator, "", "the key is unreadable");
                continue;
            };
            if let Some(domain) = evacuated_domain(key) {
                if record.value.is_some() {
                    self.evacuated.insert(domain);
                } else {
                    self.evacuated.shift_remove(&domain);
                }
                publish_evacuated(state, &self.evacuated);
            } else {
                apply_configuration(state, record);
            }
        }
    }
}

fn publish_evacuated(state: &EntryState, evacuated: &IndexSet<FailureDomainId>) {
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

/// Applies a configuration unless the current version is the same or newer: a reread or a delayed reply must
/// not restore a revoked key.
fn apply_configuration(state: &EntryState, record: &Record) {
    let (Some(key), Some(value)) = (record.key.as_deref(), record.value.as_deref()) else {
        return;
    };
    if !is_configuration(key) {
        return;
    }
    let catalog = match decode_configuration(value) {
        Ok(catalog) => catalog,
        Err(error) => return log_ignored_record(state, Topic::Operator, key, &error.to_string()),
    };
    let in_force = state.catalog.load_full();
    let before = in_force.map(|catalog| catalog.version);
    if before.is_some_and(|before| before >= catalog.version) {
        return;
    }
    state.events.write(&Event::ConfigurationApplied {
        version: catalog.version.0,
        before: before.map_or(0, |version| version.0),
        routes: catalog.route_count(),
    });
    log_new_problems(state, &catalog);
    state.catalog.store(Some(Arc::new(catalog)));
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
