//! Traces of the fold: one log, and several nodes that read it.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamecart_fold::{DrainTarget, LogReader, PageBounds, RawRecord, ReaderStatus, State};
use sesamecart_vocabulary::{Epoch, GroupId, NodeId, Offset, PublishId, Revision, ShardId, VmId};

use super::{Line, ReplayError, require_outcome};

/// The records that one read returns; small, so that traces cross pages.
const PAGE: usize = 2;

/// One step of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// A record is appended, as the log holds it.
    Append(Value),
    /// Bytes are appended that may be no record.
    AppendText(String),
    /// A node appends a checkpoint of its state.
    Checkpoint(NodeId),
    /// The log's clock goes on, in milliseconds.
    LogTime(u64),
    /// The log forgets what lies before an offset.
    ForgetBefore(Offset),
    /// A node reads the log to its end.
    Read(NodeId),
    /// A node starts anew, without state.
    Restart(NodeId),
    /// A node takes another's state.
    Adopt(Adopt),
    /// What a node must hold at this point.
    Expect(Expect),
    /// What must hold at the end.
    Outcome(Outcome),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Adopt {
    node: NodeId,
    from: NodeId,
    /// Whether it is refused since it is older.
    #[serde(default)]
    refused: bool,
}

/// What a node must hold; what isn't named isn't compared.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    node: NodeId,
    #[serde(default)]
    standing: Option<String>,
    #[serde(flatten)]
    state: StateView,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct StateView {
    #[serde(default)]
    revision: Option<Revision>,
    #[serde(default)]
    author: Option<String>,
    #[serde(default)]
    drains: Option<IndexSet<DrainTarget>>,
    #[serde(default)]
    assignments: Option<IndexMap<VmId, GroupId>>,
    #[serde(default)]
    epochs: Option<Vec<HeldEpoch>>,
    /// The beginning of the verdict of each change.
    #[serde(default)]
    verdicts: Option<IndexMap<PublishId, String>>,
    /// The beginning of the newest audit line's verdict.
    #[serde(default)]
    last_audit: Option<String>,
    /// The number of keyed actions that are remembered.
    #[serde(default)]
    actions: Option<usize>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct HeldEpoch {
    shard: ShardId,
    holder: NodeId,
    epoch: Epoch,
}

/// What must hold at the end.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcome {
    /// Nodes that must hold the same state, and what that is.
    agree: Vec<NodeId>,
    state: StateView,
}

/// The log and the nodes of a trace.
#[derive(Default)]
struct Replay {
    records: Vec<Logged>,
    first: usize,
    now_ms: u64,
    nodes: IndexMap<NodeId, Node>,
    has_outcome: bool,
}

struct Logged {
    data: Vec<u8>,
    logged_at_ms: u64,
}

#[derive(Default)]
struct Node {
    reader: LogReader,
    standing: Option<ReaderStatus>,
    /// The highest revision that was in force in this life of the node.
    floor: Revision,
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
            Step::Append(record) => self.append(record.to_string().into_bytes()),
            Step::AppendText(text) => self.append(text.into_bytes()),
            Step::Checkpoint(node) => {
                let data = self.node(&node).reader.fold().checkpoint().encode();
                self.append(data);
            }
            Step::LogTime(now_ms) => self.now_ms = now_ms,
            Step::ForgetBefore(offset) => {
                self.first = usize::try_from(offset.0).unwrap_or(usize::MAX);
            }
            Step::Read(node) => self.read(line, &node)?,
            Step::Restart(node) => {
                self.nodes.insert(node, Node::default());
            }
            Step::Adopt(adopt) => self.adopt(line, &adopt)?,
            Step::Expect(expect) => self.expect(line, &expect)?,
            Step::Outcome(outcome) => self.outcome(line, &outcome)?,
        }
        Ok(())
    }

    fn append(&mut self, data: Vec<u8>) {
        self.records.push(Logged {
            data,
            logged_at_ms: self.now_ms,
        });
    }

    /// Reads to the end; a node's revision must never fall on the way.
    fn read(&mut self, line: &Line, node: &NodeId) -> Result<(), ReplayError> {
        let bounds = PageBounds {
            first: Offset(self.first as u64),
            next: Offset(self.records.len() as u64),
        };
        let reading = self.nodes.entry(node.clone()).or_default();
        loop {
            let from = usize::try_from(reading.reader.next_read_offset().0).unwrap_or(usize::MAX);
            let kept = self.records.iter().enumerate().skip(from.max(self.first));
            let page: Vec<_> = kept.take(PAGE).collect();
            let records = page.iter().map(|(index, logged)| RawRecord {
                offset: Offset(*index as u64),
                logged_at_ms: logged.logged_at_ms,
                data: &logged.data,
            });
            let read = reading.reader.take(bounds, records);
            reading.standing = Some(read.status);
            let revision = reading.reader.fold().state().revision;
            line.expect(
                "no fall of the revision below",
                &true,
                &(revision >= reading.floor),
            )?;
            reading.floor = revision;
            if matches!(
                read.status,
                ReaderStatus::AtTail | ReaderStatus::NoCheckpoint
            ) {
                return Ok(());
            }
        }
    }

    fn adopt(&mut self, line: &Line, adopt: &Adopt) -> Result<(), ReplayError> {
        let state = self.node(&adopt.from).reader.fold().state().clone();
        let taking = self.nodes.entry(adopt.node.clone()).or_default();
        let refused = taking.reader.adopt(state).is_err();
        line.expect("refusal of the state", &adopt.refused, &refused)
    }

    fn expect(&mut self, line: &Line, expect: &Expect) -> Result<(), ReplayError> {
        let node = self.node(&expect.node);
        if let Some(standing) = &expect.standing {
            let found = node
                .standing
                .map(|found| found.to_string())
                .unwrap_or_default();
            line.expect("standing", standing, &found)?;
        }
        expect.state.compare(line, node.reader.fold().state())
    }

    fn outcome(&mut self, line: &Line, outcome: &Outcome) -> Result<(), ReplayError> {
        self.has_outcome = true;
        let mut first: Option<State> = None;
        for name in &outcome.agree {
            let state = self.node(name).reader.fold().state().clone();
            outcome.state.compare(line, &state)?;
            if let Some(first) = &first {
                line.expect("the same state on every node", &true, &(*first == state))?;
            }
            first = Some(state);
        }
        line.expect("a node in the outcome", &true, &first.is_some())
    }

    fn node(&mut self, node: &NodeId) -> &Node {
        self.nodes.entry(node.clone()).or_default()
    }
}

impl StateView {
    fn compare(&self, line: &Line, state: &State) -> Result<(), ReplayError> {
        if let Some(revision) = &self.revision {
            line.expect("revision", revision, &state.revision)?;
        }
        if let Some(author) = &self.author {
            line.expect("author", author, &state.author)?;
        }
        if let Some(drains) = &self.drains {
            line.expect("drains", drains, &state.drains.keys().cloned().collect())?;
        }
        if let Some(assignments) = &self.assignments {
            let found = state.assignments.iter();
            let found = found
                .map(|(vm, found)| (vm.clone(), found.group.clone()))
                .collect();
            line.expect("assignments", assignments, &found)?;
        }
        if let Some(epochs) = &self.epochs {
            let found = state.leases.iter().map(|(shard, lease)| HeldEpoch {
                shard: *shard,
                holder: lease.holder.clone(),
                epoch: lease.epoch,
            });
            line.expect("epochs", epochs, &found.collect())?;
        }
        for (publish_id, verdict) in self.verdicts.iter().flatten() {
            let found = state.verdicts.get(publish_id).map(ToString::to_string);
            let found = found.unwrap_or_else(|| "none".to_owned());
            expect_start(line, &format!("verdict of {publish_id}"), verdict, &found)?;
        }
        if let Some(verdict) = &self.last_audit {
            let entries = state.audit.entries();
            let found = entries
                .last()
                .map_or("none", |entry| entry.verdict.as_str());
            expect_start(line, "audit verdict", verdict, found)?;
        }
        if let Some(actions) = &self.actions {
            line.expect("remembered actions", actions, &state.actions.len())?;
        }
        Ok(())
    }
}

fn expect_start(line: &Line, what: &str, start: &str, found: &str) -> Result<(), ReplayError> {
    if found.starts_with(start) {
        return Ok(());
    }
    line.expect(what, &start.to_owned(), &found.to_owned())
}
