//! Three nodes share the shards while the log goes out and nodes go.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use sesamecart_config::Settings;
use sesamecart_node::Node;
use sesamecart_runtime::Signal;
use sesamecart_standins::{LogConfig, LogFaults, LogOutage, LogService};
use sesamecart_vocabulary::{SHARD_COUNT, ShardId};

/// How long all shards may take to have an owner; far above what they take.
const LIMIT: Duration = Duration::from_secs(60);

/// How long an outage lasts in the tests: longer than a lease.
const OUTAGE: Duration = Duration::from_secs(5);

const POLL: Duration = Duration::from_millis(20);

struct Nodes {
    log: LogService,
    nodes: Vec<Node>,
}

impl Nodes {
    /// Starts three nodes and waits until each shard has an owner that may act.
    fn start() -> Self {
        let log = LogService::start(LogConfig::default()).expect("start the log");
        let mut nodes: Vec<Node> = Vec::new();
        for (index, domain) in ["muscat-a", "muscat-b", "muscat-c"].iter().enumerate() {
            let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
            let peers = nodes.iter().map(|node| {
                let settings = &node.shared().settings;
                json!({
                    "node": settings.node, "address": node.links(),
                    "failure_domain": settings.failure_domain,
                })
            });
            let settings = json!({
                "node": format!("node-{index}"), "failure_domain": domain, "region": "muscat",
                "callers": loopback, "administration": loopback, "links": loopback,
                "log": { "address": log.address(), "poll_ms": 100 },
                "peers": peers.collect::<Vec<_>>(),
                "traffic_threads": 1, "balancer_delay_ms": 10, "leave_limit_ms": 20_000,
            });
            let settings: Settings = serde_json::from_value(settings).expect("settings");
            nodes.push(Node::start(settings).expect("start the node"));
        }
        let nodes = Self { log, nodes };
        nodes.wait_for_owners("after the start");
        nodes
    }

    /// Returns how many nodes may act for each shard; more than one is a fault.
    fn owned(&self) -> usize {
        let shards = (0..SHARD_COUNT).map(ShardId);
        let owned = shards.filter(|shard| {
            let acting = self
                .nodes
                .iter()
                .filter(|node| node.shared().may_act(*shard).is_some())
                .count();
            assert!(acting <= 1, "{acting} nodes act for shard {shard}");
            acting == 1
        });
        owned.count()
    }

    fn wait_for_owners(&self, when: &str) {
        let begun = Instant::now();
        loop {
            let owned = self.owned();
            if owned == usize::from(SHARD_COUNT) {
                println!("all shards are owned {when}: {:?}", begun.elapsed());
                return;
            }
            assert!(begun.elapsed() < LIMIT, "{owned} shards are owned {when}");
            std::thread::sleep(POLL);
        }
    }

    fn set_log(&self, outage: LogOutage) {
        self.log.set_faults(LogFaults {
            outage,
            ..LogFaults::default()
        });
    }
}

/// The platform's log goes out for longer than a lease lasts. Owners must go on by their voters'
/// promises, or every group and endpoint that needs its owner would stand still until it is back.
#[test]
fn owners_go_on_while_the_log_is_out() {
    let nodes = Nodes::start();
    nodes.set_log(LogOutage::Refusing);
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE {
        assert_eq!(
            nodes.owned(),
            usize::from(SHARD_COUNT),
            "{:?}",
            begun.elapsed()
        );
        std::thread::sleep(POLL);
    }
    nodes.set_log(LogOutage::None);
    nodes.wait_for_owners("after the outage");
}

/// A VM is lost without a word. Its shards must get other owners, never two at a time.
#[test]
fn shards_of_a_lost_node_get_other_owners() {
    let mut nodes = Nodes::start();
    nodes.nodes.remove(0).kill();
    nodes.wait_for_owners("after a node was lost");
}

/// A node is replaced for an upgrade. It hands its shards over before it goes.
#[test]
fn leaving_node_hands_its_shards_over() {
    let mut nodes = Nodes::start();
    let leaving = nodes.nodes.remove(0);
    let (_hurry, never) = Signal::new();
    async_io::block_on(leaving.leave(&never));
    nodes.wait_for_owners("after a node left");
}
