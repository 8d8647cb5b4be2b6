//! What a node asks a key's owner, and what the owner decides.

use std::time::Duration;

use derive_more::{Display, From};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Header};
use sesamecart_vocabulary::{AttemptId, BodyDigest, Epoch, Timestamp};

/// Names one call that waits for a reply.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A node asks whether it may send a keyed action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Asking {
    /// What makes the action unique.
    pub key: ActionKey,
    /// The hash of the body, which tells a repeated request from a different one.
    pub body_digest: BodyDigest,
    /// The one try that the node would make; it sends for this id at most once in its life.
    pub attempt: AttemptId,
    /// When the request's deadline passes.
    pub until: Timestamp,
}

/// An endpoint's answer, kept so that it can be given again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The body.
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

/// Why nothing was begun.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// The owner has as many actions under way as it may hold.
    #[display("too many keyed actions are under way")]
    Full,
    /// The intent could be made durable neither in the log nor at the voters.
    #[display("the intent could not be made durable")]
    NotDurable,
    /// The owner is new and hasn't yet heard what its predecessor began.
    #[display("the key's owner is taking over")]
    TakingOver,
    /// Voters that may have known of this key are lost; see docs/design/actions.md.
    #[display("what the last owner began is not known for certain")]
    Uncertain,
    /// The time in the key lies in the future.
    #[display("the key's time lies in the future")]
    FutureKey,
    /// This try was ended as not run before.
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

    /// Returns the reason's name between nodes.
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

    /// Returns the reason of a name between nodes.
    #[must_use]
    pub fn of_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}

/// What the owner decides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The intent is durable: send the request now, once, under this epoch.
    Send {
        /// The fencing number.
        epoch: Epoch,
    },
    /// The action ran before: give this answer.
    Answered(Answer),
    /// It runs right now.
    Running {
        /// When to ask again.
        retry_after: Duration,
    },
    /// It was begun, and whether it ran isn't known.
    Unknown {
        /// The try that was begun, so that an endpoint can be asked what became of it.
        attempt: AttemptId,
    },
    /// The key came with another body before.
    Mismatch,
    /// Nothing was begun.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The key is older than the horizon.
    Expired,
    /// Another node owns the key's shard.
    NotOwner,
}
