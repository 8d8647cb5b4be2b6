//! Passes a streamed answer on to the caller, event by event.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use sesamecart_edges::{BoxError, ConnectionLease};
use sesamecart_vocabulary::{AttemptId, Timestamp};

use crate::pools::Turn;
use crate::shared::Shared;
use crate::traffic::answer::Refusal;
use crate::traffic::sse::{EventSplitter, StreamFault};

/// A streamed answer on its way to the caller.
///
/// Dropping it, as happens when the caller goes away, closes the connection to the endpoint, which
/// cancels the request there.
#[derive(Debug)]
pub(crate) struct Relay {
    shared: Arc<Shared>,
    incoming: Incoming,
    lease: Option<ConnectionLease>,
    splitter: EventSplitter,
    arrived: Timestamp,
    passed_on: u64,
    complete: bool,
    ended: bool,
    turn: Turn,
}

impl Relay {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incoming: Incoming,
        lease: ConnectionLease,
        attempt: AttemptId,
        arrived: Timestamp,
        turn: Turn,
    ) -> Self {
        Self {
            shared,
            incoming,
            lease: Some(lease),
            splitter: EventSplitter::new(attempt),
            arrived,
            passed_on: 0,
            complete: false,
            ended: false,
            turn,
        }
    }

    fn take(&mut self, data: &Bytes) -> Result<Bytes, StreamFault> {
        let events = self.splitter.push(data)?;
        if events.count > 0 && self.passed_on == 0 {
            let taken = self.shared.clock.now() - self.arrived;
            self.shared.metrics.record_first_event(taken);
        }
        self.passed_on += events.count;
        self.turn.tokens(events.count);
        self.complete |= events.last;
        Ok(events.bytes)
    }

    /// Ends the stream with an event that says that the answer isn't whole.
    ///
    /// A stream that just stopped would look like a whole, short answer.
    fn fail(&mut self, reason: impl std::fmt::Display) -> Frame<Bytes> {
        self.ended = true;
        self.lease = None;
        self.turn.break_off();
        log::warn!(
            "traffic: a stream broke after {} events: {reason}.",
            self.passed_on
        );
        let refusal = Refusal::NoAnswer(format!("the stream broke: {reason}"));
        Frame::data(Bytes::from(format!("data: {}\n\n", refusal.body())))
    }

    fn finish(&mut self) {
        self.ended = true;
        self.shared.metrics.count_events(self.passed_on);
        self.turn.finish_stream();
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            let frame = match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Poll::Ready(Some(Ok(self.fail(error)))),
                None if self.complete => {
                    self.finish();
                    return Poll::Ready(None);
                }
                None => return Poll::Ready(Some(Ok(self.fail("it ended early")))),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.take(&data) {
                Ok(bytes) if bytes.is_empty() => {}
                Ok(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Err(StreamFault::Crossed) => {
                    return Poll::Ready(Some(Ok(self.fail("an event of another answer"))));
                }
                Err(StreamFault::TooLarge) => {
                    return Poll::Ready(Some(Ok(self.fail("an event without end"))));
                }
            }
        }
    }
}
