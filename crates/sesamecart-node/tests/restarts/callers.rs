//! Callers that keep their connections, and the load balancer that chooses nodes for them.

use std::io::{Error, ErrorKind, Read as _, Result, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::nodes::Node;

/// How often the balancer asks each node whether it is ready, and how long it waits for the answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The number of checks in a row that a node misses before it gets no new connections.
const MISSED_CHECKS: u32 = 2;

/// How long a caller waits for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest pause in an answer after which a caller gives up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of their requests for which callers open a new connection, usually and while one node gets most of them.
const NEW_CONNECTION_SHARE: f64 = 0.3;
const CROWDED_NEW_CONNECTION_SHARE: f64 = 1.0;

/// The part of new connections that the balancer hands to one node.
const CROWDED_SHARE: f64 = 0.9;

/// The longest time from a request to the end of its connection if the node has closed it unread.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(200);

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

/// How one try of a request has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TryEnd {
    Answered(u16),
    /// The connection wasn't opened, or was closed before the request was read.
    Unread,
    /// The answer broke off, or didn't come in time.
    Broken(ErrorKind),
}

/// One try of a request.
#[derive(Clone, Copy, Debug)]
struct Try {
    end: TryEnd,
    /// Whether it met the node that gets most new connections.
    is_there: bool,
}

impl Try {
    fn is_served(self) -> bool {
        self.end == TryEnd::Answered(200)
    }
}

/// How one request of a caller has ended, with its second try if there was one.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent_at: Instant,
    /// The model that was asked for, if any.
    model: Option<&'static str>,
    is_served: bool,
    /// The first try that a node has read, if there was one.
    first_read: Option<Try>,
}

/// The callers whose new connections go to one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CrowdScope {
    /// Those of the node's failure domain.
    Domain,
    All,
}

/// The node that gets most new connections.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    node: usize,
    scope: CrowdScope,
    /// How often another node has taken the place of one that was out of rotation.
    moves: usize,
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
    crowd: Mutex<Option<Crowd>>,
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
            crowd: Mutex::default(),
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

    /// Hands most new connections to one node, and lets callers open new ones more often.
    pub(crate) fn crowd(&self, node: usize, scope: CrowdScope) {
        *self.shared.crowd() = Some(Crowd {
            node,
            scope,
            moves: 0,
        });
    }

    /// Returns how many nodes got most new connections, one after the other.
    pub(crate) fn crowded_nodes(&self) -> usize {
        self.shared.crowd().map_or(0, |crowd| crowd.moves + 1)
    }

    /// Returns how many requests for one model, or of those without one, that were sent in a span have been served at the
    /// first try that a node has read, and how many there were. Prints how the others have ended.
    pub(crate) fn first_reads_between(
        &self,
        model: Option<&str>,
        from: Instant,
        to: Instant,
    ) -> (usize, usize) {
        let outcomes = self.shared.outcomes();
        let sent = outcomes.iter().filter(|outcome| outcome.model == model);
        let sent = sent.filter(|outcome| (from..to).contains(&outcome.sent_at));
        let (mut served, mut all) = (0, 0);
        let mut others: IndexMap<(Option<TryEnd>, bool), usize> = IndexMap::new();
        for outcome in sent {
            all += 1;
            match outcome.first_read {
                Some(first) if first.is_served() => served += 1,
                first => {
                    let end = first.map(|first| first.end);
                    let is_there = first.is_some_and(|first| first.is_there);
                    *others.entry((end, is_there)).or_default() += 1;
                }
            }
        }
        others.sort_unstable_by(|_, a, _, b| b.cmp(a));
        for ((end, is_there), count) in &others {
            let place = if *is_there { "there" } else { "elsewhere" };
            println!("  {count} {end:?} {place}");
        }
        (served, all)
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
        let outcomes = self.shared.outcomes();
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

    fn crowd(&self) -> MutexGuard<'_, Option<Crowd>> {
        self.crowd.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the node that gets most new connections of a caller's failure domain, if there is one.
    fn crowded_node(&self, domain: usize) -> Option<usize> {
        let mut crowd = self.crowd();
        let crowd = crowd.as_mut()?;
        let home = self.members[crowd.node].domain;
        if !self.members[crowd.node].is_in_rotation() {
            let mut others = (0..self.members.len()).rev().filter(|index| {
                self.members[*index].domain == home && self.members[*index].is_in_rotation()
            });
            crowd.node = others.next()?;
            crowd.moves += 1;
        }
        (crowd.scope == CrowdScope::All || home == domain).then_some(crowd.node)
    }

    /// Returns the part of their requests for which callers of a failure domain open a new connection.
    fn new_connection_share(&self, domain: usize) -> f64 {
        match self.crowded_node(domain) {
            Some(_) => CROWDED_NEW_CONNECTION_SHARE,
            None => NEW_CONNECTION_SHARE,
        }
    }

    /// Chooses a node for a new connection. Retries don't meet the node that gets most others.
    fn choose(&self, domain: usize, is_retry: bool) -> usize {
        let crowded = self.crowded_node(domain);
        match crowded {
            Some(node) if !is_retry && fastrand::f64() < CROWDED_SHARE => node,
            _ => loop {
                let node = self.choose_evenly(domain);
                if !is_retry || Some(node) != crowded {
                    return node;
                }
            },
        }
    }

    /// Chooses a node of a caller's failure domain: one that is ready, or any if fewer than half are. If none is, one
    /// of another failure domain.
    fn choose_evenly(&self, domain: usize) -> usize {
        let is_ready = |index: &usize| self.members[*index].is_in_rotation();
        let all: Vec<usize> = self.members_of(domain).collect();
        let ready: Vec<usize> = self.members_of(domain).filter(is_ready).collect();
        let elsewhere: Vec<usize> = (0..self.members.len()).filter(is_ready).collect();
        let from = if ready.is_empty() && !elsewhere.is_empty() {
            &elsewhere
        } else if 2 * ready.len() < all.len() {
            &all
        } else {
            &ready
        };
        from[fastrand::usize(..from.len())]
    }

    fn members_of(&self, domain: usize) -> impl Iterator<Item = usize> {
        let members = self.members.iter().enumerate();
        let members = members.filter(move |(_, member)| member.domain == domain);
        members.map(|(index, _)| index)
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

    fn outcomes(&self) -> MutexGuard<'_, Vec<Outcome>> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, outcome: Outcome) {
        self.outcomes().push(outcome);
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
    /// The connection that is kept for the next request, with the node at its other end.
    kept: Option<(usize, TcpStream)>,
    /// The time after which the last answer lets the caller return.
    return_delay: Duration,
}

/// What a caller gets.
struct Answer {
    status: u16,
    retry_after: Option<Duration>,
    is_last: bool,
}

impl<'a> Caller<'a> {
    fn new(shared: &'a Shared, index: usize) -> Self {
        Self {
            shared,
            index,
            sent: 0,
            kept: None,
            return_delay: Duration::ZERO,
        }
    }

    fn run(mut self) {
        std::thread::sleep(self.shared.interval.mul_f64(fastrand::f64()));
        while !self.shared.is_over() {
            let sent_at = Instant::now();
            let kind = self.shared.choose_kind();
            let tries = self.send(&kind);
            self.shared.record(Outcome {
                sent_at,
                model: kind.model,
                is_served: tries.iter().any(|one| one.is_served()),
                first_read: tries.into_iter().find(|one| one.end != TryEnd::Unread),
            });
            let pause = self.shared.interval.mul_f64(2.0 * fastrand::f64());
            std::thread::sleep((sent_at + pause).saturating_duration_since(Instant::now()));
        }
    }

    /// Sends a request, and once more on a new connection if it isn't served. Returns the tries.
    fn send(&mut self, kind: &Kind) -> Vec<Try> {
        if fastrand::f64() < self.shared.new_connection_share(self.domain()) {
            self.kept = None;
        }
        let deadline = Instant::now() + kind.deadline;
        let first = self.call(kind, deadline, false);
        if first.is_served() {
            return vec![first];
        }
        self.kept = None;
        std::thread::sleep(self.return_delay.min(MAX_RETURN_DELAY));
        vec![first, self.call(kind, deadline, true)]
    }

    fn domain(&self) -> usize {
        self.index % self.shared.domains
    }

    /// Tries a request once, on the kept connection or on a new one.
    fn call(&mut self, kind: &Kind, deadline: Instant, is_retry: bool) -> Try {
        self.return_delay = Duration::ZERO;
        let kept = self.kept.take();
        let is_new = kept.is_none();
        let node = match &kept {
            Some((node, _)) => *node,
            None => self.shared.choose(self.domain(), is_retry),
        };
        let is_there = self.shared.crowded_node(self.domain()) == Some(node);
        let opened = kept.map_or_else(|| self.connect(node), |(_, stream)| Ok(stream));
        let sent_at = Instant::now();
        let end = match opened.map(|stream| self.exchange(stream, node, kind, deadline)) {
            Ok(Ok(answer)) => TryEnd::Answered(answer),
            Ok(Err(error)) => {
                let is_closed =
                    error.kind() != ErrorKind::WouldBlock && error.kind() != ErrorKind::TimedOut;
                if is_new && is_closed && sent_at.elapsed() < MAX_UNREAD_TIME {
                    TryEnd::Unread
                } else {
                    TryEnd::Broken(error.kind())
                }
            }
            Err(_) => TryEnd::Unread,
        };
        Try { end, is_there }
    }

    /// Sends a request and reads its answer. Returns its status.
    fn exchange(
        &mut self,
        mut stream: TcpStream,
        node: usize,
        kind: &Kind,
        deadline: Instant,
    ) -> Result<u16> {
        self.sent += 1;
        let left = deadline.saturating_duration_since(Instant::now());
        let prompt = kind.model.map_or_else(String::new, |model| {
            format!(
                "model-name: {model}\r\ntoken-count: 700,168\r\nprefix-hash: {:x}:40,{:x}{:x}:660\r\n",
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
            self.kept = Some((node, stream));
        }
        self.return_delay = answer.retry_after.unwrap_or_default();
        Ok(answer.status)
    }

    fn connect(&self, node: usize) -> Result<TcpStream> {
        let callers = self.shared.members[node].callers;
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
