//! The list of nodes: registers this node and follows the entries of the others.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::PeerNode;
use sesamecart_links::Links;
use sesamecart_links::feed::NodeAnnouncement;
use sesamecart_platform::{LogPosition, Record, Store, StoreError, Topic};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::NodeId;

use super::topic_era::TopicEra;
use super::{Dependency, RETRY_DELAY, log_ignored_record};
use crate::clock;
use crate::deferred::Removal;
use crate::events::Event;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// The interval between two reads of the list of nodes.
const NODES_READ_INTERVAL: Duration = Duration::from_secs(10);

/// The time from the notice that a node was added to the read of the list.
const ADDED_NODE_READ_DELAY: Duration = Duration::from_millis(100);

/// The timeout of the notice to a node that others follow. If it gets lost, that node reads the list later.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a node waits for the other nodes to register when a deployment starts for the first time. All
/// nodes start at about the same time, and the store takes a few milliseconds for each registration.
///
/// Without this wait, each node would know only itself, assume that it is the reader, and read the store for
/// several seconds.
const PEER_REGISTRATION_WAIT: Duration = Duration::from_millis(800);

/// The delay of the next read of the list on a node that has just begun to read the store: a node that
/// registered late may be the one that should read the store instead.
const FIRST_REREAD_DELAY: Duration = Duration::from_secs(1);

/// The longest delay before another attempt to register. A node that is starting knows no other node that could
/// ask the store for it.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(1_200);

/// Nodes whose entries are missing register again within this time after they have noticed.
const REREGISTRATION_DELAY: Duration = Duration::from_millis(500);

/// Registers this node in the store's nodes topic and reads the entries of the other nodes.
pub(super) struct NodesTopic {
    dependency: Dependency,
    list: NodeList,
}

impl NodesTopic {
    pub(super) fn new() -> Self {
        Self {
            dependency: Dependency::new("store, nodes"),
            list: NodeList::default(),
        }
    }

    /// Registers this node and reads the list of nodes. Returns whether the other nodes don't know it yet.
    pub(super) async fn register(&mut self, state: &EntryState, store: &Store) -> bool {
        let own = state.local_peer();
        let mut delay = RETRY_DELAY;
        if state.settings.first_start {
            // No node can have registered before the first start, so there is nothing to read yet.
            while !self.publish_entry(state, store, &own).await {
                delay = back_off(delay).await;
            }
            sleep(PEER_REGISTRATION_WAIT).await;
            let _nodes = self.read(state, store).await;
            return false;
        }
        loop {
            match self.read(state, store).await {
                // The entry from before this process restarted is still valid.
                Some(nodes) if nodes.contains(&own) => {
                    state.set_own_entry(LogPosition::START);
                    return false;
                }
                Some(_) if self.publish_entry(state, store, &own).await => return true,
                _ => delay = back_off(delay).await,
            }
        }
    }

    /// Reads the list of nodes periodically, and soon after a node was added.
    ///
    /// Limits that apply to all nodes together are divided among the nodes, so each node has to know their
    /// number. A node that was killed stays in the list, which can make the shares only smaller, never
    /// larger.
    pub(super) async fn run(&mut self, state: &EntryState, store: &Store) {
        // This node serves its followers only after it has read all topics.
        let mut next = match state.feed.has_read(Topic::Nodes) {
            true => FIRST_REREAD_DELAY,
            false => Duration::ZERO,
        };
        let mut added = state.node_added.listen();
        let mut returned = state.era_changed.listen();
        loop {
            let notice = async {
                future::or(added, returned).await;
                // Nodes that are added together are read together.
                sleep(ADDED_NODE_READ_DELAY).await;
            };
            future::or(notice, sleep(next)).await;
            // Before the read, which may miss a node that is added meanwhile.
            added = state.node_added.listen();
            returned = state.era_changed.listen();
            next = match self.read(state, store).await {
                Some(_) => NODES_READ_INTERVAL,
                None => RETRY_DELAY,
            };
        }
    }

    async fn read(&mut self, state: &EntryState, store: &Store) -> Option<Vec<PeerNode>> {
        match store.newest(Topic::Nodes).await {
            Ok(snapshot) => {
                self.dependency.record_success(state);
                let end = snapshot.end;
                let _summary = state.feed.replace(Topic::Nodes, &snapshot.records, end);
                let records = snapshot.records.into_iter().map(|stored| stored.record);
                let records: Vec<Record> = records.collect();
                Some(self.list.replace(state, end, &records, &IndexSet::new()))
            }
            Err(error) => {
                self.dependency.record_failure(state, &error);
                None
            }
        }
    }

    async fn publish_entry(&mut self, state: &EntryState, store: &Store, own: &PeerNode) -> bool {
        let appended = publish_entry(state, store, own).await;
        if let Err(error) = &appended {
            self.dependency.record_failure(state, error);
        }
        appended.is_ok()
    }

    /// Returns the list, to which other nodes' updates are applied.
    pub(super) const fn list(&mut self) -> &mut NodeList {
        &mut self.list
    }
}

async fn publish_entry(
    state: &EntryState,
    store: &Store,
    own: &PeerNode,
) -> Result<(), StoreError> {
    let value = match serde_json::to_vec(own) {
        Ok(value) => value,
        Err(error) => {
            log::error!("follower: cannot serialize this node's entry: {error}.");
            return Ok(());
        }
    };
    let record = Record {
        key: Some(own.node.to_string()),
        value: Some(value),
    };
    let position = store.append(Topic::Nodes, &record).await?;
    state.set_own_entry(position);
    Ok(())
}

/// Registers this node again whenever its entry is missing from the list: it may have been written after the copy
/// was taken from which the store has returned.
pub(crate) async fn keep_registered(state: Arc<EntryState>, store: Store, links: Links) {
    loop {
        let missing = state.own_entry_missing.listen();
        missing.await;
        // All nodes notice a return at about the same time.
        sleep(REREGISTRATION_DELAY.mul_f64(fastrand::f64())).await;
        let mut delay = RETRY_DELAY;
        while let Err(error) = publish_entry(&state, &store, &state.local_peer()).await {
            log::debug!("follower: {error}.");
            delay = back_off(delay).await;
        }
        state.events.write(&Event::RegisteredAgain {});
        announce(&state, &links).await;
    }
}

/// Tells the nodes that read the store that this node was added.
///
/// What all nodes keep together depends on their number and on the choice of a node that decides for all. Until
/// the others know of this node, they choose without it.
pub(super) async fn announce(state: &EntryState, links: &Links) {
    let addresses = state.nodes_with_followers();
    let announcements = addresses.into_iter().map(|address| async move {
        let mut feed = links.feed_client(address);
        let announced = feed.announce_node(NodeAnnouncement {});
        match with_timeout(ANNOUNCEMENT_TIMEOUT, announced).await {
            Ok(Ok(_)) => {}
            Ok(Err(status)) => log::debug!("follower: node at {address}: announce: {status}."),
            Err(elapsed) => log::debug!("follower: node at {address}: announce: {elapsed}."),
        }
    });
    join_all(announcements).await;
}

/// The list of nodes.
#[derive(Debug, Default)]
pub(super) struct NodeList {
    era: TopicEra,
    /// Whether this node's entry is in the list.
    has_own: bool,
}

impl NodeList {
    /// Replaces the list with `records` and with the known nodes whose keys are in `unchanged`. Returns the nodes
    /// decoded from `records`.
    pub(super) fn replace(
        &mut self,
        state: &EntryState,
        end: LogPosition,
        records: &[Record],
        unchanged: &IndexSet<String>,
    ) -> Vec<PeerNode> {
        self.has_own = unchanged.contains(state.settings.node.as_str());
        for node in unchanged.iter().filter_map(|key| key.parse().ok()) {
            state.cancel_removal(&Removal::Node(node));
        }
        self.merge(state, end, records, |node| {
            unchanged.contains(node.as_str())
        })
    }

    /// Applies changed records to the list.
    pub(super) fn apply(&mut self, state: &EntryState, end: LogPosition, records: &[Record]) {
        let changed: IndexSet<&str> = records
            .iter()
            .filter_map(|record| record.key.as_deref())
            .collect();
        self.has_own &= !changed.contains(state.settings.node.as_str());
        self.merge(state, end, records, |node| !changed.contains(node.as_str()));
    }

    /// Merges records into the list. After a return of the store, nodes that are missing count until the list is read
    /// the next time, or would be: they register again, and limits that all nodes share must not be divided among too
    /// few.
    fn merge(
        &mut self,
        state: &EntryState,
        end: LogPosition,
        records: &[Record],
        is_listed: impl Fn(&NodeId) -> bool,
    ) -> Vec<PeerNode> {
        let is_restored = self.era.advance(end.era);
        let decoded = decode_nodes(state, records);
        self.has_own |= decoded.contains(&state.local_peer());
        if !self.has_own && state.has_own_entry_before(end) {
            state.own_entry_missing.notify(usize::MAX);
        }
        if is_restored {
            defer_removals(state, &is_listed);
        }
        for peer in &decoded {
            state.cancel_removal(&Removal::Node(peer.node.clone()));
        }
        merge(state, &decoded, |node| is_restored || is_listed(node));
        decoded
    }
}

/// Defers the removal of the known nodes that aren't listed.
fn defer_removals(state: &EntryState, is_listed: impl Fn(&NodeId) -> bool) {
    let due = clock::now() + NODES_READ_INTERVAL;
    let nodes = state.nodes.load();
    let missing = nodes.iter().filter(|peer| !is_listed(&peer.node));
    for peer in missing.filter(|peer| peer.node != state.settings.node) {
        state.defer(Removal::Node(peer.node.clone()), due);
    }
}

fn merge(state: &EntryState, decoded: &[PeerNode], is_kept: impl Fn(&NodeId) -> bool) {
    let known = state.nodes.load();
    let kept = known.iter().filter(|peer| is_kept(&peer.node));
    let own = state.local_peer();
    let all = kept.chain(decoded).chain([&own]);
    let mut nodes: IndexMap<&NodeId, &PeerNode> = all.map(|peer| (&peer.node, peer)).collect();
    nodes.sort_unstable_keys();
    let nodes = nodes.into_values().cloned().collect();
    state.nodes.store(Arc::new(nodes));
}

fn decode_nodes(state: &EntryState, records: &[Record]) -> Vec<PeerNode> {
    let mut nodes = Vec::with_capacity(records.len());
    for record in records {
        let (Some(key), Some(value)) = (&record.key, &record.value) else {
            continue;
        };
        match serde_json::from_slice::<PeerNode>(value) {
            Ok(peer) => nodes.push(peer),
            Err(error) => log_ignored_record(state, Topic::Nodes, key, &error.to_string()),
        }
    }
    nodes
}

/// Waits for about `delay`, and returns the next delay.
async fn back_off(delay: Duration) -> Duration {
    sleep(delay.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    (2 * delay).min(MAX_REGISTRATION_DELAY)
}
