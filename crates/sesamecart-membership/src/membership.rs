//! The members as one node sees them, and what it tells and asks the others.

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use sesamecart_vocabulary::{Incarnation, NodeId, Timestamp};

use crate::member::{Member, Seed, Standing, Status};
use crate::peer::Peer;
use crate::settings::MembershipSettings;

/// A gap between two ticks above which this node itself was paused.
const PAUSE: Duration = Duration::from_secs(2);

/// How many of its last probes a node looks at to judge whether its own links are bad.
const HEALTH_WINDOW: u32 = 8;

/// How much longer suspicions last while most of a node's own probes fail.
const UNHEALTHY_FACTOR: u32 = 3;

/// One probe in this many goes to a node that is down or was only named by a seed.
const REVIVAL: u32 = 8;

/// One place in this many in a message is kept for members without news.
///
/// A lost domain makes news of a third of all nodes at once, and those who miss some would learn of
/// it only after all news have been told.
const SLICE_SHARE: usize = 3;

/// What a heartbeat and its answer carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender, by its own word.
    pub sender: Member,
    /// News about a few others.
    pub members: Vec<Member>,
}

/// A heartbeat to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The peer.
    pub to: Seed,
    /// The message.
    pub message: Message,
}

/// The members as one node sees them.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    peers: IndexMap<NodeId, Peer>,
    rng: Rng,
    next_probe: Timestamp,
    last_tick: Timestamp,
    /// Peers still to be probed in this pass, so that each is probed once per pass.
    pass: Vec<NodeId>,
    rounds: u32,
    waiting: IndexMap<NodeId, Timestamp>,
    /// The last probes' outcomes, one bit each: 1 failed.
    failures: u32,
    /// Where the next slice of members begins that are told when there are no news.
    cursor: usize,
}

impl Membership {
    /// Makes the view of a node that has just started; `seed` makes its choices repeatable.
    #[must_use]
    pub fn new(me: Member, settings: MembershipSettings, seed: u64, now: Timestamp) -> Self {
        Self {
            me,
            settings,
            peers: IndexMap::new(),
            rng: Rng::with_seed(seed),
            next_probe: now,
            last_tick: now,
            pass: Vec::new(),
            rounds: 0,
            waiting: IndexMap::new(),
            failures: 0,
            cursor: 0,
        }
    }

    /// Names nodes from the settings, as places to ask.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = Seed>) {
        for seed in seeds {
            if seed.node != self.me.node {
                let node = seed.node.clone();
                self.peers.entry(node).or_insert_with(|| Peer::new(seed));
            }
        }
    }

    /// Takes a whole answer of the platform's VM list.
    ///
    /// The list lags, so that it only names places to ask, and only a node that is down by its
    /// peers' word is taken for gone because the list shows it no more.
    pub fn on_list(&mut self, list: impl IntoIterator<Item = Seed>, now: Timestamp) {
        let list: Vec<Seed> = list.into_iter().collect();
        for (node, peer) in &mut self.peers {
            let shown = list.iter().any(|seed| seed.node == *node);
            peer.list(shown, now);
        }
        self.add_seeds(list.iter().cloned());
        for seed in &list {
            if let Some(peer) = self.peers.get_mut(&seed.node) {
                peer.list(true, now);
            }
        }
    }

    /// Returns what this node says of itself.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Tells the others that this node is about to go.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.heartbeat += 1;
    }

    /// Returns every node that was ever heard of, with what is believed of it, this node included.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = (&Member, Standing)> {
        let mine = match self.me.status {
            Status::Leaving => Standing::Leaving,
            Status::Alive | Status::Suspected | Status::Down => Standing::Live,
        };
        let peers = self.peers.values().filter_map(move |peer| {
            let standing = peer.standing(&self.settings, now)?;
            Some((peer.member.as_ref()?, standing))
        });
        std::iter::once((&self.me, mine)).chain(peers)
    }

    /// Returns what is believed of another node, if it was ever heard of.
    #[must_use]
    pub fn standing(&self, node: &NodeId, now: Timestamp) -> Option<Standing> {
        self.peers.get(node)?.standing(&self.settings, now)
    }

    /// Returns the life of another node's process that was last heard of.
    #[must_use]
    pub fn incarnation(&self, node: &NodeId) -> Option<Incarnation> {
        Some(self.peers.get(node)?.member.as_ref()?.incarnation)
    }

    /// Does what is due: lets suspicions run out and returns the heartbeats to send.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Probe> {
        self.forgive_own_pause(now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        if now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now + self.settings.probe_interval;
        self.rounds = self.rounds.wrapping_add(1);
        let mut probes = Vec::new();
        for _ in 0..self.settings.probes {
            let Some(node) = self.next_target() else {
                break;
            };
            if probes.iter().any(|probe: &Probe| probe.to.node == node) {
                continue;
            }
            self.waiting
                .insert(node.clone(), now + self.settings.probe_timeout);
            let message = self.message(&node);
            probes.push(Probe {
                to: self.peers[&node].seed.clone(),
                message,
            });
        }
        probes
    }

    /// Takes a heartbeat and returns the answer.
    pub fn on_request(&mut self, message: &Message, now: Timestamp) -> Message {
        self.take(message, now);
        self.message(&message.sender.node)
    }

    /// Takes the answer to a heartbeat, be it late.
    pub fn on_reply(&mut self, message: &Message, now: Timestamp) {
        if self.waiting.swap_remove(&message.sender.node).is_some() {
            self.failures <<= 1;
        }
        self.take(message, now);
    }

    /// Takes note that a heartbeat couldn't be sent or answered.
    pub fn on_failure(&mut self, node: &NodeId, now: Timestamp) {
        if self.waiting.swap_remove(node).is_some() {
            self.suspect(node, now);
        }
    }

    fn take(&mut self, message: &Message, now: Timestamp) {
        if message.sender.node == self.me.node {
            return;
        }
        self.learn(&message.sender, now);
        let suspicion = self.suspicion_time();
        if let Some(peer) = self.peers.get_mut(&message.sender.node) {
            peer.hear(suspicion, now);
        }
        for member in &message.members {
            self.learn(member, now);
        }
    }

    fn learn(&mut self, news: &Member, now: Timestamp) {
        if news.node == self.me.node {
            self.refute(news);
            return;
        }
        let tellings = self.tellings();
        let suspicion = self.suspicion_time();
        let seed = Seed {
            node: news.node.clone(),
            address: news.address,
            failure_domain: news.failure_domain.clone(),
        };
        let peer = self
            .peers
            .entry(news.node.clone())
            .or_insert_with(|| Peer::new(seed));
        peer.learn(news, tellings, suspicion, &self.settings, now);
    }

    /// Answers a suspicion of this node itself with a higher heartbeat.
    ///
    /// A slow link of one peer, or a pause that has passed, would otherwise take this node's shards
    /// away although it is well.
    fn refute(&mut self, news: &Member) {
        let about_this_life = news.incarnation == self.me.incarnation;
        let doubted = matches!(news.status, Status::Suspected | Status::Down);
        if about_this_life && doubted && news.heartbeat >= self.me.heartbeat {
            self.me.heartbeat = news.heartbeat + 1;
        }
    }

    /// Lets this node's own pause count against nobody: answers came meanwhile and weren't read.
    fn forgive_own_pause(&mut self, now: Timestamp) {
        let gap = now - self.last_tick;
        self.last_tick = now;
        if gap < PAUSE {
            return;
        }
        self.waiting.clear();
        for peer in self.peers.values_mut() {
            peer.deadline = peer.deadline.map(|deadline| deadline + gap);
        }
    }

    fn expire_probes(&mut self, now: Timestamp) {
        let late = |deadline: &Timestamp| now >= *deadline;
        let late: Vec<NodeId> = self
            .waiting
            .iter()
            .filter(|(_, deadline)| late(deadline))
            .map(|(node, _)| node.clone())
            .collect();
        for node in late {
            self.waiting.swap_remove(&node);
            self.suspect(&node, now);
        }
    }

    fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        let Some(member) = self.peers.get(node).and_then(|peer| peer.member.clone()) else {
            return;
        };
        if member.status == Status::Down {
            return;
        }
        self.failures = self.failures << 1 | 1;
        let news = Member {
            status: member.status.max(Status::Suspected),
            ..member
        };
        if news.status == Status::Leaving {
            // A leaving node may go without a word; it needn't be given time to refute.
            self.down(node, now);
        } else {
            self.learn(&news, now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let run_out = |peer: &Peer| peer.deadline.is_some_and(|deadline| now >= deadline);
        let nodes: Vec<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| run_out(peer))
            .map(|(node, _)| node.clone())
            .collect();
        for node in nodes {
            self.down(&node, now);
        }
        let forget_after = self.settings.forget_after;
        self.peers.retain(|_, peer| {
            peer.down_since
                .is_none_or(|since| now < since + forget_after)
        });
    }

    fn down(&mut self, node: &NodeId, now: Timestamp) {
        let Some(member) = self.peers.get(node).and_then(|peer| peer.member.clone()) else {
            return;
        };
        let news = Member {
            status: Status::Down,
            ..member
        };
        self.learn(&news, now);
    }

    /// Picks the next peer: a random order over all that are well, and at times one that isn't.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.peers.is_empty() {
            return None;
        }
        let well = |peer: &Peer| peer.member.is_some() && peer.down_since.is_none();
        let unwell: Vec<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| !well(peer))
            .map(|(node, _)| node.clone())
            .collect();
        let none_well = unwell.len() == self.peers.len();
        if none_well || (!unwell.is_empty() && self.rng.u32(..REVIVAL) == 0) {
            return Some(unwell[self.rng.usize(..unwell.len())].clone());
        }
        loop {
            let Some(node) = self.pass.pop() else {
                let alive = self.peers.iter().filter(|(_, peer)| well(peer));
                self.pass = alive.map(|(node, _)| node.clone()).collect();
                self.rng.shuffle(&mut self.pass);
                continue;
            };
            if self.peers.get(&node).is_some_and(well) {
                return Some(node);
            }
        }
    }

    /// Chooses what to tell: first what the receiver itself should refute, then news, then a slice
    /// of all members in turn, so that a node that missed some news gets them in the end.
    fn message(&mut self, to: &NodeId) -> Message {
        let mut chosen: Vec<usize> = Vec::with_capacity(self.settings.piggyback);
        let doubted = |peer: &Peer| {
            let status = peer.member.as_ref().map(|member| member.status);
            matches!(status, Some(Status::Suspected | Status::Down))
        };
        if let Some((index, _, peer)) = self.peers.get_full(to)
            && doubted(peer)
        {
            chosen.push(index);
        }
        let mut fresh: Vec<usize> = (0..self.peers.len())
            .filter(|index| self.peers[*index].tellings > 0)
            .collect();
        fresh.sort_by_key(|index| std::cmp::Reverse(self.peers[*index].tellings));
        let for_news = self.settings.piggyback - self.settings.piggyback / SLICE_SHARE;
        for index in fresh {
            if chosen.len() < for_news && !chosen.contains(&index) {
                self.peers[index].tellings -= 1;
                chosen.push(index);
            }
        }
        for _ in 0..self.peers.len() {
            if chosen.len() >= self.settings.piggyback {
                break;
            }
            self.cursor = (self.cursor + 1) % self.peers.len();
            if self.peers[self.cursor].member.is_some() && !chosen.contains(&self.cursor) {
                chosen.push(self.cursor);
            }
        }
        let members = chosen
            .into_iter()
            .filter_map(|index| self.peers[index].member.clone());
        Message {
            sender: self.me.clone(),
            members: members.collect(),
        }
    }

    /// Returns how often news are told: a few times the logarithm, by when nearly all have them.
    fn tellings(&self) -> u32 {
        4 * (self.peers.len() + 2).ilog2()
    }

    /// Returns how long a suspicion may be refuted, given the state of this node's own links.
    fn suspicion_time(&self) -> Duration {
        let time = self.settings.suspicion_time(self.peers.len() + 1);
        let window = self.failures & ((1 << HEALTH_WINDOW) - 1);
        if window.count_ones() * 2 > HEALTH_WINDOW {
            time * UNHEALTHY_FACTOR
        } else {
            time
        }
    }
}
