//! What the endpoints say of themselves.

use std::time::Duration;

use async_channel::Sender;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{Directory, Endpoint};
use sesamecart_platform::{Record, Topic, decode_endpoint};
use sesamecart_vocabulary::{EndpointId, ModelId, Timestamp};

use super::ignore;
use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;

/// How long entries that the store lost during an outage have to come back, less what a node takes to
/// act on it: endpoints that live are back within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(1_900);

pub(super) struct RegistryPicture {
    changed: Sender<()>,
    /// When the store came back after it was away.
    pub(super) returned_at: Option<Timestamp>,
    /// Endpoints whose entries were gone when it came back, and may come back themselves.
    missing: IndexMap<EndpointId, Timestamp>,
}

impl RegistryPicture {
    pub(super) fn new(changed: Sender<()>) -> Self {
        Self {
            changed,
            returned_at: None,
            missing: IndexMap::new(),
        }
    }

    /// Takes all of the topic in: the records, and the keys besides whose records haven't changed.
    pub(super) fn replace(
        &mut self,
        beliefs: &Beliefs,
        records: &[Record],
        unchanged: &IndexSet<String>,
    ) {
        let current = beliefs.directory.load();
        let changed = records.iter().filter_map(|record| record.key.as_deref());
        let there: IndexSet<&str> = unchanged
            .iter()
            .map(String::as_str)
            .chain(changed)
            .collect();
        let gone = current
            .listed_ids()
            .filter(|id| !there.contains(id.as_str()));
        let gone: Vec<Record> = gone
            .map(|id| Record {
                key: Some(id.to_string()),
                value: None,
            })
            .collect();
        drop(current);
        let all: Vec<Record> = records.iter().cloned().chain(gone).collect();
        self.apply(beliefs, &all);
    }

    pub(super) fn apply(&mut self, beliefs: &Beliefs, records: &[Record]) {
        let now = clock::now();
        let mut directory = Directory::clone(&beliefs.directory.load());
        for record in records {
            self.apply_one(beliefs, &mut directory, now, record);
        }
        let overdue = self.missing.extract_if(.., |_, until| *until <= now);
        for (id, _) in overdue {
            remove(beliefs, &mut directory, now, &id);
        }
        directory.forget(now);
        beliefs.tidy_groups(now, &directory);
        beliefs.directory.rcu(|current| {
            // Evacuations are another follower's to change.
            let mut directory = directory.clone();
            directory.set_evacuated(current.evacuated().clone());
            directory
        });
        // A full channel holds a notice already.
        let _told = self.changed.try_send(());
    }

    fn apply_one(
        &mut self,
        beliefs: &Beliefs,
        directory: &mut Directory,
        now: Timestamp,
        record: &Record,
    ) {
        let Some(key) = record.key.as_deref() else {
            return ignore(beliefs, Topic::Registry, "", "the key can't be read");
        };
        let Ok(id) = key.parse::<EndpointId>() else {
            return ignore(beliefs, Topic::Registry, key, "the key is no name");
        };
        let Some(value) = record.value.as_deref() else {
            return self.lapse(beliefs, directory, now, id);
        };
        match decode_endpoint(key, value) {
            Ok(endpoint) => {
                self.missing.swap_remove(&id);
                log_change(beliefs, directory, &endpoint);
                directory.put(now, endpoint);
            }
            Err(error) => {
                ignore(beliefs, Topic::Registry, key, &error.to_string());
                remove(beliefs, directory, now, &id);
            }
        }
    }

    /// Takes an entry out, or waits a while for its return if the store was away.
    fn lapse(
        &mut self,
        beliefs: &Beliefs,
        directory: &mut Directory,
        now: Timestamp,
        id: EndpointId,
    ) {
        let until = self.returned_at.map(|at| at + RETURN_TIME);
        match until {
            Some(until) if until > now => {
                self.missing.entry(id).or_insert(until);
            }
            _ => remove(beliefs, directory, now, &id),
        }
    }
}

fn remove(beliefs: &Beliefs, directory: &mut Directory, now: Timestamp, id: &EndpointId) {
    if directory.remove(now, id) {
        let endpoint = id.as_str();
        beliefs.events.write(&Event::EndpointGone { endpoint });
    }
}

fn log_change(beliefs: &Beliefs, directory: &Directory, endpoint: &Endpoint) {
    let known = directory.find(&endpoint.id);
    if known.is_some_and(|known| **known == *endpoint && directory.is_listed(&endpoint.id)) {
        return;
    }
    let group = endpoint.group.as_ref();
    let group = group.map(|role| format!("{}@{} {}", role.group, role.epoch, role.state));
    let staged: Vec<&str> = endpoint.staged.iter().map(ModelId::as_str).collect();
    let domain = endpoint.fabric_domain.as_ref();
    beliefs.events.write(&Event::EndpointChanged {
        endpoint: endpoint.id.as_str(),
        fabric_domain: domain.map_or("", |domain| domain.as_str()),
        staged: &staged.join(" "),
        state: &endpoint.state.to_string(),
        group: &group.unwrap_or_default(),
    });
}
