//! Nodes, voters, links and a log in virtual time, driven by bytes.

use std::time::Duration;

use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, ShardId, Timestamp};

use crate::settings::Mutant;
use crate::{
    ClaimSeen, Effect, Holder, LeaseSettings, Leases, NodeState, NodeView, ReleaseSeen, View, Vote,
    VoteAnswer,
};

pub(super) const NODES: usize = 4;
const SHARD: ShardId = ShardId(0);

/// A choice from which on an event concerns all nodes, so that runs get further.
const MANY: u8 = 160;

#[derive(Clone, Debug)]
enum Record {
    Claim {
        holder: Holder,
        builds_on: Option<Epoch>,
        voters: Vec<NodeId>,
    },
    Release(ReleaseSeen),
}

#[derive(Clone, Debug)]
struct Append {
    by: usize,
    incarnation: Incarnation,
    record: Record,
}

#[derive(Clone, Debug)]
enum Message {
    Question {
        from: usize,
        to: usize,
        vote: Vote,
    },
    Answer {
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
    /// The records that it applied.
    applied: usize,
    /// A read under way: when it began, and the log's end then.
    read: Option<(Timestamp, usize)>,
    /// Its clock runs this many millionths faster.
    drift_ppm: u64,
    leaving: bool,
    /// Whether it can't reach the log although the log is up.
    cut_off: bool,
}

/// Two nodes acted at once, or an older epoch after a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Violation(pub(super) String);

/// What a run has seen, to show that it isn't empty.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    pub(super) events: u64,
    pub(super) acquired: u64,
    pub(super) changes_of_holder: u64,
    pub(super) acted_in_outage: u64,
}

impl Seen {
    pub(super) fn counts(self) -> [u64; 4] {
        [
            self.events,
            self.acquired,
            self.changes_of_holder,
            self.acted_in_outage,
        ]
    }
}

/// Nodes, voters, links and a log.
#[derive(Debug)]
pub(super) struct World {
    now: Timestamp,
    log: Vec<Record>,
    log_up: bool,
    nodes: Vec<Node>,
    appends: Vec<Append>,
    messages: Vec<Message>,
    settings: LeaseSettings,
    /// The last holder that acted, its epoch, and when it last might have.
    last: Option<(usize, Incarnation, Epoch, Timestamp)>,
    pub(super) seen: Seen,
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

impl World {
    pub(super) fn new(mutant: Option<Mutant>) -> Self {
        let settings = LeaseSettings {
            start_hold: Duration::ZERO,
            unheard_hold: Duration::ZERO,
            mutant,
            ..LeaseSettings::default()
        };
        let mut world = Self {
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
            log_up: true,
            nodes: Vec::new(),
            appends: Vec::new(),
            messages: Vec::new(),
            settings,
            last: None,
            seen: Seen::default(),
        };
        for index in 0..NODES {
            let node = world.fresh_node(index, Incarnation(1));
            world.nodes.push(node);
        }
        world
    }

    fn fresh_node(&self, index: usize, incarnation: Incarnation) -> Node {
        let holder = Holder {
            node: node_id(index),
            incarnation,
        };
        let drift_ppm = 1_000 * index as u64;
        let now = local(self.now, drift_ppm);
        Node {
            leases: Leases::new(holder, 1, self.settings, now).unwrap(),
            view: all_live(),
            incarnation,
            applied: 0,
            read: None,
            drift_ppm,
            leaving: false,
            cut_off: false,
        }
    }

    /// Does one event that two bytes choose, and checks the invariants.
    pub(super) fn step(&mut self, kind: u8, choice: u8) -> Result<(), Violation> {
        self.seen.events += 1;
        let node = usize::from(choice) % NODES;
        let other = usize::from(choice / 16) % NODES;
        match kind {
            0..=54 => self.now = self.now + Duration::from_millis(u64::from(choice) * 3 + 20),
            55..=94 if choice >= MANY => (0..NODES).for_each(|node| self.read(node)),
            55..=94 => self.read(node),
            95..=144 if choice >= MANY => (0..NODES).for_each(|node| self.tick(node)),
            95..=144 => self.tick(node),
            145..=174 => self.land(usize::from(choice)),
            175..=223 if choice >= MANY => {
                (0..4 * NODES).for_each(|which| self.deliver(which));
            }
            175..=223 => self.deliver(usize::from(choice)),
            224..=229 => self.lose(usize::from(choice)),
            230..=235 if choice >= MANY => {
                (0..NODES).for_each(|by| self.toggle_suspicion(node, by));
            }
            230..=235 => self.toggle_suspicion(node, other),
            236..=237 => self.log_up = !self.log_up,
            238..=239 => self.nodes[node].cut_off = !self.nodes[node].cut_off,
            240..=244 => self.pass_on(node, other),
            245..=248 => self.begin_read(node),
            249..=252 => self.restart(node),
            _ => self.leave(node),
        }
        self.check()
    }

    fn begin_read(&mut self, node: usize) {
        if self.log_up && !self.nodes[node].cut_off {
            let begun = local(self.now, self.nodes[node].drift_ppm);
            self.nodes[node].read = Some((begun, self.log.len()));
        }
    }

    /// Finishes the read under way, or does a whole one.
    fn read(&mut self, node: usize) {
        if self.nodes[node].read.is_none() {
            self.begin_read(node);
        }
        let Some((begun, end)) = self.nodes[node].read.take() else {
            return;
        };
        self.apply(node, end);
        let now = local(self.now, self.nodes[node].drift_ppm);
        self.nodes[node].leases.on_tail(begun, now);
    }

    fn apply(&mut self, node: usize, end: usize) {
        let from = self.nodes[node].applied;
        let now = local(self.now, self.nodes[node].drift_ppm);
        for offset in from..end {
            let leases = &mut self.nodes[node].leases;
            match &self.log[offset] {
                Record::Claim {
                    holder,
                    builds_on,
                    voters,
                } => {
                    let claim = ClaimSeen {
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
        let now = local(self.now, node.drift_ppm);
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
                Effect::AskVote { to, vote } => {
                    let to = index_of(&to);
                    self.messages.push(Message::Question {
                        from: index,
                        to,
                        vote,
                    });
                    continue;
                }
                Effect::Acquired { .. } => {
                    self.seen.acquired += 1;
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

    /// An append takes effect, maybe long after it was sent; its answer is lost.
    fn land(&mut self, choice: usize) {
        if self.log_up && !self.appends.is_empty() {
            let append = self.appends.swap_remove(choice % self.appends.len());
            self.log.push(append.record);
        }
    }

    /// An append is refused, or a message gets lost.
    fn lose(&mut self, choice: usize) {
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
            Message::Question { from, to, vote } => {
                let granted = self.nodes[to].leases.answer(&vote, &node_id(from));
                let voter = node_id(to);
                let incarnation = self.nodes[from].incarnation;
                let answer = VoteAnswer {
                    voter,
                    vote,
                    granted,
                };
                self.messages.push(Message::Answer {
                    to: from,
                    incarnation,
                    answer,
                });
            }
            Message::Answer {
                to,
                incarnation,
                answer,
            } => {
                let node = &mut self.nodes[to];
                let now = local(self.now, node.drift_ppm);
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

    /// A node that is cut off from the log gets what another has read.
    fn pass_on(&mut self, to: usize, from: usize) {
        let end = self.nodes[from].applied;
        self.apply(to, end);
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation.next();
        let node = self.fresh_node(index, incarnation);
        self.nodes[index] = node;
        for node in &mut self.nodes {
            node.view.nodes[index].incarnation = incarnation;
        }
    }

    fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.leaving {
            node.leaving = true;
            node.leases.leave();
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        let mut acting = None;
        for index in 0..NODES {
            let node = &self.nodes[index];
            let now = local(self.now, node.drift_ppm);
            let Some(epoch) = node.leases.may_act(SHARD, now) else {
                continue;
            };
            if let Some((other, other_epoch)) = acting.replace((index, epoch)) {
                let text = format!("nodes {other} and {index} act under {other_epoch} and {epoch}");
                return Err(Violation(text));
            }
            self.check_order(index, epoch, now)?;
        }
        Ok(())
    }

    /// Checks that epochs only rise, and that endpoints which check none are safe too.
    fn check_order(&mut self, index: usize, epoch: Epoch, now: Timestamp) -> Result<(), Violation> {
        let incarnation = self.nodes[index].incarnation;
        if let Some((holder, life, last, acted_at)) = self.last {
            if epoch < last {
                return Err(Violation(format!("epoch {epoch} acts after {last}")));
            }
            if (holder, life) != (index, incarnation) {
                self.seen.changes_of_holder += 1;
                let owners = self.nodes[index].leases.owners();
                let slack = self.settings.drift;
                let in_flight = self.now + slack < acted_at + self.settings.order_limit;
                if in_flight && owners.may_order_unchecked(SHARD, now).is_some() {
                    return Err(Violation(format!("{index} orders while {holder}'s fly")));
                }
            }
        }
        let first_order = self.nodes[index]
            .leases
            .owners()
            .may_order_unchecked(SHARD, now);
        let same = self
            .last
            .is_some_and(|(holder, life, ..)| (holder, life) == (index, incarnation));
        if same || first_order.is_some() || self.last.is_none() {
            self.last = Some((index, incarnation, epoch, self.now));
        }
        if !self.log_up {
            self.seen.acted_in_outage += 1;
        }
        Ok(())
    }
}

/// Returns what a node's clock shows; it runs faster than the true time.
fn local(now: Timestamp, drift_ppm: u64) -> Timestamp {
    Timestamp(now.0 + now.0 / 1_000_000 * drift_ppm + now.0 % 1_000_000 * drift_ppm / 1_000_000)
}
