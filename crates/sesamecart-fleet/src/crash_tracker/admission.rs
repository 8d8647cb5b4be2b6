//! What follows from the evidence for a request, and which crashes say nothing about it.

use std::time::Duration;

use derive_more::Display;
use sesamecart_vocabulary::{EndpointId, Fingerprint, rendezvous_weight};

use super::report::{BlockedRequest, ClearanceCause};

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashAdmission {
    /// It may be sent to any endpoint.
    Allowed,
    /// It may be sent to one endpoint, see [`suspect_endpoint`].
    Restricted,
    /// Whether to block it is decided within the given time.
    Undecided(Duration),
    /// It is blocked for the given time.
    Blocked(Duration),
}

/// Whether a request may be sent to an endpoint, and the suspect that decides about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmittedSuspect {
    /// The request, or a part of its prompt.
    pub suspect: Fingerprint,
    /// What follows for the request.
    pub admission: CrashAdmission,
}

impl CrashAdmission {
    /// Returns what follows for a customer whose requests weren't interrupted with the suspect.
    pub(super) const fn without_evidence(self) -> Self {
        match self {
            Self::Allowed => Self::Allowed,
            Self::Restricted | Self::Undecided(_) | Self::Blocked(_) => Self::Restricted,
        }
    }

    /// Returns the rank of the treatment, the strictest one last.
    pub(super) const fn severity(self) -> u8 {
        match self {
            Self::Allowed => 0,
            Self::Restricted => 1,
            Self::Undecided(_) => 2,
            Self::Blocked(_) => 3,
        }
    }
}

/// Returns the index of the endpoint that a suspected request may be sent to, by rendezvous hashing.
///
/// Nodes that know the same endpoints choose the same one. Copies of a request that several nodes send at
/// once crash only that one, and other suspected requests mostly run on other endpoints.
pub fn suspect_endpoint<'a>(
    request: &Fingerprint,
    candidates: impl Iterator<Item = &'a EndpointId>,
) -> Option<usize> {
    let key = request.to_string();
    let weights = candidates.map(|candidate| rendezvous_weight(&key, candidate.as_str()));
    let best = weights.enumerate().max_by_key(|(_, weight)| *weight);
    best.map(|(index, _)| index)
}

/// Why a request isn't blocked any more.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BlockEnd {
    /// The request was cleared.
    #[display("{_0}")]
    Cleared(ClearanceCause),
    /// The block expired.
    #[display("expired")]
    Expired,
}

/// A change of the set of blocked requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockChange {
    /// A request is blocked now.
    Started(BlockedRequest),
    /// A request isn't blocked any more.
    Ended {
        /// The request.
        request: Fingerprint,
        /// The cause.
        cause: BlockEnd,
        /// How long this node had known of the block.
        duration: Duration,
    },
}

/// The result of checking whether an endpoint crashed alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NeighborCheck {
    /// The number of other endpoints near the crashed one that were checked.
    pub checked: usize,
    /// The number of those that have stopped, too.
    pub stopped: usize,
}

impl NeighborCheck {
    /// Returns whether the endpoint was lost together with others, as in the loss of a failure domain, so
    /// that no request is the cause.
    #[must_use]
    pub const fn is_mass_loss(self) -> bool {
        self.stopped >= 2 && 3 * self.stopped >= self.checked
    }
}
