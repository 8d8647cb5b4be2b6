//! Logs requests whose handling ends before they have a response.

use std::sync::Arc;

use sesamecart_vocabulary::{RequestId, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::state::EntryState;

/// A request that has no response yet.
///
/// The HTTP library drops the handling of a request when its caller closes the connection or stops sending, and the
/// node does when it stops.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    state: Arc<EntryState>,
    request: RequestId,
    arrived_at: Timestamp,
    has_response: bool,
}

impl PendingRequest {
    pub(crate) const fn new(
        state: Arc<EntryState>,
        request: RequestId,
        arrived_at: Timestamp,
    ) -> Self {
        Self {
            state,
            request,
            arrived_at,
            has_response: false,
        }
    }

    /// Records that there is a response.
    pub(crate) fn finish(mut self) {
        self.has_response = true;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.has_response {
            return;
        }
        self.state.events.write(&Event::Unanswered {
            request: self.request.as_str(),
            after_ms: millis(clock::now().since(self.arrived_at)),
        });
    }
}
