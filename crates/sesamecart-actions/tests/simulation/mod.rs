//! A simulation of a few nodes, one log and a few keys, driven by a seeded scheduler that injects faults.

use fastrand::Rng;
use indexmap::IndexMap;
use sesamecart_actions::{
    Answer, AttemptRequest, CallId, CommitConfig, CommitStep, Decision, Effect, GroupCommit,
    IntentRecovery, LogBatch, MirrorBatch, MirroredIntents, MirroredIntentsConfig, Owner,
    OwnerConfig, OwnerContext,
};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Fold, Record};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, Epoch, Incarnation, NodeId, Offset, ShardId, Timestamp,
};
use std::time::Duration;

/// The minimum number of nodes; odd seeds use one more, so that the set of voters changes.
const NODES: usize = 3;
const VOTERS: usize = 3;
const KEYS: usize = 2;
const SHARD: ShardId = ShardId(0);

/// A rule of the protocol that is omitted to show that the check detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    None,
    NoReadBack,
    NoIntentRecovery,
    StoresBeforeLogRead,
    IgnoresAppliedClaim,
    OneVoter,
    RenewsWithMirroredIntents,
}

/// How often the histories reached each path of the protocol.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    pub sent: u32,
    pub mirrored: u32,
    pub recovered: u32,
    pub replayed: u32,
    pub unknown: u32,
    pub refused: u32,
    pub repeated_grants: u32,
    pub renewed: u32,
}

impl Coverage {
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.mirrored += other.mirrored;
        self.recovered += other.recovered;
        self.replayed += other.replayed;
        self.unknown += other.unknown;
        self.refused += other.refused;
        self.repeated_grants += other.repeated_grants;
        self.renewed += other.renewed;
    }
}

struct Node {
    id: NodeId,
    incarnation: u64,
    fold: Fold,
    commit: GroupCommit,
    owner: Option<Owner>,
    gather: Option<IntentRecovery>,
    mirrors: MirroredIntents,
    /// Whether a claim with new voters was sent whose result hasn't been read yet.
    has_pending_claim: bool,
}

/// The progress of a caller's attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Progress {
    Pending,
    Granted,
    /// The node that made the attempt has crashed or finished.
    Done,
}

struct Attempt {
    key: ActionKey,
    id: AttemptId,
    progress: Progress,
    /// The outcome to report to an owner.
    end: Option<ActionEnd>,
    reported_not_run: bool,
    runs: u32,
}

pub struct Simulation {
    rng: Rng,
    mutant: Mutant,
    now: Timestamp,
    nodes: Vec<Node>,
    log: Vec<Vec<u8>>,
    log_up: bool,
    /// Records of appends whose reply was lost and which may still reach the log.
    late_appends: Vec<Vec<u8>>,
    attempts: Vec<Attempt>,
    requests_by_call: IndexMap<CallId, usize>,
    next_call_id: u64,
    fault: Option<String>,
    pub coverage: Coverage,
}

fn key(index: usize) -> ActionKey {
    ActionKey {
        customer: "barka".parse().unwrap(),
        service: "ledger".parse().unwrap(),
        key: format!("transfer-{index}").parse().unwrap(),
    }
}

fn answer_of(attempt: &AttemptId) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: EncodedBody(attempt.as_str().as_bytes().to_vec()),
    }
}

fn node(index: usize, incarnation: u64, has_read_tail: bool) -> Node {
    let mut mirrors = MirroredIntents::new(MirroredIntentsConfig::default());
    if has_read_tail {
        mirrors.settle(Offset(0));
    }
    let config = CommitConfig {
        interval: Duration::ZERO,
        ..CommitConfig::default()
    };
    Node {
        id: format!("node-{index}").parse().unwrap(),
        incarnation,
        fold: Fold::new(),
        commit: GroupCommit::new(config),
        owner: None,
        gather: None,
        mirrors,
        has_pending_claim: false,
    }
}

impl Simulation {
    pub fn new(seed: u64, mutant: Mutant) -> Self {
        Self::with_nodes(seed, mutant, NODES + usize::from(seed % 2 == 1))
    }

    pub fn with_nodes(seed: u64, mutant: Mutant, nodes: usize) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            mutant,
            now: Timestamp::ZERO,
            nodes: (0..nodes).map(|index| node(index, 1, true)).collect(),
            log: Vec::new(),
            log_up: true,
            late_appends: Vec::new(),
            attempts: Vec::new(),
            requests_by_call: IndexMap::new(),
            next_call_id: 0,
            fault: None,
            coverage: Coverage::default(),
        }
    }

    /// Fails if an action ran twice, or ran although its caller was told that it had not.
    pub fn check(&self) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        for index in 0..KEYS {
            let of_key = || self.attempts.iter().filter(|one| one.key == key(index));
            let runs: u32 = of_key().map(|one| one.runs).sum();
            if runs > 1 {
                return Err(format!("key {index} ran {runs} times"));
            }
            if of_key().any(|one| one.reported_not_run && one.runs > 0) {
                return Err(format!(
                    "key {index} ran although its caller was told that it had not"
                ));
            }
        }
        Ok(())
    }

    pub fn step(&mut self) {
        let index = self.rng.usize(..self.nodes.len());
        match self.rng.u32(..100) {
            0..16 => self.begin_new(index),
            16..22 => self.repeat_call(index),
            22..44 => self.commit(index),
            44..52 => self.catch_up(index),
            52..57 => self.claim(index),
            57..67 => self.gather(index),
            67..77 => self.send(),
            77..85 => self.report_outcome(index),
            85..89 => self.apply_late_append(),
            89..92 => self.log_up = !self.log_up,
            92..94 => self.crash(index),
            94..96 => self.forget_logged(index),
            96..98 => self.renew(index),
            _ => self.tick(index),
        }
    }

    /// Crashes an owner after it has mirrored an intent during an outage and, if allowed, replaced its
    /// voters.
    pub fn crash_after_renewal_with_mirrored_intents(&mut self) {
        self.claim(0);
        (0..self.nodes.len()).for_each(|index| self.read_to_end(index));
        self.log_up = false;
        self.begin_new(0);
        self.commit(0);
        self.commit(0);
        self.send();
        self.log_up = true;
        self.renew(0);
        self.read_to_end(0);
        self.depose_if_replaced(0);
        self.crash(0);
        self.read_to_end(1);
        self.claim(1);
        (1..self.nodes.len()).for_each(|index| self.read_to_end(index));
        for _ in 0..20 {
            self.gather(1);
        }
        for _ in 0..4 {
            self.begin_new(1);
            self.commit(1);
            self.send();
        }
    }

    fn begin_new(&mut self, index: usize) {
        let id = format!("a-{}", self.attempts.len()).parse().unwrap();
        self.attempts.push(Attempt {
            key: key(self.rng.usize(..KEYS)),
            id,
            progress: Progress::Pending,
            end: None,
            reported_not_run: false,
            runs: 0,
        });
        self.begin(index, self.attempts.len() - 1);
    }

    /// Repeats a call for the same attempt, as if the owner or its reply was lost.
    fn repeat_call(&mut self, index: usize) {
        let pending: Vec<_> = (0..self.attempts.len())
            .filter(|one| self.attempts[*one].progress == Progress::Pending)
            .collect();
        if !pending.is_empty() {
            let one = pending[self.rng.usize(..pending.len())];
            self.begin(index, one);
        }
    }

    fn begin(&mut self, index: usize, one: usize) {
        let call_id = self.call_id(one);
        let req = AttemptRequest {
            key: self.attempts[one].key.clone(),
            body_digest: BodyDigest::of(b"body"),
            attempt: self.attempts[one].id.clone(),
            deadline: self.now + Duration::from_secs(1),
        };
        self.with_owner(index, |owner, cx, out| owner.begin(cx, call_id, req, out));
    }

    fn call_id(&mut self, one: usize) -> CallId {
        self.next_call_id += 1;
        let call_id = CallId(self.next_call_id);
        self.requests_by_call.insert(call_id, one);
        call_id
    }

    fn with_owner(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Owner, OwnerContext<'_>, &mut Vec<Effect>),
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(owner) = &mut node.owner else {
            return;
        };
        let cx = OwnerContext {
            now,
            wall_ms: now.0 / 1_000,
            actions: &node.fold.state().actions,
            has_room: node.commit.has_room(),
        };
        let mut out = Vec::new();
        call(owner, cx, &mut out);
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit(item) => self.nodes[index].commit.push(item),
                Effect::Reply(call_id, decision) => self.reply(call_id, decision),
                Effect::AckOutcome(..) => {}
            }
        }
    }

    fn reply(&mut self, call_id: CallId, decision: Decision) {
        let one = self.requests_by_call[&call_id];
        // Some replies are lost.
        if self.attempts[one].progress != Progress::Pending || self.rng.u32(..10) == 0 {
            return;
        }
        let key = self.attempts[one].key.clone();
        match decision {
            Decision::Send { .. } => {
                if self
                    .requests_by_call
                    .values()
                    .filter(|other| **other == one)
                    .count()
                    > 1
                {
                    self.coverage.repeated_grants += 1;
                }
                self.attempts[one].progress = Progress::Granted;
            }
            Decision::Answered(answer) => {
                self.coverage.replayed += 1;
                self.attempts[one].progress = Progress::Done;
                let mut of_key = self.attempts.iter().filter(|other| other.key == key);
                if !of_key.any(|other| other.runs == 1 && answer == answer_of(&other.id)) {
                    self.fault = Some(format!("{key} was answered but has not run"));
                }
            }
            Decision::Refused { .. } | Decision::NotOwner => {
                self.coverage.refused += 1;
                self.attempts[one].progress = Progress::Done;
                self.attempts[one].reported_not_run = true;
                self.attempts[one].end = Some(ActionEnd::NotRun);
            }
            Decision::Unknown { .. } => {
                self.coverage.unknown += 1;
                self.attempts[one].progress = Progress::Done;
            }
            Decision::Running { .. } | Decision::Mismatch | Decision::Expired => {}
        }
    }

    fn commit(&mut self, index: usize) {
        let now = self.now;
        match self.nodes[index].commit.step(now) {
            CommitStep::Append(batch) => self.append(index, batch),
            CommitStep::Mirror(batch) => self.mirror(index, batch),
            CommitStep::WaitUntil(_) | CommitStep::Idle => {}
        }
    }

    fn append(&mut self, index: usize, batch: LogBatch) {
        let record = Record::ActionBatch { parts: batch.parts }.encode();
        let fate = self.rng.u32(..10);
        let is_appended = match fate {
            _ if !self.log_up => false,
            // The reply is lost, and the append takes effect at once, later or never.
            0 => {
                self.log.push(record);
                false
            }
            1 => {
                self.late_appends.push(record);
                false
            }
            2 => false,
            _ => {
                self.log.push(record);
                true
            }
        };
        if is_appended && self.mutant != Mutant::NoReadBack {
            self.read_to_end(index);
        }
        let now = self.now;
        let durable = self.nodes[index]
            .commit
            .finish_append(now, batch.id, is_appended);
        for item in durable {
            let item = if self.mutant == Mutant::NoReadBack {
                assume_accepted(item)
            } else {
                item
            };
            self.with_owner(index, |owner, cx, out| {
                owner.on_commit_result(cx, &item, out)
            });
        }
        self.depose_if_replaced(index);
    }

    fn mirror(&mut self, index: usize, batch: MirrorBatch) {
        let mut stored = 0;
        let lease = self.nodes[index].fold.state().leases.get(&SHARD).cloned();
        let voters = lease.map(|lease| lease.voters).unwrap_or_default();
        for voter in 0..self.nodes.len() {
            if self.nodes[index].has_pending_claim
                && self.mutant != Mutant::RenewsWithMirroredIntents
            {
                break;
            }
            if !voters.contains(&self.nodes[voter].id) {
                continue;
            }
            if self.rng.u32(..4) == 0 {
                continue;
            }
            let lease = self.nodes[voter].fold.state().leases.get(&SHARD);
            let mut current_epoch = lease.map(|lease| lease.epoch);
            if self.mutant == Mutant::IgnoresAppliedClaim {
                current_epoch = Some(batch.epoch);
            }
            let mirrors = &mut self.nodes[voter].mirrors;
            stored +=
                usize::from(mirrors.store(batch.shard, batch.epoch, current_epoch, &batch.intents));
        }
        let needed = if self.mutant == Mutant::OneVoter {
            1
        } else {
            voters.len() / 2 + 1
        };
        let is_mirrored = stored >= needed;
        self.coverage.mirrored += u32::from(is_mirrored);
        let durable = self.nodes[index]
            .commit
            .finish_mirror(batch.id, is_mirrored);
        for item in durable {
            self.with_owner(index, |owner, cx, out| {
                owner.on_commit_result(cx, &item, out)
            });
        }
    }

    fn catch_up(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        let next = self.nodes[index].fold.state().next_offset.0;
        let unread = self.log.len() as u64 - next;
        let to = next + self.rng.u64(..=unread);
        self.read_to(index, to);
        self.depose_if_replaced(index);
    }

    fn read_to_end(&mut self, index: usize) {
        self.read_to(index, self.log.len() as u64);
    }

    fn read_to(&mut self, index: usize, to: u64) {
        let node = &mut self.nodes[index];
        for offset in node.fold.state().next_offset.0..to {
            let data = &self.log[usize::try_from(offset).unwrap()];
            node.fold.apply(Offset(offset), self.now.0 / 1_000, data);
        }
        if to == self.log.len() as u64 {
            node.mirrors.settle(Offset(to));
        }
    }

    fn depose_if_replaced(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let lease = node.fold.state().leases.get(&SHARD);
        let epoch = lease.map(|lease| lease.epoch);
        let is_own_lease = lease.is_some_and(|lease| {
            lease.holder == node.id && lease.incarnation == Incarnation(node.incarnation)
        });
        if let Some(owner) = &mut node.owner
            && let Some(epoch) = epoch
            && is_own_lease
            && epoch > owner.epoch()
        {
            owner.set_epoch(epoch);
            node.has_pending_claim = false;
        }
        if let Some(owner) = node.owner.take_if(|owner| Some(owner.epoch()) != epoch) {
            let mut out = Vec::new();
            owner.step_down(&mut out);
            node.gather = None;
            self.carry_out(index, out);
        }
    }

    fn claim(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        let voters = self.choose_voters();
        let node = &self.nodes[index];
        let last = node.fold.state().leases.get(&SHARD).cloned();
        let claim = Record::Claim {
            shard: SHARD,
            holder: node.id.clone(),
            incarnation: Incarnation(node.incarnation),
            builds_on: last.as_ref().map(|lease| lease.epoch),
            voters,
        };
        let epoch = Epoch(self.log.len() as u64);
        self.log.push(claim.encode());
        self.read_to_end(index);
        self.depose_if_replaced(index);
        if self.nodes[index].fold.state().epoch(SHARD) != Some(epoch) {
            return;
        }
        let node = &mut self.nodes[index];
        node.owner = Some(Owner::new(SHARD, epoch, OwnerConfig::default()));
        node.has_pending_claim = false;
        let gather = last.map_or_else(
            || IntentRecovery::new(Epoch(0), []),
            |lease| IntentRecovery::new(lease.epoch, lease.voters),
        );
        node.gather = Some(gather);
        if self.mutant == Mutant::NoIntentRecovery {
            self.adopt(index, Vec::new());
        }
        self.adopt_if_complete(index);
    }

    fn choose_voters(&mut self) -> Vec<NodeId> {
        let mut ids: Vec<_> = self.nodes.iter().map(|node| node.id.clone()).collect();
        self.rng.shuffle(&mut ids);
        ids.truncate(VOTERS);
        ids
    }

    /// Claims an owner's shard again with new voters; the record may reach the log late or never.
    fn renew(&mut self, index: usize) {
        let voters = self.choose_voters();
        let node = &mut self.nodes[index];
        let Some(owner) = &node.owner else {
            return;
        };
        let has_mirrored = node.commit.is_mirrored(SHARD);
        if owner.is_recovering() || has_mirrored && self.mutant != Mutant::RenewsWithMirroredIntents
        {
            return;
        }
        let claim = Record::Claim {
            shard: SHARD,
            holder: node.id.clone(),
            incarnation: Incarnation(node.incarnation),
            builds_on: Some(owner.epoch()),
            voters,
        };
        node.has_pending_claim = true;
        if self.log_up && self.rng.u32(..3) > 0 {
            self.log.push(claim.encode());
            self.coverage.renewed += 1;
        } else {
            self.late_appends.push(claim.encode());
        }
    }

    fn gather(&mut self, index: usize) {
        let voter = self.rng.usize(..self.nodes.len());
        let Some(epoch) = self.nodes[index].owner.as_ref().map(Owner::epoch) else {
            return;
        };
        let current_epoch = self.nodes[voter].fold.state().epoch(SHARD);
        let Some(gathered) = self.nodes[voter]
            .mirrors
            .reply_to_claim(SHARD, epoch, current_epoch)
        else {
            return;
        };
        let voter = self.nodes[voter].id.clone();
        if let Some(gather) = &mut self.nodes[index].gather {
            gather.record_reply(&voter, gathered);
        }
        self.adopt_if_complete(index);
    }

    fn adopt_if_complete(&mut self, index: usize) {
        let intents = self.nodes[index]
            .gather
            .as_ref()
            .and_then(IntentRecovery::recovered_intents);
        if let Some(intents) = intents {
            self.adopt(index, intents);
        }
    }

    fn adopt(&mut self, index: usize, intents: Vec<sesamecart_fold::ActionIntent>) {
        self.coverage.recovered += u32::try_from(intents.len()).unwrap();
        self.nodes[index].gather = None;
        self.with_owner(index, |owner, cx, out| {
            owner.complete_takeover(cx, intents, true, out)
        });
    }

    /// Sends a granted attempt; its node may crash before or after sending.
    fn send(&mut self) {
        let granted: Vec<_> = (0..self.attempts.len())
            .filter(|one| self.attempts[*one].progress == Progress::Granted)
            .collect();
        if granted.is_empty() {
            return;
        }
        let one = granted[self.rng.usize(..granted.len())];
        let fate = self.rng.u32(..8);
        let sent = &mut self.attempts[one];
        sent.progress = Progress::Done;
        match fate {
            0 => {
                sent.reported_not_run = true;
                sent.end = Some(ActionEnd::NotRun);
                return;
            }
            1 => return,
            2 => {}
            3 => sent.end = Some(ActionEnd::Unknown),
            _ => sent.end = Some(answer_of(&sent.id).into()),
        }
        sent.runs += 1;
        self.coverage.sent += 1;
    }

    /// Reports the outcome of an attempt to an owner, possibly more than once.
    fn report_outcome(&mut self, index: usize) {
        let reportable: Vec<_> = (0..self.attempts.len())
            .filter(|one| self.attempts[*one].end.is_some())
            .collect();
        if reportable.is_empty() {
            return;
        }
        let one = reportable[self.rng.usize(..reportable.len())];
        let call_id = self.call_id(one);
        let ended = &self.attempts[one];
        let (key, attempt) = (ended.key.clone(), ended.id.clone());
        let end = ended.end.clone().unwrap();
        self.with_owner(index, |owner, cx, out| {
            owner.record_outcome(cx, call_id, &key, &attempt, end, out);
        });
    }

    fn apply_late_append(&mut self) {
        if !self.late_appends.is_empty() {
            let record = self
                .late_appends
                .remove(self.rng.usize(..self.late_appends.len()));
            self.log.push(record);
        }
    }

    /// Replaces a node by a new process that has the same name and no state.
    fn crash(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let has_read_tail = self.mutant == Mutant::StoresBeforeLogRead;
        let mut new_node = node(index, incarnation, has_read_tail);
        if has_read_tail {
            // The new process copies the fold from a peer and stores intents before it has read the log's
            // tail.
            new_node.fold = self.nodes[(index + 1) % self.nodes.len()].fold.clone();
        }
        self.nodes[index] = new_node;
    }

    fn forget_logged(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.mirrors.forget_logged(&node.fold.state().actions);
    }

    fn tick(&mut self, index: usize) {
        self.now = self.now + Duration::from_millis(self.rng.u64(..800));
        self.with_owner(index, |owner, cx, out| owner.tick(cx, out));
    }
}

/// Treats an acknowledged append as an accepted intent.
fn assume_accepted(durable: sesamecart_actions::CommitResult) -> sesamecart_actions::CommitResult {
    match durable {
        sesamecart_actions::CommitResult::Logged(item) => {
            sesamecart_actions::CommitResult::Mirrored(item)
        }
        other => other,
    }
}
