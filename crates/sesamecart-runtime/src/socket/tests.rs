//! Tests of the queue of new connections.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future;

use super::{AcceptQueue, connect, listen};
use crate::worker::Worker;

/// A dropped first packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against callers that wait for seconds because many connections are opened at once.
#[test]
fn many_connections_wait_to_be_accepted() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let connect = |_: u32| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let connections: Vec<_> = (0..400).map_while(|index| connect(index).ok()).collect();
    assert_eq!(connections.len(), 400);
}

/// Guards against a connection that is taken for a new one after it waited for a thread that was late.
#[test]
fn the_wait_of_a_connection_is_bounded_from_above() {
    const LATENESS: Duration = Duration::from_millis(150);
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let mut queue = AcceptQueue::new(listener).expect("it can be registered");
    let connect = || TcpStream::connect(address).expect("the listener listens");
    let _first = connect();
    let accepted = async_io::block_on(queue.accept(1));
    assert_eq!(accepted.max_wait(), None);
    let is_waiting = async_io::block_on(future::poll_once(queue.accept(1)));
    assert!(is_waiting.is_none());
    let _second = connect();
    std::thread::sleep(LATENESS);
    let accepted = async_io::block_on(queue.accept(1));
    assert!(accepted.max_wait() >= Some(LATENESS));
}

/// Guards against a bound that grows as long as connections come as fast as they are looked at.
#[test]
fn the_bound_stays_small_although_a_connection_always_waits() {
    const TIME: Duration = Duration::from_millis(500);
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let mut queue = AcceptQueue::new(listener).expect("it can be registered");
    let connect = || TcpStream::connect(address).expect("the listener listens");
    let is_waiting = async_io::block_on(future::poll_once(queue.accept(64)));
    assert!(is_waiting.is_none());
    let started_at = Instant::now();
    let mut opened = vec![connect(), connect()];
    let mut longest = Duration::ZERO;
    while started_at.elapsed() < TIME {
        let accepted = async_io::block_on(queue.accept(64));
        longest = longest.max(accepted.max_wait().expect("there is a bound"));
        opened.push(connect());
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(longest < TIME / 2, "{longest:?}");
}

/// The limit for a connection, and how long the thread is busy in each round.
const LIMIT: Duration = Duration::from_millis(80);
const ROUND: Duration = Duration::from_millis(120);

/// Guards against taking the lateness of this thread for a peer that doesn't accept connections.
#[test]
fn a_connection_that_is_open_in_time_is_found_so_by_a_late_thread() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let peer = listener.local_addr().expect("the listener has an address");
    let mut worker = Worker::start("late").expect("a thread starts");
    let is_late = Arc::new(AtomicBool::new(true));
    let stays_late = Arc::clone(&is_late);
    worker.tasks().spawn(async move {
        while stays_late.load(Ordering::Relaxed) {
            std::thread::sleep(ROUND);
            future::yield_now().await;
        }
    });
    // The events of all threads are waited for by one that has nothing else to do.
    let _idle = Worker::start("idle").expect("a thread starts");
    let (ended, ends) = async_channel::unbounded();
    for _ in 0..5 {
        let ended = ended.clone();
        worker.tasks().spawn(async move {
            let opened = connect(peer, LIMIT).await.map(drop);
            ended.send(opened).await.expect("the test waits");
        });
    }
    for _ in 0..5 {
        let opened = ends.recv_blocking().expect("it ends");
        opened.expect("the peer accepts connections");
    }
    is_late.store(false, Ordering::Relaxed);
    worker.stop();
}
