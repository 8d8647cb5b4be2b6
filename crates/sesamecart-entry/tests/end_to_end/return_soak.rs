//! A seeded soak of returns of the store, beside changes, revoked keys, starts and partitions of nodes.
//!
//! The environment chooses other runs: `RETURN_SOAK_SEED`, the first seed, `RETURN_SOAK_RUNS` and
//! `RETURN_SOAK_NODES`.

use std::time::{Duration, Instant};

use fastrand::Rng;
use serde_json::{Value, json};
use sesamecart_entry::Entry;
use sesamecart_platform_standins::Outage;

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};
use crate::store_proxy::StoreProxy;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 2;
const DEFAULT_NODES: u64 = 4;

/// The number of returns in a run.
const RETURNS: u64 = 3;

/// The key that no configuration takes away.
const KEPT_KEY: &str = "key-1";

/// How long after its acknowledgement a key that was taken away may still be accepted.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// A node with its own way to the store.
struct Node {
    name: String,
    to_store: StoreProxy,
    entry: Entry,
    /// The newest version that this incarnation was seen to have.
    version: u64,
    /// The version that it must have once it is ready.
    ready_with: u64,
}

/// What happens to one node at a return.
#[derive(Clone, Copy, Debug)]
enum NodeFault {
    None,
    /// It is killed and started again.
    Restart,
    /// It doesn't reach the store for some time before and after.
    Cut,
    /// Its connections to the store fall silent.
    Stall,
}

struct Soak {
    deployment: Deployment,
    nodes: Vec<Node>,
    rng: Rng,
    /// When each configuration was acknowledged, from version 1 on.
    acked: Vec<Instant>,
}

/// Returns the keys of a version: each version adds one, which the next but one takes away.
fn keys(version: u64) -> Vec<String> {
    let own = [version, version.saturating_sub(1)].map(|version| format!("k{version}"));
    own.into_iter().chain([KEPT_KEY.to_owned()]).collect()
}

impl Soak {
    fn start(seed: u64, nodes: u64) -> Self {
        let deployment = Deployment::start(1);
        let nodes = (0..nodes).map(|index| {
            let name = format!("n{}", index + 2);
            let to_store = StoreProxy::start(deployment.store.address());
            let entry = deployment.start_node_at(&name, to_store.address);
            Node {
                name,
                to_store,
                entry,
                version: 0,
                ready_with: 0,
            }
        });
        Self {
            nodes: nodes.collect(),
            deployment,
            rng: Rng::with_seed(seed),
            acked: vec![Instant::now()],
        }
    }

    fn newest(&self) -> u64 {
        self.acked.len() as u64
    }

    fn configuration(&self, version: u64) -> Value {
        let keys = keys(version);
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        self.deployment.configuration_with_keys(version, &keys)
    }

    fn publish_next(&mut self) {
        let version = self.newest() + 1;
        let configuration = self.configuration(version);
        self.deployment.store.publish("config", &configuration);
        self.acked.push(Instant::now());
    }

    /// Checks what each node does, again and again for some time.
    fn watch_for(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.check();
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn check(&mut self) {
        let revoked = self.rng.u64(1..=self.newest());
        let revoked_at = self.acked.get(revoked as usize + 1).copied();
        for node in &mut self.nodes {
            let version = node.entry.state().configuration_version();
            assert!(
                version >= node.version,
                "{} went back to {version}",
                node.name
            );
            node.version = version;
            if version < node.ready_with {
                let readiness = self.deployment.readiness_of(&node.entry);
                assert_ne!(readiness, 200, "{} is ready with {version}", node.name);
            }
            let Some(revoked_at) = revoked_at.filter(|at| at.elapsed() > REVOCATION_BOUND) else {
                continue;
            };
            let key = format!("k{revoked}");
            let id = format!("r{}", self.rng.u64(..));
            let response = self.deployment.send_request_to(
                &node.entry,
                RequestKind::Lookup,
                &id,
                &key,
                DEFAULT_DEADLINE,
            );
            let age = revoked_at.elapsed();
            assert_ne!(
                response.status, 200,
                "{} accepted {key} after {age:?}",
                node.name
            );
        }
    }

    fn wait_for_newest(&self) {
        let newest = self.newest();
        self.deployment
            .wait_until("all nodes have the newest configuration", || {
                let mut nodes = self.nodes.iter().map(|node| &node.entry);
                nodes.all(|node| node.state().configuration_version() == newest)
            });
    }

    fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }

    fn begin_fault(&self, fault: NodeFault, index: usize) {
        let node = &self.nodes[index];
        match fault {
            NodeFault::Cut => node.to_store.close(),
            NodeFault::Stall => node.to_store.stall(),
            NodeFault::None | NodeFault::Restart => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let newest = self.newest();
        let node = &mut self.nodes[index];
        let entry = self
            .deployment
            .start_node_at(&node.name, node.to_store.address);
        std::mem::replace(&mut node.entry, entry).kill();
        node.version = 0;
        node.ready_with = newest;
    }

    /// Lets the store return from a copy that lacks some configurations, and writes the newest again at once or later.
    fn return_store(&mut self) {
        let index = self.rng.usize(..self.nodes.len());
        let faults = [
            NodeFault::None,
            NodeFault::Restart,
            NodeFault::Cut,
            NodeFault::Stall,
        ];
        let fault = faults[self.rng.usize(..faults.len())];
        let copy = self.deployment.store.copy();
        for _ in 0..self.rng.u64(1..5) {
            self.publish_next();
            let pause = self.draw_ms(50..700);
            self.watch_for(pause);
        }
        self.wait_for_newest();
        self.begin_fault(fault, index);
        let outages = [Outage::Unavailable, Outage::Unresponsive];
        self.deployment
            .store
            .set_outage(outages[self.rng.usize(..outages.len())]);
        let outage = self.draw_ms(50..1_500);
        self.watch_for(outage);
        let is_early = self.rng.bool();
        let newest = self.configuration(self.newest());
        let empty = json!({});
        let others: Vec<String> = (0..self.rng.u64(..6))
            .map(|index| format!("other-{index}"))
            .collect();
        let others = others.iter().map(|key| (key.as_str(), &empty));
        let newest = is_early.then_some(("config", &newest));
        let rewritten: Vec<(&str, &Value)> = newest.into_iter().chain(others).collect();
        self.deployment.store.return_from_with(&copy, &rewritten);
        self.deployment.store.set_outage(Outage::None);
        if matches!(fault, NodeFault::Restart) {
            self.restart(index);
        }
        let until_rewritten = self.draw_ms(0..3_000);
        self.watch_for(until_rewritten);
        if !is_early {
            let newest = self.configuration(self.newest());
            self.deployment.store.publish("config", &newest);
        }
        let until_reopened = self.draw_ms(0..1_500);
        self.watch_for(until_reopened);
        self.nodes[index].to_store.reopen();
        self.wait_for_newest();
    }

    fn finish(self) {
        for node in self.nodes {
            node.entry.kill();
        }
        self.deployment.kill();
    }
}

fn parse_env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against any course of returns after which a node serves by a configuration that it knew to be replaced.
#[test]
fn nodes_keep_to_the_newest_configuration_across_returns() {
    let first = parse_env("RETURN_SOAK_SEED", DEFAULT_SEED);
    for seed in first..first + parse_env("RETURN_SOAK_RUNS", DEFAULT_RUNS) {
        eprintln!("RETURN_SOAK_SEED={seed}");
        let mut soak = Soak::start(seed, parse_env("RETURN_SOAK_NODES", DEFAULT_NODES));
        soak.wait_for_newest();
        for _ in 0..RETURNS {
            soak.return_store();
        }
        soak.finish();
    }
}
