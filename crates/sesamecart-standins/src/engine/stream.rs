//! One request in an engine's batch, answered whole or as a stream of tokens.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use sesamecart_vocabulary::Incarnation;

use super::answer::{Job, prompt_of};
use super::state::State;
use crate::body::{self, Body};
use crate::server::Cut;

/// Numbers the requests that came without an attempt id.
static UNNAMED: AtomicU64 = AtomicU64::new(0);

/// Runs one completion request.
pub(crate) async fn complete(
    state: &Arc<State>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (parts, incoming) = req.into_parts();
    let attempt = body::header_text(&parts.headers, &body::ATTEMPT).map_or_else(
        || format!("c-{}", UNNAMED.fetch_add(1, Ordering::Relaxed)),
        str::to_owned,
    );
    let generation = body::header_text(&parts.headers, &body::GENERATION);
    if generation.is_some_and(|wanted| wanted != state.generation().to_string()) {
        return Ok(refuse(&attempt, StatusCode::CONFLICT, "another generation"));
    }
    let resume_at = body::header_text(&parts.headers, &body::RESUME_AT)
        .and_then(|text| text.parse::<u64>().ok());
    if resume_at.is_some() && !state.config.resumes {
        return Ok(refuse(&attempt, StatusCode::NOT_IMPLEMENTED, "no resume"));
    }
    if state.faults.chance(state.faults.current().refused) {
        return Ok(refuse(&attempt, StatusCode::SERVICE_UNAVAILABLE, "busy"));
    }
    let request = body::parse(&body::read(incoming).await?);
    let mut job = Job::new(attempt, parts.uri.path(), &request);
    let Some(slot) = BatchSlot::take(state) else {
        return Err(Cut);
    };
    let uncached = state.uncached_tokens(&prompt_of(&request));
    let named = cross(state, &mut job);
    slot.prefill(uncached).await?;
    let mut response = if request["stream"] == true {
        stream_tokens(slot, job.clone(), resume_at.unwrap_or(0))
    } else {
        slot.whole(&job).await?
    };
    let headers = response.headers_mut();
    if let Ok(attempt) = HeaderValue::from_str(&named) {
        headers.insert(body::ATTEMPT, attempt);
    }
    if let Some(resume_at) = resume_at {
        headers.insert(body::RESUME_AT, HeaderValue::from(resume_at));
        state.counters.resumed.fetch_add(1, Ordering::Relaxed);
    }
    Ok(response)
}

/// Refuses an attempt by name: an answer that doesn't carry its attempt's id proves nothing.
fn refuse(attempt: &str, status: StatusCode, message: &str) -> Response<Body> {
    let mut response = body::not_run(status, message);
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert(body::ATTEMPT, attempt);
    }
    response
}

/// Puts another request's answer in this one's place if the fault asks for it.
///
/// Returns the attempt that the answer's header names: half of the crossed answers carry the right
/// header over a wrong body, which is the harder case to notice.
fn cross(state: &State, job: &mut Job) -> String {
    let own = job.attempt.clone();
    let other = state.remember(job);
    if !state.faults.chance(state.faults.current().crossed) {
        return own;
    }
    let Some(other) = other else {
        return own;
    };
    state.counters.crossed.fetch_add(1, Ordering::Relaxed);
    *job = Job {
        shape: job.shape,
        ..other
    };
    if state.faults.chance(0.5) {
        own
    } else {
        job.attempt.clone()
    }
}

/// A request's place in the batch, given back when its answer ends or its caller leaves.
struct BatchSlot {
    state: Arc<State>,
    incarnation: Incarnation,
    done: bool,
}

impl BatchSlot {
    fn take(state: &Arc<State>) -> Option<Self> {
        let stands = state.begin();
        let slot = Self {
            state: Arc::clone(state),
            incarnation: state.incarnation(),
            done: false,
        };
        stands.then_some(slot)
    }

    async fn prefill(&self, uncached: u64) -> Result<(), Cut> {
        let speed = &self.state.config.speed;
        let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
        self.work(speed.first_token + speed.prompt_token * uncached)
            .await
    }

    /// Makes one token, which takes longer the more requests are in the batch.
    async fn make_token(&self) -> Result<(), Cut> {
        let speed = &self.state.config.speed;
        if !speed.token.is_zero() {
            let running = f64::from(self.state.counters.running.load(Ordering::Relaxed));
            let crowded = 1.0 + (running - 1.0).max(0.0) / f64::from(speed.batch_knee.0.max(1));
            self.work(speed.token.mul_f64(crowded)).await?;
        } else {
            self.work(Duration::ZERO).await?;
        }
        self.state.counters.tokens.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn work(&self, time: Duration) -> Result<(), Cut> {
        self.state.wait_while_paused().await;
        if !time.is_zero() {
            let slowdown = 1.0 + self.state.faults.current().slowdown.max(0.0);
            Timer::after(time.mul_f64(slowdown)).await;
            self.state.wait_while_paused().await;
        }
        if self.incarnation == self.state.incarnation() {
            Ok(())
        } else {
            Err(Cut)
        }
    }

    fn finish(&mut self) {
        self.done = true;
        self.state.answered();
    }

    async fn whole(mut self, job: &Job) -> Result<Response<Body>, Cut> {
        for _ in 0..job.tokens {
            self.make_token().await?;
        }
        let faults = self.state.faults.current();
        if self.state.faults.chance(faults.broken) {
            return Err(Cut);
        }
        self.finish();
        Ok(body::json(StatusCode::OK, &job.whole()))
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        // Whoever sees the place free also sees why.
        if !self.done {
            self.state.counters.cancelled.fetch_add(1, Ordering::SeqCst);
        }
        self.state.counters.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// How a stream ends before its last token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EarlyEnd {
    Broken(u64),
    Ended(u64),
}

struct TokenStream {
    slot: BatchSlot,
    job: Job,
    foreign: Option<Job>,
    early_end: Option<EarlyEnd>,
    next: u64,
}

fn stream_tokens(slot: BatchSlot, job: Job, from: u64) -> Response<Body> {
    let state = Arc::clone(&slot.state);
    let faults = state.faults.current();
    let left = job.tokens.saturating_sub(from);
    let early_end = if state.faults.chance(faults.broken) {
        Some(EarlyEnd::Broken(from + state.faults.below(left)))
    } else if state.faults.chance(faults.ended_early) {
        Some(EarlyEnd::Ended(from + state.faults.below(left)))
    } else {
        None
    };
    let tokens = TokenStream {
        foreign: state.remember(&job),
        slot,
        job,
        early_end,
        next: from,
    };
    let frames = stream::unfold(Some(tokens), |tokens| async {
        let mut tokens = tokens?;
        match tokens.event().await {
            Ok(Some(event)) => Some((Ok(Frame::data(Bytes::from(event))), Some(tokens))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("the parts are valid")
}

impl TokenStream {
    async fn event(&mut self) -> Result<Option<String>, Cut> {
        if self.slot.done {
            return Ok(None);
        }
        match self.early_end {
            Some(EarlyEnd::Broken(at)) if self.next >= at => return Err(Cut),
            Some(EarlyEnd::Ended(at)) if self.next >= at => return Ok(None),
            _ => {}
        }
        if self.next >= self.job.tokens {
            self.slot.finish();
            return Ok(Some("data: [DONE]\n\n".to_owned()));
        }
        self.slot.make_token().await?;
        let index = self.next;
        self.next += 1;
        Ok(Some(self.with_faults(index)))
    }

    fn with_faults(&self, index: u64) -> String {
        let event = self.job.event(index);
        let state = &self.slot.state;
        let faults = state.faults.current();
        let mut text = String::new();
        if let Some(foreign) = &self.foreign
            && state.faults.chance(faults.foreign_events)
        {
            text.push_str(&foreign.event(index));
        }
        text.push_str(&event);
        if state.faults.chance(faults.doubled_events) {
            text.push_str(&event);
        }
        text
    }
}
