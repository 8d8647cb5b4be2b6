//! A plain service whose transfers must not be repeated, and which counts every run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::body::{self, Body};
use crate::faults::{FaultPlan, Faulty};
use crate::ledger::{Ledger, Sealed, receipt_of};
use crate::server::{Connection, Cut, Handler, Server};

/// Where a try can be asked after.
const SETTLE_PATH: &str = "/sesamecart/settle";
/// How often a paused service looks whether it may go on.
const PAUSE_STEP: Duration = Duration::from_millis(2);
/// Bytes of an answer's head that a cut at a random byte may fall into, besides its body.
const HEAD_BYTES: u64 = 160;

/// The faults of a plain service; each number is a probability for one request.
#[derive(Clone, Debug, Default)]
pub struct PlainServiceFaults {
    /// The connection is cut before the request's body is read.
    pub cut_before_reading: f64,
    /// The connection is cut after reading and before running.
    pub cut_before_running: f64,
    /// The connection is cut after running and before the answer.
    pub cut_after_running: f64,
    /// The answer is cut at a random byte.
    pub cut_in_answer: f64,
    /// A connection that was used before is cut when a request comes on it.
    pub cut_on_reuse: f64,
    /// The request is refused before running, and the answer says so.
    pub refused: f64,
    /// Milliseconds from reading to running.
    pub delay_ms: u64,
    /// Milliseconds from running to the answer.
    pub answer_delay_ms: u64,
}

/// The behaviour of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainServiceConfig {
    /// The faults over time.
    pub faults: FaultPlan<PlainServiceFaults>,
    /// The ledger that it writes to; the processes of one service share theirs.
    pub ledger: Ledger,
}

#[derive(Debug)]
struct State {
    faults: Faulty<PlainServiceFaults>,
    paused: AtomicBool,
    running: AtomicU64,
    served: AtomicU64,
    ledger: Ledger,
}

/// A plain service on loopback.
#[derive(Debug)]
pub struct PlainService {
    state: Arc<State>,
    server: Server,
}

impl PlainService {
    /// Starts a service that has run nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port or thread can be had.
    pub fn start(config: PlainServiceConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            faults: Faulty::new(config.faults),
            paused: AtomicBool::new(false),
            running: AtomicU64::new(0),
            served: AtomicU64::new(0),
            ledger: config.ledger,
        });
        let server = Server::start("service", Arc::clone(&state))?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults from now on.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.state.faults.set(faults);
    }

    /// Pauses or resumes the service; a paused one takes connections and does nothing.
    pub fn pause(&self, paused: bool) {
        self.state.paused.store(paused, Ordering::Relaxed);
    }

    /// Closes every connection and refuses new ones until [`Self::revive`]; what has run stays run.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Closes every connection, but takes new ones.
    pub fn disconnect(&self) {
        self.server.disconnect();
    }

    /// Takes connections again after a crash.
    pub fn revive(&self) {
        self.server.listen();
    }

    /// Returns how often each transfer has run, by the whole ledger.
    #[must_use]
    pub fn runs(&self) -> IndexMap<String, u32> {
        self.state.ledger.runs()
    }

    /// Returns the number of requests that are under way.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that came, whatever became of them.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::Relaxed)
    }

    /// Closes every connection and ends the thread.
    pub fn stop(self) {}
}

/// Counts a request as running until it ends or its caller leaves.
struct Running<'a>(&'a AtomicU64);

impl<'a> Running<'a> {
    fn new(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for State {
    async fn answer(
        &self,
        req: Request<Incoming>,
        connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        self.wait_while_paused().await;
        if req.uri().path() == "/load" {
            let running = self.running.load(Ordering::Relaxed);
            let load = json!({ "running": running, "waiting": 0, "ready": true });
            return Ok(body::json(StatusCode::OK, &load));
        }
        if req.uri().path() == SETTLE_PATH {
            return Ok(self.settle(&req));
        }
        self.served.fetch_add(1, Ordering::Relaxed);
        let _running = Running::new(&self.running);
        let attempt = req.headers().get(body::ATTEMPT).cloned();
        let mut response = match *req.method() {
            Method::GET | Method::HEAD => self.look_up(req.uri().path()).await,
            _ => self.run(req, connection).await?,
        };
        if let Some(attempt) = attempt {
            response.headers_mut().insert(body::ATTEMPT, attempt);
        }
        Ok(response)
    }
}

impl State {
    async fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Relaxed) {
            Timer::after(PAUSE_STEP).await;
        }
    }

    /// Tells what became of a try, or promises that it will never run.
    fn settle(&self, req: &Request<Incoming>) -> Response<Body> {
        let Some(action) = body::header_text(req.headers(), &body::ACTION) else {
            return body::error(StatusCode::BAD_REQUEST, "no action");
        };
        let reply = match self.ledger.settle(action) {
            None => json!({ "state": "not_run" }),
            Some(answer) => json!({
                "state": "run",
                "status": 200,
                "headers": [["content-type", "application/json"]],
                "body": STANDARD.encode(answer.to_string()),
            }),
        };
        body::json(StatusCode::OK, &reply)
    }

    async fn look_up(&self, path: &str) -> Response<Body> {
        let delay_ms = self.faults.current().delay_ms;
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let order = path.rsplit('/').next().unwrap_or_default();
        let runs = self.ledger.runs_of(order);
        let status = if runs > 0 { "confirmed" } else { "none" };
        let answer = json!({ "order": order, "status": status, "receipt": receipt_of(order) });
        body::json(StatusCode::OK, &answer)
    }

    async fn run(
        &self,
        req: Request<Incoming>,
        connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        let faults = self.faults.current();
        let reused = connection.requests() > 1;
        if self.faults.chance(faults.cut_before_reading)
            || reused && self.faults.chance(faults.cut_on_reuse)
        {
            return Err(Cut);
        }
        let action = body::header_text(req.headers(), &body::ACTION).map(str::to_owned);
        let order = body::parse(&body::read(req.into_body()).await?);
        let Some(transfer) = order.get("transfer").and_then(Value::as_str) else {
            return Ok(body::not_run(StatusCode::BAD_REQUEST, "no transfer id"));
        };
        if self.faults.chance(faults.refused) {
            return Ok(body::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy"));
        }
        if faults.delay_ms > 0 {
            Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        self.wait_while_paused().await;
        if self.faults.chance(faults.cut_before_running) {
            return Err(Cut);
        }
        let answer = match self.ledger.run(transfer, action.as_deref()) {
            Ok(answer) => answer,
            Err(Sealed) => return Ok(body::not_run(StatusCode::CONFLICT, "settled as not run")),
        };
        if faults.answer_delay_ms > 0 {
            Timer::after(Duration::from_millis(faults.answer_delay_ms)).await;
        }
        if self.faults.chance(faults.cut_after_running) {
            return Err(Cut);
        }
        if self.faults.chance(faults.cut_in_answer) {
            let bytes = answer.to_string().len() as u64 + HEAD_BYTES;
            connection.cut_after(self.faults.below(bytes));
        }
        let mut response = body::json(StatusCode::OK, &answer);
        let headers = response.headers_mut();
        headers.insert("cache-control", HeaderValue::from_static("no-store"));
        Ok(response)
    }
}
