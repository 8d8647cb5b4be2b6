//! What operators see of the state.

use sesamecart_administration::{
    AuditReply, ConfigurationReply, DrainReply, DrainState, GroupReply, GroupsReply, LeaseReply,
    LeasesReply, NodeReply, NodeState, Scope, StatusReply,
};
use sesamecart_config::EndpointKind;
use sesamecart_fold::State;
use sesamecart_vocabulary::GroupId;

use crate::control::PeerView;
use crate::shared::Shared;

impl Shared {
    pub(crate) fn status(&self, peers: Vec<PeerView>) -> StatusReply {
        let own = self.standing();
        let mut nodes = vec![NodeReply {
            node: self.identity.node.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            state: NodeState::Reachable,
            revision: Some(own.revision),
            next_offset: Some(own.next_offset),
        }];
        nodes.extend(peers.into_iter().map(node_reply));
        nodes.sort_by(|one, other| one.node.cmp(&other.node));
        StatusReply {
            node: self.identity.node.clone(),
            revision: own.revision,
            log_answers: self.folded.log_answers(),
            nodes,
            drains: self.drains(),
        }
    }

    fn drains(&self) -> Vec<DrainReply> {
        let now = self.clock.now();
        self.folded.with_drains(|state, provisional| {
            let logged = state.drains.iter().map(|(target, drain)| DrainReply {
                target: target.clone(),
                author: drain.author.clone(),
                at_ms: drain.at_ms,
                state: DrainState::Logged,
            });
            let provisional = provisional.iter().map(|(_, drain)| {
                let left = (drain.expires_at - now).as_millis();
                DrainReply {
                    target: drain.target.clone(),
                    author: drain.author.clone(),
                    at_ms: drain.at_ms,
                    state: DrainState::Provisional {
                        remaining_ms: u64::try_from(left).unwrap_or(u64::MAX),
                    },
                }
            });
            logged.chain(provisional).collect()
        })
    }
}

fn node_reply(view: PeerView) -> NodeReply {
    let state = match view.standing {
        Some(_) => NodeState::Reachable,
        None => NodeState::Unreachable,
    };
    NodeReply {
        node: view.peer.node,
        failure_domain: view.peer.failure_domain,
        state,
        revision: view.standing.map(|standing| standing.revision),
        next_offset: view.standing.map(|standing| standing.next_offset),
    }
}

pub(super) fn configuration(state: &State, scope: &Scope) -> ConfigurationReply {
    ConfigurationReply {
        revision: state.revision,
        author: state.author.clone(),
        published_at_ms: state.published_at_ms,
        configuration: scope.view(&state.configuration),
    }
}

pub(super) fn groups(state: &State, scope: &Scope) -> GroupsReply {
    let seen = scope.view(&state.configuration);
    let groups = seen.groups.iter().map(|(id, group)| {
        let front = EndpointKind::Group(id.clone());
        let mut endpoints = seen.endpoints.iter();
        let endpoint = endpoints.find(|(_, endpoint)| endpoint.kind == front);
        let endpoint = endpoint.map(|(id, _)| id.clone());
        GroupReply {
            group: id.clone(),
            model: group.model.clone(),
            configured_vms: group.vms.iter().cloned().collect(),
            assigned_vms: state.members(id).cloned().collect(),
            generation: state.generations.get::<GroupId>(id).copied(),
            drained: endpoint.as_ref().is_some_and(|id| state.is_drained(id)),
            endpoint,
        }
    });
    GroupsReply {
        groups: groups.collect(),
    }
}

pub(super) fn leases(state: &State) -> LeasesReply {
    let leases = state.leases.iter().map(|(shard, lease)| LeaseReply {
        shard: *shard,
        holder: lease.holder.clone(),
        epoch: lease.epoch,
        voters: lease.voters.clone(),
        released: lease.released,
    });
    let mut leases: Vec<_> = leases.collect();
    leases.sort_by_key(|lease| lease.shard);
    LeasesReply { leases }
}

pub(super) fn audit(state: &State, scope: &Scope) -> AuditReply {
    let entries = state.audit.entries().into_iter();
    AuditReply {
        next_offset: state.next_offset,
        entries: entries.filter(|entry| scope.sees(entry)).cloned().collect(),
    }
}
