//! Which node owns an endpoint's allowance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamecart_vocabulary::{
    EndpointId, NodeId, SHARD_COUNT, ShardId, Timestamp, rendezvous_weight_of, stable_hash,
};

use crate::actions::Directory;

/// How long a table of owners is used before it is made anew.
///
/// Rendezvous order over all shards and nodes for each message would cost a large fleet's nodes
/// more than all else that they do for control.
const TABLE_AGE: Duration = Duration::from_secs(1);

/// Finds the owner of an endpoint: the node that rendezvous order names for the endpoint's shard
/// among the nodes that answer.
///
/// Shard leases will take its place. Until then two nodes that suspect each other can both lend for
/// an endpoint, and their sums add up; a lease excludes that.
#[derive(Clone, Debug)]
pub(crate) struct Owners {
    me: NodeId,
    directory: Directory,
    table: Arc<Mutex<Table>>,
}

/// The owner of each shard.
#[derive(Debug, Default)]
struct Table {
    made: Timestamp,
    nodes: Vec<NodeId>,
    /// For each shard, the place of its owner among `nodes`.
    owners: Vec<usize>,
    /// Counts the tables that differed from the one before.
    version: u64,
}

impl Owners {
    pub(crate) fn new(me: NodeId, directory: Directory) -> Self {
        Self {
            me,
            directory,
            table: Arc::default(),
        }
    }

    fn table(&self, now: Timestamp) -> MutexGuard<'_, Table> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.owners.is_empty() || now - table.made >= TABLE_AGE {
            table.made = now;
            let nodes = self.directory.trusted(now);
            if nodes != table.nodes {
                table.owners = owners_among(&nodes);
                table.nodes = nodes;
                table.version += 1;
            }
        }
        table
    }

    /// Returns the owner of an endpoint.
    pub(super) fn of(&self, endpoint: &EndpointId, now: Timestamp) -> NodeId {
        let shard = ShardId::of(endpoint.as_str());
        let table = self.table(now);
        table.nodes[table.owners[usize::from(shard.0)]].clone()
    }

    /// Returns whether this node owns an endpoint.
    pub(super) fn is_mine(&self, endpoint: &EndpointId, now: Timestamp) -> bool {
        self.of(endpoint, now) == self.me
    }

    /// Returns a number that changes when owners may have changed.
    pub(super) fn version(&self, now: Timestamp) -> u64 {
        self.table(now).version
    }

    pub(super) const fn me(&self) -> &NodeId {
        &self.me
    }

    pub(super) fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.directory.address(node)
    }

    /// Notes whether another node answered.
    pub(super) fn note(&self, node: &NodeId, answered: bool, now: Timestamp) {
        if answered {
            self.directory.trust(node);
        } else {
            self.directory.suspect(node, now);
        }
    }
}

/// Names for each shard the place of the node that comes first in rendezvous order.
fn owners_among(nodes: &[NodeId]) -> Vec<usize> {
    let hashes: Vec<u64> = nodes
        .iter()
        .map(|node| stable_hash(node.as_str()))
        .collect();
    let owner = |shard: u16| {
        let key = stable_hash(&format!("allowance-{shard}"));
        let weight = |place: &usize| rendezvous_weight_of(key, hashes[*place]);
        (0..nodes.len()).max_by_key(weight).unwrap_or_default()
    };
    (0..SHARD_COUNT).map(owner).collect()
}
