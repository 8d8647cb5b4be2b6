//! A simulated cluster of nodes that exchange heartbeats in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexSet;
use prost::Message as _;
use sesamecart_links::message as wire;
use sesamecart_vocabulary::{Incarnation, NodeId, Timestamp};

use crate::{Liveness, Member, Membership, MembershipSettings, Message, Seed, Status};

const TICK: Duration = Duration::from_millis(200);

enum Delivery {
    Request {
        from: usize,
        to: usize,
        message: Message,
    },
    Reply {
        to: usize,
        message: Message,
    },
}

/// Nodes in three failure domains, with links that can be cut in one direction.
pub(super) struct Cluster {
    ids: IndexSet<NodeId>,
    nodes: Vec<Membership>,
    pub(super) now: Timestamp,
    /// The time until which each node is paused. A killed node is paused forever.
    paused_until: Vec<Timestamp>,
    /// The delay of messages to each node.
    pub(super) delay: Vec<Duration>,
    pub(super) cut_links: Vec<(usize, usize)>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sent: u64,
    pub(super) bytes_sent: Vec<u64>,
}

pub(super) fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn seed(index: usize) -> Seed {
    Seed {
        node: node_id(index),
        address: format!("10.0.{}.{}:7001", index / 200, index % 200 + 1)
            .parse()
            .unwrap(),
        failure_domain: format!("domain-{}", index % 3).parse().unwrap(),
    }
}

fn to_wire(member: &Member) -> wire::Member {
    wire::Member {
        node: member.node.to_string(),
        address: member.address.to_string(),
        failure_domain: member.failure_domain.to_string(),
        incarnation: member.incarnation.0,
        heartbeat: member.heartbeat,
        status: member.status as u32,
    }
}

fn encoded_len(message: &Message) -> u64 {
    let request = wire::HeartbeatRequest {
        sender: Some(to_wire(&message.sender)),
        members: message.members.iter().map(to_wire).collect(),
        next_offset: 1_000_000,
        revision: 1_000,
        drains: Vec::new(),
    };
    request.encoded_len() as u64
}

impl Cluster {
    /// Creates nodes that each have two seeds.
    pub(super) fn new(count: usize) -> Self {
        let nodes = (0..count).map(|index| {
            let own = seed(index);
            let me = Member {
                node: own.node,
                address: own.address,
                failure_domain: own.failure_domain,
                incarnation: Incarnation(1_764_700_000_000_000 + index as u64),
                heartbeat: 1,
                status: Status::Alive,
            };
            let settings = MembershipSettings::default();
            let mut node = Membership::new(me, settings, index as u64, Timestamp::ZERO);
            node.add_seeds([seed(0), seed((index + 1) % count)]);
            node
        });
        Self {
            ids: (0..count).map(node_id).collect(),
            nodes: nodes.collect(),
            now: Timestamp::ZERO,
            paused_until: vec![Timestamp::ZERO; count],
            delay: vec![Duration::from_millis(1); count],
            cut_links: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            bytes_sent: vec![0; count],
        }
    }

    /// Sends the state of all nodes to every node.
    pub(super) fn connect_all(&mut self) {
        let all: Vec<Member> = self
            .nodes
            .iter()
            .map(|node| node.local_member().clone())
            .collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let sender = all[(index + 1) % all.len()].clone();
            let members = all.clone();
            node.on_request(&Message { sender, members }, self.now);
        }
    }

    pub(super) fn pause(&mut self, node: usize, time: Duration) {
        self.paused_until[node] = self.now + time;
    }

    pub(super) fn kill(&mut self, node: usize) {
        self.paused_until[node] = Timestamp::NEVER;
    }

    /// Advances the time and calls `inspect` after each tick.
    pub(super) fn run(&mut self, time: Duration, mut inspect: impl FnMut(&Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.now < self.paused_until[index] {
                    continue;
                }
                for probe in self.nodes[index].tick(self.now) {
                    let to = self.ids.get_index_of(&probe.to.node);
                    let to = to.expect("only these nodes exist");
                    self.bytes_sent[index] += encoded_len(&probe.message);
                    if self.cut_links.contains(&(index, to)) {
                        continue;
                    }
                    let message = probe.message;
                    let delivery = Delivery::Request {
                        from: index,
                        to,
                        message,
                    };
                    self.send(self.delay[to], delivery);
                }
            }
            inspect(self);
        }
    }

    /// Returns the standing of the node `subject` in the view of the node `observer`.
    pub(super) fn standing(&self, subject: usize, observer: usize) -> Option<Liveness> {
        let id = node_id(subject);
        let mut members = self.nodes[observer].members(self.now);
        members
            .find(|(member, _)| member.node == id)
            .map(|(_, standing)| standing)
    }

    /// Counts the nodes of `of` that have this liveness in the view of each node of `by`, summed over `by`.
    pub(super) fn count(
        &self,
        of: impl Iterator<Item = usize>,
        by: impl Iterator<Item = usize>,
        standing: Liveness,
    ) -> usize {
        let of: IndexSet<NodeId> = of.map(node_id).collect();
        by.map(|by| {
            let members = self.nodes[by].members(self.now);
            members
                .filter(|(member, found)| *found == standing && of.contains(&member.node))
                .count()
        })
        .sum()
    }

    fn send(&mut self, after: Duration, delivery: Delivery) {
        self.sent += 1;
        self.queue.insert((self.now + after, self.sent), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Delivery::Request { from, to, message } => {
                    if self.paused_until[to] == Timestamp::NEVER {
                        continue;
                    }
                    if self.now < self.paused_until[to] {
                        let later = self.paused_until[to] - self.now;
                        self.send(later, Delivery::Request { from, to, message });
                        continue;
                    }
                    let reply = self.nodes[to].on_request(&message, self.now);
                    self.bytes_sent[to] += encoded_len(&reply);
                    if !self.cut_links.contains(&(to, from)) {
                        self.send(
                            self.delay[from],
                            Delivery::Reply {
                                to: from,
                                message: reply,
                            },
                        );
                    }
                }
                Delivery::Reply { to, message } => {
                    if self.now >= self.paused_until[to] {
                        self.nodes[to].on_reply(&message, self.now);
                    }
                }
            }
        }
    }
}
