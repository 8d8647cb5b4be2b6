//! Group commit: intents and ends of many keys go out in one append, or to voters in an outage.
//!
//! One append for each action would pass the log's rate with a few callers. The first item of a
//! quiet node goes out at once; what comes while appends are under way, or while the node's share of
//! the rate is used up, waits and shares the next one.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fold::{ActionIntent, ActionOutcome, ActionPart, Actions};
use sesamecart_vocabulary::{Epoch, ShardId, Timestamp};

use crate::pace::Pace;

/// The bounds of a node's group commit.
#[derive(Clone, Copy, Debug)]
pub struct CommitConfig {
    /// The time that each append earns, by which all nodes keep to the log's rate.
    pub interval: Duration,
    /// The appends that go out without a pause after a quiet time.
    pub burst: u32,
    /// The most items in one append.
    pub max_items: usize,
    /// The most appends under way at once.
    pub max_in_flight: usize,
    /// The most items that wait; beyond it new actions are refused.
    pub max_backlog: usize,
    /// The time from one try of a log that is out to the next.
    pub probe: Duration,
}

impl Default for CommitConfig {
    /// A ninth of 200 appends a second, which suits nine nodes.
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(45),
            burst: 8,
            max_items: 512,
            max_in_flight: 2,
            max_backlog: 8_192,
            probe: Duration::from_millis(250),
        }
    }
}

/// One thing to make durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitItem {
    /// An action is about to be sent.
    Intent {
        /// The shard of its key.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The intent.
        intent: ActionIntent,
    },
    /// An action ended.
    Outcome {
        /// The shard of its key.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The end.
        outcome: ActionOutcome,
    },
}

/// Items for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogBatch {
    /// Names the batch in [`GroupCommit::logged`].
    pub id: u64,
    /// The items by shard, as one record carries them.
    pub parts: Vec<ActionPart>,
}

/// Intents of one shard for its voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorBatch {
    /// Names the batch in [`GroupCommit::mirrored`].
    pub id: u64,
    /// The shard.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The intents.
    pub intents: Vec<ActionIntent>,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitStep {
    /// Append this, read it back, and report with [`GroupCommit::logged`].
    Append(LogBatch),
    /// Send this to the shard's voters and report with [`GroupCommit::mirrored`].
    Mirror(MirrorBatch),
    /// Nothing is due before this time.
    WaitUntil(Timestamp),
    /// Nothing is due before something is pushed or reported.
    Idle,
}

/// What became of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Durable {
    /// The log holds it, and the fold has said what it counts.
    Logged(CommitItem),
    /// A majority of the voters keeps the intent; the log gets it later.
    Mirrored(CommitItem),
    /// Nobody is known to keep the intent.
    Lost(CommitItem),
}

impl CommitItem {
    /// Returns the shard and the epoch that it is told under.
    #[must_use]
    pub const fn lease(&self) -> (ShardId, Epoch) {
        match self {
            Self::Intent { shard, epoch, .. } | Self::Outcome { shard, epoch, .. } => {
                (*shard, *epoch)
            }
        }
    }
}

impl Durable {
    /// Returns the shard and the epoch that the item is told under.
    #[must_use]
    pub const fn lease(&self) -> (ShardId, Epoch) {
        match self {
            Self::Logged(item) | Self::Mirrored(item) | Self::Lost(item) => item.lease(),
        }
    }
}

/// What the fold says of an intent that was read back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntentVerdict {
    /// It stands: this try may be sent.
    Stands,
    /// Another try of the same key came first.
    Another,
    /// It doesn't count, since its epoch had passed, or it isn't in the log.
    Absent,
}

/// Returns what the fold says of an intent.
///
/// The log decides between owners: whatever a paused or replaced owner believes of its lease, only
/// one try of a key ever stands in the fold.
#[must_use]
pub fn verdict_of(actions: &Actions, intent: &ActionIntent) -> IntentVerdict {
    match actions.get(&intent.action_key()) {
        Some(entry) if entry.attempt == intent.attempt => IntentVerdict::Stands,
        Some(_) => IntentVerdict::Another,
        None => IntentVerdict::Absent,
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    Log,
    Voters { probe_at: Timestamp },
}

/// The items of an append that is under way.
#[derive(Debug)]
struct Appending {
    /// Those that waited for the log to come back, in their order.
    unlogged: Vec<CommitItem>,
    new: Vec<CommitItem>,
}

/// A node's group commit.
#[derive(Debug)]
pub struct GroupCommit {
    config: CommitConfig,
    path: Path,
    pace: Pace,
    next_id: u64,
    queue: VecDeque<CommitItem>,
    /// Durable at voters, or ends: to be logged once the log is back.
    unlogged: VecDeque<CommitItem>,
    logging: IndexMap<u64, Appending>,
    mirroring: IndexMap<u64, Vec<CommitItem>>,
}

impl GroupCommit {
    /// Makes a group commit with nothing to do.
    #[must_use]
    pub fn new(config: CommitConfig) -> Self {
        Self {
            config,
            path: Path::Log,
            pace: Pace::new(config.interval, config.burst),
            next_id: 0,
            queue: VecDeque::new(),
            unlogged: VecDeque::new(),
            logging: IndexMap::new(),
            mirroring: IndexMap::new(),
        }
    }

    /// Returns whether new actions may be begun.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.queue.len() + self.unlogged.len() < self.config.max_backlog
    }

    /// Returns whether the log counts as out.
    #[must_use]
    pub const fn is_log_out(&self) -> bool {
        matches!(self.path, Path::Voters { .. })
    }

    /// Returns the number of items that wait or are under way.
    #[must_use]
    pub fn backlog(&self) -> usize {
        let logging = self.logging.values();
        let logging = logging.map(|batch| batch.unlogged.len() + batch.new.len());
        let mirroring = self.mirroring.values().map(Vec::len);
        self.queue.len() + self.unlogged.len() + logging.chain(mirroring).sum::<usize>()
    }

    /// Returns whether the log may lack something of a shard that its voters were given.
    ///
    /// While it does, the shard's voters must not change: the next owner would ask the new ones,
    /// which were never given it.
    #[must_use]
    pub fn is_mirrored(&self, shard: ShardId) -> bool {
        let waiting = self.unlogged.iter().filter(|item| item.lease().0 == shard);
        let logging = self.logging.values().flat_map(|batch| &batch.unlogged);
        let mirroring = self.mirroring.values().flatten();
        let under_way = logging.chain(mirroring);
        waiting
            .chain(under_way.filter(|item| item.lease().0 == shard))
            .count()
            > 0
    }

    /// Adds an item.
    pub fn push(&mut self, item: CommitItem) {
        self.queue.push_back(item);
    }

    /// Returns what is due.
    pub fn step(&mut self, now: Timestamp) -> CommitStep {
        match self.path {
            Path::Log => self.log_step(now),
            Path::Voters { probe_at } => self.outage_step(now, probe_at),
        }
    }

    /// Notes that a batch was appended and read back, or that it wasn't.
    ///
    /// After a failure its intents go to the voters, since the caller is waiting; its ends wait.
    /// The record may still be in the log; the same attempt ids make a second one harmless.
    pub fn logged(&mut self, now: Timestamp, id: u64, done: bool) -> Vec<Durable> {
        let Some(Appending { unlogged, new }) = self.logging.shift_remove(&id) else {
            return Vec::new();
        };
        if done {
            self.path = Path::Log;
            let items = unlogged.into_iter().chain(new);
            return items.map(Durable::Logged).collect();
        }
        let probe_at = now + self.config.probe;
        self.path = Path::Voters { probe_at };
        // An end counts only after its intent, so what waited for the log keeps its place in front.
        for item in unlogged.into_iter().rev() {
            self.unlogged.push_front(item);
        }
        let (intents, ends): (Vec<_>, Vec<_>) = new
            .into_iter()
            .partition(|item| matches!(item, CommitItem::Intent { .. }));
        self.unlogged.extend(ends);
        for intent in intents.into_iter().rev() {
            self.queue.push_front(intent);
        }
        Vec::new()
    }

    /// Notes that a majority of the voters keeps a batch, or that it doesn't.
    pub fn mirrored(&mut self, id: u64, kept: bool) -> Vec<Durable> {
        let Some(items) = self.mirroring.shift_remove(&id) else {
            return Vec::new();
        };
        if !kept {
            return items.into_iter().map(Durable::Lost).collect();
        }
        self.unlogged.extend(items.iter().cloned());
        items.into_iter().map(Durable::Mirrored).collect()
    }

    fn log_step(&mut self, now: Timestamp) -> CommitStep {
        if self.queue.is_empty() && self.unlogged.is_empty() {
            return CommitStep::Idle;
        }
        if self.logging.len() >= self.config.max_in_flight {
            return CommitStep::Idle;
        }
        let due = self.pace.due(now);
        if due > now {
            return CommitStep::WaitUntil(due);
        }
        self.append(now)
    }

    fn outage_step(&mut self, now: Timestamp, probe_at: Timestamp) -> CommitStep {
        let waiting = !self.unlogged.is_empty() || !self.queue.is_empty();
        if now >= probe_at && self.logging.is_empty() && waiting {
            return self.probe(now);
        }
        if let Some(batch) = self.next_mirror() {
            return CommitStep::Mirror(batch);
        }
        if self.unlogged.is_empty() || !self.logging.is_empty() {
            return CommitStep::Idle;
        }
        CommitStep::WaitUntil(probe_at)
    }

    fn append(&mut self, now: Timestamp) -> CommitStep {
        let unlogged = self.take_unlogged();
        let room = self.config.max_items - unlogged.len();
        let new = self.take_queued(room);
        self.begin_append(now, unlogged, new)
    }

    /// Tries whether the log is back with what waits for it.
    ///
    /// New intents are risked only if nothing else waits, because their callers would lose the time
    /// that a log takes that is still out.
    fn probe(&mut self, now: Timestamp) -> CommitStep {
        let unlogged = self.take_unlogged();
        let room = if unlogged.is_empty() {
            self.config.max_items
        } else {
            0
        };
        let new = self.take_queued(room);
        self.begin_append(now, unlogged, new)
    }

    fn take_unlogged(&mut self) -> Vec<CommitItem> {
        let count = self.unlogged.len().min(self.config.max_items);
        self.unlogged.drain(..count).collect()
    }

    fn take_queued(&mut self, room: usize) -> Vec<CommitItem> {
        let count = self.queue.len().min(room);
        self.queue.drain(..count).collect()
    }

    fn begin_append(
        &mut self,
        now: Timestamp,
        unlogged: Vec<CommitItem>,
        new: Vec<CommitItem>,
    ) -> CommitStep {
        self.pace.spend(now);
        let id = self.take_id();
        let parts = parts_of(unlogged.iter().chain(&new));
        self.logging.insert(id, Appending { unlogged, new });
        CommitStep::Append(LogBatch { id, parts })
    }

    /// Takes the waiting intents of one shard; ends that wait are put aside for the log.
    fn next_mirror(&mut self) -> Option<MirrorBatch> {
        let waiting = std::mem::take(&mut self.queue);
        let mut chosen: Option<(ShardId, Epoch)> = None;
        let mut items = Vec::new();
        let mut intents = Vec::new();
        for item in waiting {
            match &item {
                CommitItem::Outcome { .. } => self.unlogged.push_back(item),
                CommitItem::Intent {
                    shard,
                    epoch,
                    intent,
                } => {
                    let lease = (*shard, *epoch);
                    let same = *chosen.get_or_insert(lease) == lease;
                    if same && items.len() < self.config.max_items {
                        intents.push(intent.clone());
                        items.push(item);
                    } else {
                        self.queue.push_back(item);
                    }
                }
            }
        }
        let (shard, epoch) = chosen?;
        let id = self.take_id();
        self.mirroring.insert(id, items);
        Some(MirrorBatch {
            id,
            shard,
            epoch,
            intents,
        })
    }

    const fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

/// Sorts items by shard, so that each end comes after the intent of the same try.
///
/// In one part the ends count first. An end whose intent is in the same part would be passed over,
/// and its key would stay unknown for ever, so it starts a further part.
fn parts_of<'a>(items: impl Iterator<Item = &'a CommitItem>) -> Vec<ActionPart> {
    let mut parts: Vec<ActionPart> = Vec::new();
    let mut last: IndexMap<(ShardId, Epoch), usize> = IndexMap::new();
    for item in items {
        let lease = item.lease();
        let (shard, epoch) = lease;
        let open = last.get(&lease).copied();
        let index = match open.filter(|index| fits(&parts[*index], item)) {
            Some(index) => index,
            None => {
                parts.push(ActionPart {
                    shard,
                    epoch,
                    outcomes: Vec::new(),
                    intents: Vec::new(),
                });
                last.insert(lease, parts.len() - 1);
                parts.len() - 1
            }
        };
        match item {
            CommitItem::Intent { intent, .. } => parts[index].intents.push(intent.clone()),
            CommitItem::Outcome { outcome, .. } => parts[index].outcomes.push(outcome.clone()),
        }
    }
    parts
}

fn fits(part: &ActionPart, item: &CommitItem) -> bool {
    match item {
        CommitItem::Intent { .. } => true,
        CommitItem::Outcome { outcome, .. } => {
            let mut intents = part.intents.iter();
            !intents.any(|intent| intent.attempt == outcome.attempt)
        }
    }
}
