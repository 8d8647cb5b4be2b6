//! Passes a streamed answer on to the caller, and lets it go on elsewhere when its group is lost.
//!
//! The caller pulls: nothing is read from the endpoint while the caller's own connection is full, so a
//! slow caller holds one buffer and not a whole answer. When the caller leaves, the stream is
//! dropped, which closes the endpoint's connection and frees its slot.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use sesamecart_edges::{BoxError, CallerBody, ConnectionLease};
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::traffic::call::{Answered, Attempts, Call};
use crate::traffic::events::{EventSplitter, Pushed};
use crate::traffic::flight::Flight;

/// The endpoint's side of a stream, for one attempt.
#[derive(Debug)]
struct Source {
    body: Incoming,
    lease: ConnectionLease,
    flight: Flight,
}

/// A streamed answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    call: Arc<Call>,
    attempts: Attempts,
    source: Option<Source>,
    splitter: EventSplitter,
    /// Ends the stream when the caller's or the operator's time has run out.
    deadline: Timer,
    status: u16,
    first_ms: u64,
    heard_at: Timestamp,
    longest_pause: Duration,
}

/// What reading the endpoint's side gave.
enum Heard {
    Data(Bytes),
    End,
    Broken(String),
    Lost,
    TooLate,
}

impl Relay {
    pub(crate) fn new(call: Arc<Call>, attempts: Attempts, answered: Answered) -> Self {
        let last_event = call.asked.last_event.clone();
        let taken = call.after();
        call.beliefs.metrics.record_first(taken);
        Self {
            deadline: Timer::after(call.left()),
            status: answered.status.as_u16(),
            first_ms: millis(taken),
            heard_at: clock::now(),
            longest_pause: Duration::ZERO,
            splitter: EventSplitter::after(last_event),
            source: Some(Source::of(answered)),
            attempts,
            call,
        }
    }

    /// Makes the body of the answer to the caller.
    pub(crate) fn into_body(self) -> CallerBody {
        let frames = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                // An error closes the caller's connection in the middle of the body: an answer that
                // just ended would look whole.
                Err(error) => Some((Err(error), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next whole events, or nothing at the stream's own end.
    async fn next(&mut self) -> Result<Option<Bytes>, BoxError> {
        loop {
            let heard = self.hear().await;
            let is_lost = matches!(heard, Heard::Lost);
            let reason = match heard {
                Heard::Data(data) => match self.splitter.push(&data) {
                    Pushed::Events(events) if events.is_empty() => continue,
                    Pushed::Events(events) => return Ok(Some(events)),
                    Pushed::Fault(fault) => fault.to_owned(),
                },
                Heard::End if self.splitter.is_between_events() => {
                    self.finish();
                    return Ok(None);
                }
                Heard::End => "it ended within an event".to_owned(),
                Heard::Broken(cause) => cause,
                Heard::Lost => "its group has lost a member".to_owned(),
                Heard::TooLate => return Err(self.fail("its time ran out")),
            };
            self.resume(&reason, is_lost).await?;
        }
    }

    async fn hear(&mut self) -> Heard {
        let Some(source) = &mut self.source else {
            return Heard::Broken("it has no source".to_owned());
        };
        let lost = source.flight.lost();
        let frame = async {
            match source.body.frame().await {
                None => Heard::End,
                Some(Err(error)) => Heard::Broken(error.to_string()),
                // Trailers hold nothing for the caller.
                Some(Ok(frame)) => Heard::Data(frame.into_data().unwrap_or_default()),
            }
        };
        let lost = async {
            lost.await;
            Heard::Lost
        };
        let late = async {
            (&mut self.deadline).await;
            Heard::TooLate
        };
        let heard = future::or(frame, future::or(lost, late)).await;
        if matches!(heard, Heard::Data(_)) {
            source.flight.heard();
            let now = clock::now();
            self.longest_pause = self.longest_pause.max(now.since(self.heard_at));
            self.heard_at = now;
        }
        heard
    }

    /// Goes on at another endpoint after the last whole event.
    async fn resume(&mut self, reason: &str, is_lost: bool) -> Result<(), BoxError> {
        let Some(mut broken) = self.source.take() else {
            return Err(self.fail(reason));
        };
        let from = broken.flight.endpoint.clone();
        if is_lost {
            // The group is taken out as a whole; the endpoint may head another one in a moment.
            broken.flight.settle();
        } else {
            broken.flight.fail();
        }
        // Its connection is closed first, which frees the endpoint's slot.
        drop(broken);
        self.attempts.note_broken(from.clone());
        if !self.call.may_go_on(&self.attempts) {
            return Err(self.fail(reason));
        }
        let last_event = self.splitter.last_id().map(str::to_owned);
        let attempt = self.call.attempt(&mut self.attempts, last_event.as_deref());
        let answered = match attempt.await {
            Ok(answered) if answered.status.is_success() => answered,
            Ok(mut answered) => {
                answered.flight.settle();
                return Err(self.fail("the endpoint that was to go on refused"));
            }
            Err(refusal) => return Err(self.fail(&format!("{reason}; then: {refusal}"))),
        };
        self.call.beliefs.metrics.count_resumed();
        self.call.beliefs.events.write(&Event::Resumed {
            request: self.call.asked.id.as_str(),
            from: from.as_str(),
            endpoint: answered.flight.endpoint.as_str(),
            last_event: last_event.as_deref().unwrap_or_default(),
            pause_ms: millis(clock::now().since(self.heard_at)),
        });
        self.splitter = EventSplitter::after(last_event);
        self.source = Some(Source::of(answered));
        Ok(())
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        source.flight.succeed();
        self.call.give_back(source.lease);
        let now = clock::now();
        self.call
            .beliefs
            .metrics
            .count_answer("endpoint", self.status);
        self.call.beliefs.events.write_success(
            now,
            &Event::Answered {
                request: self.call.asked.id.as_str(),
                endpoint: source.flight.endpoint.as_str(),
                status: self.status,
                attempts: self.attempts.made,
                route: &self.call.route.name,
                first_ms: self.first_ms,
                pause_ms: millis(self.longest_pause),
                total_ms: millis(self.call.after()),
            },
        );
    }

    fn fail(&mut self, reason: &str) -> BoxError {
        let endpoint = self.source.take().map(|mut source| {
            source.flight.settle();
            source.flight.endpoint.clone()
        });
        self.call
            .beliefs
            .metrics
            .count_answer("broken", self.status);
        self.call.beliefs.events.write(&Event::Broken {
            request: self.call.asked.id.as_str(),
            endpoint: endpoint.as_ref().map_or("", |id| id.as_str()),
            cause: reason,
            after_ms: millis(self.call.after()),
        });
        format!("the stream broke: {reason}").into()
    }
}

impl Source {
    fn of(answered: Answered) -> Self {
        Self {
            body: answered.body,
            lease: answered.lease,
            flight: answered.flight,
        }
    }
}
