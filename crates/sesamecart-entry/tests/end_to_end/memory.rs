//! Tests of nodes whose VM has little memory.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use sesamecart_entry::Entry;

use crate::setup::Deployment;

/// A memory of which 0.33 MB are for bodies.
const MEMORY_MB: u64 = 1;

const LONG_BODY: usize = 900_000;

const SHORT_BODY: usize = 1024;

/// How long a caller waits for the next bytes. It ends a test that hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a booking with a body of `len` bytes to a node. Returns the status.
fn book(node: &Entry, id: &str, len: usize) -> u16 {
    let mut stream = TcpStream::connect(node.caller_address()).expect("the node listens");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("the timeout is set");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\ncredential: key-1\r\n\
        deadline-ms: 5000\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream
        .write_all(&vec![b'x'; len])
        .expect("the body is sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the node responds");
    let status = response.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .expect("the response has a status")
}

/// Guards against uploads that take more memory than the VM has, and against an answer that leaves it open whether
/// such a request has run.
#[test]
fn a_body_that_the_node_has_no_memory_for_is_refused() {
    let deployment = Deployment::start_with_plain_endpoints(1);
    let small = deployment.add_node_with_memory("small", MEMORY_MB);
    assert_eq!(book(&small, "long", LONG_BODY), 503);
    assert_eq!(deployment.runs("long"), 0);
    assert_eq!(book(&small, "short", SHORT_BODY), 200);
    assert_eq!(book(&deployment.node, "long-elsewhere", LONG_BODY), 200);
    small.kill();
    deployment.shut_down();
}
