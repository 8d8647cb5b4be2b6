//! What callers get when more is asked than an endpoint bears.

use std::io::Write as _;
use std::net::TcpStream;
use std::thread;

use super::setup::{Deployment, KEY};
use super::{exchange, post};

/// The most that an endpoint with a cold limit of four may run a few seconds after its first work.
const WARMING: u32 = 8;

fn completion(deadline_ms: u32) -> String {
    let body = r#"{"model":"assistant","max_tokens":8,"messages":[{"role":"user","content":"a"}]}"#;
    let request = post("/v1/chat/completions", KEY, body);
    let header = format!("x-sesamecart-deadline-ms: {deadline_ms}\r\nhost: node\r\n");
    request.replacen("host: node\r\n", &header, 1)
}

/// Thirty callers come at once to an endpoint that has just started and bears four requests. All get
/// their whole answer, some a little later, and the endpoint never has to bear them together.
#[test]
fn a_burst_is_served_within_a_cold_endpoints_allowance() {
    let deployment = Deployment::start();
    thread::scope(|scope| {
        let ask = || exchange(&deployment, completion(60_000).as_bytes());
        let callers: Vec<_> = (0..30).map(|_| scope.spawn(ask)).collect();
        for caller in callers {
            let answer = caller.join().expect("the caller has an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
    let counts = deployment.engine.counts();
    assert_eq!(counts.answered, 30);
    assert!(counts.most_running <= WARMING, "{counts:?}");
}

/// A caller gives its request less time than any endpoint needs. It is told at once that nothing was
/// run and when to come back, and the endpoint doesn't see the request.
#[test]
fn a_request_that_can_not_be_in_time_is_refused_at_once() {
    let deployment = Deployment::start();
    let answer = exchange(&deployment, completion(1).as_bytes());
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(deployment.engine.counts().begun, 0);
}

/// Callers leave while they wait for a turn. If their turns were lost with them, the endpoint would
/// stand idle and later callers would be refused.
#[test]
fn callers_who_leave_while_they_wait_take_no_turn_with_them() {
    let deployment = Deployment::start();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(deployment.node.callers()).expect("connect");
        stream
            .write_all(completion(60_000).as_bytes())
            .expect("send");
    }
    for _ in 0..8 {
        let answer = exchange(&deployment, completion(60_000).as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}
