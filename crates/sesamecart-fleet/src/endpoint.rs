//! One endpoint, as its own entry in the registry describes it.

use std::net::SocketAddr;
use std::time::Duration;

use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId,
};

use crate::directory::GroupKey;
use crate::number::{GroupEpoch, Incarnation};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum EndpointState {
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It leaves soon and takes no new work.
    #[display("draining")]
    Draining,
}

/// How far a member of a group is.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum GroupState {
    /// It loads or starts the model.
    #[display("joining")]
    Joining,
    /// It can serve once the head is opened.
    #[display("ready")]
    Ready,
    /// The head takes requests.
    #[display("open")]
    Open,
    /// The head takes no new requests and ends those it has.
    #[display("closing")]
    Closing,
    /// It lost a member and has given up.
    #[display("broken")]
    Broken,
}

/// An endpoint's place in a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupRole {
    /// The group.
    pub group: GroupId,
    /// Orders the memberships.
    pub epoch: GroupEpoch,
    /// The place in the list of members; 0 is the head.
    pub rank: usize,
    /// How far it is.
    pub state: GroupState,
}

/// One endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Its name, by which requests expect it.
    pub id: EndpointId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// How much longer it bears only a little, at the time of the entry.
    pub cold_for: Duration,
    /// Which life of it this is, if it says so.
    pub incarnation: Option<Incarnation>,
    /// The fabric domain that it lies in, if it can join groups.
    pub fabric_domain: Option<FabricDomainId>,
    /// The models in its memory.
    pub models: Vec<ModelId>,
    /// The models on its host, from which starting is fast.
    pub staged: Vec<ModelId>,
    /// Its place in a group, if it has one.
    pub group: Option<GroupRole>,
}

impl Endpoint {
    /// Returns the membership of a group that it is in.
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
