//! Which other nodes there are.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::PeerNode;
use sesamecart_platform::{Expected, NewestPage, Record, Store, StoreError, Topic};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::NodeId;

use super::{Dependency, RETRY_DELAY, ignore};
use crate::beliefs::Beliefs;

#[cfg(test)]
mod tests;

/// How often the list of nodes is read.
const NODES_EVERY: Duration = Duration::from_secs(10);

/// How long a node of a deployment that starts waits for the others to tell of themselves: they all
/// start at about once, and the store takes a few milliseconds for each.
///
/// Without the wait each node knows nobody but itself, takes itself for the one that reads the store,
/// and does so for seconds.
const OTHERS_START: Duration = Duration::from_millis(800);

/// How soon the list is read again by a node that reads the store since a moment ago: nodes that told
/// of themselves late may read it in its place.
const NODES_AGAIN: Duration = Duration::from_secs(1);

/// What a node tells the others of itself, and what it reads of them in the store.
pub(super) struct NodesTopic {
    dependency: Dependency,
}

impl NodesTopic {
    pub(super) const fn new() -> Self {
        Self {
            dependency: Dependency::new("store, nodes"),
        }
    }

    /// Tells the other nodes of this one, and learns who there is.
    pub(super) async fn register(&mut self, beliefs: &Beliefs, store: &Store) {
        let own = beliefs.own_entry();
        if beliefs.settings.first_start {
            // Nobody can have been here before, so there is nothing to read yet.
            while !self.tell(beliefs, store, &own).await {
                sleep(RETRY_DELAY).await;
            }
            sleep(OTHERS_START).await;
            let _nodes = self.read(beliefs, store).await;
            return;
        }
        loop {
            match self.read(beliefs, store).await {
                // This node was here before its process started again.
                Some(nodes) if nodes.contains(&own) => return,
                Some(_) if self.tell(beliefs, store, &own).await => return,
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads again and again who there is.
    ///
    /// Bounds that hold for all nodes together are kept by shares, for which a node has to know how
    /// many there are. A node that was killed stays in the list, which makes the shares smaller, never
    /// larger.
    pub(super) async fn run(&mut self, beliefs: &Beliefs, store: &Store) {
        // Those that follow this node are served once it has all topics.
        let mut next = match beliefs.feed.has(Topic::Nodes) {
            true => NODES_AGAIN,
            false => Duration::ZERO,
        };
        loop {
            sleep(next).await;
            next = match self.read(beliefs, store).await {
                Some(_) => NODES_EVERY,
                None => RETRY_DELAY,
            };
        }
    }

    async fn read(&mut self, beliefs: &Beliefs, store: &Store) -> Option<Vec<PeerNode>> {
        match read_nodes(store).await {
            Ok(page) => {
                let _was_away = self.dependency.answered(beliefs);
                let _reread = beliefs.feed.replace(Topic::Nodes, &page.records, page.end);
                let records = page.records.into_iter().map(|stored| stored.record);
                let records: Vec<Record> = records.collect();
                Some(replace_nodes(beliefs, &records, &IndexSet::new()))
            }
            Err(error) => {
                self.dependency.failed(beliefs, &error);
                None
            }
        }
    }

    async fn tell(&mut self, beliefs: &Beliefs, store: &Store, own: &PeerNode) -> bool {
        let value = match serde_json::to_vec(own) {
            Ok(value) => value,
            Err(error) => {
                log::error!("follower: this node's entry can't be written: {error}.");
                return false;
            }
        };
        let record = Record {
            key: Some(own.node.to_string()),
            value: Some(value),
        };
        let appended = store
            .append(Topic::Nodes, &record, Expected::Anything)
            .await;
        if let Err(error) = &appended {
            self.dependency.failed(beliefs, error);
        }
        appended.is_ok()
    }
}

/// Takes all of the list in: the records, and the nodes besides whose records haven't changed. Returns the nodes
/// that the records tell of.
pub(super) fn replace_nodes(
    beliefs: &Beliefs,
    records: &[Record],
    unchanged: &IndexSet<String>,
) -> Vec<PeerNode> {
    merge(beliefs, records, |node| unchanged.contains(node.as_str()))
}

/// Takes in what has changed of the list.
pub(super) fn apply_nodes(beliefs: &Beliefs, records: &[Record]) {
    let changed: IndexSet<&str> = records
        .iter()
        .filter_map(|record| record.key.as_deref())
        .collect();
    merge(beliefs, records, |node| !changed.contains(node.as_str()));
}

fn merge(
    beliefs: &Beliefs,
    records: &[Record],
    is_kept: impl Fn(&NodeId) -> bool,
) -> Vec<PeerNode> {
    let named = decode_nodes(beliefs, records);
    let known = beliefs.nodes.load();
    let kept = known.iter().filter(|peer| is_kept(&peer.node));
    let own = beliefs.own_entry();
    let all = kept.chain(&named).chain([&own]);
    let mut nodes: IndexMap<&NodeId, &PeerNode> = all.map(|peer| (&peer.node, peer)).collect();
    nodes.sort_unstable_keys();
    let nodes = nodes.into_values().cloned().collect();
    beliefs.nodes.store(Arc::new(nodes));
    named
}

fn decode_nodes(beliefs: &Beliefs, records: &[Record]) -> Vec<PeerNode> {
    let mut nodes = Vec::with_capacity(records.len());
    for record in records {
        let (Some(key), Some(value)) = (&record.key, &record.value) else {
            continue;
        };
        match serde_json::from_slice::<PeerNode>(value) {
            Ok(peer) => nodes.push(peer),
            Err(error) => ignore(beliefs, Topic::Nodes, key, &error.to_string()),
        }
    }
    nodes
}

async fn read_nodes(store: &Store) -> Result<NewestPage, StoreError> {
    let mut page = store.newest(Topic::Nodes, None).await?;
    while let Some(after) = page.next.take() {
        let more = store.newest(Topic::Nodes, Some(&after)).await?;
        page.records.extend(more.records);
        page.next = more.next;
    }
    Ok(page)
}
