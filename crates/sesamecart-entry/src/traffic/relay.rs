//! Forwards a streamed response to the caller, and resumes it at another endpoint when the stream breaks.
//!
//! An endpoint that is silent may go on. Its stream is kept until another endpoint responds, and ends only with its
//! connection or at the deadline.
//!
//! On a node that knows its memory, the stream is read ahead of a slow caller within the bounds of `read_ahead`.
//! Otherwise, and beyond these bounds, the caller's connection applies backpressure: nothing is read from the endpoint
//! while that connection is full. When the caller disconnects, the stream is dropped, which closes the endpoint's
//! connection and frees its slot.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use futures_util::{Stream, TryStreamExt as _, stream};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sesamecart_edges::{BoxError, CallerBody, PooledConnection, ResponseBody};
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::clock;
use crate::crashes::SendContext;
use crate::events::Event;
use crate::follower::millis;
use crate::start_steps::StartStep;
use crate::traffic::alternative::Search;
use crate::traffic::call::{Attempts, Call, EndpointResponse};
use crate::traffic::event_splitter::{EventSplitter, PushOutcome};
use crate::traffic::flight::Flight;
use crate::traffic::read_ahead::read_ahead;
use crate::traffic::response::STOPPED;

/// How long after the deadline the endpoint's connection is closed if the stream isn't being read.
const CLOSE_MARGIN: Duration = Duration::from_millis(100);

/// The response stream of one attempt, from its endpoint.
#[derive(Debug)]
struct EndpointStream {
    body: ResponseBody,
    ends_with_connection: bool,
    lease: PooledConnection,
    in_flight: Flight,
    /// Whether the run counts among the request's attempts. It does from its first interruption on.
    is_recorded: bool,
    /// Whether an interruption is reported. One isn't while another endpoint is sought.
    is_interruptible: bool,
}

/// A streamed response that is being forwarded to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    call: Arc<Call>,
    attempts: Attempts,
    endpoint_stream: Option<EndpointStream>,
    splitter: EventSplitter,
    /// Ends the stream at the caller's timeout or the route's time limit.
    deadline: Timer,
    status: u16,
    first_ms: u64,
    last_data_at: Timestamp,
    longest_pause: Duration,
    /// Whether the caller has kept this node from reading since data arrived last. If the endpoint ends the stream then,
    /// it isn't at fault, and another one would meet the same caller.
    is_unread: Arc<AtomicBool>,
}

/// The result of reading from the endpoint.
enum ReadOutcome {
    Data(Bytes),
    End,
    Broken(String),
    /// The endpoint's group was lost, or the path to it.
    Interrupted(&'static str),
    /// What the endpoint has sent can't be used from here on.
    Invalid(&'static str),
    DeadlinePassed,
}

/// Why a stream has to be resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakCause {
    /// The endpoint closed the connection before the end of the stream.
    ConnectionClosed,
    /// The endpoint sent something that isn't part of the stream.
    Invalid,
}

/// How a stream went on.
enum Progress {
    Events(Bytes),
    Complete,
    Broken(String, BreakCause),
    /// The endpoint's group, the path or the other node is suspected or lost.
    Interrupted(&'static str),
    DeadlinePassed,
}

impl Progress {
    /// Returns whether the endpoint sent something that belongs to the stream.
    const fn has_data(&self) -> bool {
        match self {
            Self::Events(_) | Self::Complete => true,
            Self::Broken(..) | Self::Interrupted(_) | Self::DeadlinePassed => false,
        }
    }
}

/// What came first after an interruption.
enum Raced {
    Progress(Progress),
    Moved(Box<EndpointResponse>),
}

impl Relay {
    pub(crate) fn new(call: Arc<Call>, attempts: Attempts, received: EndpointResponse) -> Self {
        let last_event = call.metadata.last_event.clone();
        let elapsed = call.elapsed();
        let memory = call.state.body_memory.begin();
        call.record_first_response();
        Self {
            deadline: Timer::after(call.time_left()),
            status: received.status.as_u16(),
            first_ms: millis(elapsed),
            last_data_at: clock::now(),
            longest_pause: Duration::ZERO,
            is_unread: Arc::default(),
            splitter: EventSplitter::resuming_after(last_event, memory),
            endpoint_stream: Some(EndpointStream::new(received, call.time_left())),
            attempts,
            call,
        }
    }

    /// Converts the relay into the body of the caller's response.
    pub(crate) fn into_body(self) -> CallerBody {
        let call = Arc::clone(&self.call);
        let is_unread = Arc::clone(&self.is_unread);
        let events = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next_events().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                // An error closes the caller's connection in the middle of the body. Without it, the
                // truncated response would look complete.
                Err(error) => Some((Err(error), None)),
            }
        });
        if call.state.settings.memory_mb.is_some() {
            let memory = call.state.read_ahead_memory.begin();
            let events = read_ahead(call.client.executor(), events, is_unread, memory);
            return into_body(events);
        }
        into_body(events)
    }

    /// Returns the next complete events, or `None` at the regular end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, BoxError> {
        let mut progress = self.progress().await;
        loop {
            progress = match progress {
                Progress::Events(events) => return Ok(Some(events)),
                Progress::Complete => {
                    self.finish();
                    return Ok(None);
                }
                Progress::Broken(reason, cause) => {
                    // Boxed, as few streams need the memory for it.
                    Box::pin(self.resume(&reason, cause)).await?;
                    self.progress().await
                }
                Progress::Interrupted(reason) => Box::pin(self.go_on_or_move(reason)).await?,
                Progress::DeadlinePassed => return Err(self.fail("the deadline passed")),
            };
        }
    }

    /// Reads from the endpoint until the stream has gone on or can't.
    async fn progress(&mut self) -> Progress {
        loop {
            return match self.read().await {
                ReadOutcome::Data(data) => match self.splitter.push(&data) {
                    PushOutcome::Events(events) if events.is_empty() => continue,
                    PushOutcome::Events(events) => Progress::Events(events),
                    PushOutcome::Fault(fault) => {
                        Progress::Broken(fault.to_owned(), BreakCause::Invalid)
                    }
                },
                ReadOutcome::End if !self.splitter.is_between_events() => {
                    let reason = "it ended within an event".to_owned();
                    Progress::Broken(reason, BreakCause::ConnectionClosed)
                }
                ReadOutcome::End if self.has_endpoint_stopped().await => {
                    Progress::Broken(STOPPED.to_owned(), BreakCause::ConnectionClosed)
                }
                ReadOutcome::End => Progress::Complete,
                ReadOutcome::Broken(cause) => Progress::Broken(cause, BreakCause::ConnectionClosed),
                ReadOutcome::Invalid(cause) => {
                    Progress::Broken(cause.to_owned(), BreakCause::Invalid)
                }
                ReadOutcome::Interrupted(cause) => Progress::Interrupted(cause),
                ReadOutcome::DeadlinePassed => Progress::DeadlinePassed,
            };
        }
    }

    /// Keeps the stream of an endpoint that is silent, and seeks another endpoint to go on with it. The one that
    /// sends first has the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream ended and no other endpoint goes on with it.
    async fn go_on_or_move(&mut self, reason: &str) -> Result<Progress, BoxError> {
        let Some(kept) = &mut self.endpoint_stream else {
            return Err(self.fail(reason));
        };
        let from = kept.in_flight.endpoint().clone();
        kept.is_interruptible = false;
        self.record_run();
        let mut attempts = self.attempts.clone();
        attempts.are_alternative = true;
        let last_event = self.splitter.last_id().map(str::to_owned);
        let call = Arc::clone(&self.call);
        let search = Search::default();
        let raced = {
            let moved = call.seek_alternative(&mut attempts, last_event.as_deref(), &search);
            let mut moved = pin!(moved);
            let progress = async { Ok(Raced::Progress(self.progress().await)) };
            let raced = future::or(progress, async {
                moved.as_mut().await.map(Box::new).map(Raced::Moved)
            });
            match raced.await {
                // The other endpoint may already run the request.
                Ok(Raced::Progress(Progress::Broken(cause, kind))) if search.is_sending() => {
                    search.end_stream();
                    let _check = self.close_broken(kind);
                    let moved = async { moved.await.map(Box::new).map(Raced::Moved) };
                    let deadline = async {
                        (&mut self.deadline).await;
                        Ok(Raced::Progress(Progress::DeadlinePassed))
                    };
                    let raced = future::or(moved, deadline).await;
                    raced.map_err(|refusal| format!("{cause}; then: {refusal}"))
                }
                raced => raced.map_err(|refusal| refusal.to_string()),
            }
        };
        match raced {
            Ok(Raced::Progress(progress)) => {
                attempts.abandon();
                self.attempts = attempts;
                if let Some(kept) = &mut self.endpoint_stream {
                    kept.is_interruptible = true;
                    if progress.has_data() {
                        kept.in_flight.end_interruption();
                    }
                }
                Ok(progress)
            }
            Ok(Raced::Moved(received)) => {
                attempts.are_alternative = false;
                self.attempts = attempts;
                self.move_to(*received, &from, last_event);
                Ok(self.progress().await)
            }
            Err(reason) => Err(self.fail(&reason)),
        }
    }

    /// Counts the run at the current endpoint among the request's attempts.
    fn record_run(&mut self) {
        if let Some(current) = &mut self.endpoint_stream
            && !current.is_recorded
        {
            current.is_recorded = true;
            let endpoint = current.in_flight.endpoint().clone();
            self.attempts.record_incomplete(endpoint);
        }
    }

    /// Returns whether a stream that ended with its connection was cut by the end of its endpoint.
    async fn has_endpoint_stopped(&self) -> bool {
        match &self.endpoint_stream {
            Some(ended) if ended.ends_with_connection => {
                self.call.has_stopped(&ended.in_flight).await
            }
            _ => false,
        }
    }

    /// Reads the next data from the endpoint, until it is interrupted or the deadline passes.
    async fn read(&mut self) -> ReadOutcome {
        if let Some(fault) = self.splitter.fault() {
            return ReadOutcome::Invalid(fault);
        }
        let Some(endpoint_stream) = &mut self.endpoint_stream else {
            return ReadOutcome::Broken("it has no source".to_owned());
        };
        let interrupted = if endpoint_stream.is_interruptible {
            endpoint_stream.in_flight.interrupted()
        } else {
            Box::pin(future::pending())
        };
        let frame = async {
            match endpoint_stream.body.frame().await {
                None => ReadOutcome::End,
                Some(Err(error)) => ReadOutcome::Broken(error.to_string()),
                // Trailers contain nothing for the caller.
                Some(Ok(frame)) => ReadOutcome::Data(frame.into_data().unwrap_or_default()),
            }
        };
        let in_flight = &endpoint_stream.in_flight;
        let interrupted = async {
            interrupted.await;
            ReadOutcome::Interrupted(in_flight.interruption())
        };
        let deadline = async {
            (&mut self.deadline).await;
            ReadOutcome::DeadlinePassed
        };
        // The deadline comes first: after it, the connection is closed, which isn't the endpoint's fault.
        let outcome = future::or(deadline, future::or(frame, interrupted)).await;
        if matches!(outcome, ReadOutcome::Data(_)) {
            endpoint_stream.in_flight.record_activity();
            let now = clock::now();
            self.longest_pause = self.longest_pause.max(now.since(self.last_data_at));
            self.last_data_at = now;
            self.is_unread.store(false, Ordering::Release);
        }
        outcome
    }

    /// Resumes a broken stream at another endpoint after the last complete event.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be resumed; the error ends the caller's response.
    async fn resume(&mut self, reason: &str, cause: BreakCause) -> Result<(), BoxError> {
        let is_unread = self.is_unread.load(Ordering::Acquire) && reason != STOPPED;
        if is_unread && cause == BreakCause::ConnectionClosed {
            return Err(self.fail("the caller didn't read it"));
        }
        self.record_run();
        let Some(broken) = &self.endpoint_stream else {
            return Err(self.fail(reason));
        };
        let from = broken.in_flight.endpoint().clone();
        let check = self.close_broken(cause);
        if !self.call.may_retry(&self.attempts) {
            return Err(self.fail(reason));
        }
        if let Some((context, check)) = check {
            self.call.wait_for_check(&context, check).await;
        }
        let last_event = self.splitter.last_id().map(str::to_owned);
        let attempt = self
            .call
            .send_with_retries(&mut self.attempts, last_event.as_deref());
        let received = match attempt.await {
            Ok(received) if received.status.is_success() => received,
            Ok(mut received) => {
                received.in_flight.mark_ended();
                return Err(self.fail("the endpoint that was asked to resume it refused"));
            }
            Err(refusal) => return Err(self.fail(&format!("{reason}; then: {refusal}"))),
        };
        self.move_to(received, &from, last_event);
        Ok(())
    }

    /// Closes the connection of a broken stream, which frees the endpoint's slot, and has it checked whether the
    /// endpoint has crashed.
    fn close_broken(&mut self, cause: BreakCause) -> Option<(SendContext, Receiver<()>)> {
        let mut broken = self.endpoint_stream.take()?;
        broken.in_flight.mark_failed();
        let direct = broken.in_flight.direct();
        let direct = direct.filter(|_| cause == BreakCause::ConnectionClosed);
        direct.map(|run| (run.context.clone(), self.call.check_for_crash(run)))
    }

    /// Goes on with the stream of another endpoint, after the last complete event of the one before.
    fn move_to(
        &mut self,
        mut received: EndpointResponse,
        from: &EndpointId,
        last_event: Option<String>,
    ) {
        received.in_flight.set_alternative(false);
        if let Some(mut left) = self.endpoint_stream.take() {
            // It isn't counted as failed: it is silent, and may soon be the head of another group.
            left.in_flight.mark_ended();
        }
        self.call.state.metrics.count_resumed_stream();
        self.call.state.events.write(&Event::Resumed {
            request: self.call.metadata.id.as_str(),
            fingerprint: self.call.fingerprint(),
            parts: &self.call.prompt_parts_text(),
            from: from.as_str(),
            endpoint: received.in_flight.endpoint().as_str(),
            last_event: last_event.as_deref().unwrap_or_default(),
            pause_ms: millis(clock::now().since(self.last_data_at)),
        });
        let memory = self.call.state.body_memory.begin();
        self.splitter = EventSplitter::resuming_after(last_event, memory);
        self.endpoint_stream = Some(EndpointStream::new(received, self.call.time_left()));
    }

    /// Records the stream as complete and returns its connection to the pool.
    fn finish(&mut self) {
        let Some(mut endpoint_stream) = self.endpoint_stream.take() else {
            return;
        };
        endpoint_stream.in_flight.mark_succeeded();
        self.call.record_completion();
        if !endpoint_stream.ends_with_connection {
            self.call.return_connection(endpoint_stream.lease);
        }
        let now = clock::now();
        self.call.count_response("endpoint", self.status);
        self.call.state.reach_start_step(StartStep::FirstResponse);
        self.call.state.events.write_success(
            now,
            &Event::Answered {
                request: self.call.metadata.id.as_str(),
                endpoint: endpoint_stream.in_flight.endpoint().as_str(),
                status: self.status,
                attempts: self.attempts.made,
                route: &self.call.route.name,
                first_ms: self.first_ms,
                pause_ms: millis(self.longest_pause),
                total_ms: millis(self.call.elapsed()),
            },
        );
    }

    /// Records the stream as broken and returns the error that ends the caller's response.
    fn fail(&mut self, reason: &str) -> BoxError {
        let endpoint = self.endpoint_stream.take().map(|mut endpoint_stream| {
            endpoint_stream.in_flight.mark_ended();
            endpoint_stream.in_flight.endpoint().clone()
        });
        self.call.record_failure();
        self.call.count_response("broken", self.status);
        self.call.state.events.write(&Event::Broken {
            request: self.call.metadata.id.as_str(),
            fingerprint: self.call.fingerprint(),
            parts: &self.call.prompt_parts_text(),
            endpoint: endpoint.as_ref().map_or("", |id| id.as_str()),
            cause: reason,
            after_ms: millis(self.call.elapsed()),
        });
        format!("the stream broke: {reason}").into()
    }
}

fn into_body(events: impl Stream<Item = Result<Bytes, BoxError>> + Send + 'static) -> CallerBody {
    StreamBody::new(events.map_ok(Frame::data)).boxed_unsync()
}

impl EndpointStream {
    fn new(received: EndpointResponse, time_left: Duration) -> Self {
        received
            .lease
            .close_at(Instant::now() + time_left + CLOSE_MARGIN);
        Self {
            body: received.body,
            ends_with_connection: received.ends_with_connection,
            lease: received.lease,
            in_flight: received.in_flight,
            is_recorded: false,
            is_interruptible: true,
        }
    }
}
