//! Tests of connections that stop responding.

use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::Duration;

use sesamecart_runtime::{ByteCounters, Worker, with_timeout};

use super::CALL_TIMEOUT;
use crate::feed::FollowRequest;
use crate::links::Links;

/// How long the caller waits; shorter than the timeout of a call.
const CALLER_TIMEOUT: Duration = Duration::from_millis(100);

/// Guards against reusing a connection that no longer responds although new connections would work.
#[test]
fn call_after_a_timeout_opens_a_new_connection() {
    assert!(CALLER_TIMEOUT < CALL_TIMEOUT);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let peer = listener.local_addr().expect("it is bound");
    let (accepted, connections) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            // The receiver keeps the stream open, and nothing reads it.
            if accepted.send(stream).is_err() {
                return;
            }
        }
    });
    let worker = Worker::start("caller").expect("a thread starts");
    let links = Links::new(worker.tasks().clone(), ByteCounters::default());
    for _ in 0..2 {
        let mut feed = links.feed_client(peer);
        let response = with_timeout(CALLER_TIMEOUT, feed.follow(FollowRequest::default()));
        let response = async_io::block_on(response);
        assert!(response.is_err(), "the call times out");
    }
    let timeout = Duration::from_secs(10);
    let first = connections.recv_timeout(timeout);
    let second = connections.recv_timeout(timeout);
    assert!(first.is_ok());
    assert!(
        second.is_ok(),
        "the second call reused the connection that doesn't respond"
    );
}
