//! The registry topic: the entries that endpoints publish about themselves.

use std::time::Duration;

use async_channel::Sender;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{Directory, Endpoint};
use sesamecart_platform::{Record, StoreEra, Topic, decode_endpoint, decode_heartbeats};
use sesamecart_vocabulary::{EndpointId, ModelId, Timestamp};

use super::topic_era::TopicEra;
use super::{log_ignored_record, millis};
use crate::clock;
use crate::deferred::Removal;
use crate::events::Event;
use crate::start_steps::StartStep;
use crate::state::EntryState;

/// How long after an outage of the store an endpoint without an entry is kept.
///
/// Running endpoints register again within about 2 s; this is that time minus what a node takes to act on the
/// entry.
pub(super) const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_900);

/// Applies the registry's records to the directory of endpoints.
pub(super) struct RegistryState {
    changed: Sender<()>,
    era: TopicEra,
    /// The heartbeats that each endpoint's last entry counts.
    heartbeats: IndexMap<EndpointId, u64>,
}

impl RegistryState {
    pub(super) fn new(changed: Sender<()>) -> Self {
        Self {
            changed,
            era: TopicEra::default(),
            heartbeats: IndexMap::new(),
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
        for key in unchanged {
            cancel_removal(state, key);
        }
        let current = state.directory.load();
        let changed = records.iter().filter_map(|record| record.key.as_deref());
        let present: IndexSet<&str> = unchanged
            .iter()
            .map(String::as_str)
            .chain(changed)
            .collect();
        let removed = current
            .listed_ids()
            .filter(|id| !present.contains(id.as_str()));
        let removed: Vec<Record> = removed
            .map(|id| Record {
                key: Some(id.to_string()),
                value: None,
            })
            .collect();
        drop(current);
        let all: Vec<Record> = records.iter().cloned().chain(removed).collect();
        self.apply(state, era, &all);
    }

    pub(super) fn apply(&mut self, state: &EntryState, era: StoreEra, records: &[Record]) {
        let now = clock::now();
        let is_restored = self.era.advance(era);
        if is_restored {
            state.record_store_restored(now);
        }
        let mut directory = Directory::clone(&state.directory.load());
        for record in records {
            if is_restored && self.is_outdated(&directory, record) {
                cancel_removal(state, record.key.as_deref().unwrap_or_default());
                continue;
            }
            self.apply_one(state, &mut directory, now, record);
        }
        directory.prune(now);
        self.heartbeats.retain(|id, _| directory.find(id).is_some());
        state.prune_groups(now, &directory);
        state.directory.rcu(|current| {
            // The operator topic's follower and responses of endpoints may have changed it meanwhile.
            let mut directory = directory.clone();
            directory.take_over(now, current);
            directory
        });
        if state.open_group_count() > 0 {
            state.reach_start_step(StartStep::Groups);
        }
        state.deferred_changed.notify(usize::MAX);
        // A full channel already holds a notification.
        let _sent = self.changed.try_send(());
    }

    /// Returns whether a record of the copy from which the store has returned is older than what is known of the
    /// endpoint, which may have begun to leave or opened its group since. Also an endpoint that is gone stays gone.
    fn is_outdated(&self, directory: &Directory, record: &Record) -> bool {
        let Some((key, value)) = record.key.as_deref().zip(record.value.as_deref()) else {
            return false;
        };
        let Ok(copied) = decode_endpoint(key, value) else {
            return false;
        };
        let known = directory.find(&copied.id);
        let is_same_start = known.is_some_and(|known| known.incarnation == copied.incarnation);
        let heartbeats = self.heartbeats.get(&copied.id).copied();
        is_same_start && heartbeats.is_some() && decode_heartbeats(value) <= heartbeats
    }

    fn apply_one(
        &mut self,
        state: &EntryState,
        directory: &mut Directory,
        now: Timestamp,
        record: &Record,
    ) {
        let Some(key) = record.key.as_deref() else {
            return log_ignored_record(state, Topic::Registry, "", "the key is unreadable");
        };
        let Ok(id) = key.parse::<EndpointId>() else {
            return log_ignored_record(
                state,
                Topic::Registry,
                key,
                "the key is not a valid endpoint name",
            );
        };
        let Some(value) = record.value.as_deref() else {
            return remove_or_defer(state, directory, now, id);
        };
        match decode_endpoint(key, value) {
            Ok(endpoint) => {
                let endpoint = directory.with_current_state(endpoint);
                state.cancel_removal(&Removal::Endpoint(id.clone()));
                if let Some(heartbeats) = decode_heartbeats(value) {
                    self.heartbeats.insert(id, heartbeats);
                }
                log_change(state, directory, &endpoint);
                directory.put(now, endpoint);
            }
            Err(error) => {
                log_ignored_record(state, Topic::Registry, key, &error.to_string());
                remove(state, directory, now, &id);
            }
        }
    }
}

/// Removes an endpoint, or defers the removal if the store was away a short time ago.
fn remove_or_defer(state: &EntryState, directory: &mut Directory, now: Timestamp, id: EndpointId) {
    let remove_at = state
        .store_returned_at()
        .map(|returned_at| returned_at + REREGISTRATION_GRACE);
    let Some(remove_at) = remove_at.filter(|at| *at > now) else {
        return remove(state, directory, now, &id);
    };
    if directory.is_listed(&id) && state.defer(Removal::Endpoint(id.clone()), remove_at) {
        state.events.write(&Event::RemovalDeferred {
            endpoint: id.as_str(),
            for_ms: millis(remove_at.since(now)),
        });
    }
}

/// Cancels the removal of an endpoint whose entry is there again, though it may be an older one.
fn cancel_removal(state: &EntryState, key: &str) {
    if let Ok(id) = key.parse() {
        state.cancel_removal(&Removal::Endpoint(id));
    }
}

fn remove(state: &EntryState, directory: &mut Directory, now: Timestamp, id: &EndpointId) {
    state.cancel_removal(&Removal::Endpoint(id.clone()));
    if directory.remove(now, id) {
        let endpoint = id.as_str();
        state.events.write(&Event::EndpointGone { endpoint });
    }
}

fn log_change(state: &EntryState, directory: &Directory, endpoint: &Endpoint) {
    let known = directory.find(&endpoint.id);
    if known.is_some_and(|known| **known == *endpoint && directory.is_listed(&endpoint.id)) {
        return;
    }
    let group = endpoint.group.as_ref();
    let group = group.map(|role| format!("{}@{} {}", role.group, role.epoch, role.state));
    let staged: Vec<&str> = endpoint.staged.iter().map(ModelId::as_str).collect();
    let domain = endpoint.fabric_domain.as_ref();
    state.events.write(&Event::EndpointChanged {
        endpoint: endpoint.id.as_str(),
        fabric_domain: domain.map_or("", |domain| domain.as_str()),
        staged: &staged.join(" "),
        state: &endpoint.state.to_string(),
        group: &group.unwrap_or_default(),
    });
}
