//! Connections that fall silent.

use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::Duration;

use sesamecart_runtime::{ByteCount, Worker, within};

use super::CALL_LIMIT;
use crate::feed::FollowRequest;
use crate::links::Links;

/// How long the caller waits, less than what a link allows each call.
const CALLER_LIMIT: Duration = Duration::from_millis(100);

/// Guards against calls into a connection that has fallen silent for good while new ones work.
#[test]
fn a_caller_that_gave_up_calls_on_a_new_connection() {
    assert!(CALLER_LIMIT < CALL_LIMIT);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let peer = listener.local_addr().expect("it is bound");
    let (accepted, connections) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            // Kept open and never read.
            if accepted.send(stream).is_err() {
                return;
            }
        }
    });
    let worker = Worker::start("caller").expect("a thread starts");
    let links = Links::new(worker.tasks().clone(), ByteCount::default());
    for _ in 0..2 {
        let mut feed = links.feed_of(peer);
        let answer = within(CALLER_LIMIT, feed.follow(FollowRequest::default()));
        let answer = async_io::block_on(answer);
        assert!(answer.is_err(), "nobody answers");
    }
    let limit = Duration::from_secs(10);
    let first = connections.recv_timeout(limit);
    let second = connections.recv_timeout(limit);
    assert!(first.is_ok());
    assert!(
        second.is_ok(),
        "the second call went into the silent connection"
    );
}
