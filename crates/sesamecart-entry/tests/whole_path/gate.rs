//! The way from one node to the store, which can be shut while others reach it.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// A forwarder on loopback.
pub(crate) struct Gate {
    pub(crate) address: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    /// Forwards connections to `to` until it is shut.
    pub(crate) fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let gate = Self {
            address: listener.local_addr().expect("it is bound"),
            open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        let (open, streams) = (Arc::clone(&gate.open), Arc::clone(&gate.streams));
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                // A connection that is dropped at once is what a store that turns a node away does.
                if !open.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let from = from.try_clone().expect("a socket can be shared");
                    let into = into.try_clone().expect("a socket can be shared");
                    std::thread::spawn(move || forward(from, into));
                }
                let mut streams = streams.lock().unwrap_or_else(PoisonError::into_inner);
                streams.extend([near, far]);
            }
        });
        gate
    }

    /// Cuts all connections and takes no new ones.
    pub(crate) fn shut(&self) {
        self.open.store(false, Ordering::Release);
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.drain(..) {
            // One that has ended by itself can't be shut again.
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }
}

fn forward(mut from: TcpStream, mut into: TcpStream) {
    let mut buf = [0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if into.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ended = into.shutdown(Shutdown::Both);
}
