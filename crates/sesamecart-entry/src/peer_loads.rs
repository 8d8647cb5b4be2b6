//! The loads that entry nodes send each other.
//!
//! Many nodes choose among the same group heads. A node knows its own requests, but learns of the requests of
//! other nodes only when a head responds to it. That is too late for a prompt that another node has just
//! sent: two prompts then meet at one head, and the second caller waits while another head is idle. Each node
//! therefore sends its in-flight load to its peers at once or shortly after a change.
//! docs/decisions-under-faults.md describes the effect.

mod changes;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{
    Demand, LoadReport, MAX_WATCHED_PEERS, ModelDemand, NodeLoad, PeerNode, peers_to_watch,
};
use sesamecart_links::Links;
use sesamecart_links::feed::{self, WatchLoadsRequest};
use sesamecart_runtime::{Tasks, sleep, with_patience};
use sesamecart_vocabulary::{EndpointId, ModelId, NodeId, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
pub(crate) use crate::peer_loads::changes::{LoadChangesStream, load_changes};
use crate::state::EntryState;

const MILLI_GROUPS_PER_GROUP: f64 = 1_000.0;

/// How long a peer may send nothing before its loads are discarded. This tolerates two late keepalive
/// messages.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The delay before reconnecting to a peer whose stream failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(700);

/// How long a watched peer may send nothing before it counts as gone. A restarted process is back within one
/// to two seconds.
const PEER_GONE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the list of nodes is read again.
const NODES_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Parses the demand of a peer's callers. Models with invalid names are skipped, because no node serves them.
fn parse_demand(demand: &[feed::ModelDemand]) -> Demand {
    let models = demand.iter().filter_map(|entry| {
        let model: ModelId = entry.model.parse().ok()?;
        let urgent = entry.milli_urgent_groups.unwrap_or(entry.milli_groups);
        let demand = ModelDemand {
            groups: groups_from_milli(entry.milli_groups),
            urgent_groups: groups_from_milli(urgent),
        };
        Some((model, demand))
    });
    models.collect()
}

/// Formats the demand of this node's callers for its peers.
fn format_demand(demand: &Demand) -> Vec<feed::ModelDemand> {
    let models = demand.iter().map(|(model, demand)| {
        let milli_groups = groups_to_milli(demand.groups);
        let milli_urgent_groups = groups_to_milli(demand.urgent_groups);
        feed::ModelDemand {
            model: model.to_string(),
            milli_groups,
            milli_urgent_groups: (milli_urgent_groups != milli_groups)
                .then_some(milli_urgent_groups),
        }
    });
    models.collect()
}

fn groups_from_milli(milli_groups: u32) -> f64 {
    f64::from(milli_groups) / MILLI_GROUPS_PER_GROUP
}

fn groups_to_milli(groups: f64) -> u32 {
    (groups * MILLI_GROUPS_PER_GROUP).round() as u32
}

/// Watches the loads of peer nodes until the task is cancelled.
pub(crate) async fn watch_peers(state: Arc<EntryState>, links: Links, tasks: Tasks) {
    let mut watched = WatchedPeers::default();
    loop {
        let nodes = state.nodes.load_full();
        let gone = watched.gone(&state);
        let others = nodes.len().saturating_sub(1 + gone.len());
        state.loads().set_other_nodes(others);
        for peer in peers_to_watch(&state.settings.node, &nodes, &gone) {
            // A node that is added later may be nearer; peers that are already watched stay watched.
            let has_capacity = watched.0.len() < MAX_WATCHED_PEERS + gone.len();
            if has_capacity && !watched.0.contains_key(&peer.node) {
                watched.0.insert(peer.node.clone(), clock::now());
                tasks.spawn(watch_peer(Arc::clone(&state), links.clone(), peer.clone()));
            }
        }
        sleep(NODES_REFRESH_INTERVAL).await;
    }
}

/// The watched peers, and when each was last known to report its loads.
#[derive(Default)]
struct WatchedPeers(IndexMap<NodeId, Timestamp>);

impl WatchedPeers {
    /// Returns the peers that haven't reported for longer than `PEER_GONE_TIMEOUT`.
    ///
    /// The list of nodes also contains nodes that were replaced. If these counted as unreachable peers, each
    /// would add its share to the estimated load of every head, and callers would be refused while slots are
    /// free.
    fn gone(&mut self, state: &EntryState) -> IndexSet<NodeId> {
        let now = clock::now();
        let loads = state.loads();
        for (node, last_reported_at) in &mut self.0 {
            if loads.is_reporting(node) {
                *last_reported_at = now;
            }
        }
        let gone = self.0.iter();
        let gone =
            gone.filter(|(_, last_reported_at)| now.since(**last_reported_at) > PEER_GONE_TIMEOUT);
        gone.map(|(node, _)| node.clone()).collect()
    }
}

/// Watches the loads of one peer and reconnects whenever the stream ends.
async fn watch_peer(state: Arc<EntryState>, links: Links, peer: PeerNode) {
    let mut reachability = PeerReachability::new(&peer.node);
    loop {
        let cause = receive_loads(&state, &links, &peer, &mut reachability).await;
        state.loads().drop_peer(&peer.node);
        state.demand().drop_peer(&peer.node);
        reachability.mark_unreachable(&state, &cause);
        sleep(RECONNECT_DELAY).await;
    }
}

/// Whether the loads of a peer can be received. Each outage and each recovery is logged once.
struct PeerReachability {
    dependency: String,
    /// When the stream failed; `None` while it is up and before it was up for the first time.
    unreachable_since: Option<Timestamp>,
    was_reachable: bool,
}

impl PeerReachability {
    fn new(node: &NodeId) -> Self {
        Self {
            dependency: format!("loads of {node}"),
            unreachable_since: None,
            was_reachable: false,
        }
    }

    fn mark_reachable(&mut self, state: &EntryState) {
        self.was_reachable = true;
        let Some(unreachable_since) = self.unreachable_since.take() else {
            return;
        };
        state.events.write(&Event::DependencyRegained {
            dependency: &self.dependency,
            away_ms: millis(clock::now().since(unreachable_since)),
        });
    }

    fn mark_unreachable(&mut self, state: &EntryState, cause: &str) {
        if !self.was_reachable || self.unreachable_since.is_some() {
            return;
        }
        self.unreachable_since = Some(clock::now());
        state.events.write(&Event::DependencyLost {
            dependency: &self.dependency,
            cause,
        });
    }
}

/// Receives a peer's loads until the stream fails; returns the cause.
async fn receive_loads(
    state: &EntryState,
    links: &Links,
    peer: &PeerNode,
    reachability: &mut PeerReachability,
) -> String {
    let mut feed = links.feed_client(peer.links);
    let mut changes = match feed.watch_loads(WatchLoadsRequest {}).await {
        Ok(response) => response.into_inner(),
        Err(status) => return status.to_string(),
    };
    let mut endpoints: Vec<EndpointId> = Vec::new();
    loop {
        let next = match with_patience(SILENCE_TIMEOUT, changes.message()).await {
            Ok(Ok(Some(next))) => next,
            Ok(Ok(None)) => return "the stream ended".to_owned(),
            Ok(Err(status)) => return status.to_string(),
            Err(elapsed) => return elapsed.to_string(),
        };
        reachability.mark_reachable(state);
        if !next.demand.is_empty() {
            let demand = parse_demand(&next.demand);
            let now = clock::now();
            state.demand().apply_peer_demand(now, &peer.node, demand);
        }
        let mut loads = state.loads();
        loads.mark_reporting(&peer.node);
        for head in next.heads {
            if !head.endpoint.is_empty() {
                match head.endpoint.parse() {
                    Ok(id) => endpoints.push(id),
                    Err(_) => return "an endpoint's id is invalid".to_owned(),
                }
            }
            let Some(id) = endpoints.get(head.number as usize) else {
                return "an endpoint's number is unknown".to_owned();
            };
            let load = NodeLoad {
                in_flight: head.in_flight,
                waiting: head.waiting,
            };
            loads.apply_peer_load(&peer.node, id, load);
            if let Some(report) = head.report {
                let reported_at = clock::now() - Duration::from_millis(report.age_ms.into());
                let report = LoadReport {
                    running: report.running,
                    waiting: report.waiting,
                    slots: report.slots,
                };
                loads.apply_peer_report(id, report, reported_at);
            }
        }
    }
}
