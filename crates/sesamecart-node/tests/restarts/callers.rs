//! Callers that keep their connections, and the load balancer that chooses nodes for them.

use std::io::{Error, ErrorKind, Read as _, Result, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::nodes::Node;

/// How often the balancer asks each node whether it is ready, and how long it waits for the answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The number of checks in a row that a node misses before it gets no new connections.
const MISSED_CHECKS: u32 = 2;

/// How long a caller waits for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest pause in an answer after which a caller gives up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of their requests for which callers open a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.3;

/// The longest time that a refused caller waits before it tries again.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(2);

const STACK_BYTES: usize = 256 * 1024;

/// One node as the balancer sees it.
#[derive(Debug)]
struct Member {
    callers: SocketAddr,
    domain: usize,
    is_in_rotation: AtomicBool,
}

/// How one request of a caller has ended, with its second try if there was one.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent_at: Instant,
    /// The model that was asked for, if any.
    model: Option<&'static str>,
    is_served: bool,
}

/// A kind of request, and its part of all requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) share: f64,
    pub(crate) path: &'static str,
    pub(crate) model: Option<&'static str>,
    pub(crate) deadline: Duration,
}

/// Callers that send requests until the value is dropped.
#[derive(Debug)]
pub(crate) struct Traffic {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    members: Vec<Member>,
    domains: usize,
    kinds: Vec<Kind>,
    /// The mean time from one request of a caller to its next one.
    interval: Duration,
    is_over: AtomicBool,
    outcomes: Mutex<Vec<Outcome>>,
}

impl Traffic {
    /// Starts `callers` callers, who send `per_s` requests a second together.
    pub(crate) fn start(nodes: &[Node], callers: usize, per_s: f64, kinds: &[Kind]) -> Self {
        let members: Vec<Member> = nodes.iter().map(Member::new).collect();
        let shared = Arc::new(Shared {
            domains: 1 + members
                .iter()
                .map(|member| member.domain)
                .max()
                .unwrap_or(0),
            members,
            kinds: kinds.to_vec(),
            interval: Duration::from_secs_f64(callers as f64 / per_s),
            is_over: AtomicBool::new(false),
            outcomes: Mutex::default(),
        });
        let spawn = |run: Box<dyn FnOnce() + Send>| {
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            thread.spawn(run).expect("a thread starts")
        };
        let checks = nodes.iter().enumerate().map(|(index, node)| {
            let (shared, readiness) = (Arc::clone(&shared), node.readiness());
            spawn(Box::new(move || shared.check(index, readiness)))
        });
        let calls = (0..callers).map(|index| {
            let shared = Arc::clone(&shared);
            spawn(Box::new(move || Caller::new(&shared, index).run()))
        });
        let threads = checks.chain(calls).collect();
        Self { shared, threads }
    }

    /// Returns how many requests that were sent in a span have been served, and how many there were.
    pub(crate) fn served_between(&self, from: Instant, to: Instant) -> (usize, usize) {
        self.count_between(from, to, |_| true)
    }

    /// Like [`Self::served_between`], for the requests of one model, or for those without one.
    pub(crate) fn served_for(
        &self,
        model: Option<&str>,
        from: Instant,
        to: Instant,
    ) -> (usize, usize) {
        self.count_between(from, to, |outcome| outcome.model == model)
    }

    fn count_between(
        &self,
        from: Instant,
        to: Instant,
        is_meant: impl Fn(&Outcome) -> bool,
    ) -> (usize, usize) {
        let outcomes = self.shared.outcomes.lock();
        let outcomes = outcomes.unwrap_or_else(PoisonError::into_inner);
        let sent = outcomes
            .iter()
            .filter(|outcome| is_meant(outcome) && (from..to).contains(&outcome.sent_at));
        let (mut served, mut all) = (0, 0);
        for outcome in sent {
            served += usize::from(outcome.is_served);
            all += 1;
        }
        (served, all)
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("no caller panics");
        }
    }
}

impl Member {
    fn new(node: &Node) -> Self {
        Self {
            callers: node.callers(),
            domain: node.domain_index(),
            is_in_rotation: AtomicBool::new(true),
        }
    }

    fn is_in_rotation(&self) -> bool {
        self.is_in_rotation.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Asks a node again and again whether it is ready.
    fn check(&self, index: usize, readiness: SocketAddr) {
        let mut missed = 0;
        while !self.is_over() {
            missed = if is_ready(readiness) { 0 } else { missed + 1 };
            let member = &self.members[index];
            let is_in_rotation = missed < MISSED_CHECKS;
            member
                .is_in_rotation
                .store(is_in_rotation, Ordering::Relaxed);
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Chooses a node of a caller's failure domain: one that is ready, or any if fewer than half are. If none is, one
    /// of another failure domain.
    fn choose(&self, domain: usize) -> SocketAddr {
        let all: Vec<&Member> = self.members_of(domain).collect();
        let ready: Vec<&Member> = self
            .members_of(domain)
            .filter(|m| m.is_in_rotation())
            .collect();
        let elsewhere = self.members.iter().filter(|m| m.is_in_rotation());
        let elsewhere: Vec<&Member> = elsewhere.collect();
        let from = if ready.is_empty() && !elsewhere.is_empty() {
            &elsewhere
        } else if 2 * ready.len() < all.len() {
            &all
        } else {
            &ready
        };
        from[fastrand::usize(..from.len())].callers
    }

    fn members_of(&self, domain: usize) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(move |member| member.domain == domain)
    }

    fn choose_kind(&self) -> Kind {
        let mut draw = fastrand::f64();
        for kind in &self.kinds {
            draw -= kind.share;
            if draw < 0.0 {
                return *kind;
            }
        }
        self.kinds[0]
    }

    fn record(&self, outcome: Outcome) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }
}

fn is_ready(readiness: SocketAddr) -> bool {
    let mut answer = [0; 15];
    let asked = TcpStream::connect_timeout(&readiness, CHECK_INTERVAL).and_then(|mut stream| {
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")?;
        stream.read_exact(&mut answer)
    });
    asked.is_ok() && answer.starts_with(b"HTTP/1.1 200 ")
}

/// One caller, who sends one request after the other.
struct Caller<'a> {
    shared: &'a Shared,
    index: usize,
    sent: usize,
    kept: Option<TcpStream>,
}

/// What a caller gets.
struct Answer {
    status: u16,
    retry_after: Option<Duration>,
    is_last: bool,
}

impl Answer {
    fn is_success(&self) -> bool {
        self.status == 200
    }
}

impl<'a> Caller<'a> {
    fn new(shared: &'a Shared, index: usize) -> Self {
        Self {
            shared,
            index,
            sent: 0,
            kept: None,
        }
    }

    fn run(mut self) {
        std::thread::sleep(self.shared.interval.mul_f64(fastrand::f64()));
        while !self.shared.is_over() {
            let sent_at = Instant::now();
            let kind = self.shared.choose_kind();
            let is_served = self.is_served(&kind);
            self.shared.record(Outcome {
                sent_at,
                model: kind.model,
                is_served,
            });
            let pause = self.shared.interval.mul_f64(2.0 * fastrand::f64());
            std::thread::sleep((sent_at + pause).saturating_duration_since(Instant::now()));
        }
    }

    /// Sends a request, and once more on a new connection if it isn't served. Returns whether it was in the end.
    fn is_served(&mut self, kind: &Kind) -> bool {
        if fastrand::f64() < NEW_CONNECTION_SHARE {
            self.kept = None;
        }
        let deadline = Instant::now() + kind.deadline;
        let first = self.call(kind, deadline);
        if first.as_ref().is_ok_and(Answer::is_success) {
            return true;
        }
        self.kept = None;
        let delay = first.ok().and_then(|answer| answer.retry_after);
        std::thread::sleep(delay.unwrap_or_default().min(MAX_RETURN_DELAY));
        let second = self.call(kind, deadline);
        second.is_ok_and(|answer| answer.is_success())
    }

    fn call(&mut self, kind: &Kind, deadline: Instant) -> Result<Answer> {
        let mut stream = match self.kept.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        self.sent += 1;
        let left = deadline.saturating_duration_since(Instant::now());
        let prompt = kind.model.map_or_else(String::new, |model| {
            format!(
                "model-name: {model}\r\ntoken-count: 700,80\r\nprefix-hash: {:x}:40,{:x}{:x}:660\r\n",
                self.index % 60, self.index, self.sent
            )
        });
        let head = format!(
            "POST {}1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {:x}-{:x}\r\ndeadline-ms: {}\r\n\
             credential: key-1\r\n{prompt}content-length: 4\r\n\r\nbody",
            kind.path,
            self.index,
            self.sent,
            left.as_millis(),
        );
        stream.write_all(head.as_bytes())?;
        let answer = read_answer(&mut stream, deadline)?;
        if !answer.is_last {
            self.kept = Some(stream);
        }
        Ok(answer)
    }

    fn connect(&self) -> Result<TcpStream> {
        let callers = self.shared.choose(self.index % self.shared.domains);
        let stream = TcpStream::connect_timeout(&callers, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(SILENCE_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Reads an answer to its end.
fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Result<Answer> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some(answer) = parse(&bytes) {
            return Ok(answer);
        }
        if Instant::now() >= deadline {
            return Err(Error::new(ErrorKind::TimedOut, "the deadline has passed"));
        }
        match stream.read(&mut buf)? {
            0 => {
                return Err(Error::new(
                    ErrorKind::UnexpectedEof,
                    "the connection was closed",
                ));
            }
            len => bytes.extend_from_slice(&buf[..len]),
        }
    }
}

/// Returns the answer once it is complete.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end])
        .ok()?
        .to_ascii_lowercase();
    let body = &bytes[end + 4..];
    let value = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value.to_owned())
    };
    let is_complete = match value("content-length").and_then(|len| len.parse::<usize>().ok()) {
        Some(len) => body.len() >= len,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    let retry_after = value("retry-after").and_then(|after| after.parse().ok());
    is_complete.then(|| Answer {
        status: head
            .get(9..12)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0),
        retry_after: retry_after.map(Duration::from_secs_f64),
        is_last: value("connection").as_deref() == Some("close"),
    })
}
