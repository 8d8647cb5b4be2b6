//! Tests of the queue of new connections.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::listen;

/// A dropped first packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against callers that wait for seconds because many connections are opened at once.
#[test]
fn many_connections_wait_to_be_accepted() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let connections: Vec<_> = (0..400).map_while(|index| connect(index).ok()).collect();
    assert_eq!(connections.len(), 400);
}
