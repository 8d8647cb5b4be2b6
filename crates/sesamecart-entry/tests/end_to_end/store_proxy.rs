//! A proxy between one node and the store. It can be closed or stalled while other nodes reach the store.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Connections are forwarded.
const OPEN: u8 = 0;

/// New connections are dropped.
const CLOSED: u8 = 1;

/// Received bytes are discarded, and new connections are dropped.
const STALLED: u8 = 2;

/// A TCP proxy on the loopback interface.
pub(crate) struct StoreProxy {
    pub(crate) address: SocketAddr,
    mode: Arc<AtomicU8>,
    refused: Arc<AtomicUsize>,
    connections: Arc<Mutex<Vec<ProxiedConnection>>>,
}

/// A connection of the node and the one to the store that it is forwarded to.
struct ProxiedConnection {
    client: TcpStream,
    upstream: TcpStream,
    /// What the node has sent last.
    last_sent: Arc<Mutex<Vec<u8>>>,
}

impl ProxiedConnection {
    fn close(&self) {
        for stream in [&self.client, &self.upstream] {
            // A connection that has already ended can't be shut down again.
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }

    fn last_sent(&self) -> String {
        let sent = self
            .last_sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&sent).into_owned()
    }
}

impl StoreProxy {
    /// Starts a proxy that forwards connections to `to`.
    pub(crate) fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("the listener is bound"),
            mode: Arc::new(AtomicU8::new(OPEN)),
            refused: Arc::default(),
            connections: Arc::default(),
        };
        let (mode, connections) = (Arc::clone(&proxy.mode), Arc::clone(&proxy.connections));
        let refused = Arc::clone(&proxy.refused);
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // A store that rejects a node also drops its connections at once.
                if mode.load(Ordering::Acquire) != OPEN {
                    refused.fetch_add(1, Ordering::AcqRel);
                    continue;
                }
                let Ok(upstream) = TcpStream::connect(to) else {
                    continue;
                };
                let last_sent = Arc::default();
                for (from, into, last) in [
                    (&client, &upstream, &last_sent),
                    (&upstream, &client, &Arc::default()),
                ] {
                    let from = from.try_clone().expect("a socket can be cloned");
                    let into = into.try_clone().expect("a socket can be cloned");
                    let (mode, last) = (Arc::clone(&mode), Arc::clone(last));
                    std::thread::spawn(move || forward(from, into, &mode, &last));
                }
                let mut connections = connections.lock().unwrap_or_else(PoisonError::into_inner);
                connections.push(ProxiedConnection {
                    client,
                    upstream,
                    last_sent,
                });
            }
        });
        proxy
    }

    /// Closes all connections and drops new ones.
    pub(crate) fn close(&self) {
        self.mode.store(CLOSED, Ordering::Release);
        self.close_connections();
    }

    /// Stalls open connections and drops new ones.
    pub(crate) fn stall(&self) {
        self.mode.store(STALLED, Ordering::Release);
    }

    /// Closes the stalled connections and forwards new ones again.
    pub(crate) fn reopen(&self) {
        self.close_connections();
        self.mode.store(OPEN, Ordering::Release);
    }

    /// Returns the number of connections that were dropped at once.
    pub(crate) fn refused(&self) -> usize {
        self.refused.load(Ordering::Acquire)
    }

    /// Closes the connections on which the node has last sent something that contains `text`, and returns their number.
    pub(crate) fn reset(&self, text: &str) -> usize {
        let mut connections = self.connections();
        let reset = connections.extract_if(.., |connection| connection.last_sent().contains(text));
        reset.map(|connection| connection.close()).count()
    }

    fn close_connections(&self) {
        for connection in self.connections().drain(..) {
            connection.close();
        }
    }

    fn connections(&self) -> MutexGuard<'_, Vec<ProxiedConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards bytes in one direction, and keeps those that were forwarded last.
fn forward(mut from: TcpStream, mut into: TcpStream, mode: &AtomicU8, last: &Mutex<Vec<u8>>) {
    let mut buf = [0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if mode.load(Ordering::Acquire) == STALLED {
            continue;
        }
        *last.lock().unwrap_or_else(PoisonError::into_inner) = buf[..len].to_vec();
        if into.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ended = into.shutdown(Shutdown::Both);
}
