//! The outcomes by which counters are divided.

use sesamecart_fleet::RefusalCause;

/// A node's part in the forwarding of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardingPart {
    /// It got the request from a caller and sent it to a helper.
    Sent,
    /// It accepted the request of another node.
    Accepted,
    /// It rejected the request of another node.
    Rejected,
}

impl ForwardingPart {
    pub(super) const ALL: [Self; 3] = [Self::Sent, Self::Accepted, Self::Rejected];

    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Accepted => "accepted",
            Self::Rejected => "rejected",
        }
    }
}

/// What became of a backoff that an endpoint requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BackoffOutcome {
    /// It has begun.
    Started,
    /// One that had begun has become much longer.
    Extended,
    /// Its value isn't a time.
    Ignored,
}

impl BackoffOutcome {
    pub(super) const ALL: [Self; 3] = [Self::Started, Self::Extended, Self::Ignored];

    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Extended => "extended",
            Self::Ignored => "ignored",
        }
    }
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PermitOutcome {
    Granted,
    Denied,
    /// The limit has ended.
    Unlimited,
    /// No node answered.
    Unanswered,
}

impl PermitOutcome {
    pub(super) const ALL: [Self; 4] = [
        Self::Granted,
        Self::Denied,
        Self::Unlimited,
        Self::Unanswered,
    ];

    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Unlimited => "unlimited",
            Self::Unanswered => "unanswered",
        }
    }
}

/// What a dispatcher answered about a request of this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DispatchOutcome {
    /// It assigned an endpoint.
    Assigned,
    /// The assigned endpoint can't be used by this node.
    Unusable,
    /// It refused the request.
    Refused(RefusalCause),
    /// It didn't answer.
    Unanswered,
}

impl DispatchOutcome {
    pub(super) const ALL: [Self; 6] = [
        Self::Assigned,
        Self::Unusable,
        Self::Refused(RefusalCause::NoEndpoint),
        Self::Refused(RefusalCause::Full),
        Self::Refused(RefusalCause::OverShare),
        Self::Unanswered,
    ];

    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::Unusable => "unusable",
            Self::Refused(RefusalCause::NoEndpoint) => "no_endpoint",
            Self::Refused(RefusalCause::Full) => "full",
            Self::Refused(RefusalCause::OverShare) => "over_share",
            Self::Unanswered => "unanswered",
        }
    }
}
