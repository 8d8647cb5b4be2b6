//! Traces of keyed actions: nodes that own one shard in turn, the log, and the voters.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use sesamecart_actions::{
    Answer, AttemptRequest, CallId, CommitConfig, CommitResult, CommitStep, Decision, Effect,
    GroupCommit, IntentRecovery, MirroredIntents, MirroredIntentsConfig, Owner, OwnerConfig,
    OwnerContext,
};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Fold, Record};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, Epoch, IdempotencyKey, Incarnation, NodeId, Offset, ShardId, Timestamp,
};

use super::{Line, ReplayError, require_outcome};

const SHARD: ShardId = ShardId(0);

/// One step of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// The nodes, all of which are voters.
    Nodes(Vec<NodeId>),
    /// A node claims the shard and reads the log to its end.
    Claim(NodeId),
    /// A claimant hears a voter of the last lease.
    Hear { node: NodeId, voter: NodeId },
    /// A node asks an owner whether it may send an attempt.
    Ask(Ask),
    /// An owner appends what waits.
    Append { node: NodeId, fate: Fate },
    /// An owner hands what waits to these voters.
    Mirror { node: NodeId, voters: Vec<NodeId> },
    /// A node reads the log to its end.
    Read(NodeId),
    /// An owner is told how an attempt ended.
    Finish(Finish),
    /// Time passes, in milliseconds, and an owner ends what is overdue.
    Wait { node: NodeId, ms: u64 },
    /// A node dies, and a new one without memory takes its name.
    Crash(NodeId),
    /// What the owner has decided on an attempt.
    Expect {
        attempt: AttemptId,
        decision: String,
    },
    /// The attempts that may ever be sent, by key.
    Outcome {
        allowed: IndexMap<IdempotencyKey, Vec<AttemptId>>,
    },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask {
    node: NodeId,
    key: IdempotencyKey,
    attempt: AttemptId,
    #[serde(default)]
    body: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Finish {
    node: NodeId,
    key: IdempotencyKey,
    attempt: AttemptId,
    end: End,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Answered,
    NotRun,
    Unknown,
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Fate {
    /// It lands, and is read back.
    Acknowledged,
    /// It lands, and its answer is lost.
    AnswerLost,
    /// It never lands.
    Lost,
}

struct Node {
    life: u64,
    fold: Fold,
    commit: GroupCommit,
    owner: Option<Owner>,
    gather: Option<IntentRecovery>,
    mirrors: MirroredIntents,
}

/// An attempt that was asked for.
struct Asked {
    key: IdempotencyKey,
    decision: Option<Decision>,
    was_allowed: bool,
}

#[derive(Default)]
struct Replay {
    records: Vec<Vec<u8>>,
    nodes: IndexMap<NodeId, Node>,
    now: Timestamp,
    tickets: IndexMap<CallId, AttemptId>,
    asked: IndexMap<AttemptId, Asked>,
    has_outcome: bool,
}

pub(super) fn replay(steps: &[Line]) -> Result<(), ReplayError> {
    let mut replay = Replay::default();
    for line in steps {
        replay.step(line)?;
    }
    require_outcome(steps, replay.has_outcome)
}

fn key_of(key: &IdempotencyKey) -> ActionKey {
    ActionKey {
        customer: "customer".parse().expect("a name"),
        service: "service".parse().expect("a name"),
        key: key.clone(),
    }
}

fn name(decision: Option<&Decision>) -> &'static str {
    match decision {
        None => "none",
        Some(Decision::Send { .. }) => "send",
        Some(Decision::Answered(_)) => "answered",
        Some(Decision::Running { .. }) => "running",
        Some(Decision::Unknown { .. }) => "unknown",
        Some(Decision::Mismatch) => "mismatch",
        Some(Decision::Refused { .. }) => "refused",
        Some(Decision::Expired) => "expired",
        Some(Decision::NotOwner) => "not_owner",
    }
}

impl Node {
    fn new(life: u64) -> Self {
        let config = CommitConfig {
            interval: Duration::ZERO,
            ..CommitConfig::default()
        };
        Self {
            life,
            fold: Fold::new(),
            commit: GroupCommit::new(config),
            owner: None,
            gather: None,
            mirrors: MirroredIntents::new(MirroredIntentsConfig::default()),
        }
    }

    fn read(&mut self, records: &[Vec<u8>]) {
        for (offset, data) in (0..).zip(records) {
            self.fold.apply(Offset(offset), 0, data);
        }
        self.mirrors.settle(self.fold.state().next_offset);
    }
}

impl Replay {
    fn step(&mut self, line: &Line) -> Result<(), ReplayError> {
        match line.read()? {
            Step::Nodes(nodes) => {
                for node in nodes {
                    let mut new = Node::new(1);
                    new.read(&[]);
                    self.nodes.insert(node, new);
                }
                Ok(())
            }
            Step::Claim(node) => self.claim(line, &node),
            Step::Hear { node, voter } => self.hear(line, &node, &voter),
            Step::Ask(ask) => self.ask(line, ask),
            Step::Append { node, fate } => self.append(line, &node, fate),
            Step::Mirror { node, voters } => self.mirror(line, &node, &voters),
            Step::Read(node) => {
                let records = self.records.clone();
                self.node(line, &node)?.read(&records);
                self.depose_if_replaced(line, &node)
            }
            Step::Finish(finish) => self.finish(line, finish),
            Step::Wait { node, ms } => {
                self.now = self.now + Duration::from_millis(ms);
                self.with_owner(line, &node, |owner, known, out| owner.tick(known, out))
            }
            Step::Crash(node) => {
                let life = self.node(line, &node)?.life + 1;
                self.nodes.insert(node, Node::new(life));
                Ok(())
            }
            Step::Expect { attempt, decision } => {
                let asked = self.asked.get(&attempt);
                let found = name(asked.and_then(|asked| asked.decision.as_ref()));
                line.expect("decision", &decision.as_str(), &found)
            }
            Step::Outcome { allowed } => self.outcome(line, &allowed),
        }
    }

    fn node(&mut self, line: &Line, node: &NodeId) -> Result<&mut Node, ReplayError> {
        self.nodes.get_mut(node).ok_or_else(|| ReplayError::Line {
            line: line.number,
            reason: format!("there is no node {node}"),
        })
    }

    fn claim(&mut self, line: &Line, node: &NodeId) -> Result<(), ReplayError> {
        let voters = self.nodes.keys().cloned().collect();
        let records = self.records.clone();
        let claimant = self.node(line, node)?;
        claimant.read(&records);
        let last = claimant.fold.state().leases.get(&SHARD).cloned();
        let claim = Record::Claim {
            shard: SHARD,
            holder: node.clone(),
            incarnation: Incarnation(claimant.life),
            builds_on: last.as_ref().map(|lease| lease.epoch),
            voters,
        };
        let epoch = Epoch(self.records.len() as u64);
        self.records.push(claim.encode());
        let records = self.records.clone();
        let claimant = self.node(line, node)?;
        claimant.read(&records);
        claimant.owner = Some(Owner::new(SHARD, epoch, OwnerConfig::default()));
        claimant.gather = Some(match last {
            Some(lease) => IntentRecovery::new(lease.epoch, lease.voters),
            None => IntentRecovery::new(Epoch(0), []),
        });
        self.adopt_if_complete(line, node)
    }

    fn hear(&mut self, line: &Line, node: &NodeId, voter: &NodeId) -> Result<(), ReplayError> {
        let epoch = self.node(line, node)?.owner.as_ref().map(Owner::epoch);
        let told = self.node(line, voter)?;
        let in_force = told.fold.state().epoch(SHARD);
        let gathered = epoch.and_then(|epoch| told.mirrors.reply_to_claim(SHARD, epoch, in_force));
        if let Some(gathered) = gathered
            && let Some(gather) = &mut self.node(line, node)?.gather
        {
            gather.record_reply(voter, gathered);
        }
        self.adopt_if_complete(line, node)
    }

    fn adopt_if_complete(&mut self, line: &Line, node: &NodeId) -> Result<(), ReplayError> {
        let gather = &mut self.node(line, node)?.gather;
        let Some(intents) = gather.as_ref().and_then(IntentRecovery::recovered_intents) else {
            return Ok(());
        };
        *gather = None;
        self.with_owner(line, node, |owner, known, out| {
            owner.complete_takeover(known, intents, true, out)
        })
    }

    fn ask(&mut self, line: &Line, ask: Ask) -> Result<(), ReplayError> {
        let ticket = CallId(self.tickets.len() as u64);
        self.tickets.insert(ticket, ask.attempt.clone());
        self.asked.entry(ask.attempt.clone()).or_insert(Asked {
            key: ask.key.clone(),
            decision: None,
            was_allowed: false,
        });
        let asking = AttemptRequest {
            key: key_of(&ask.key),
            body_digest: BodyDigest::of(ask.body.as_bytes()),
            attempt: ask.attempt,
            deadline: self.now + Duration::from_secs(1),
        };
        self.with_owner(line, &ask.node, |owner, known, out| {
            owner.begin(known, ticket, asking, out);
        })
    }

    fn finish(&mut self, line: &Line, finish: Finish) -> Result<(), ReplayError> {
        let end = match finish.end {
            End::NotRun => ActionEnd::NotRun,
            End::Unknown => ActionEnd::Unknown,
            End::Answered => ActionEnd::from(Answer {
                status: 200,
                headers: Vec::new(),
                body: EncodedBody(Vec::new()),
            }),
        };
        let key = key_of(&finish.key);
        let ticket = CallId(u64::MAX);
        self.with_owner(line, &finish.node, |owner, known, out| {
            owner.record_outcome(known, ticket, &key, &finish.attempt, end, out);
        })
    }

    fn append(&mut self, line: &Line, node: &NodeId, fate: Fate) -> Result<(), ReplayError> {
        let now = self.now;
        let CommitStep::Append(batch) = self.node(line, node)?.commit.step(now) else {
            return Err(ReplayError::Line {
                line: line.number,
                reason: format!("{node} has nothing to append"),
            });
        };
        if fate != Fate::Lost {
            let record = Record::ActionBatch { parts: batch.parts };
            self.records.push(record.encode());
        }
        let done = fate == Fate::Acknowledged;
        let records = self.records.clone();
        let appending = self.node(line, node)?;
        if done {
            appending.read(&records);
        }
        let durable = appending.commit.finish_append(now, batch.id, done);
        self.committed(line, node, &durable)?;
        self.depose_if_replaced(line, node)
    }

    fn mirror(&mut self, line: &Line, node: &NodeId, voters: &[NodeId]) -> Result<(), ReplayError> {
        let now = self.now;
        let CommitStep::Mirror(batch) = self.node(line, node)?.commit.step(now) else {
            return Err(ReplayError::Line {
                line: line.number,
                reason: format!("{node} has nothing for its voters"),
            });
        };
        let mut kept = 0;
        for voter in voters {
            let voter = self.node(line, voter)?;
            let in_force = voter.fold.state().epoch(SHARD);
            let keeps = voter
                .mirrors
                .store(SHARD, batch.epoch, in_force, &batch.intents);
            kept += usize::from(keeps);
        }
        let enough = kept > self.nodes.len() / 2;
        let durable = self
            .node(line, node)?
            .commit
            .finish_mirror(batch.id, enough);
        self.committed(line, node, &durable)
    }

    fn committed(
        &mut self,
        line: &Line,
        node: &NodeId,
        durable: &[CommitResult],
    ) -> Result<(), ReplayError> {
        for one in durable {
            self.with_owner(line, node, |owner, known, out| {
                owner.on_commit_result(known, one, out)
            })?;
        }
        Ok(())
    }

    fn depose_if_replaced(&mut self, line: &Line, node: &NodeId) -> Result<(), ReplayError> {
        let deposed = self.node(line, node)?;
        let epoch = deposed.fold.state().epoch(SHARD);
        let mut out = Vec::new();
        if let Some(owner) = deposed.owner.take_if(|owner| Some(owner.epoch()) != epoch) {
            owner.step_down(&mut out);
        }
        self.carry_out(line, node, out)
    }

    fn with_owner(
        &mut self,
        line: &Line,
        node: &NodeId,
        act: impl FnOnce(&mut Owner, OwnerContext<'_>, &mut Vec<Effect>),
    ) -> Result<(), ReplayError> {
        let now = self.now;
        let acting = self.node(line, node)?;
        let mut out = Vec::new();
        if let Some(owner) = &mut acting.owner {
            let known = OwnerContext {
                now,
                wall_ms: now.0 / 1_000,
                actions: &acting.fold.state().actions,
                has_room: acting.commit.has_room(),
            };
            act(owner, known, &mut out);
        }
        self.carry_out(line, node, out)
    }

    fn carry_out(
        &mut self,
        line: &Line,
        node: &NodeId,
        effects: Vec<Effect>,
    ) -> Result<(), ReplayError> {
        for effect in effects {
            match effect {
                Effect::Commit(item) => self.node(line, node)?.commit.push(item),
                Effect::AckOutcome(..) => {}
                Effect::Reply(ticket, decision) => {
                    let attempt = self.tickets.get(&ticket);
                    let asked = attempt.and_then(|attempt| self.asked.get_mut(attempt));
                    if let Some(asked) = asked {
                        asked.was_allowed |= matches!(decision, Decision::Send { .. });
                        asked.decision = Some(decision);
                    }
                }
            }
        }
        Ok(())
    }

    fn outcome(
        &mut self,
        line: &Line,
        allowed: &IndexMap<IdempotencyKey, Vec<AttemptId>>,
    ) -> Result<(), ReplayError> {
        self.has_outcome = true;
        let mut found: IndexMap<IdempotencyKey, Vec<AttemptId>> = IndexMap::new();
        for (attempt, asked) in &self.asked {
            let of_key = found.entry(asked.key.clone()).or_default();
            if asked.was_allowed {
                of_key.push(attempt.clone());
            }
        }
        line.expect("allowed attempts", allowed, &found)
    }
}
