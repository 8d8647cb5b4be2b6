//! Tests of the limits of a server, and of one that gets more new connections than its thread has time for.

use std::io::{Error, ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Response;
use sesamecart_runtime::{Signal, Worker, listen, sleep};

use super::{Connections, ServerLimits, max_batch, serve};
use crate::body::whole;

/// The processor time of a request, so that 40 a second are served.
const WORK: Duration = Duration::from_millis(25);

const CONNECTIONS: u32 = 240;

/// The time between two new connections.
const INTERVAL: Duration = Duration::from_millis(10);

/// The time after which a caller gives up whose request isn't answered.
const PATIENCE: Duration = Duration::from_secs(1);

/// The time after its last byte from which on a whole request must not end without a status.
const MAX_SILENT_CLOSE: Duration = Duration::from_millis(200);

/// What became of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Served,
    Refused,
    GivenUp,
    ClosedUnread,
}

/// The outcome of a call, and the time from the last byte of its request to the end of its connection.
#[derive(Clone, Copy, Debug)]
struct Ended {
    outcome: Outcome,
    after: Duration,
}

fn call(server: SocketAddr) -> Ended {
    let mut answer = Vec::new();
    let mut written_at = Instant::now();
    let answered = TcpStream::connect(server).and_then(|mut stream| {
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n")?;
        written_at = Instant::now();
        stream.read_to_end(&mut answer)
    });
    let outcome = match answered.as_ref().map_err(Error::kind) {
        Ok(0) => Outcome::ClosedUnread,
        Ok(_) if answer.starts_with(b"HTTP/1.1 503 ") => Outcome::Refused,
        Ok(_) => Outcome::Served,
        Err(ErrorKind::WouldBlock) => Outcome::GivenUp,
        Err(_) => Outcome::ClosedUnread,
    };
    Ended {
        outcome,
        after: written_at.elapsed(),
    }
}

/// Which thread accepts connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Acceptor {
    /// The one that handles requests.
    SameThread,
    /// One that does nothing else.
    OwnThread,
}

/// What keeps a server from answering at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Load {
    /// Requests that take more processor time than there is.
    Work,
    /// Both threads stand still together most of the time, and have enough time in between.
    Stops,
}

/// The period in which the threads run for a moment.
const STOP_PERIOD: Duration = Duration::from_millis(150);

/// The time for which they run in each period.
const RUN_TIME: Duration = Duration::from_millis(9);

/// Blocks a thread in all of each period but `RUN_TIME`.
async fn stop_regularly(started_at: Instant) {
    let mut next = started_at + STOP_PERIOD;
    loop {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        sleep(RUN_TIME).await;
        next += STOP_PERIOD;
    }
}

/// Offers new connections to a server that can't answer them at once.
fn play(acceptor: Acceptor, load: Load) -> Vec<Ended> {
    let mut worker = Worker::start("server").expect("a thread starts");
    let mut own_thread = Worker::start("acceptor").expect("a thread starts");
    if load == Load::Stops {
        let started_at = Instant::now();
        worker.tasks().spawn(stop_regularly(started_at));
        own_thread.tasks().spawn(stop_regularly(started_at));
    }
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let server = listener.local_addr().expect("the listener has an address");
    let (_stop, stopped) = Signal::new();
    let tasks = worker.tasks().clone();
    let accepting = match acceptor {
        Acceptor::SameThread => worker.tasks(),
        Acceptor::OwnThread => own_thread.tasks(),
    };
    accepting.spawn(async move {
        let limits = || ServerLimits {
            closes_excess: true,
            ..ServerLimits::default()
        };
        let handle = move |_req, _peer| async move {
            if load == Load::Work {
                std::thread::sleep(WORK);
            }
            Response::new(whole("done"))
        };
        let connections = Connections::default();
        let served = serve(listener, None, limits, tasks, connections, stopped, handle);
        served.await.expect("it accepts connections");
    });
    let ends = std::thread::scope(|scope| {
        let callers = (0..CONNECTIONS).map(|_| {
            std::thread::sleep(INTERVAL);
            scope.spawn(move || call(server))
        });
        let callers: Vec<_> = callers.collect();
        let callers = callers.into_iter();
        callers
            .map(|caller| caller.join().expect("it ends"))
            .collect()
    });
    own_thread.stop();
    worker.stop();
    ends
}

/// Returns the number of connections with an outcome.
fn count(ends: &[Ended], outcome: Outcome) -> usize {
    ends.iter().filter(|end| end.outcome == outcome).count()
}

/// Returns how many whole requests ended without a status although they had waited for long.
fn count_late_closes(ends: &[Ended]) -> usize {
    let late = ends.iter().filter(|end| end.after > MAX_SILENT_CLOSE);
    late.filter(|end| end.outcome == Outcome::ClosedUnread)
        .count()
}

/// Guards against connections that are accepted and not read until their callers give up, or read only to be refused.
#[test]
fn connections_that_cannot_be_served_in_time_are_closed_unread() {
    let ends = play(Acceptor::OwnThread, Load::Work);
    let [served, refused, given_up, closed] = [
        Outcome::Served,
        Outcome::Refused,
        Outcome::GivenUp,
        Outcome::ClosedUnread,
    ]
    .map(|outcome| count(&ends, outcome));
    let figures =
        format!("{served} served, {refused} refused, {given_up} given up, {closed} closed unread");
    assert!(4 * served >= 3 * (served + refused + given_up), "{figures}");
    assert!(served >= 60, "{figures}");
    assert_eq!(count_late_closes(&ends), 0, "{figures}");
}

/// Guards against closing a connection unread whose whole request has waited for a late thread.
#[test]
fn whole_requests_that_waited_for_a_late_thread_get_a_status() {
    let ends = play(Acceptor::SameThread, Load::Work);
    assert_eq!(count_late_closes(&ends), 0, "of {CONNECTIONS}");
}

/// Guards against refusing connections at a server that serves all of them, only not at once.
#[test]
fn connections_to_a_server_that_stops_regularly_and_keeps_up_are_served() {
    let ends = play(Acceptor::OwnThread, Load::Stops);
    assert_eq!(count(&ends, Outcome::Served), ends.len());
}

macro_rules! batch_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $closes_excess:literal, $open:literal => $max_batch:literal;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let limits = ServerLimits {
                    max_connections: 1_900,
                    closes_excess: $closes_excess,
                    ..ServerLimits::default()
                };
                assert_eq!(max_batch(&limits, $open), $max_batch);
            }
        )*
    };
}

batch_cases! {
    /// Guards against connections that are refused because those before them aren't accepted all at once.
    a_server_with_few_connections_accepts_all_that_wait: true, 100 => 1_024;
    a_server_with_many_connections_accepts_as_many_as_it_has_descriptors_for: true, 1_500 => 400;
    a_full_server_accepts_some_that_wait: true, 1_900 => 128;
    a_server_whose_connections_wait_accepts_one_at_a_time: false, 100 => 1;
}

/// Sends a request on an open connection and returns the start of the answer, which is empty if there is none.
fn ask(mut stream: &TcpStream) -> String {
    let mut answer = [0; 1_024];
    let written = stream.write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n");
    let len = written.and_then(|()| stream.read(&mut answer)).unwrap_or(0);
    String::from_utf8_lossy(&answer[..len]).into_owned()
}

macro_rules! idle_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $before:expr, $after:expr => $is_answered:literal;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                assert_eq!(is_answered_after_a_pause($before, $after), $is_answered);
            }
        )*
    };
}

/// The time between two requests of a connection.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Returns whether a connection may be used again whose limit changes while it is idle.
fn is_answered_after_a_pause(before: Duration, after: Duration) -> bool {
    let mut worker = Worker::start("server").expect("a thread starts");
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let server = listener.local_addr().expect("the listener has an address");
    let limit_ms = Arc::new(AtomicU64::new(0));
    let set = |limit: Duration| limit_ms.store(limit.as_millis() as u64, Ordering::Relaxed);
    set(before);
    let (_stop, stopped) = Signal::new();
    let tasks = worker.tasks().clone();
    let server_limit_ms = Arc::clone(&limit_ms);
    worker.tasks().spawn(async move {
        let limits = move || ServerLimits {
            head_timeout: Duration::from_millis(server_limit_ms.load(Ordering::Relaxed)),
            ..ServerLimits::default()
        };
        let handle = |_req, _peer| async { Response::new(whole("done")) };
        let connections = Connections::default();
        let served = serve(listener, None, limits, tasks, connections, stopped, handle);
        served.await.expect("it accepts connections");
    });
    let stream = TcpStream::connect(server).expect("the server listens");
    assert!(ask(&stream).starts_with("HTTP/1.1 200 "));
    set(after);
    std::thread::sleep(IDLE_TIME);
    let is_answered = ask(&stream).starts_with("HTTP/1.1 200 ");
    worker.stop();
    is_answered
}

idle_cases! {
    an_idle_connection_is_closed: IDLE_TIME / 4, IDLE_TIME / 4 => false;
    /// Guards against closing a connection that its caller may use again since the limit was raised.
    a_raised_idle_limit_holds_for_open_connections: IDLE_TIME / 4, IDLE_TIME * 60 => true;
}

/// Guards against a panic that ends a connection without a status.
#[test]
fn a_request_whose_handling_panics_is_answered() {
    let mut worker = Worker::start("server").expect("a thread starts");
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let server = listener.local_addr().expect("the listener has an address");
    let (_stop, stopped) = Signal::new();
    let tasks = worker.tasks().clone();
    worker.tasks().spawn(async move {
        let handle = |_req, _peer| async { panic!("as the test wants") };
        let connections = Connections::default();
        let limits = ServerLimits::default;
        let served = serve(listener, None, limits, tasks, connections, stopped, handle);
        served.await.expect("it accepts connections");
    });
    let stream = TcpStream::connect(server).expect("the server listens");
    for _ in 0..2 {
        assert!(ask(&stream).starts_with("HTTP/1.1 500 "));
    }
    worker.stop();
}
