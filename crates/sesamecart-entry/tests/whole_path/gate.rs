//! The way from one node to the store, which can be shut or fall silent while others reach it.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Connections are forwarded.
const OPEN: u8 = 0;

/// No connection is taken.
const SHUT: u8 = 1;

/// What comes is swallowed, and no new connection is taken.
const SILENT: u8 = 2;

/// A forwarder on loopback.
pub(crate) struct Gate {
    pub(crate) address: SocketAddr,
    mode: Arc<AtomicU8>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    /// Forwards connections to `to` until it is shut.
    pub(crate) fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let gate = Self {
            address: listener.local_addr().expect("it is bound"),
            mode: Arc::new(AtomicU8::new(OPEN)),
            streams: Arc::default(),
        };
        let (mode, streams) = (Arc::clone(&gate.mode), Arc::clone(&gate.streams));
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                // A connection that is dropped at once is what a store that turns a node away does.
                if mode.load(Ordering::Acquire) != OPEN {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let from = from.try_clone().expect("a socket can be shared");
                    let into = into.try_clone().expect("a socket can be shared");
                    let mode = Arc::clone(&mode);
                    std::thread::spawn(move || forward(from, into, &mode));
                }
                let mut streams = streams.lock().unwrap_or_else(PoisonError::into_inner);
                streams.extend([near, far]);
            }
        });
        gate
    }

    /// Cuts all connections and takes no new ones.
    pub(crate) fn shut(&self) {
        self.mode.store(SHUT, Ordering::Release);
        self.cut();
    }

    /// Lets open connections hang, and takes no new ones.
    pub(crate) fn silence(&self) {
        self.mode.store(SILENT, Ordering::Release);
    }

    /// Takes connections again.
    pub(crate) fn reopen(&self) {
        self.cut();
        self.mode.store(OPEN, Ordering::Release);
    }

    fn cut(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // One that has ended by itself can't be shut again.
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }
}

fn forward(mut from: TcpStream, mut into: TcpStream, mode: &AtomicU8) {
    let mut buf = [0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if mode.load(Ordering::Acquire) == SILENT {
            continue;
        }
        if into.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ended = into.shutdown(Shutdown::Both);
}
