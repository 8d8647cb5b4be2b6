//! Passes a streamed answer on to the caller, and resumes it elsewhere when it breaks.
//!
//! The caller pulls: nothing is read from the engine while the caller's own connection is full, so a
//! slow caller holds one buffer and not a whole answer. When the caller leaves, the stream is
//! dropped, which closes the engine's connection and cancels the request there.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sesamecart_edges::{BoxError, CallerBody, PooledConnection, ResponseBody};
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::{AttemptId, EndpointId};

use crate::pools::Turn;
use crate::traffic::answer::Refusal;
use crate::traffic::completion::{Answered, Attempts, CompletionRequest};
use crate::traffic::sse::EventSplitter;

/// How long an engine may take to end its answer after the last event.
const END_LIMIT: Duration = Duration::from_millis(50);

/// The engine's side of a stream, for one attempt.
#[derive(Debug)]
struct Source {
    incoming: ResponseBody,
    lease: PooledConnection,
    splitter: EventSplitter,
    endpoint: EndpointId,
    turn: Turn,
}

/// A streamed answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    request: CompletionRequest,
    attempts: Attempts,
    /// The id that the caller sees on every event, that of the first attempt.
    shown: AttemptId,
    source: Option<Source>,
    passed_on: u64,
    /// Whether the last event was passed on.
    complete: bool,
    deadline: Deadline,
}

/// The one timer of a stream; a timer for each event would cost more than the event.
#[derive(Debug)]
struct Deadline(Timer);

impl Deadline {
    /// Gives a future until the deadline.
    async fn bound<T>(&mut self, task: impl Future<Output = T>) -> Option<T> {
        future::or(async { Some(task.await) }, async {
            (&mut self.0).await;
            None
        })
        .await
    }
}

/// What one step gave.
enum Step {
    /// Bytes for the caller.
    Pass(Bytes),
    /// Nothing yet.
    Nothing,
    /// The last bytes for the caller.
    Last(Bytes),
    /// There is no more, and the engine's connection can be used again.
    End,
}

impl Relay {
    pub(crate) fn new(request: CompletionRequest, attempts: Attempts, answered: Answered) -> Self {
        let shown = answered.attempt.clone();
        let source = Source::new(answered, &shown, 0);
        let deadline = Deadline(Timer::after(request.left()));
        Self {
            request,
            attempts,
            shown,
            source: Some(source),
            passed_on: 0,
            deadline,
            complete: false,
        }
    }

    /// Makes the body of the answer to the caller.
    pub(crate) fn into_body(self) -> CallerBody {
        let frames = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            loop {
                match relay.step().await {
                    Step::Nothing => {}
                    Step::Pass(bytes) => return Some((frame(bytes), Some(relay))),
                    Step::Last(bytes) => return Some((frame(bytes), None)),
                    Step::End => return None,
                }
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn step(&mut self) -> Step {
        if self.complete {
            self.end().await;
            return Step::End;
        }
        let Some(source) = &mut self.source else {
            return self.fail("it has no source");
        };
        match self.deadline.bound(source.incoming.frame()).await {
            None => self.fail("the deadline passed"),
            Some(None) => self.resume("it ended early").await,
            Some(Some(Err(error))) => self.resume(&error.to_string()).await,
            Some(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.take(&data).await,
                Err(_) => Step::Nothing,
            },
        }
    }

    async fn take(&mut self, data: &Bytes) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Nothing;
        };
        let events = source.splitter.push(data);
        if events.count > 0 {
            if self.passed_on == 0 {
                let taken = self.request.handler.shared.clock.now() - self.request.arrived;
                self.request
                    .handler
                    .shared
                    .metrics
                    .record_first_event(taken);
            }
            self.passed_on += events.count;
            source.turn.tokens(events.count);
            self.attempts.note_progress();
        }
        if events.last {
            self.complete = true;
            return Step::Pass(events.bytes);
        }
        if let Some(fault) = events.fault {
            // What came whole before the fault is passed on with the next step's bytes.
            let kept = events.bytes;
            return match self.resume(fault.text()).await {
                Step::Last(bytes) => Step::Last([kept, bytes].concat().into()),
                Step::Pass(bytes) => Step::Pass([kept, bytes].concat().into()),
                Step::Nothing | Step::End if kept.is_empty() => Step::Nothing,
                Step::Nothing | Step::End => Step::Pass(kept),
            };
        }
        if events.bytes.is_empty() {
            return Step::Nothing;
        }
        Step::Pass(events.bytes)
    }

    /// Goes on at another endpoint from the first token that the caller hasn't got.
    async fn resume(&mut self, reason: &str) -> Step {
        let Some(mut broken) = self.source.take() else {
            return self.fail(reason);
        };
        let (id, passed_on) = (&self.request.id, self.passed_on);
        let endpoint = broken.endpoint.clone();
        let finished = broken.splitter.is_finished();
        log::info!("traffic: {id} broke at {endpoint} after {passed_on} events: {reason}.");
        // Its connection is closed first, which frees the engine's place.
        if finished {
            broken.turn.finish_stream();
        } else {
            broken.turn.break_off();
        }
        drop(broken);
        if finished {
            // Only the end mark was lost.
            self.complete = true;
            return Step::Pass(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        let resume_at = (passed_on > 0).then_some(passed_on);
        match self.request.attempt(&mut self.attempts, resume_at).await {
            Ok(answered) => {
                self.source = Some(Source::new(answered, &self.shown, passed_on));
                Step::Nothing
            }
            Err(_) => self.fail(reason),
        }
    }

    /// Ends the stream with an event that says that the answer isn't whole.
    ///
    /// A stream that just stopped would look like a whole, short answer.
    fn fail(&mut self, reason: &str) -> Step {
        if let Some(mut source) = self.source.take() {
            source.turn.break_off();
        }
        let (id, passed_on) = (&self.request.id, self.passed_on);
        log::warn!("traffic: {id} was given up after {passed_on} events: {reason}.");
        let refusal = Refusal::NoAnswer(format!("the stream broke: {reason}"));
        Step::Last(Bytes::from(format!("data: {}\n\n", refusal.body())))
    }

    /// Waits a moment for the end of the engine's answer, after which its connection is free.
    async fn end(&mut self) {
        let metrics = &self.request.handler.shared.metrics;
        metrics.count_events(self.passed_on);
        let Some(mut source) = self.source.take() else {
            return;
        };
        source.turn.finish_stream();
        let ended = with_timeout(END_LIMIT, source.incoming.frame()).await;
        if matches!(ended, Ok(None)) {
            source.lease.return_to_pool();
        }
    }
}

impl Source {
    fn new(answered: Answered, shown: &AttemptId, next: u64) -> Self {
        Self {
            incoming: answered.exchange.response.into_body(),
            lease: answered.exchange.lease,
            splitter: EventSplitter::new(&answered.attempt, shown, next),
            endpoint: answered.endpoint,
            turn: answered.turn,
        }
    }
}

fn frame(bytes: Bytes) -> Result<Frame<Bytes>, BoxError> {
    Ok(Frame::data(bytes))
}
