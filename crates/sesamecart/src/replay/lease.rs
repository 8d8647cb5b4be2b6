//! Traces of shard leases: several nodes, one shard, the log, and links that fail.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use sesamecart_lease::{
    ClaimRecord, Effect, Holder, LeaseSettings, Leases, NodeState, NodeView, ReleaseRecord, View,
    VoteAnswer,
};
use sesamecart_vocabulary::{Epoch, FailureDomainId, Incarnation, NodeId, ShardId, Timestamp};

use super::{Line, ReplayError, require_outcome};

/// The time between two rounds, in which every node reads the log and does what is due.
const ROUND: Duration = Duration::from_millis(50);

/// The one shard of a trace.
const SHARD: ShardId = ShardId(0);

/// One step of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// A node starts.
    Start(Start),
    /// A node starts again and has forgotten everything.
    Restart(NodeId),
    /// A node does nothing, also answers nobody, until it is resumed.
    Pause(NodeId),
    /// It goes on.
    Resume(NodeId),
    /// A node begins to leave.
    Leave(NodeId),
    /// How the log is.
    Log(LogHealth),
    /// The nodes that can't reach the log.
    CutFromLog(IndexSet<NodeId>),
    /// The nodes that no other node reaches.
    CutFromNodes(IndexSet<NodeId>),
    /// What the nodes believe of others from now on.
    Believe(IndexMap<NodeId, Belief>),
    /// Time goes on, in milliseconds.
    RunMs(u64),
    /// Who acts now.
    Expect(Actor),
    /// Who has acted, in this order, and who acts at the end.
    Outcome(Outcome),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Start {
    node: NodeId,
    failure_domain: FailureDomainId,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum LogHealth {
    /// It takes appends and answers reads.
    #[default]
    Up,
    /// It refuses everything.
    Out,
    /// It answers reads, and appends vanish without an answer.
    LosingAppends,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Belief {
    Live,
    Leaving,
    Suspected,
    Gone,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Actor {
    acts: Option<NodeId>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcome {
    acts: Option<NodeId>,
    acted: Vec<NodeId>,
}

#[derive(Debug)]
struct Node {
    failure_domain: FailureDomainId,
    incarnation: Incarnation,
    leases: Leases,
    next: usize,
    is_paused: bool,
}

#[derive(Clone, Debug)]
enum Record {
    Claim(ClaimRecord),
    Release(ReleaseRecord),
}

/// A node that may act, and its fencing number.
#[derive(Clone, Debug)]
struct Acting {
    node: NodeId,
    epoch: Epoch,
}

#[derive(Debug, Default)]
struct Replay {
    now: Timestamp,
    nodes: IndexMap<NodeId, Node>,
    records: Vec<Record>,
    log: LogHealth,
    cut_from_log: IndexSet<NodeId>,
    cut_from_nodes: IndexSet<NodeId>,
    beliefs: IndexMap<NodeId, Belief>,
    acted: Vec<NodeId>,
    newest_epoch: Epoch,
    has_outcome: bool,
}

pub(super) fn replay(steps: &[Line]) -> Result<(), ReplayError> {
    let mut replay = Replay::default();
    for line in steps {
        replay.step(line)?;
    }
    require_outcome(steps, replay.has_outcome)
}

impl Replay {
    fn step(&mut self, line: &Line) -> Result<(), ReplayError> {
        match line.read()? {
            Step::Start(start) => self.start(line, start)?,
            Step::Restart(node) => self.restart(line, &node)?,
            Step::Pause(node) => self.node(line, &node)?.is_paused = true,
            Step::Resume(node) => self.node(line, &node)?.is_paused = false,
            Step::Leave(node) => {
                self.node(line, &node)?.leases.leave();
                self.beliefs.insert(node, Belief::Leaving);
            }
            Step::Log(log) => self.log = log,
            Step::CutFromLog(nodes) => self.cut_from_log = nodes,
            Step::CutFromNodes(nodes) => self.cut_from_nodes = nodes,
            Step::Believe(beliefs) => self.beliefs.extend(beliefs),
            Step::RunMs(time) => self.run(line, Duration::from_millis(time))?,
            Step::Expect(expect) => line.expect("acting node", &expect.acts, &self.actor())?,
            Step::Outcome(outcome) => {
                self.has_outcome = true;
                line.expect("acting node", &outcome.acts, &self.actor())?;
                line.expect("nodes that acted", &outcome.acted, &self.acted)?;
            }
        }
        Ok(())
    }

    fn start(&mut self, line: &Line, start: Start) -> Result<(), ReplayError> {
        let node = self.new_node(
            line,
            start.node.clone(),
            start.failure_domain,
            Incarnation(1),
        )?;
        self.nodes.insert(start.node, node);
        Ok(())
    }

    fn restart(&mut self, line: &Line, name: &NodeId) -> Result<(), ReplayError> {
        let old = self.node(line, name)?;
        let (domain, incarnation) = (old.failure_domain.clone(), old.incarnation.next());
        let node = self.new_node(line, name.clone(), domain, incarnation)?;
        self.nodes.insert(name.clone(), node);
        Ok(())
    }

    fn new_node(
        &self,
        line: &Line,
        node: NodeId,
        failure_domain: FailureDomainId,
        incarnation: Incarnation,
    ) -> Result<Node, ReplayError> {
        let me = Holder { node, incarnation };
        let settings = LeaseSettings::default();
        let leases = Leases::new(me, 1, settings, self.now).map_err(|error| ReplayError::Line {
            line: line.number,
            reason: error.to_string(),
        })?;
        Ok(Node {
            failure_domain,
            incarnation,
            leases,
            next: 0,
            is_paused: false,
        })
    }

    fn node(&mut self, line: &Line, name: &NodeId) -> Result<&mut Node, ReplayError> {
        self.nodes.get_mut(name).ok_or_else(|| ReplayError::Line {
            line: line.number,
            reason: format!("{name} was never started"),
        })
    }

    fn run(&mut self, line: &Line, time: Duration) -> Result<(), ReplayError> {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + ROUND;
            for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
                if !self.nodes[&name].is_paused {
                    self.read(&name);
                    self.tick(&name);
                }
                self.check(line)?;
            }
        }
        Ok(())
    }

    fn reads_log(&self, name: &NodeId) -> bool {
        self.log != LogHealth::Out && !self.cut_from_log.contains(name)
    }

    fn read(&mut self, name: &NodeId) {
        if !self.reads_log(name) {
            return;
        }
        let node = &mut self.nodes[name];
        for record in &self.records[node.next..] {
            match record {
                Record::Claim(claim) => {
                    node.leases.on_claim(claim, self.now);
                }
                Record::Release(release) => node.leases.on_release(*release),
            }
        }
        node.next = self.records.len();
        node.leases.on_tail_read(self.now, self.now);
    }

    fn tick(&mut self, name: &NodeId) {
        let view = self.view();
        let effects = self.nodes[name].leases.tick(&view, self.now);
        for effect in effects {
            match effect {
                Effect::AppendClaim(draft) => {
                    let claim = ClaimRecord {
                        shard: draft.shard,
                        epoch: Epoch(self.records.len() as u64),
                        holder: Holder {
                            node: name.clone(),
                            incarnation: self.nodes[name].incarnation,
                        },
                        builds_on: draft.builds_on,
                        voters: draft.voters,
                    };
                    self.append(name, Record::Claim(claim));
                }
                Effect::AppendRelease(release) => self.append(name, Record::Release(release)),
                Effect::RequestVote { to, vote } => {
                    if self.reaches(name, &to) {
                        let granted = self.nodes[&to].leases.answer(&vote, name);
                        let answer = VoteAnswer {
                            voter: to,
                            vote,
                            granted,
                        };
                        self.nodes[name].leases.on_vote(&answer, self.now);
                    }
                }
                Effect::Acquired { .. } | Effect::Lost { .. } => {}
            }
        }
    }

    fn append(&mut self, name: &NodeId, record: Record) {
        if !self.reads_log(name) {
            self.nodes[name].leases.append_refused(SHARD);
        } else if self.log == LogHealth::Up {
            self.records.push(record);
        }
    }

    fn reaches(&self, from: &NodeId, to: &NodeId) -> bool {
        let answers = self.nodes.get(to).is_some_and(|node| !node.is_paused);
        let is_cut = |node| self.cut_from_nodes.contains(node);
        answers && !is_cut(from) && !is_cut(to)
    }

    /// Returns what every node believes of the others.
    fn view(&self) -> View {
        let nodes = self.nodes.iter().map(|(name, node)| {
            let state = match self.beliefs.get(name) {
                None | Some(Belief::Live) => NodeState::Live,
                Some(Belief::Leaving) => NodeState::Leaving,
                Some(Belief::Suspected) => NodeState::Suspected,
                Some(Belief::Gone) => NodeState::Gone,
            };
            let view = NodeView {
                failure_domain: node.failure_domain.clone(),
                incarnation: node.incarnation,
                state,
            };
            (name.clone(), view)
        });
        View {
            nodes: nodes.collect(),
        }
    }

    /// Returns the nodes that would act if they had something to do, also paused ones.
    fn acting(&self) -> Vec<Acting> {
        let acting = self.nodes.iter().filter_map(|(name, node)| {
            let epoch = node.leases.may_act(SHARD, self.now)?;
            let node = name.clone();
            Some(Acting { node, epoch })
        });
        acting.collect()
    }

    fn actor(&self) -> Option<NodeId> {
        self.acting().pop().map(|acting| acting.node)
    }

    /// Checks that at most one node acts, and under epochs that never fall.
    fn check(&mut self, line: &Line) -> Result<(), ReplayError> {
        let mut acting = self.acting();
        line.expect("at most one acting node in", &true, &(acting.len() <= 1))?;
        let Some(Acting { node, epoch }) = acting.pop() else {
            return Ok(());
        };
        line.expect("no fall of the epoch", &true, &(epoch >= self.newest_epoch))?;
        self.newest_epoch = epoch;
        if self.acted.last() != Some(&node) {
            self.acted.push(node);
        }
        Ok(())
    }
}
