//! Nodes tell each other what they have at the heads of groups.
//!
//! It answers many nodes that choose among the same heads: each sees its own requests, and hears of the
//! others' only when a head answers it. A prompt that another node has just sent is invisible, and two of
//! them at one head make the second caller wait while another head reads nothing. What a node has is
//! told at once, or soon after; docs/decisions-under-faults.md has what that is worth.

mod changes;

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{Demand, LoadReport, MAX_WATCHED_PEERS, NodeLoad, PeerNode, peers_to_watch};
use sesamecart_links::Links;
use sesamecart_links::feed::{ModelDemand, WatchLoadsRequest};
use sesamecart_runtime::{Tasks, sleep, within};
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
pub(crate) use crate::exchange::changes::{Changes, changes};
use crate::follower::millis;

const MILLIS: f64 = 1_000.0;

/// How long a node may say nothing before what it said counts no more: two such messages may be late.
const SILENT_MOST: Duration = Duration::from_millis(1_200);

/// The rest before a node that couldn't be heard is asked again.
const REST: Duration = Duration::from_millis(700);

/// How long a watched node tells nothing before it is taken for gone, as a process is back within a second
/// or two of its end.
const GONE_AFTER: Duration = Duration::from_secs(3);

/// How often it is looked up which nodes there are.
const NODES_EVERY: Duration = Duration::from_millis(500);

/// Reads what another node's callers ask; models whose names can't be read aren't served by anybody.
fn read_demand(demand: &[ModelDemand]) -> Demand {
    let models = demand.iter().filter_map(|asked| {
        let model = asked.model.parse().ok()?;
        Some((model, f64::from(asked.milli_groups) / MILLIS))
    });
    models.collect()
}

/// Watches the loads of other nodes until the task is cancelled.
pub(crate) async fn watch_peers(beliefs: Arc<Beliefs>, links: Links, tasks: Tasks) {
    let mut watched = Watched::default();
    loop {
        let nodes = beliefs.nodes.load_full();
        let gone = watched.gone(&beliefs);
        let others = nodes.len().saturating_sub(1 + gone.len());
        beliefs.loads().set_others(others);
        for peer in peers_to_watch(&beliefs.settings.node, &nodes, &gone) {
            // Another one may come nearer later on; those that are watched by then stay.
            let is_free = watched.0.len() < MAX_WATCHED_PEERS + gone.len();
            if is_free && !watched.0.contains_key(&peer.node) {
                watched.0.insert(peer.node.clone(), clock::now());
                tasks.spawn(watch(Arc::clone(&beliefs), links.clone(), peer.clone()));
            }
        }
        sleep(NODES_EVERY).await;
    }
}

/// The nodes that are watched, and when each was last known to tell its loads.
#[derive(Default)]
struct Watched(IndexMap<NodeId, Timestamp>);

impl Watched {
    /// Returns the nodes that have told nothing for long.
    ///
    /// The list of nodes keeps those that were replaced. Taken for nodes that can't be heard, each would
    /// add its share to what is guessed at every head, and callers would be refused with slots free.
    fn gone(&mut self, beliefs: &Beliefs) -> IndexSet<NodeId> {
        let now = clock::now();
        let loads = beliefs.loads();
        for (node, told_at) in &mut self.0 {
            if loads.is_reporting(node) {
                *told_at = now;
            }
        }
        let gone = self.0.iter();
        let gone = gone.filter(|(_, told_at)| now.since(**told_at) > GONE_AFTER);
        gone.map(|(node, _)| node.clone()).collect()
    }
}

async fn watch(beliefs: Arc<Beliefs>, links: Links, peer: PeerNode) {
    let mut hearing = Hearing::new(&peer.node);
    loop {
        let ended = hear(&beliefs, &links, &peer, &mut hearing).await;
        beliefs.loads().drop_peer(&peer.node);
        beliefs.demand().drop_peer(&peer.node);
        hearing.ended(&beliefs, &ended);
        sleep(REST).await;
    }
}

/// Whether a node can be heard; its loss and return are logged once each.
struct Hearing {
    dependency: String,
    /// When it couldn't be heard any more; nothing while it can, and before it ever could.
    lost_at: Option<Timestamp>,
    was_heard: bool,
}

impl Hearing {
    fn new(node: &NodeId) -> Self {
        Self {
            dependency: format!("loads of {node}"),
            lost_at: None,
            was_heard: false,
        }
    }

    fn begun(&mut self, beliefs: &Beliefs) {
        self.was_heard = true;
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        beliefs.events.write(&Event::DependencyRegained {
            dependency: &self.dependency,
            away_ms: millis(clock::now().since(lost_at)),
        });
    }

    fn ended(&mut self, beliefs: &Beliefs, cause: &str) {
        if !self.was_heard || self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(clock::now());
        beliefs.events.write(&Event::DependencyLost {
            dependency: &self.dependency,
            cause,
        });
    }
}

/// Hears a node's loads; returns why it can't be heard any more.
async fn hear(beliefs: &Beliefs, links: &Links, peer: &PeerNode, hearing: &mut Hearing) -> String {
    let mut feed = links.feed_of(peer.links);
    let mut changes = match feed.watch_loads(WatchLoadsRequest {}).await {
        Ok(response) => response.into_inner(),
        Err(status) => return status.to_string(),
    };
    let mut endpoints: Vec<EndpointId> = Vec::new();
    loop {
        let next = match within(SILENT_MOST, changes.message()).await {
            Ok(Ok(Some(next))) => next,
            Ok(Ok(None)) => return "the stream ended".to_owned(),
            Ok(Err(status)) => return status.to_string(),
            Err(elapsed) => return elapsed.to_string(),
        };
        hearing.begun(beliefs);
        if !next.demand.is_empty() {
            let demand = read_demand(&next.demand);
            let now = clock::now();
            beliefs.demand().apply_peer_demand(now, &peer.node, demand);
        }
        let mut loads = beliefs.loads();
        loads.mark_reporting(&peer.node);
        for head in next.heads {
            if !head.endpoint.is_empty() {
                match head.endpoint.parse() {
                    Ok(id) => endpoints.push(id),
                    Err(_) => return "an endpoint's name can't be read".to_owned(),
                }
            }
            let Some(id) = endpoints.get(head.number as usize) else {
                return "an endpoint's number wasn't given".to_owned();
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
