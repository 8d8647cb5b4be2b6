//! An endpoint as described by its entry in the registry.

use std::net::SocketAddr;
use std::time::Duration;

use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId,
};

use crate::directory::GroupKey;
use crate::number::{GroupEpoch, Incarnation};

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum EndpointState {
    /// The endpoint accepts work.
    #[display("ready")]
    Ready,
    /// The endpoint is about to leave and accepts no new work.
    #[display("draining")]
    Draining,
    /// The endpoint has said in a response that it leaves, while its entry says that it is ready.
    #[display("leaving")]
    Leaving,
}

/// The state of a group member.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum GroupState {
    /// The member is loading or starting the model.
    #[display("joining")]
    Joining,
    /// The member can serve as soon as the head is opened.
    #[display("ready")]
    Ready,
    /// The head accepts requests.
    #[display("open")]
    Open,
    /// The head accepts no new requests and finishes those in progress.
    #[display("closing")]
    Closing,
    /// The group has lost a member and stopped working.
    #[display("broken")]
    Broken,
}

/// An endpoint's role in a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupRole {
    /// The group's ID.
    pub group: GroupId,
    /// The epoch of the membership.
    pub epoch: GroupEpoch,
    /// The index in the list of members; 0 is the head.
    pub rank: usize,
    /// The state of this member.
    pub state: GroupState,
}

/// One endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Its ID, which requests name as their intended receiver.
    pub id: EndpointId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: EndpointState,
    /// The remaining time for which it is cold and can only handle a low rate of requests, as of its entry.
    pub cold_for: Duration,
    /// Its incarnation, if the entry has one.
    pub incarnation: Option<Incarnation>,
    /// Its fabric domain, if it can join groups.
    pub fabric_domain: Option<FabricDomainId>,
    /// The models in its memory.
    pub models: Vec<ModelId>,
    /// The models whose weights are already on its host, so that they start fast.
    pub staged: Vec<ModelId>,
    /// Its role in a group, if it is a member of one.
    pub group: Option<GroupRole>,
}

impl Endpoint {
    /// Returns the group membership that it is in.
    #[must_use]
    pub fn group_key(&self) -> Option<GroupKey> {
        self.group.as_ref().map(|role| GroupKey {
            group: role.group.clone(),
            epoch: role.epoch,
        })
    }

    /// Returns whether it is the head of an open group.
    #[must_use]
    pub fn is_open_head(&self) -> bool {
        let group = self.group.as_ref();
        group.is_some_and(|role| role.rank == 0 && role.state == GroupState::Open)
    }
}
