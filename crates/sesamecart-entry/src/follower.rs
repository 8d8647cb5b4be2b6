//! Follows what the operator, the endpoints and the other nodes write into the store.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{Catalog, Directory, Endpoint};
use sesamecart_platform::{
    Expected, Offset, Read, Record, Store, StoreError, Topic, decode_configuration,
    decode_endpoint, evacuated_domain, is_configuration,
};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{EndpointId, FailureDomainId, ModelId, NodeId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;

/// The part of the time in which a configuration has to be in force for which the store holds a read
/// of the operator's topic that finds nothing.
///
/// A node's configuration is vouched for from when it sent the last read that came back, so in quiet
/// times it gets as old as two waits and a rest: 1.75 s of 2 s.
const OPERATOR_WAIT_PART: f64 = 0.4;

/// The least time for which the store holds a read of the registry that finds nothing, and what each
/// node adds to it.
///
/// A read that reaches the store while a record is being appended sees nothing and isn't woken for
/// it, so the last record of a burst would be known on some nodes only with the next one. The end of
/// the wait finds it. All nodes together may call the store so many times a second.
const REGISTRY_WAIT: Duration = Duration::from_millis(1_000);
const REGISTRY_WAIT_PER_NODE: Duration = Duration::from_millis(40);
const REGISTRY_WAIT_MOST: Duration = Duration::from_millis(3_000);

/// The same on the node that is forming groups, which opens them as soon as all members are ready.
const FORMING_WAIT: Duration = Duration::from_millis(150);

/// The least time between two reads of a topic, and what each node adds to it: a burst of records is
/// read at once and not by a call for each.
///
/// At 0.04 s a day of 44 s on 7 nodes took 2,900 calls, at 0.15 s 2,000. At 71 nodes 0.15 s would
/// take 400 calls a second, a third of what the store bears, for endpoints that change every 0.3 s.
const PACE: Duration = Duration::from_millis(150);
const PACE_PER_NODE: Duration = Duration::from_millis(16);
const PACE_MOST: Duration = Duration::from_millis(1_100);

/// The same on the node that is forming groups.
const FORMING_PACE: Duration = Duration::from_millis(40);

/// How long a follower rests after a failed read.
const REST: Duration = Duration::from_millis(150);

/// How long entries that the store lost during an outage have to come back, less what a node takes to
/// act on it: endpoints that live are back within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(1_900);

/// How often the list of nodes is read.
const NODES_EVERY: Duration = Duration::from_secs(10);

/// A dependency whose loss and return are logged once each.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Timestamp>,
}

impl Dependency {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    pub(crate) fn failed(&mut self, beliefs: &Beliefs, cause: &StoreError) {
        beliefs.metrics.count_store_failure();
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(clock::now());
        let cause = cause.to_string();
        beliefs.events.write(&Event::DependencyLost {
            dependency: self.name,
            cause: &cause,
        });
    }

    /// Notes an answer; returns whether the dependency was away.
    pub(crate) fn answered(&mut self, beliefs: &Beliefs) -> bool {
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        beliefs.events.write(&Event::DependencyRegained {
            dependency: self.name,
            away_ms: millis(clock::now().since(lost_at)),
        });
        true
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// What is kept of one topic.
enum Picture {
    Operator(OperatorPicture),
    Registry(RegistryPicture),
}

/// Follows one topic with a newest record for each key.
pub(crate) struct Follower {
    beliefs: Arc<Beliefs>,
    store: Store,
    topic: Topic,
    dependency: Dependency,
    picture: Picture,
}

impl Follower {
    pub(crate) fn operator(beliefs: Arc<Beliefs>, store: Store) -> Self {
        Self {
            beliefs,
            store,
            topic: Topic::Operator,
            dependency: Dependency::new("store, operator"),
            picture: Picture::Operator(OperatorPicture::default()),
        }
    }

    /// Follows the registry; `changed` is told of each change.
    pub(crate) fn registry(beliefs: Arc<Beliefs>, store: Store, changed: Sender<()>) -> Self {
        Self {
            beliefs,
            store,
            topic: Topic::Registry,
            dependency: Dependency::new("store, registry"),
            picture: Picture::Registry(RegistryPicture::new(changed)),
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            match self.read_newest().await {
                Ok(from) => self.follow(from).await,
                Err(error) => {
                    self.dependency.failed(&self.beliefs, &error);
                    sleep(REST).await;
                }
            }
        }
    }

    /// Reads the newest record of each key and returns where to go on.
    ///
    /// Pages aren't of one moment; the records from the first page's end on are read again, which
    /// brings what changed between them.
    async fn read_newest(&mut self) -> Result<Offset, StoreError> {
        let sent = clock::now();
        let first = self.store.newest(self.topic, None).await?;
        let mut records = first.records;
        let mut next = first.next;
        while let Some(after) = next {
            let page = self.store.newest(self.topic, Some(&after)).await?;
            records.extend(page.records);
            next = page.next;
        }
        let was_away = self.dependency.answered(&self.beliefs);
        self.replace(records, was_away);
        self.vouch(sent);
        Ok(first.end)
    }

    /// Reads what comes after `from` until the topic's history has to be read anew.
    async fn follow(&mut self, mut from: Offset) {
        loop {
            let (wait, pace) = self.rhythm();
            let sent = clock::now();
            match self.store.read(self.topic, from, wait).await {
                Ok(Read::Records { next, end, records }) => {
                    let was_away = self.dependency.answered(&self.beliefs);
                    if end < from {
                        return;
                    }
                    if was_away {
                        self.note_return();
                    }
                    self.apply(records);
                    from = next;
                    if next >= end {
                        self.vouch(sent);
                    }
                }
                Ok(Read::Trimmed { .. }) => return,
                Err(error) => {
                    self.dependency.failed(&self.beliefs, &error);
                    sleep(REST).await;
                }
            }
            sleep(pace).await;
        }
    }

    /// Returns how long the store may hold a read, and the rest before the next one.
    fn rhythm(&self) -> (Duration, Duration) {
        let nodes = u32::try_from(self.beliefs.nodes.load().len()).unwrap_or(u32::MAX);
        let bound = Duration::from_millis(self.beliefs.settings.bounds.configuration_ms);
        match self.picture {
            Picture::Operator(_) => (bound.mul_f64(OPERATOR_WAIT_PART), PACE),
            Picture::Registry(_) if self.beliefs.is_forming() => (FORMING_WAIT, FORMING_PACE),
            Picture::Registry(_) => (
                (REGISTRY_WAIT_PER_NODE * nodes).clamp(REGISTRY_WAIT, REGISTRY_WAIT_MOST),
                (PACE_PER_NODE * nodes).clamp(PACE, PACE_MOST),
            ),
        }
    }

    fn replace(&mut self, records: Vec<Record>, was_away: bool) {
        match &mut self.picture {
            Picture::Operator(picture) => picture.replace(&self.beliefs, &records),
            Picture::Registry(picture) => picture.replace(&self.beliefs, &records, was_away),
        }
    }

    fn apply(&mut self, records: Vec<Record>) {
        match &mut self.picture {
            Picture::Operator(picture) => picture.apply(&self.beliefs, &records),
            Picture::Registry(picture) => picture.apply(&self.beliefs, &records),
        }
    }

    fn note_return(&mut self) {
        if let Picture::Registry(picture) = &mut self.picture {
            picture.returned_at = Some(clock::now());
        }
    }

    fn vouch(&self, sent: Timestamp) {
        match &self.picture {
            // A picture without a configuration vouches for nothing.
            Picture::Operator(_) if self.beliefs.catalog.load().is_none() => {}
            Picture::Operator(_) => self.beliefs.vouch(sent),
            Picture::Registry(_) => self.beliefs.note_registry_read(),
        }
    }
}

#[derive(Default)]
struct OperatorPicture {
    evacuated: IndexSet<FailureDomainId>,
}

impl OperatorPicture {
    fn replace(&mut self, beliefs: &Beliefs, records: &[Record]) {
        let evacuated = records.iter().filter(|record| record.value.is_some());
        let evacuated = evacuated.filter_map(|record| evacuated_domain(record.key.as_deref()?));
        let evacuated: IndexSet<_> = evacuated.collect();
        if evacuated != self.evacuated {
            self.evacuated = evacuated;
            publish_evacuated(beliefs, &self.evacuated);
        }
        for record in records {
            take_configuration(beliefs, record);
        }
    }

    fn apply(&mut self, beliefs: &Beliefs, records: &[Record]) {
        for record in records {
            let Some(key) = record.key.as_deref() else {
                ignore(beliefs, Topic::Operator, "", "the key can't be read");
                continue;
            };
            if let Some(domain) = evacuated_domain(key) {
                if record.value.is_some() {
                    self.evacuated.insert(domain);
                } else {
                    self.evacuated.shift_remove(&domain);
                }
                publish_evacuated(beliefs, &self.evacuated);
            } else {
                take_configuration(beliefs, record);
            }
        }
    }
}

fn publish_evacuated(beliefs: &Beliefs, evacuated: &IndexSet<FailureDomainId>) {
    beliefs.directory.rcu(|directory| {
        let mut directory = Directory::clone(directory);
        directory.set_evacuated(evacuated.clone());
        directory
    });
    let names: Vec<String> = evacuated.iter().map(ToString::to_string).collect();
    beliefs.events.write(&Event::EvacuationChanged {
        failure_domains: &names,
    });
}

/// Puts a configuration in force, unless a newer one is: a reread or a slow answer must not bring
/// back a key that was taken away.
fn take_configuration(beliefs: &Beliefs, record: &Record) {
    let (Some(key), Some(value)) = (record.key.as_deref(), record.value.as_deref()) else {
        return;
    };
    if !is_configuration(key) {
        return;
    }
    let catalog = match decode_configuration(value) {
        Ok(catalog) => catalog,
        Err(error) => return ignore(beliefs, Topic::Operator, key, &error.to_string()),
    };
    let in_force = beliefs.catalog.load_full();
    let before = in_force.map(|catalog| catalog.version);
    if before.is_some_and(|before| before >= catalog.version) {
        return;
    }
    beliefs.events.write(&Event::ConfigurationApplied {
        version: catalog.version.0,
        before: before.map_or(0, |version| version.0),
        routes: catalog.route_count(),
    });
    beliefs
        .catalog
        .store(Some(Arc::new(Catalog::clone(&catalog))));
}

fn ignore(beliefs: &Beliefs, topic: Topic, key: &str, cause: &str) {
    let topic = topic.to_string();
    beliefs.events.write(&Event::RecordIgnored {
        topic: &topic,
        key,
        cause,
    });
}

struct RegistryPicture {
    changed: Sender<()>,
    /// When the store came back after it was away.
    returned_at: Option<Timestamp>,
    /// Endpoints whose entries were gone when it came back, and may come back themselves.
    missing: IndexMap<EndpointId, Timestamp>,
}

impl RegistryPicture {
    fn new(changed: Sender<()>) -> Self {
        Self {
            changed,
            returned_at: None,
            missing: IndexMap::new(),
        }
    }

    fn replace(&mut self, beliefs: &Beliefs, records: &[Record], was_away: bool) {
        if was_away {
            self.returned_at = Some(clock::now());
        }
        let current = beliefs.directory.load();
        let there: IndexSet<&str> = records
            .iter()
            .filter_map(|record| record.key.as_deref())
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

    fn apply(&mut self, beliefs: &Beliefs, records: &[Record]) {
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

/// Tells the other nodes of this one, and counts them.
///
/// Bounds that hold for all nodes together are kept by shares, for which a node has to know how many
/// there are. A node that was killed stays in the list, which makes the shares smaller, never larger.
pub(crate) async fn follow_nodes(beliefs: Arc<Beliefs>, store: Store) {
    let own = Record {
        key: Some(beliefs.settings.node.to_string()),
        value: Some(beliefs.settings.failure_domain.to_string().into_bytes()),
    };
    let mut told = false;
    let mut dependency = Dependency::new("store, nodes");
    loop {
        if !told {
            let appended = store.append(Topic::Nodes, &own, Expected::Anything).await;
            told = appended.is_ok();
            if let Err(error) = appended {
                dependency.failed(&beliefs, &error);
            }
        }
        match read_nodes(&store).await {
            Ok(nodes) => {
                let _was_away = dependency.answered(&beliefs);
                let mut nodes: IndexSet<NodeId> = nodes.into_iter().collect();
                nodes.insert(beliefs.settings.node.clone());
                beliefs.nodes.store(Arc::new(nodes.into_iter().collect()));
            }
            Err(error) => dependency.failed(&beliefs, &error),
        }
        let rest = if told { NODES_EVERY } else { REST };
        sleep(rest).await;
    }
}

async fn read_nodes(store: &Store) -> Result<Vec<NodeId>, StoreError> {
    let mut nodes = Vec::new();
    let mut after = None;
    loop {
        let page = store.newest(Topic::Nodes, after.as_deref()).await?;
        let names = page.records.iter().filter_map(|record| record.key.as_ref());
        nodes.extend(names.filter_map(|name| name.parse().ok()));
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(nodes),
        }
    }
}
