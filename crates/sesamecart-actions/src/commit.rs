//! Group commit: batches the intents and outcomes of many keys into one log append, or sends the intents to
//! voters during a log outage.
//!
//! With one append per action, a few concurrent callers would exceed the log's rate limit. An idle node
//! appends its first item at once. Items that arrive while appends are in flight, or while the node's share
//! of the rate is used up, are queued and go into the next append together.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fold::{ActionIntent, ActionOutcome, ActionPart, Actions};
use sesamecart_vocabulary::{Epoch, ShardId, Timestamp};

use crate::rate_limit::RateLimiter;

/// The limits of a node's group commit.
#[derive(Clone, Copy, Debug)]
pub struct CommitConfig {
    /// The average interval between appends, which keeps all nodes together within the log's rate limit.
    pub interval: Duration,
    /// The number of appends that may be sent back to back after an idle period.
    pub burst: u32,
    /// The maximum number of items in one append.
    pub max_items: usize,
    /// The maximum number of appends in flight.
    pub max_in_flight: usize,
    /// The maximum number of queued items; beyond it new actions are refused.
    pub max_backlog: usize,
    /// The interval between probes of an unavailable log.
    pub probe_interval: Duration,
}

impl Default for CommitConfig {
    /// The interval gives each of nine nodes its share of 200 appends per second.
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(45),
            burst: 8,
            max_items: 512,
            max_in_flight: 2,
            max_backlog: 8_192,
            probe_interval: Duration::from_millis(250),
        }
    }
}

/// An item to store durably.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitItem {
    /// The intent of an action that is about to be sent.
    Intent {
        /// The shard of the action's key.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The intent.
        intent: ActionIntent,
    },
    /// The outcome of an action.
    Outcome {
        /// The shard of the action's key.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The outcome.
        outcome: ActionOutcome,
    },
}

/// A batch of items for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogBatch {
    /// Identifies the batch in [`GroupCommit::finish_append`].
    pub id: u64,
    /// The items grouped by shard, for a single log record.
    pub parts: Vec<ActionPart>,
}

/// A batch of one shard's intents for its voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorBatch {
    /// Identifies the batch in [`GroupCommit::finish_mirror`].
    pub id: u64,
    /// The shard.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The intents.
    pub intents: Vec<ActionIntent>,
}

/// The next step of the group commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitStep {
    /// Append this batch, read it back, and report the result with [`GroupCommit::finish_append`].
    Append(LogBatch),
    /// Send this batch to the shard's voters and report the result with [`GroupCommit::finish_mirror`].
    Mirror(MirrorBatch),
    /// Nothing is due before this time.
    WaitUntil(Timestamp),
    /// Nothing is due before something is pushed or reported.
    Idle,
}

/// An item and whether it was stored durably.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// The append was read back from the log, so the fold shows whether the item took effect.
    Logged(CommitItem),
    /// A majority of the voters stores the intent; it is appended to the log later.
    Mirrored(CommitItem),
    /// The intent isn't known to be stored anywhere.
    Lost(CommitItem),
}

impl CommitItem {
    /// Returns the shard and the epoch of the lease under which the item was created.
    #[must_use]
    pub const fn lease(&self) -> (ShardId, Epoch) {
        match self {
            Self::Intent { shard, epoch, .. } | Self::Outcome { shard, epoch, .. } => {
                (*shard, *epoch)
            }
        }
    }
}

impl CommitResult {
    /// Returns the shard and the epoch of the lease under which the item was created.
    #[must_use]
    pub const fn lease(&self) -> (ShardId, Epoch) {
        match self {
            Self::Logged(item) | Self::Mirrored(item) | Self::Lost(item) => item.lease(),
        }
    }
}

/// The status of an intent in the fold after the log was read back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntentStatus {
    /// The fold has accepted the intent: its attempt may be sent.
    Accepted,
    /// Another attempt for the same key came first.
    Conflict,
    /// The fold ignored the intent because its epoch had passed, or the intent isn't in the log.
    Absent,
}

/// Returns the status of an intent in the fold.
///
/// The order of the log decides between competing owners: even if a paused or replaced owner still considers
/// its lease valid, the fold accepts only one attempt per key at a time.
#[must_use]
pub fn intent_status(actions: &Actions, intent: &ActionIntent) -> IntentStatus {
    match actions.get(&intent.action_key()) {
        Some(entry) if entry.attempt == intent.attempt => IntentStatus::Accepted,
        Some(_) => IntentStatus::Conflict,
        None => IntentStatus::Absent,
    }
}

/// Where new intents are stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    Log,
    Voters { probe_at: Timestamp },
}

/// The items of an append that is in flight.
#[derive(Debug)]
struct InFlightAppend {
    /// The items that were waiting for the log to recover, in order.
    unlogged: Vec<CommitItem>,
    new: Vec<CommitItem>,
}

/// A node's group commit.
#[derive(Debug)]
pub struct GroupCommit {
    config: CommitConfig,
    path: Path,
    rate_limiter: RateLimiter,
    next_id: u64,
    queue: VecDeque<CommitItem>,
    /// Mirrored intents and outcomes that must be appended once the log is available again.
    unlogged: VecDeque<CommitItem>,
    appending: IndexMap<u64, InFlightAppend>,
    mirroring: IndexMap<u64, Vec<CommitItem>>,
}

impl GroupCommit {
    /// Creates an empty group commit.
    #[must_use]
    pub fn new(config: CommitConfig) -> Self {
        Self {
            config,
            path: Path::Log,
            rate_limiter: RateLimiter::new(config.interval, config.burst),
            next_id: 0,
            queue: VecDeque::new(),
            unlogged: VecDeque::new(),
            appending: IndexMap::new(),
            mirroring: IndexMap::new(),
        }
    }

    /// Returns whether the backlog has room for new actions.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.queue.len() + self.unlogged.len() < self.config.max_backlog
    }

    /// Returns whether the log is considered unavailable.
    #[must_use]
    pub const fn is_log_unavailable(&self) -> bool {
        matches!(self.path, Path::Voters { .. })
    }

    /// Returns the number of items that are queued or in flight.
    #[must_use]
    pub fn backlog(&self) -> usize {
        let appending = self.appending.values();
        let appending = appending.map(|batch| batch.unlogged.len() + batch.new.len());
        let mirroring = self.mirroring.values().map(Vec::len);
        self.queue.len() + self.unlogged.len() + appending.chain(mirroring).sum::<usize>()
    }

    /// Returns whether the shard has mirrored intents that the log may lack.
    ///
    /// While it does, the shard's voters must not change: the next owner would query the new voters, which
    /// never received these intents.
    #[must_use]
    pub fn is_mirrored(&self, shard: ShardId) -> bool {
        let waiting = self.unlogged.iter().filter(|item| item.lease().0 == shard);
        let appending = self.appending.values().flat_map(|batch| &batch.unlogged);
        let mirroring = self.mirroring.values().flatten();
        let in_flight = appending.chain(mirroring);
        waiting
            .chain(in_flight.filter(|item| item.lease().0 == shard))
            .count()
            > 0
    }

    /// Adds an item to the queue.
    pub fn push(&mut self, item: CommitItem) {
        self.queue.push_back(item);
    }

    /// Returns the next step that is due at `now`.
    pub fn step(&mut self, now: Timestamp) -> CommitStep {
        match self.path {
            Path::Log => self.log_step(now),
            Path::Voters { probe_at } => self.outage_step(now, probe_at),
        }
    }

    /// Records whether a batch was appended and read back.
    ///
    /// After a failure, the batch's intents are sent to the voters because callers are waiting for them, and
    /// its outcomes wait until the log is available again. The record may have reached the log despite the
    /// failure; appending the items again is harmless because they have the same attempt ids.
    pub fn finish_append(
        &mut self,
        now: Timestamp,
        id: u64,
        is_appended: bool,
    ) -> Vec<CommitResult> {
        let Some(InFlightAppend { unlogged, new }) = self.appending.shift_remove(&id) else {
            return Vec::new();
        };
        if is_appended {
            self.path = Path::Log;
            let items = unlogged.into_iter().chain(new);
            return items.map(CommitResult::Logged).collect();
        }
        let probe_at = now + self.config.probe_interval;
        self.path = Path::Voters { probe_at };
        // The fold ignores an outcome that precedes its intent, so the items that were already waiting go
        // back to the front.
        for item in unlogged.into_iter().rev() {
            self.unlogged.push_front(item);
        }
        let (intents, outcomes): (Vec<_>, Vec<_>) = new
            .into_iter()
            .partition(|item| matches!(item, CommitItem::Intent { .. }));
        self.unlogged.extend(outcomes);
        for intent in intents.into_iter().rev() {
            self.queue.push_front(intent);
        }
        Vec::new()
    }

    /// Records whether a majority of the voters stored a batch.
    pub fn finish_mirror(&mut self, id: u64, is_stored: bool) -> Vec<CommitResult> {
        let Some(items) = self.mirroring.shift_remove(&id) else {
            return Vec::new();
        };
        if !is_stored {
            return items.into_iter().map(CommitResult::Lost).collect();
        }
        self.unlogged.extend(items.iter().cloned());
        items.into_iter().map(CommitResult::Mirrored).collect()
    }

    fn log_step(&mut self, now: Timestamp) -> CommitStep {
        if self.queue.is_empty() && self.unlogged.is_empty() {
            return CommitStep::Idle;
        }
        if self.appending.len() >= self.config.max_in_flight {
            return CommitStep::Idle;
        }
        let due = self.rate_limiter.next_allowed(now);
        if due > now {
            return CommitStep::WaitUntil(due);
        }
        self.append(now)
    }

    fn outage_step(&mut self, now: Timestamp, probe_at: Timestamp) -> CommitStep {
        let waiting = !self.unlogged.is_empty() || !self.queue.is_empty();
        if now >= probe_at && self.appending.is_empty() && waiting {
            return self.probe(now);
        }
        if let Some(batch) = self.next_mirror_batch() {
            return CommitStep::Mirror(batch);
        }
        if self.unlogged.is_empty() || !self.appending.is_empty() {
            return CommitStep::Idle;
        }
        CommitStep::WaitUntil(probe_at)
    }

    fn append(&mut self, now: Timestamp) -> CommitStep {
        let unlogged = self.take_unlogged();
        let capacity = self.config.max_items - unlogged.len();
        let new = self.take_queued(capacity);
        self.begin_append(now, unlogged, new)
    }

    /// Probes the log by appending the items that wait for it.
    ///
    /// New intents are used only if nothing else is waiting, because their callers would be delayed by the
    /// timeout of a log that is still unavailable.
    fn probe(&mut self, now: Timestamp) -> CommitStep {
        let unlogged = self.take_unlogged();
        let capacity = if unlogged.is_empty() {
            self.config.max_items
        } else {
            0
        };
        let new = self.take_queued(capacity);
        self.begin_append(now, unlogged, new)
    }

    fn take_unlogged(&mut self) -> Vec<CommitItem> {
        let count = self.unlogged.len().min(self.config.max_items);
        self.unlogged.drain(..count).collect()
    }

    fn take_queued(&mut self, capacity: usize) -> Vec<CommitItem> {
        let count = self.queue.len().min(capacity);
        self.queue.drain(..count).collect()
    }

    fn begin_append(
        &mut self,
        now: Timestamp,
        unlogged: Vec<CommitItem>,
        new: Vec<CommitItem>,
    ) -> CommitStep {
        self.rate_limiter.record_append(now);
        let id = self.next_batch_id();
        let parts = group_by_shard(unlogged.iter().chain(&new));
        self.appending.insert(id, InFlightAppend { unlogged, new });
        CommitStep::Append(LogBatch { id, parts })
    }

    /// Takes the queued intents of one shard and sets queued outcomes aside for the log.
    fn next_mirror_batch(&mut self) -> Option<MirrorBatch> {
        let waiting = std::mem::take(&mut self.queue);
        let mut selected_lease: Option<(ShardId, Epoch)> = None;
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
                    let is_selected = *selected_lease.get_or_insert(lease) == lease;
                    if is_selected && items.len() < self.config.max_items {
                        intents.push(intent.clone());
                        items.push(item);
                    } else {
                        self.queue.push_back(item);
                    }
                }
            }
        }
        let (shard, epoch) = selected_lease?;
        let id = self.next_batch_id();
        self.mirroring.insert(id, items);
        Some(MirrorBatch {
            id,
            shard,
            epoch,
            intents,
        })
    }

    const fn next_batch_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

/// Groups items by shard so that each outcome is applied after the intent of the same attempt.
///
/// The fold applies the outcomes of a part before its intents. An outcome whose intent is in the same part
/// would be ignored, and its key would remain unknown forever, so such an outcome starts a new part.
fn group_by_shard<'a>(items: impl Iterator<Item = &'a CommitItem>) -> Vec<ActionPart> {
    let mut parts: Vec<ActionPart> = Vec::new();
    let mut last_part: IndexMap<(ShardId, Epoch), usize> = IndexMap::new();
    for item in items {
        let lease = item.lease();
        let (shard, epoch) = lease;
        let open_part = last_part.get(&lease).copied();
        let index = match open_part.filter(|index| fits_part(&parts[*index], item)) {
            Some(index) => index,
            None => {
                parts.push(ActionPart {
                    shard,
                    epoch,
                    outcomes: Vec::new(),
                    intents: Vec::new(),
                });
                last_part.insert(lease, parts.len() - 1);
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

/// Returns whether an item can be added to a part without preceding its own intent.
fn fits_part(part: &ActionPart, item: &CommitItem) -> bool {
    match item {
        CommitItem::Intent { .. } => true,
        CommitItem::Outcome { outcome, .. } => {
            let mut intents = part.intents.iter();
            !intents.any(|intent| intent.attempt == outcome.attempt)
        }
    }
}
