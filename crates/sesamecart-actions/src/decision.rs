//! The request that a node sends to a key's owner, and the owner's decision.

use std::time::Duration;

use derive_more::{Display, From};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Header};
use sesamecart_vocabulary::{AttemptId, BodyDigest, Epoch, Timestamp};

/// Identifies a pending call to the owner that is waiting for its reply.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A node's request for permission to send a keyed action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRequest {
    /// The key that identifies the action.
    pub key: ActionKey,
    /// The hash of the body, used to detect that a key is reused for a different request.
    pub body_digest: BodyDigest,
    /// The attempt that the node would make; the node sends at most one request for this id.
    pub attempt: AttemptId,
    /// The request's deadline.
    pub deadline: Timestamp,
}

/// An endpoint's response, stored so that it can be replayed to repeated requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The response headers.
    pub headers: Vec<Header>,
    /// The response body.
    pub body: EncodedBody,
}

impl From<Answer> for ActionEnd {
    fn from(answer: Answer) -> Self {
        Self::Answered {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }
    }
}

/// Why the owner refused to begin an action.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// The owner has reached its limit of actions in flight.
    #[display("too many keyed actions are under way")]
    Full,
    /// The intent could not be stored durably, neither in the log nor at the voters.
    #[display("the intent could not be made durable")]
    NotDurable,
    /// The owner is new and doesn't yet know which actions its predecessor began.
    #[display("the key's owner is taking over")]
    TakingOver,
    /// Voters that may have stored an intent for this key are lost; see docs/design/actions.md.
    #[display("what the last owner began is not known for certain")]
    Uncertain,
    /// The timestamp in the key is in the future.
    #[display("the key's time lies in the future")]
    FutureKey,
    /// This attempt has already ended as not run.
    #[display("this attempt has ended")]
    AttemptEnded,
}

impl RefusalReason {
    /// All reasons.
    const ALL: [Self; 6] = [
        Self::Full,
        Self::NotDurable,
        Self::TakingOver,
        Self::Uncertain,
        Self::FutureKey,
        Self::AttemptEnded,
    ];

    /// Returns the reason's name in messages between nodes.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NotDurable => "not_durable",
            Self::TakingOver => "taking_over",
            Self::Uncertain => "uncertain",
            Self::FutureKey => "future_key",
            Self::AttemptEnded => "attempt_ended",
        }
    }

    /// Returns the reason with the given name in messages between nodes.
    #[must_use]
    pub fn of_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}

/// The owner's decision on an [`AttemptRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The intent is durable: the node may send the request once, under this epoch.
    Send {
        /// The epoch of the owner's lease, which serves as the fencing token.
        epoch: Epoch,
    },
    /// The action has already run: return this stored response.
    Answered(Answer),
    /// Another attempt is in flight.
    Running {
        /// The delay after which to ask again.
        retry_after: Duration,
    },
    /// An attempt was begun, and it isn't known whether it ran.
    Unknown {
        /// The attempt that was begun, by which its outcome can be queried at an endpoint.
        attempt: AttemptId,
    },
    /// The key was used before with a different body.
    Mismatch,
    /// No attempt was begun.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The delay after which to ask again.
        retry_after: Duration,
    },
    /// The key is older than the retention horizon.
    Expired,
    /// Another node owns the key's shard.
    NotOwner,
}
