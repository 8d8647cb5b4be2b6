//! The platform's append-only log service.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use crate::body::{self, Body};
use crate::faults::{FaultPlan, Faulty};
use crate::server::{Connection, Cut, Handler, Server};

/// How often a held-up read looks for new records.
const WAIT_STEP: Duration = Duration::from_millis(2);
/// How long a silent outage holds a request before it cuts the connection.
const SILENCE: Duration = Duration::from_secs(30);
/// The most records in one answer.
const MAX_RECORDS: u64 = 5_000;

/// In what way the log is out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutage {
    /// It works.
    #[default]
    None,
    /// It answers 503.
    Refusing,
    /// It takes requests and never answers.
    Silent,
    /// It cuts every connection.
    Cutting,
}

/// The faults of a log service.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Whether and how it is out.
    pub outage: LogOutage,
    /// Milliseconds that an append takes.
    pub append_ms: u64,
    /// Milliseconds that a read takes.
    pub read_ms: u64,
    /// The probability that an append takes effect and its answer is lost.
    pub lost_answers: f64,
    /// The probability that an append is lost before it takes effect.
    pub lost_requests: f64,
}

/// How long the log keeps records.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retention {
    /// The most records that are kept.
    pub records: Option<usize>,
    /// The longest time that a record is kept.
    pub age: Option<Duration>,
}

/// The behaviour of a log service.
#[derive(Clone, Debug, Default)]
pub struct LogConfig {
    /// The faults over time.
    pub faults: FaultPlan<LogFaults>,
    /// How long records are kept.
    pub retention: Retention,
    /// The most appends in a second; the rest get 429.
    pub appends_per_second: Option<u32>,
}

/// What a log service has counted since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of the records appended.
    pub appended_bytes: u64,
    /// Appends refused by the rate cap.
    pub capped: u64,
    /// Reads answered.
    pub reads: u64,
}

#[derive(Debug)]
struct Record {
    time_ms: u64,
    appended: Instant,
    data: Bytes,
}

#[derive(Debug, Default)]
struct Records {
    first: u64,
    kept: VecDeque<Record>,
}

impl Records {
    fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    fn append(&mut self, data: Bytes) -> u64 {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time_ms = time.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0));
        let appended = Instant::now();
        self.kept.push_back(Record {
            time_ms,
            appended,
            data,
        });
        self.next() - 1
    }

    fn expire(&mut self, retention: Retention) {
        while let Some(oldest) = self.kept.front() {
            let many = retention.records.is_some_and(|most| self.kept.len() > most);
            let old = retention
                .age
                .is_some_and(|age| oldest.appended.elapsed() > age);
            if !many && !old {
                return;
            }
            self.kept.pop_front();
            self.first += 1;
        }
    }
}

/// Lets a number of appends through in each second, with a burst of a tenth of it.
#[derive(Debug)]
struct RateCap {
    per_second: f64,
    left: f64,
    filled: Instant,
}

impl RateCap {
    fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            left: (per_second / 10.0).max(1.0),
            filled: Instant::now(),
        }
    }

    fn admit(&mut self) -> bool {
        let earned = self.filled.elapsed().as_secs_f64() * self.per_second;
        self.filled = Instant::now();
        self.left = (self.left + earned).min((self.per_second / 10.0).max(1.0));
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[derive(Debug, Default)]
struct Counters {
    appends: AtomicU64,
    appended_bytes: AtomicU64,
    capped: AtomicU64,
    reads: AtomicU64,
}

#[derive(Debug)]
struct State {
    records: Mutex<Records>,
    cap: Option<Mutex<RateCap>>,
    retention: Retention,
    faults: Faulty<LogFaults>,
    counters: Counters,
}

/// A log service on loopback.
#[derive(Debug)]
pub struct LogService {
    state: Arc<State>,
    server: Server,
}

impl LogService {
    /// Starts a log without records.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port or thread can be had.
    pub fn start(config: LogConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            records: Mutex::default(),
            cap: config.appends_per_second.map(RateCap::new).map(Mutex::new),
            retention: config.retention,
            faults: Faulty::new(config.faults),
            counters: Counters::default(),
        });
        let server = Server::start("log", Arc::clone(&state))?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults from now on.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.faults.set(faults);
    }

    /// Returns what it has counted.
    #[must_use]
    pub fn counts(&self) -> LogCounts {
        let counters = &self.state.counters;
        LogCounts {
            appends: counters.appends.load(Ordering::Relaxed),
            appended_bytes: counters.appended_bytes.load(Ordering::Relaxed),
            capped: counters.capped.load(Ordering::Relaxed),
            reads: counters.reads.load(Ordering::Relaxed),
        }
    }

    /// Returns the records that are kept, the oldest first, for checks after a run.
    #[must_use]
    pub fn records(&self) -> Vec<Bytes> {
        let records = self.state.records.lock().unwrap();
        records
            .kept
            .iter()
            .map(|record| record.data.clone())
            .collect()
    }

    /// Closes every connection and ends the thread.
    pub fn stop(self) {}
}

impl Handler for State {
    async fn answer(
        &self,
        req: Request<Incoming>,
        _connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        match self.faults.current().outage {
            LogOutage::None => {}
            LogOutage::Refusing => return Ok(unavailable()),
            LogOutage::Cutting => return Err(Cut),
            LogOutage::Silent => {
                Timer::after(SILENCE).await;
                return Err(Cut);
            }
        }
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/append") => self.append(req).await,
            (&Method::GET, "/records") => Ok(self.read(req.uri().query()).await),
            _ => Ok(body::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl State {
    async fn append(&self, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let data = body::read(req.into_body()).await?;
        if let Some(cap) = &self.cap
            && !cap.lock().unwrap().admit()
        {
            self.counters.capped.fetch_add(1, Ordering::Relaxed);
            return Ok(too_many());
        }
        let faults = self.faults.current();
        if faults.append_ms > 0 {
            Timer::after(Duration::from_millis(faults.append_ms)).await;
        }
        // An outage that began while the append was under way stops it.
        if self.faults.current().outage != LogOutage::None {
            return Err(Cut);
        }
        if self.faults.chance(faults.lost_requests) {
            return Err(Cut);
        }
        self.counters.appends.fetch_add(1, Ordering::Relaxed);
        self.counters
            .appended_bytes
            .fetch_add(data.len() as u64, Ordering::Relaxed);
        let offset = self.records.lock().unwrap().append(data);
        if self.faults.chance(faults.lost_answers) {
            return Err(Cut);
        }
        Ok(body::json(StatusCode::OK, &json!({ "offset": offset })))
    }

    async fn read(&self, query: Option<&str>) -> Response<Body> {
        let from = body::query_number(query, "from").unwrap_or(0);
        let limit = body::query_number(query, "limit").unwrap_or(MAX_RECORDS);
        let wait = Duration::from_millis(body::query_number(query, "wait_ms").unwrap_or(0));
        let read_ms = self.faults.current().read_ms;
        if read_ms > 0 {
            Timer::after(Duration::from_millis(read_ms)).await;
        }
        let begun = Instant::now();
        while begun.elapsed() < wait && self.records.lock().unwrap().next() <= from {
            Timer::after(WAIT_STEP).await;
        }
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        self.page(from, limit.min(MAX_RECORDS))
    }

    fn page(&self, from: u64, limit: u64) -> Response<Body> {
        let mut records = self.records.lock().unwrap();
        records.expire(self.retention);
        let first = records.first;
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let page: Vec<_> = records
            .kept
            .iter()
            .enumerate()
            .skip(skipped)
            .take(limit)
            .map(|(index, record)| {
                json!({
                    "offset": first + index as u64,
                    "time_ms": record.time_ms,
                    "data": STANDARD.encode(&record.data),
                })
            })
            .collect();
        let answer = json!({ "first": first, "next": records.next(), "records": page });
        body::json(StatusCode::OK, &answer)
    }
}

fn unavailable() -> Response<Body> {
    body::error(StatusCode::SERVICE_UNAVAILABLE, "the log is out")
}

fn too_many() -> Response<Body> {
    let mut response = body::error(StatusCode::TOO_MANY_REQUESTS, "too many appends");
    response.headers_mut().insert(
        http::header::RETRY_AFTER,
        http::HeaderValue::from_static("1"),
    );
    response
}
