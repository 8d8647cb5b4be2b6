//! What nodes tell each other about one node.

use std::net::SocketAddr;

use derive_more::Display;
use sesamecart_vocabulary::{FailureDomainId, Incarnation, NodeId};

/// What one node says about another.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "lowercase")]
pub enum Status {
    /// It answers.
    Alive,
    /// A probe went unanswered; it may still refute this.
    Suspected,
    /// It said that it is about to go.
    Leaving,
    /// Nobody refuted the suspicion in time.
    Down,
}

/// What a node's peers believe of it in the end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Standing {
    /// It may be given duties.
    Live,
    /// It answers and is about to go.
    Leaving,
    /// It doesn't answer, or answers again too shortly.
    Suspected,
    /// Besides, the platform's list has shown its VM and shows it no more, for longer than it lags.
    Gone,
}

/// News about one node.
///
/// Newer news have the higher incarnation, then the higher heartbeat, then the worse status. Only
/// the node itself raises its heartbeat, which is how it refutes a suspicion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// How often it refuted or changed its status in this life.
    pub heartbeat: u64,
    /// What is said of it.
    pub status: Status,
}

impl Member {
    /// Returns whether these news are newer than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let age = |member: &Self| (member.incarnation, member.heartbeat, member.status);
        age(self) > age(other)
    }
}

/// A node that the settings or the platform's VM list name: a place to ask, and no evidence of life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The node.
    pub node: NodeId,
    /// Where it should take links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}
