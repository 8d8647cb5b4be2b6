//! A simulation of nodes, voters, links and a log in virtual time, driven by input bytes.

use std::time::Duration;

use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, ShardId, Timestamp};

use crate::settings::Mutant;
use crate::{
    ClaimRecord, Effect, Holder, LeaseSettings, Leases, NodeState, NodeView, ReleaseRecord, View,
    Vote, VoteAnswer,
};

pub(super) const NODES: usize = 4;
const SHARD: ShardId = ShardId(0);

/// The minimum choice byte for which an event affects all nodes, so that runs make more progress.
const ALL_NODES_CHOICE: u8 = 160;

#[derive(Clone, Debug)]
enum Record {
    Claim {
        holder: Holder,
        builds_on: Option<Epoch>,
        voters: Vec<NodeId>,
    },
    Release(ReleaseRecord),
}

#[derive(Clone, Debug)]
struct Append {
    by: usize,
    incarnation: Incarnation,
    record: Record,
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        from: usize,
        to: usize,
        vote: Vote,
    },
    Response {
        to: usize,
        incarnation: Incarnation,
        answer: VoteAnswer,
    },
}

#[derive(Debug)]
struct Node {
    leases: Leases,
    view: View,
    incarnation: Incarnation,
    /// The number of log records that the node has applied.
    applied: usize,
    /// The read in flight: its start time and the log's length at that time.
    read: Option<(Timestamp, usize)>,
    /// How much faster than true time the node's clock runs, in parts per million.
    drift_ppm: u64,
    is_leaving: bool,
    /// Whether the node can't reach the log although the log is available.
    is_disconnected: bool,
}

/// A violated invariant: two nodes acted at once, or an older epoch acted after a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Violation(pub(super) String);

/// Counters that show that a run exercised the protocol.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    pub(super) events: u64,
    pub(super) acquired: u64,
    pub(super) changes_of_holder: u64,
    pub(super) acted_in_outage: u64,
}

impl Coverage {
    pub(super) fn counts(self) -> [u64; 4] {
        [
            self.events,
            self.acquired,
            self.changes_of_holder,
            self.acted_in_outage,
        ]
    }
}

/// The simulated nodes, voters, links and log.
#[derive(Debug)]
pub(super) struct Simulation {
    now: Timestamp,
    log: Vec<Record>,
    log_up: bool,
    nodes: Vec<Node>,
    appends: Vec<Append>,
    messages: Vec<Message>,
    settings: LeaseSettings,
    /// The last holder that acted, its epoch, and the last time at which it could have sent a request.
    last: Option<(usize, Incarnation, Epoch, Timestamp)>,
    pub(super) coverage: Coverage,
}

fn node_id(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn index_of(node: &NodeId) -> usize {
    (0..NODES).find(|index| node_id(*index) == *node).unwrap()
}

fn all_live() -> View {
    let node = |index: usize| NodeView {
        failure_domain: format!("domain-{}", index % 3).parse().unwrap(),
        incarnation: Incarnation(0),
        state: NodeState::Live,
    };
    View {
        nodes: (0..NODES)
            .map(|index| (node_id(index), node(index)))
            .collect(),
    }
}

impl Simulation {
    pub(super) fn new(mutant: Option<Mutant>) -> Self {
        let settings = LeaseSettings {
            startup_delay: Duration::ZERO,
            unknown_holder_delay: Duration::ZERO,
            mutant,
            ..LeaseSettings::default()
        };
        let mut simulation = Self {
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
            log_up: true,
            nodes: Vec::new(),
            appends: Vec::new(),
            messages: Vec::new(),
            settings,
            last: None,
            coverage: Coverage::default(),
        };
        for index in 0..NODES {
            let node = simulation.new_node(index, Incarnation(1));
            simulation.nodes.push(node);
        }
        simulation
    }

    fn new_node(&self, index: usize, incarnation: Incarnation) -> Node {
        let holder = Holder {
            node: node_id(index),
            incarnation,
        };
        let drift_ppm = 1_000 * index as u64;
        let now = local_time(self.now, drift_ppm);
        Node {
            leases: Leases::new(holder, 1, self.settings, now).unwrap(),
            view: all_live(),
            incarnation,
            applied: 0,
            read: None,
            drift_ppm,
            is_leaving: false,
            is_disconnected: false,
        }
    }

    /// Executes the event that is encoded by two bytes, and checks the invariants.
    pub(super) fn step(&mut self, kind: u8, choice: u8) -> Result<(), Violation> {
        self.coverage.events += 1;
        let node = usize::from(choice) % NODES;
        let other = usize::from(choice / 16) % NODES;
        match kind {
            0..=54 => self.now = self.now + Duration::from_millis(u64::from(choice) * 3 + 20),
            55..=94 if choice >= ALL_NODES_CHOICE => (0..NODES).for_each(|node| self.read(node)),
            55..=94 => self.read(node),
            95..=144 if choice >= ALL_NODES_CHOICE => (0..NODES).for_each(|node| self.tick(node)),
            95..=144 => self.tick(node),
            145..=174 => self.apply_append(usize::from(choice)),
            175..=223 if choice >= ALL_NODES_CHOICE => {
                (0..4 * NODES).for_each(|which| self.deliver(which));
            }
            175..=223 => self.deliver(usize::from(choice)),
            224..=229 => self.refuse_or_drop(usize::from(choice)),
            230..=235 if choice >= ALL_NODES_CHOICE => {
                (0..NODES).for_each(|by| self.toggle_suspicion(node, by));
            }
            230..=235 => self.toggle_suspicion(node, other),
            236..=237 => self.log_up = !self.log_up,
            238..=239 => self.nodes[node].is_disconnected = !self.nodes[node].is_disconnected,
            240..=244 => self.forward_records(node, other),
            245..=248 => self.begin_read(node),
            249..=252 => self.restart(node),
            _ => self.leave(node),
        }
        self.check()
    }

    fn begin_read(&mut self, node: usize) {
        if self.log_up && !self.nodes[node].is_disconnected {
            let begun = local_time(self.now, self.nodes[node].drift_ppm);
            self.nodes[node].read = Some((begun, self.log.len()));
        }
    }

    /// Finishes the read in flight, or performs a complete one.
    fn read(&mut self, node: usize) {
        if self.nodes[node].read.is_none() {
            self.begin_read(node);
        }
        let Some((begun, end)) = self.nodes[node].read.take() else {
            return;
        };
        self.apply(node, end);
        let now = local_time(self.now, self.nodes[node].drift_ppm);
        self.nodes[node].leases.on_tail_read(begun, now);
    }

    fn apply(&mut self, node: usize, end: usize) {
        let from = self.nodes[node].applied;
        let now = local_time(self.now, self.nodes[node].drift_ppm);
        for offset in from..end {
            let leases = &mut self.nodes[node].leases;
            match &self.log[offset] {
                Record::Claim {
                    holder,
                    builds_on,
                    voters,
                } => {
                    let claim = ClaimRecord {
                        shard: SHARD,
                        epoch: Epoch(offset as u64),
                        holder: holder.clone(),
                        builds_on: *builds_on,
                        voters: voters.clone(),
                    };
                    leases.on_claim(&claim, now);
                }
                Record::Release(release) => leases.on_release(*release),
            }
        }
        self.nodes[node].applied = from.max(end);
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = local_time(self.now, node.drift_ppm);
        for effect in node.leases.tick(&node.view, now) {
            let record = match effect {
                Effect::AppendClaim(draft) => Record::Claim {
                    holder: Holder {
                        node: node_id(index),
                        incarnation: node.incarnation,
                    },
                    builds_on: draft.builds_on,
                    voters: draft.voters,
                },
                Effect::AppendRelease(release) => Record::Release(release),
                Effect::RequestVote { to, vote } => {
                    let to = index_of(&to);
                    self.messages.push(Message::Request {
                        from: index,
                        to,
                        vote,
                    });
                    continue;
                }
                Effect::Acquired { .. } => {
                    self.coverage.acquired += 1;
                    continue;
                }
                Effect::Lost { .. } => continue,
            };
            let incarnation = node.incarnation;
            self.appends.push(Append {
                by: index,
                incarnation,
                record,
            });
        }
    }

    /// Applies an append to the log, possibly long after it was sent; its reply is lost.
    fn apply_append(&mut self, choice: usize) {
        if self.log_up && !self.appends.is_empty() {
            let append = self.appends.swap_remove(choice % self.appends.len());
            self.log.push(append.record);
        }
    }

    /// Refuses an append or drops a message.
    fn refuse_or_drop(&mut self, choice: usize) {
        if choice.is_multiple_of(2) && !self.appends.is_empty() {
            let append = self.appends.swap_remove(choice % self.appends.len());
            let node = &mut self.nodes[append.by];
            let is_claim = matches!(append.record, Record::Claim { .. });
            if choice.is_multiple_of(4) && is_claim && node.incarnation == append.incarnation {
                node.leases.append_refused(SHARD);
            }
        } else if !self.messages.is_empty() {
            self.messages.swap_remove(choice % self.messages.len());
        }
    }

    fn deliver(&mut self, choice: usize) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.swap_remove(choice % self.messages.len()) {
            Message::Request { from, to, vote } => {
                let granted = self.nodes[to].leases.answer(&vote, &node_id(from));
                let voter = node_id(to);
                let incarnation = self.nodes[from].incarnation;
                let answer = VoteAnswer {
                    voter,
                    vote,
                    granted,
                };
                self.messages.push(Message::Response {
                    to: from,
                    incarnation,
                    answer,
                });
            }
            Message::Response {
                to,
                incarnation,
                answer,
            } => {
                let node = &mut self.nodes[to];
                let now = local_time(self.now, node.drift_ppm);
                if node.incarnation == incarnation {
                    node.leases.on_vote(&answer, now);
                }
            }
        }
    }

    fn toggle_suspicion(&mut self, of: usize, by: usize) {
        if of == by {
            return;
        }
        let view = &mut self.nodes[by].view.nodes[of];
        view.state = match view.state {
            NodeState::Live => NodeState::Suspected,
            NodeState::Suspected | NodeState::Leaving | NodeState::Gone => NodeState::Live,
        };
    }

    /// Forwards the records that one node has read to another.
    fn forward_records(&mut self, to: usize, from: usize) {
        let end = self.nodes[from].applied;
        self.apply(to, end);
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation.next();
        let node = self.new_node(index, incarnation);
        self.nodes[index] = node;
        for node in &mut self.nodes {
            node.view.nodes[index].incarnation = incarnation;
        }
    }

    fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_leaving {
            node.is_leaving = true;
            node.leases.leave();
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        let mut acting = None;
        for index in 0..NODES {
            let node = &self.nodes[index];
            let now = local_time(self.now, node.drift_ppm);
            let Some(epoch) = node.leases.may_act(SHARD, now) else {
                continue;
            };
            if let Some((other, other_epoch)) = acting.replace((index, epoch)) {
                let text = format!("nodes {other} and {index} act under {other_epoch} and {epoch}");
                return Err(Violation(text));
            }
            self.check_epoch(index, epoch, now)?;
        }
        Ok(())
    }

    /// Checks that epochs never decrease, and that endpoints that don't check epochs are safe as well.
    fn check_epoch(&mut self, index: usize, epoch: Epoch, now: Timestamp) -> Result<(), Violation> {
        let incarnation = self.nodes[index].incarnation;
        if let Some((holder, last_incarnation, last_epoch, acted_at)) = self.last {
            if epoch < last_epoch {
                return Err(Violation(format!("epoch {epoch} acts after {last_epoch}")));
            }
            if (holder, last_incarnation) != (index, incarnation) {
                self.coverage.changes_of_holder += 1;
                let owners = self.nodes[index].leases.owners();
                let drift = self.settings.drift;
                let may_be_in_flight = self.now + drift < acted_at + self.settings.max_request_time;
                if may_be_in_flight && owners.may_act_unfenced(SHARD, now).is_some() {
                    return Err(Violation(format!(
                        "{index} sends unfenced requests while those of {holder} may be in flight"
                    )));
                }
            }
        }
        let unfenced_epoch = self.nodes[index]
            .leases
            .owners()
            .may_act_unfenced(SHARD, now);
        let is_same_holder = self
            .last
            .is_some_and(|(holder, last, ..)| (holder, last) == (index, incarnation));
        if is_same_holder || unfenced_epoch.is_some() || self.last.is_none() {
            self.last = Some((index, incarnation, epoch, self.now));
        }
        if !self.log_up {
            self.coverage.acted_in_outage += 1;
        }
        Ok(())
    }
}

/// Returns the time on a node's clock, which runs faster than true time.
fn local_time(now: Timestamp, drift_ppm: u64) -> Timestamp {
    Timestamp(now.0 + now.0 / 1_000_000 * drift_ppm + now.0 % 1_000_000 * drift_ppm / 1_000_000)
}
