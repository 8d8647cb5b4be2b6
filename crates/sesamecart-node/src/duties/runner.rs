//! Lets membership and leases run, and carries out what they want.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::Log;
use sesamecart_fold::Record;
use sesamecart_lease::{Effect, ReleaseRecord, View, Vote, VoteAnswer, VotePurpose};
use sesamecart_links::Request;
use sesamecart_links::message::{HeartbeatRequest, VoteRequest};
use sesamecart_membership::Probe;
use sesamecart_runtime::{Tasks, sleep, with_timeout};
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::wire::to_wire;
use crate::actions::Desk;
use crate::control::Peers;
use crate::shared::Shared;

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);

/// How long a picture of the nodes is used; with hundreds of nodes, making one takes a while, and a
/// node is only down after seconds of silence.
const VIEW_TIME: Duration = Duration::from_secs(1);

/// How long another node may take to answer; a straggler's late answer still counts.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Lets membership and leases run.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    peers: Peers,
    desk: Arc<Desk>,
    tasks: Tasks,
    /// The nodes as leases take them, and until when this picture is used.
    view: View,
    view_until: Timestamp,
}

impl Runner {
    pub(crate) fn new(
        shared: Arc<Shared>,
        log: Arc<dyn Log>,
        peers: Peers,
        desk: Arc<Desk>,
        tasks: Tasks,
    ) -> Self {
        Self {
            shared,
            log,
            peers,
            desk,
            tasks,
            view: View::default(),
            view_until: Timestamp::ZERO,
        }
    }

    /// Returns what a call of its own needs.
    fn caller(&self) -> Self {
        Self {
            view: View::default(),
            ..self.clone()
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            self.beat();
            self.keep_leases();
            sleep(TICK).await;
        }
    }

    fn beat(&self) {
        let now = self.shared.clock.now();
        let probes = self.shared.duties.lock().membership.tick(now);
        if !probes.is_empty() {
            self.peers.take_members(self.shared.duties.living(now));
        }
        for probe in probes {
            self.tasks.spawn(self.caller().probe(probe));
        }
    }

    async fn probe(self, probe: Probe) {
        let mut link = self.peers.links().to(probe.to.address);
        let request = HeartbeatRequest {
            sender: Some(to_wire(&probe.message.sender)),
            members: probe.message.members.iter().map(to_wire).collect(),
            ..self.shared.heartbeat_request()
        };
        let answered = with_timeout(CALL_LIMIT, link.heartbeat(Request::new(request))).await;
        let now = self.shared.clock.now();
        match answered {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                self.shared.take_heartbeat_drains(&reply.drains);
                self.shared.duties.on_reply(&reply, now);
            }
            Ok(Err(_)) | Err(_) => {
                let mut state = self.shared.duties.lock();
                state.membership.on_failure(&probe.to.node, now);
            }
        }
    }

    fn keep_leases(&mut self) {
        let busy = self.desk.busy_shards();
        let now = self.shared.clock.now();
        let effects = {
            let mut state = self.shared.duties.lock();
            if now >= self.view_until {
                self.view = state.view(now);
                self.view_until = now + VIEW_TIME;
            }
            state.leases.pin(busy);
            let effects = state.leases.tick(&self.view, now);
            self.shared.duties.publish(&state);
            effects
        };
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::AppendClaim(draft) => {
                // Claims are appended by the keyed actions' desk, which must hear the last owner's
                // voters in any case.
                let shard = draft.shard;
                let is_held = {
                    let mut state = self.shared.duties.lock();
                    // The desk counts its own append.
                    state.leases.append_refused(shard);
                    state.leases.is_claimant(shard)
                };
                if is_held {
                    self.desk.refresh_voters(shard);
                }
            }
            Effect::AppendRelease(release) => self.tasks.spawn(self.caller().release(release)),
            Effect::RequestVote { to, vote } => {
                if let Some(address) = self.address(&to) {
                    self.tasks.spawn(self.caller().ask(to, address, vote));
                }
            }
            Effect::Acquired { shard, epoch } => {
                log::info!("lease: shard {shard} is held under epoch {epoch}.");
            }
            Effect::Lost { shard, epoch } => {
                log::info!("lease: shard {shard} is no longer held under epoch {epoch}.");
            }
        }
    }

    fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let state = self.shared.duties.lock();
        let mut members = state.membership.members(self.shared.clock.now());
        members
            .find(|(member, _)| member.node == *node)
            .map(|(member, _)| member.address)
    }

    async fn release(self, release: ReleaseRecord) {
        let ReleaseRecord { shard, epoch } = release;
        let record = Record::Release {
            shard,
            holder: self.shared.identity.node.clone(),
            epoch,
        };
        if let Err(error) = self.log.append(record.encode().into()).await {
            log::info!("lease: shard {shard} was not released: {error}.");
        }
    }

    async fn ask(self, voter: NodeId, address: SocketAddr, vote: Vote) {
        let mut link = self.peers.links().to(address);
        let request = VoteRequest {
            shard: u32::from(vote.shard.0),
            epoch: vote.epoch.0,
            extend_holder: match vote.purpose {
                VotePurpose::Extend => Some(self.shared.identity.node.to_string()),
                VotePurpose::Applied => None,
            },
        };
        let Ok(Ok(reply)) = with_timeout(CALL_LIMIT, link.vote(Request::new(request))).await else {
            return;
        };
        let answer = VoteAnswer {
            voter,
            vote,
            granted: reply.get_ref().granted,
        };
        let now = self.shared.clock.now();
        let mut state = self.shared.duties.lock();
        state.leases.on_vote(&answer, now);
        self.shared.duties.publish(&state);
    }
}
