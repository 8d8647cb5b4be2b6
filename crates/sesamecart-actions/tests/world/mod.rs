//! A few nodes, one log and a few keys, moved by a seeded scheduler that has no mercy.

use fastrand::Rng;
use indexmap::IndexMap;
use sesamecart_actions::{
    Answer, Asking, CommitConfig, CommitStep, Decision, Effect, Gather, GroupCommit, KnownActions,
    LogBatch, MirrorBatch, Mirrors, MirrorsConfig, Owner, OwnerConfig, Ticket,
};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Fold, Record};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, Epoch, Incarnation, NodeId, Offset, ShardId, Timestamp,
};
use std::time::Duration;

/// The fewest nodes of a history; every second one has one more, so that voters change.
const NODES: usize = 3;
const VOTERS: usize = 3;
const KEYS: usize = 2;
const SHARD: ShardId = ShardId(0);

/// A rule that is left out, to see that the check notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortcut {
    None,
    NoReadBack,
    NoGather,
    EarlyPromise,
    PromiseToAll,
    OneVoter,
    RenewAtOnce,
}

/// How often the histories reached what they are meant for.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent: u32,
    pub mirrored: u32,
    pub adopted: u32,
    pub given_again: u32,
    pub unknown: u32,
    pub refused: u32,
    pub resumed_grants: u32,
    pub renewed: u32,
}

impl Seen {
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.mirrored += other.mirrored;
        self.adopted += other.adopted;
        self.given_again += other.given_again;
        self.unknown += other.unknown;
        self.refused += other.refused;
        self.resumed_grants += other.resumed_grants;
        self.renewed += other.renewed;
    }
}

struct Node {
    id: NodeId,
    life: u64,
    fold: Fold,
    commit: GroupCommit,
    owner: Option<Owner>,
    gather: Option<Gather>,
    mirrors: Mirrors,
    /// A claim for fresh voters is sent and its verdict isn't read.
    renewing: bool,
}

/// How far a caller's try has come.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Progress {
    Asking,
    Allowed,
    /// The node that made it died or is done.
    Over,
}

struct Try {
    key: ActionKey,
    attempt: AttemptId,
    progress: Progress,
    /// The end that is to be told to an owner.
    end: Option<ActionEnd>,
    told_not_run: bool,
    runs: u32,
}

pub struct World {
    rng: Rng,
    shortcut: Shortcut,
    now: Timestamp,
    nodes: Vec<Node>,
    log: Vec<Vec<u8>>,
    log_up: bool,
    /// Appends whose answer was lost and which still are on their way.
    late: Vec<Vec<u8>>,
    tries: Vec<Try>,
    tickets: IndexMap<Ticket, usize>,
    next_ticket: u64,
    fault: Option<String>,
    pub seen: Seen,
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

fn node(index: usize, life: u64, settled: bool) -> Node {
    let mut mirrors = Mirrors::new(MirrorsConfig::default());
    if settled {
        mirrors.settle(Offset(0));
    }
    let config = CommitConfig {
        interval: Duration::ZERO,
        ..CommitConfig::default()
    };
    Node {
        id: format!("node-{index}").parse().unwrap(),
        life,
        fold: Fold::new(),
        commit: GroupCommit::new(config),
        owner: None,
        gather: None,
        mirrors,
        renewing: false,
    }
}

impl World {
    pub fn new(seed: u64, shortcut: Shortcut) -> Self {
        Self::with_nodes(seed, shortcut, NODES + usize::from(seed % 2 == 1))
    }

    pub fn with_nodes(seed: u64, shortcut: Shortcut, nodes: usize) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            shortcut,
            now: Timestamp::ZERO,
            nodes: (0..nodes).map(|index| node(index, 1, true)).collect(),
            log: Vec::new(),
            log_up: true,
            late: Vec::new(),
            tries: Vec::new(),
            tickets: IndexMap::new(),
            next_ticket: 0,
            fault: None,
            seen: Seen::default(),
        }
    }

    /// Fails if an action ran twice, or ran though its caller was told that it had not.
    pub fn check(&self) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        for index in 0..KEYS {
            let of_key = || self.tries.iter().filter(|one| one.key == key(index));
            let runs: u32 = of_key().map(|one| one.runs).sum();
            if runs > 1 {
                return Err(format!("key {index} ran {runs} times"));
            }
            if of_key().any(|one| one.told_not_run && one.runs > 0) {
                return Err(format!("key {index} ran and was told not run"));
            }
        }
        Ok(())
    }

    pub fn step(&mut self) {
        let index = self.rng.usize(..self.nodes.len());
        match self.rng.u32(..100) {
            0..16 => self.ask(index),
            16..22 => self.ask_again(index),
            22..44 => self.commit(index),
            44..52 => self.catch_up(index),
            52..57 => self.claim(index),
            57..67 => self.gather(index),
            67..77 => self.send(),
            77..85 => self.tell(index),
            85..89 => self.land_late(),
            89..92 => self.log_up = !self.log_up,
            92..94 => self.crash(index),
            94..96 => self.forget(index),
            96..98 => self.renew(index),
            _ => self.tick(index),
        }
    }

    /// An owner dies after it has mirrored an action in an outage and, if it may, renewed its voters.
    pub fn renew_with_intents_at_the_voters(&mut self) {
        self.claim(0);
        (0..self.nodes.len()).for_each(|index| self.read_to_end(index));
        self.log_up = false;
        self.ask(0);
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
            self.ask(1);
            self.commit(1);
            self.send();
        }
    }

    fn ask(&mut self, index: usize) {
        let attempt = format!("a-{}", self.tries.len()).parse().unwrap();
        self.tries.push(Try {
            key: key(self.rng.usize(..KEYS)),
            attempt,
            progress: Progress::Asking,
            end: None,
            told_not_run: false,
            runs: 0,
        });
        self.ask_for(index, self.tries.len() - 1);
    }

    /// A node lost the owner's reply, or the owner, and asks for the same try again.
    fn ask_again(&mut self, index: usize) {
        let asking: Vec<_> = (0..self.tries.len())
            .filter(|one| self.tries[*one].progress == Progress::Asking)
            .collect();
        if !asking.is_empty() {
            let one = asking[self.rng.usize(..asking.len())];
            self.ask_for(index, one);
        }
    }

    fn ask_for(&mut self, index: usize, one: usize) {
        let ticket = self.ticket(one);
        let asking = Asking {
            key: self.tries[one].key.clone(),
            body_digest: BodyDigest::of(b"body"),
            attempt: self.tries[one].attempt.clone(),
            until: self.now + Duration::from_secs(1),
        };
        self.with_owner(index, |owner, known, out| {
            owner.begin(known, ticket, asking, out)
        });
    }

    fn ticket(&mut self, one: usize) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.insert(ticket, one);
        ticket
    }

    fn with_owner(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Owner, KnownActions<'_>, &mut Vec<Effect>),
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(owner) = &mut node.owner else {
            return;
        };
        let known = KnownActions {
            now,
            wall_ms: now.0 / 1_000,
            actions: &node.fold.state().actions,
            has_room: node.commit.has_room(),
        };
        let mut out = Vec::new();
        act(owner, known, &mut out);
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit(item) => self.nodes[index].commit.push(item),
                Effect::Reply(ticket, decision) => self.reply(ticket, decision),
                Effect::Recorded(..) => {}
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, decision: Decision) {
        let one = self.tickets[&ticket];
        // Replies get lost.
        if self.tries[one].progress != Progress::Asking || self.rng.u32(..10) == 0 {
            return;
        }
        let key = self.tries[one].key.clone();
        match decision {
            Decision::Send { .. } => {
                if self.tickets.values().filter(|other| **other == one).count() > 1 {
                    self.seen.resumed_grants += 1;
                }
                self.tries[one].progress = Progress::Allowed;
            }
            Decision::Answered(answer) => {
                self.seen.given_again += 1;
                self.tries[one].progress = Progress::Over;
                let mut of_key = self.tries.iter().filter(|other| other.key == key);
                if !of_key.any(|other| other.runs == 1 && answer == answer_of(&other.attempt)) {
                    self.fault = Some(format!("{key} was answered and has not run"));
                }
            }
            Decision::Refused { .. } | Decision::NotOwner => {
                self.seen.refused += 1;
                self.tries[one].progress = Progress::Over;
                self.tries[one].told_not_run = true;
                self.tries[one].end = Some(ActionEnd::NotRun);
            }
            Decision::Unknown { .. } => {
                self.seen.unknown += 1;
                self.tries[one].progress = Progress::Over;
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
        let done = match fate {
            _ if !self.log_up => false,
            // The answer is lost and the append lands at once, later or never.
            0 => {
                self.log.push(record);
                false
            }
            1 => {
                self.late.push(record);
                false
            }
            2 => false,
            _ => {
                self.log.push(record);
                true
            }
        };
        if done && self.shortcut != Shortcut::NoReadBack {
            self.read_to_end(index);
        }
        let now = self.now;
        let durable = self.nodes[index].commit.logged(now, batch.id, done);
        for one in durable {
            let one = if self.shortcut == Shortcut::NoReadBack {
                trusting(one)
            } else {
                one
            };
            self.with_owner(index, |owner, known, out| owner.committed(known, &one, out));
        }
        self.depose_if_replaced(index);
    }

    fn mirror(&mut self, index: usize, batch: MirrorBatch) {
        let mut kept = 0;
        let lease = self.nodes[index].fold.state().leases.get(&SHARD).cloned();
        let voters = lease.map(|lease| lease.voters).unwrap_or_default();
        for voter in 0..self.nodes.len() {
            if self.nodes[index].renewing && self.shortcut != Shortcut::RenewAtOnce {
                break;
            }
            if !voters.contains(&self.nodes[voter].id) {
                continue;
            }
            if self.rng.u32(..4) == 0 {
                continue;
            }
            let lease = self.nodes[voter].fold.state().leases.get(&SHARD);
            let mut in_force = lease.map(|lease| lease.epoch);
            if self.shortcut == Shortcut::PromiseToAll {
                in_force = Some(batch.epoch);
            }
            let mirrors = &mut self.nodes[voter].mirrors;
            kept += usize::from(mirrors.keep(batch.shard, batch.epoch, in_force, &batch.intents));
        }
        let needed = if self.shortcut == Shortcut::OneVoter {
            1
        } else {
            voters.len() / 2 + 1
        };
        let enough = kept >= needed;
        self.seen.mirrored += u32::from(enough);
        let durable = self.nodes[index].commit.mirrored(batch.id, enough);
        for one in durable {
            self.with_owner(index, |owner, known, out| owner.committed(known, &one, out));
        }
    }

    fn catch_up(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        let next = self.nodes[index].fold.state().next_offset.0;
        let left = self.log.len() as u64 - next;
        let to = next + self.rng.u64(..=left);
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
        let own = lease.is_some_and(|lease| {
            lease.holder == node.id && lease.incarnation == Incarnation(node.life)
        });
        if let Some(owner) = &mut node.owner
            && let Some(epoch) = epoch
            && own
            && epoch > owner.epoch()
        {
            owner.renew(epoch);
            node.renewing = false;
        }
        if let Some(owner) = node.owner.take_if(|owner| Some(owner.epoch()) != epoch) {
            let mut out = Vec::new();
            owner.depose(&mut out);
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
            incarnation: Incarnation(node.life),
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
        node.renewing = false;
        let gather = last.map_or_else(
            || Gather::new(Epoch(0), []),
            |lease| Gather::new(lease.epoch, lease.voters),
        );
        node.gather = Some(gather);
        if self.shortcut == Shortcut::NoGather {
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

    /// An owner claims its own shard again for fresh voters; the record may land late or never.
    fn renew(&mut self, index: usize) {
        let voters = self.choose_voters();
        let node = &mut self.nodes[index];
        let Some(owner) = &node.owner else {
            return;
        };
        let mirrored = node.commit.is_mirrored(SHARD);
        if owner.is_gathering() || mirrored && self.shortcut != Shortcut::RenewAtOnce {
            return;
        }
        let claim = Record::Claim {
            shard: SHARD,
            holder: node.id.clone(),
            incarnation: Incarnation(node.life),
            builds_on: Some(owner.epoch()),
            voters,
        };
        node.renewing = true;
        if self.log_up && self.rng.u32(..3) > 0 {
            self.log.push(claim.encode());
            self.seen.renewed += 1;
        } else {
            self.late.push(claim.encode());
        }
    }

    fn gather(&mut self, index: usize) {
        let voter = self.rng.usize(..self.nodes.len());
        let Some(epoch) = self.nodes[index].owner.as_ref().map(Owner::epoch) else {
            return;
        };
        let in_force = self.nodes[voter].fold.state().epoch(SHARD);
        let Some(gathered) = self.nodes[voter].mirrors.gather(SHARD, epoch, in_force) else {
            return;
        };
        let voter = self.nodes[voter].id.clone();
        if let Some(gather) = &mut self.nodes[index].gather {
            gather.hear(&voter, gathered);
        }
        self.adopt_if_complete(index);
    }

    fn adopt_if_complete(&mut self, index: usize) {
        let intents = self.nodes[index].gather.as_ref().and_then(Gather::complete);
        if let Some(intents) = intents {
            self.adopt(index, intents);
        }
    }

    fn adopt(&mut self, index: usize, intents: Vec<sesamecart_fold::ActionIntent>) {
        self.seen.adopted += u32::try_from(intents.len()).unwrap();
        self.nodes[index].gather = None;
        self.with_owner(index, |owner, known, out| {
            owner.adopt(known, intents, true, out)
        });
    }

    /// A node that was allowed to send does so, or dies before or after.
    fn send(&mut self) {
        let allowed: Vec<_> = (0..self.tries.len())
            .filter(|one| self.tries[*one].progress == Progress::Allowed)
            .collect();
        if allowed.is_empty() {
            return;
        }
        let one = allowed[self.rng.usize(..allowed.len())];
        let fate = self.rng.u32(..8);
        let sent = &mut self.tries[one];
        sent.progress = Progress::Over;
        match fate {
            0 => {
                sent.told_not_run = true;
                sent.end = Some(ActionEnd::NotRun);
                return;
            }
            1 => return,
            2 => {}
            3 => sent.end = Some(ActionEnd::Unknown),
            _ => sent.end = Some(answer_of(&sent.attempt).into()),
        }
        sent.runs += 1;
        self.seen.sent += 1;
    }

    /// A node tells an owner how a try ended, perhaps more than once.
    fn tell(&mut self, index: usize) {
        let ended: Vec<_> = (0..self.tries.len())
            .filter(|one| self.tries[*one].end.is_some())
            .collect();
        if ended.is_empty() {
            return;
        }
        let one = ended[self.rng.usize(..ended.len())];
        let ticket = self.ticket(one);
        let told = &self.tries[one];
        let (key, attempt) = (told.key.clone(), told.attempt.clone());
        let end = told.end.clone().unwrap();
        self.with_owner(index, |owner, known, out| {
            owner.finish(known, ticket, &key, &attempt, end, out);
        });
    }

    fn land_late(&mut self) {
        if !self.late.is_empty() {
            let record = self.late.remove(self.rng.usize(..self.late.len()));
            self.log.push(record);
        }
    }

    /// A node dies, and a new one without memory takes its name.
    fn crash(&mut self, index: usize) {
        let life = self.nodes[index].life + 1;
        let settled = self.shortcut == Shortcut::EarlyPromise;
        let mut fresh = node(index, life, settled);
        if settled {
            // It takes the folded state from a peer and promises at once, without the log's tail.
            fresh.fold = self.nodes[(index + 1) % self.nodes.len()].fold.clone();
        }
        self.nodes[index] = fresh;
    }

    fn forget(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.mirrors.forget_logged(&node.fold.state().actions);
    }

    fn tick(&mut self, index: usize) {
        self.now = self.now + Duration::from_millis(self.rng.u64(..800));
        self.with_owner(index, |owner, known, out| owner.tick(known, out));
    }
}

/// Takes an acknowledged append for a standing intent.
fn trusting(durable: sesamecart_actions::Durable) -> sesamecart_actions::Durable {
    match durable {
        sesamecart_actions::Durable::Logged(item) => sesamecart_actions::Durable::Mirrored(item),
        other => other,
    }
}
