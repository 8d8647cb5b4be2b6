//! One attempt in flight, at an endpoint or at a node that forwards it.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::{self, Boxed};
use sesamecart_runtime::{Signal, sleep};
use sesamecart_vocabulary::{EndpointId, RequestId, Timestamp};

use crate::clock;
use crate::crashes::SuspectRun;
use crate::events::Event;
use crate::follower::millis;
use crate::reach::HelperUse;
use crate::state::EntryState;
use crate::traffic::in_flight::InFlightRequest;

/// How long another node may send nothing of a response that has begun before another way is sought.
const HELPER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// An attempt in flight.
#[derive(Debug)]
pub(crate) enum Flight {
    /// This node sent it to an endpoint.
    Endpoint(Box<InFlightRequest>),
    /// Another node forwards it.
    Helper(Box<ForwardedRequest>),
}

/// A request that another node forwards to an endpoint.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub(super) state: Arc<EntryState>,
    pub(super) helper: HelperUse,
    /// The endpoint that responded, as the other node says.
    pub(super) endpoint: EndpointId,
    pub(super) request: RequestId,
    pub(super) arrived_at: Timestamp,
    /// Whether the attempt has a result. An attempt dropped without one was abandoned by its caller.
    pub(super) has_ended: bool,
    pub(super) _suspect_run: Option<SuspectRun>,
}

impl Flight {
    /// Returns the endpoint that responded.
    pub(crate) fn endpoint(&self) -> &EndpointId {
        match self {
            Self::Endpoint(in_flight) => &in_flight.endpoint.id,
            Self::Helper(forwarded) => &forwarded.endpoint,
        }
    }

    /// Returns the request at the endpoint, if this node sent it there itself.
    pub(crate) fn direct(&self) -> Option<&InFlightRequest> {
        match self {
            Self::Endpoint(in_flight) => Some(in_flight),
            Self::Helper(_) => None,
        }
    }

    /// Returns a future that completes when the endpoint's group, the path or the other node is suspected or found
    /// lost. That ends no request by itself: an endpoint that was silent may go on.
    pub(crate) fn interrupted(&self) -> Boxed<()> {
        match self {
            Self::Endpoint(in_flight) => Box::pin(in_flight.interrupted()),
            Self::Helper(forwarded) => {
                let lost: Signal = forwarded.helper.lost.clone();
                Box::pin(future::or(
                    async move { lost.wait().await },
                    // An open connection may go silent while new ones to the same node work.
                    sleep(HELPER_SILENCE_TIMEOUT),
                ))
            }
        }
    }

    /// Returns why the attempt was interrupted.
    pub(crate) fn interruption(&self) -> &'static str {
        match self {
            Self::Endpoint(in_flight) => in_flight.interruption(),
            Self::Helper(_) => "the node that forwards it doesn't answer",
        }
    }

    /// Records that data of the response arrived.
    pub(crate) fn record_activity(&mut self) {
        if let Self::Endpoint(in_flight) = self {
            in_flight.record_activity();
        }
    }

    /// Sets whether another run of the request may yet make this one needless.
    pub(crate) const fn set_alternative(&mut self, is_alternative: bool) {
        if let Self::Endpoint(in_flight) = self {
            in_flight.set_alternative(is_alternative);
        }
    }

    /// Records that the endpoint has gone on after an interruption.
    pub(crate) fn end_interruption(&mut self) {
        if let Self::Endpoint(in_flight) = self {
            in_flight.end_interruption();
        }
    }

    /// Records that the response was complete.
    pub(crate) fn mark_succeeded(&mut self) {
        match self {
            Self::Endpoint(in_flight) => in_flight.mark_succeeded(),
            Self::Helper(forwarded) => forwarded.has_ended = true,
        }
    }

    /// Records that the endpoint failed the request, which may eject the endpoint.
    pub(crate) fn mark_failed(&mut self) {
        match self {
            Self::Endpoint(in_flight) => in_flight.mark_failed(),
            Self::Helper(forwarded) => forwarded.has_ended = true,
        }
    }

    /// Records that the attempt ended without a fault of the endpoint.
    pub(crate) fn mark_ended(&mut self) {
        match self {
            Self::Endpoint(in_flight) => in_flight.mark_ended(),
            Self::Helper(forwarded) => forwarded.has_ended = true,
        }
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        self.state.events.write(&Event::CallerLeft {
            request: self.request.as_str(),
            endpoint: self.endpoint.as_str(),
            after_ms: millis(clock::now().since(self.arrived_at)),
        });
    }
}
