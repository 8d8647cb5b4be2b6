//! Members and votes as links carry them.

use sesamecart_edges::{ListedVm, VmRole};
use sesamecart_lease::{Vote, VotePurpose};
use sesamecart_links::message as wire;
use sesamecart_links::message::{HeartbeatReply, HeartbeatRequest, VoteReply, VoteRequest};
use sesamecart_membership::{Member, Message, Seed, Status};
use sesamecart_vocabulary::{Epoch, Incarnation, NodeId, ShardId, Timestamp};

use super::Duties;
use crate::shared::Shared;

/// Writes a member as links carry it.
pub(super) fn to_wire(member: &Member) -> wire::Member {
    let status = match member.status {
        Status::Alive => 0,
        Status::Suspected => 1,
        Status::Leaving => 2,
        Status::Down => 3,
    };
    wire::Member {
        node: member.node.to_string(),
        address: member.address.to_string(),
        failure_domain: member.failure_domain.to_string(),
        incarnation: member.incarnation.0,
        heartbeat: member.heartbeat,
        status,
    }
}

/// Reads a member; nothing if another release sends what this one can't read.
fn from_wire(member: &wire::Member) -> Option<Member> {
    let status = match member.status {
        0 => Status::Alive,
        1 => Status::Suspected,
        2 => Status::Leaving,
        3 => Status::Down,
        _ => return None,
    };
    Some(Member {
        node: member.node.parse().ok()?,
        address: member.address.parse().ok()?,
        failure_domain: member.failure_domain.parse().ok()?,
        incarnation: Incarnation(member.incarnation),
        heartbeat: member.heartbeat,
        status,
    })
}

/// Reads a heartbeat; nothing if its sender doesn't tell itself, as a mere probe does.
fn message(sender: Option<&wire::Member>, members: &[wire::Member]) -> Option<Message> {
    Some(Message {
        sender: from_wire(sender?)?,
        members: members.iter().filter_map(from_wire).collect(),
    })
}

impl Duties {
    /// Returns this node as others are told of it.
    pub(crate) fn me(&self) -> wire::Member {
        to_wire(self.lock().membership.local_member())
    }

    /// Takes the answer to a heartbeat.
    pub(super) fn on_reply(&self, reply: &HeartbeatReply, now: Timestamp) {
        if let Some(message) = message(reply.receiver.as_ref(), &reply.members) {
            self.lock().membership.on_reply(&message, now);
        }
    }
}

impl Shared {
    /// Takes another node's heartbeat and returns what to tell it of others.
    pub(crate) fn take_heartbeat(&self, request: &HeartbeatRequest) -> Vec<wire::Member> {
        let Some(message) = message(request.sender.as_ref(), &request.members) else {
            return Vec::new();
        };
        let now = self.clock.now();
        let answer = self.duties.lock().membership.on_request(&message, now);
        answer.members.iter().map(to_wire).collect()
    }

    /// Answers another node's question to this node as a voter; nothing if it can't be read.
    pub(crate) fn answer_vote(&self, request: &VoteRequest) -> Option<VoteReply> {
        let shard = ShardId(u16::try_from(request.shard).ok()?);
        let purpose = match request.extend_holder {
            Some(_) => VotePurpose::Extend,
            None => VotePurpose::Applied,
        };
        let vote = Vote {
            shard,
            epoch: Epoch(request.epoch),
            purpose,
            asked_at: Timestamp::ZERO,
        };
        let asker: NodeId = match &request.extend_holder {
            Some(holder) => holder.parse().ok()?,
            None => self.identity.node.clone(),
        };
        let granted = self.duties.lock().leases.answer(&vote, &asker);
        let applied = self.folded.with(|state| state.epoch(shard));
        Some(VoteReply {
            granted,
            applied_epoch: applied.map_or(0, |epoch| epoch.0),
        })
    }

    /// Takes the entry VMs of the platform's list as places to ask.
    pub(crate) fn take_vm_list(&self, vms: &[ListedVm]) {
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let seeds = entries.filter_map(|vm| {
            Some(Seed {
                node: vm.vm.as_str().parse().ok()?,
                address: vm.address,
                failure_domain: vm.failure_domain.clone(),
            })
        });
        let now = self.clock.now();
        self.duties.lock().membership.on_vm_list(seeds, now);
    }
}
