//! Seeks another endpoint for a stream whose endpoint is silent and may yet go on.

use std::sync::atomic::{AtomicBool, Ordering};

use sesamecart_runtime::sleep;

use crate::traffic::call::{Attempts, Call, EndpointResponse};
use crate::traffic::refusal::Refusal;
use crate::traffic::timeout::RECHECK_INTERVAL;

/// What a stream and the search for another endpoint tell each other.
#[derive(Debug, Default)]
pub(super) struct Search {
    is_sending: AtomicBool,
    has_stream_ended: AtomicBool,
}

impl Search {
    /// Returns whether the request is being sent to another endpoint.
    pub(super) fn is_sending(&self) -> bool {
        self.is_sending.load(Ordering::Acquire)
    }

    /// Lets the search end when the request that is being sent is refused.
    pub(super) fn end_stream(&self) {
        self.has_stream_ended.store(true, Ordering::Release);
    }
}

impl Call {
    /// Sends the request to another endpoint as soon as one may take it.
    ///
    /// # Errors
    ///
    /// Fails only if the stream has ended meanwhile and the request isn't served elsewhere.
    pub(super) async fn seek_alternative(
        &self,
        attempts: &mut Attempts,
        last_event: Option<&str>,
        search: &Search,
    ) -> Result<EndpointResponse, Refusal> {
        loop {
            if self.may_retry(attempts) {
                search.is_sending.store(true, Ordering::Release);
                let refusal = match self.send_with_retries(attempts, last_event).await {
                    Ok(received) if received.status.is_success() => return Ok(received),
                    Ok(mut received) => {
                        received.in_flight.mark_ended();
                        attempts.record_incomplete(received.in_flight.endpoint().clone());
                        Refusal::IncompleteResponse(format!("status {}", received.status))
                    }
                    Err(refusal) => refusal,
                };
                search.is_sending.store(false, Ordering::Release);
                if search.has_stream_ended.load(Ordering::Acquire) {
                    return Err(refusal);
                }
            }
            sleep(RECHECK_INTERVAL).await;
        }
    }
}
