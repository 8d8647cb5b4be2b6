//! One node's view of the members, its probes and its messages.

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use sesamecart_vocabulary::{Incarnation, NodeId, Timestamp};

use crate::member::{Liveness, Member, Seed, Status};
use crate::peer::Peer;
use crate::settings::MembershipSettings;

/// A gap between two ticks of this length or more means that this node itself was paused.
const LOCAL_PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// The number of recent probes from which a node judges the quality of its own links.
const HEALTH_WINDOW_PROBES: u32 = 8;

/// The factor by which suspicions are extended while most of a node's own probes fail.
const UNHEALTHY_SUSPICION_FACTOR: u32 = 3;

/// One in this many probes, on average, is sent to a node that is down or known only as a seed.
const UNREACHABLE_PROBE_ODDS: u32 = 8;

/// One in this many entries of a message is reserved for members in round-robin order.
///
/// A lost failure domain produces updates about a third of all nodes at once. Without the reserved entries, a
/// node that missed some of them would receive them only after all updates have been transmitted.
const ROUND_ROBIN_SHARE: usize = 3;

/// The content of a heartbeat and of its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender's own state.
    pub sender: Member,
    /// Updates about a few other nodes.
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

/// One node's view of the members.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    peers: IndexMap<NodeId, Peer>,
    rng: Rng,
    next_probe: Timestamp,
    last_tick: Timestamp,
    /// Peers still to be probed in this pass over all peers, so that each is probed once per pass.
    probe_queue: Vec<NodeId>,
    rounds: u32,
    pending_probes: IndexMap<NodeId, Timestamp>,
    /// The outcomes of the last probes, one bit each. A bit of 1 is a failure.
    probe_failures: u32,
    /// The index of the last member that was sent in round-robin order.
    round_robin_cursor: usize,
}

impl Membership {
    /// Creates the view of a node that has just started. The random choices are determined by `seed`.
    #[must_use]
    pub fn new(me: Member, settings: MembershipSettings, seed: u64, now: Timestamp) -> Self {
        Self {
            me,
            settings,
            peers: IndexMap::new(),
            rng: Rng::with_seed(seed),
            next_probe: now,
            last_tick: now,
            probe_queue: Vec::new(),
            rounds: 0,
            pending_probes: IndexMap::new(),
            probe_failures: 0,
            round_robin_cursor: 0,
        }
    }

    /// Adds seeds, nodes that can be probed but aren't known to be alive.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = Seed>) {
        for seed in seeds {
            if seed.node != self.me.node {
                let node = seed.node.clone();
                self.peers.entry(node).or_insert_with(|| Peer::new(seed));
            }
        }
    }

    /// Handles a complete response of the platform's VM list.
    ///
    /// The list lags, so its nodes are only used as seeds, and a node that it no longer shows is considered
    /// gone only if its peers also report it as down.
    pub fn on_vm_list(&mut self, list: impl IntoIterator<Item = Seed>, now: Timestamp) {
        let list: Vec<Seed> = list.into_iter().collect();
        for (node, peer) in &mut self.peers {
            let is_listed = list.iter().any(|seed| seed.node == *node);
            peer.update_listing(is_listed, now);
        }
        self.add_seeds(list.iter().cloned());
        for seed in &list {
            if let Some(peer) = self.peers.get_mut(&seed.node) {
                peer.update_listing(true, now);
            }
        }
    }

    /// Returns this node's own state, as it sends it to others.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// Marks this node as leaving, which its next messages announce.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.heartbeat += 1;
    }

    /// Returns every known node and its standing, including this node. Seeds without an update are left out.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = (&Member, Liveness)> {
        let own_standing = match self.me.status {
            Status::Leaving => Liveness::Leaving,
            Status::Alive | Status::Suspected | Status::Down => Liveness::Live,
        };
        let peers = self.peers.values().filter_map(move |peer| {
            let standing = peer.standing(&self.settings, now)?;
            Some((peer.member.as_ref()?, standing))
        });
        std::iter::once((&self.me, own_standing)).chain(peers)
    }

    /// Returns the standing of another node, if there was an update about it.
    #[must_use]
    pub fn liveness(&self, node: &NodeId, now: Timestamp) -> Option<Liveness> {
        self.peers.get(node)?.standing(&self.settings, now)
    }

    /// Returns the newest known incarnation of another node.
    #[must_use]
    pub fn incarnation(&self, node: &NodeId) -> Option<Incarnation> {
        Some(self.peers.get(node)?.member.as_ref()?.incarnation)
    }

    /// Expires probes and suspicions and returns the heartbeats to send.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Probe> {
        self.discount_local_pause(now);
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
            self.pending_probes
                .insert(node.clone(), now + self.settings.probe_timeout);
            let message = self.build_message(&node);
            probes.push(Probe {
                to: self.peers[&node].seed.clone(),
                message,
            });
        }
        probes
    }

    /// Handles a heartbeat and returns the reply.
    pub fn on_request(&mut self, message: &Message, now: Timestamp) -> Message {
        self.receive(message, now);
        self.build_message(&message.sender.node)
    }

    /// Handles the reply to a heartbeat, even if it is late.
    pub fn on_reply(&mut self, message: &Message, now: Timestamp) {
        if self
            .pending_probes
            .swap_remove(&message.sender.node)
            .is_some()
        {
            self.probe_failures <<= 1;
        }
        self.receive(message, now);
    }

    /// Records that a heartbeat couldn't be sent or wasn't answered.
    pub fn on_failure(&mut self, node: &NodeId, now: Timestamp) {
        if self.pending_probes.swap_remove(node).is_some() {
            self.suspect(node, now);
        }
    }

    fn receive(&mut self, message: &Message, now: Timestamp) {
        if message.sender.node == self.me.node {
            return;
        }
        self.apply_update(&message.sender, now);
        let suspicion_timeout = self.suspicion_timeout();
        if let Some(peer) = self.peers.get_mut(&message.sender.node) {
            peer.extend_suspicion(suspicion_timeout, now);
        }
        for member in &message.members {
            self.apply_update(member, now);
        }
    }

    fn apply_update(&mut self, update: &Member, now: Timestamp) {
        if update.node == self.me.node {
            self.refute(update);
            return;
        }
        let transmissions = self.transmit_limit();
        let suspicion_timeout = self.suspicion_timeout();
        let seed = Seed {
            node: update.node.clone(),
            address: update.address,
            failure_domain: update.failure_domain.clone(),
        };
        let peer = self
            .peers
            .entry(update.node.clone())
            .or_insert_with(|| Peer::new(seed));
        peer.apply_update(
            update,
            transmissions,
            suspicion_timeout,
            &self.settings,
            now,
        );
    }

    /// Refutes a suspicion of this node itself by increasing the heartbeat.
    ///
    /// Otherwise a slow link of one peer, or a pause that has ended, would cause this node's shards to be
    /// reassigned although it is healthy.
    fn refute(&mut self, update: &Member) {
        let is_current_incarnation = update.incarnation == self.me.incarnation;
        let is_suspected_or_down = matches!(update.status, Status::Suspected | Status::Down);
        if is_current_incarnation && is_suspected_or_down && update.heartbeat >= self.me.heartbeat {
            self.me.heartbeat = update.heartbeat + 1;
        }
    }

    /// Excludes a pause of this node from all timeouts: replies that arrived meanwhile weren't read.
    fn discount_local_pause(&mut self, now: Timestamp) {
        let gap = now - self.last_tick;
        self.last_tick = now;
        if gap < LOCAL_PAUSE_THRESHOLD {
            return;
        }
        self.pending_probes.clear();
        for peer in self.peers.values_mut() {
            peer.suspicion_deadline = peer.suspicion_deadline.map(|deadline| deadline + gap);
        }
    }

    fn expire_probes(&mut self, now: Timestamp) {
        let is_overdue = |deadline: &Timestamp| now >= *deadline;
        let overdue: Vec<NodeId> = self
            .pending_probes
            .iter()
            .filter(|(_, deadline)| is_overdue(deadline))
            .map(|(node, _)| node.clone())
            .collect();
        for node in overdue {
            self.pending_probes.swap_remove(&node);
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
        self.probe_failures = self.probe_failures << 1 | 1;
        let update = Member {
            status: member.status.max(Status::Suspected),
            ..member
        };
        if update.status == Status::Leaving {
            // A leaving node is expected to stop responding, so it gets no time to refute.
            self.mark_down(node, now);
        } else {
            self.apply_update(&update, now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let is_expired = |peer: &Peer| {
            peer.suspicion_deadline
                .is_some_and(|deadline| now >= deadline)
        };
        let nodes: Vec<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(node, _)| node.clone())
            .collect();
        for node in nodes {
            self.mark_down(&node, now);
        }
        let forget_after = self.settings.forget_after;
        self.peers.retain(|_, peer| {
            peer.down_since
                .is_none_or(|since| now < since + forget_after)
        });
    }

    fn mark_down(&mut self, node: &NodeId, now: Timestamp) {
        let Some(member) = self.peers.get(node).and_then(|peer| peer.member.clone()) else {
            return;
        };
        let update = Member {
            status: Status::Down,
            ..member
        };
        self.apply_update(&update, now);
    }

    /// Selects the next peer to probe: the reachable ones in random order, and occasionally an unreachable
    /// one.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.peers.is_empty() {
            return None;
        }
        let is_reachable = |peer: &Peer| peer.member.is_some() && peer.down_since.is_none();
        let unreachable: Vec<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| !is_reachable(peer))
            .map(|(node, _)| node.clone())
            .collect();
        let none_reachable = unreachable.len() == self.peers.len();
        if none_reachable
            || (!unreachable.is_empty() && self.rng.u32(..UNREACHABLE_PROBE_ODDS) == 0)
        {
            return Some(unreachable[self.rng.usize(..unreachable.len())].clone());
        }
        loop {
            let Some(node) = self.probe_queue.pop() else {
                let reachable = self.peers.iter().filter(|(_, peer)| is_reachable(peer));
                self.probe_queue = reachable.map(|(node, _)| node.clone()).collect();
                self.rng.shuffle(&mut self.probe_queue);
                continue;
            };
            if self.peers.get(&node).is_some_and(is_reachable) {
                return Some(node);
            }
        }
    }

    /// Builds the message to a peer: first a suspicion of the peer itself, which it should refute, then
    /// recent updates, then members in round-robin order, so that a node that missed updates eventually
    /// receives them.
    fn build_message(&mut self, to: &NodeId) -> Message {
        let mut chosen: Vec<usize> = Vec::with_capacity(self.settings.piggyback);
        let is_suspected_or_down = |peer: &Peer| {
            let status = peer.member.as_ref().map(|member| member.status);
            matches!(status, Some(Status::Suspected | Status::Down))
        };
        if let Some((index, _, peer)) = self.peers.get_full(to)
            && is_suspected_or_down(peer)
        {
            chosen.push(index);
        }
        let mut updated: Vec<usize> = (0..self.peers.len())
            .filter(|index| self.peers[*index].pending_transmissions > 0)
            .collect();
        updated.sort_by_key(|index| std::cmp::Reverse(self.peers[*index].pending_transmissions));
        let update_slots = self.settings.piggyback - self.settings.piggyback / ROUND_ROBIN_SHARE;
        for index in updated {
            if chosen.len() < update_slots && !chosen.contains(&index) {
                self.peers[index].pending_transmissions -= 1;
                chosen.push(index);
            }
        }
        for _ in 0..self.peers.len() {
            if chosen.len() >= self.settings.piggyback {
                break;
            }
            self.round_robin_cursor = (self.round_robin_cursor + 1) % self.peers.len();
            if self.peers[self.round_robin_cursor].member.is_some()
                && !chosen.contains(&self.round_robin_cursor)
            {
                chosen.push(self.round_robin_cursor);
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

    /// Returns how often an update is transmitted: a small multiple of the logarithm of the number of nodes,
    /// after which nearly all nodes have received it.
    fn transmit_limit(&self) -> u32 {
        4 * (self.peers.len() + 2).ilog2()
    }

    /// Returns how long a suspicion may be refuted, given the quality of this node's own links.
    fn suspicion_timeout(&self) -> Duration {
        let timeout = self.settings.suspicion_timeout(self.peers.len() + 1);
        let window = self.probe_failures & ((1 << HEALTH_WINDOW_PROBES) - 1);
        if window.count_ones() * 2 > HEALTH_WINDOW_PROBES {
            timeout * UNHEALTHY_SUSPICION_FACTOR
        } else {
            timeout
        }
    }
}
