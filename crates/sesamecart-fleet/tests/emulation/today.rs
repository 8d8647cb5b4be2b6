//! Choices without a dispatcher, as nodes make them that hear few of the others.

use std::time::Duration;

use sesamecart_fleet::{Candidate, LoadReport, LoadTracker, NodeLoad};
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::decider::{Traffic, Verdict};
use super::shape::Shape;

/// The number of other nodes that a node hears.
const REPORTING_PEERS: usize = 7;

/// The encoded size of what a message tells of one head.
const HEAD_BYTES: f64 = 24.0;

/// The size of a message without what it tells of heads.
const MESSAGE_BYTES: f64 = 60.0;

/// The number of failure domains.
const DOMAINS: usize = 3;

/// What a node tells those that hear it.
#[derive(Clone, Copy, Debug)]
enum News {
    Load(NodeLoad),
    Report(LoadReport),
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Timestamp,
    head: usize,
    news: News,
}

/// A node that hears others, and how much of what each has told it knows.
#[derive(Debug)]
struct Node {
    loads: LoadTracker,
    peers: Vec<(usize, usize)>,
}

/// All nodes.
#[derive(Debug)]
pub struct Today {
    age: Duration,
    slots: u32,
    heads: Vec<EndpointId>,
    names: Vec<NodeId>,
    nodes: Vec<Node>,
    told: Vec<Vec<Told>>,
    rng: fastrand::Rng,
}

impl Today {
    pub fn new(shape: &Shape, age: Duration, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names: Vec<NodeId> = (0..shape.nodes)
            .map(|node| format!("node-{node}").parse().expect("a valid name"))
            .collect();
        let nodes = (0..shape.nodes).map(|node| Node::new(node, &names, &mut rng));
        Self {
            age,
            slots: shape.slots,
            heads: (0..shape.heads)
                .map(|head| format!("head-{head}").parse().expect("a valid name"))
                .collect(),
            nodes: nodes.collect(),
            names,
            told: vec![Vec::new(); shape.nodes],
            rng,
        }
    }

    pub fn choose(&mut self, now: Timestamp, node: usize) -> Verdict {
        self.hear(now, node);
        let slots = self.slots;
        let candidates = self.heads.iter().enumerate().map(|(index, id)| Candidate {
            id,
            slots,
            is_local: index % DOMAINS == node % DOMAINS,
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let rng = &mut self.rng;
        let chosen = self.nodes[node]
            .loads
            .choose(now, &candidates, || rng.f64());
        chosen.map_or(Verdict::Refuse, |choice| Verdict::Send(choice.index))
    }

    /// Applies what the other nodes have told by now.
    fn hear(&mut self, now: Timestamp, node: usize) {
        let known_at = now - self.age;
        let Node { loads, peers } = &mut self.nodes[node];
        for (peer, heard) in peers {
            let told = &self.told[*peer];
            while let Some(one) = told.get(*heard).filter(|one| one.at <= known_at) {
                let head = &self.heads[one.head];
                match one.news {
                    News::Load(load) => loads.apply_peer_load(&self.names[*peer], head, load),
                    News::Report(report) => loads.apply_peer_report(head, report, one.at),
                }
                *heard += 1;
            }
        }
    }

    pub fn record_sent(&mut self, now: Timestamp, node: usize, head: usize) {
        self.nodes[node].loads.record_sent(now, &self.heads[head]);
        self.tell_load(now, node, head);
    }

    pub fn record_start(
        &mut self,
        now: Timestamp,
        node: usize,
        head: usize,
        (running, waiting): (usize, usize),
    ) {
        let report = LoadReport {
            running: running as u32,
            waiting: waiting as u32,
            slots: self.slots,
        };
        let loads = &mut self.nodes[node].loads;
        loads.record_first_event(now, &self.heads[head]);
        loads.record_report(now, &self.heads[head], report);
        self.tell_load(now, node, head);
        self.tell(now, node, head, News::Report(report));
    }

    pub fn record_end(&mut self, now: Timestamp, node: usize, head: usize) {
        self.nodes[node].loads.record_end(&self.heads[head], true);
        self.tell_load(now, node, head);
    }

    fn tell_load(&mut self, now: Timestamp, node: usize, head: usize) {
        let id = &self.heads[head];
        let mut loads = self.nodes[node].loads.own_loads();
        let load = loads.find_map(|(known, load)| (known == id).then_some(load));
        let load = News::Load(load.unwrap_or_default());
        drop(loads);
        self.tell(now, node, head, load);
    }

    fn tell(&mut self, at: Timestamp, node: usize, head: usize, news: News) {
        self.told[node].push(Told { at, head, news });
    }

    /// Each node tells some others of all heads in every round.
    pub fn traffic(shape: &Shape, rounds: f64) -> Traffic {
        let messages = (2 * REPORTING_PEERS * shape.nodes) as f64 * rounds;
        let told = shape.heads as f64 * HEAD_BYTES;
        Traffic {
            messages,
            bytes: messages * (MESSAGE_BYTES + told),
        }
    }
}

impl Node {
    fn new(node: usize, names: &[NodeId], rng: &mut fastrand::Rng) -> Self {
        let mut others: Vec<usize> = (0..names.len()).filter(|other| *other != node).collect();
        rng.shuffle(&mut others);
        others.truncate(REPORTING_PEERS);
        let mut loads = LoadTracker::default();
        loads.set_other_nodes(names.len() - 1);
        for peer in &others {
            loads.mark_reporting(&names[*peer]);
        }
        Self {
            loads,
            peers: others.into_iter().map(|peer| (peer, 0)).collect(),
        }
    }
}
