//! Ends new connections that a server has no time for.
//!
//! A connection that waited in the system's queue may hold a whole request. Its caller gets an answer, which says that
//! the request hasn't run.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncReadExt as _;
use sesamecart_runtime::{AcceptedConnection, Tasks, with_timeout};

use crate::connections::Connections;

/// The longest wait to be accepted after which a connection is closed unread whether it holds a request or not.
///
/// A process whose processor share is dealt out in periods of 100 ms may be stopped for nearly one period. The rest is for
/// its own lateness.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(150);

/// The maximum number of bytes that are read of a request before it is answered, and again after that.
const MAX_READ_BYTES: usize = 256 * 1024;

/// The size of the buffer into which a request is read.
const BUFFER_BYTES: usize = 16 * 1024;

/// How long the rest of a request is read after it was answered. Closing a connection that isn't read to its end
/// resets it, and the caller may lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// The maximum number of connections that linger. Each needs a file descriptor.
const MAX_LINGERING: usize = 64;

/// The answer to a request that isn't served. Callers may repeat it soon, as other servers have room.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\n\
    retry-after: 0.1\r\n\
    content-type: text/plain\r\n\
    content-length: 20\r\n\
    \r\n\
    the node is too busy";

/// Ends connections that aren't served.
#[derive(Debug)]
pub(crate) struct ConnectionRefuser {
    connections: Connections,
    lingering: Connections,
    tasks: Tasks,
}

/// What is known of a request after reading all that is there.
enum Received {
    /// The caller has sent nothing so far.
    Nothing,
    /// The caller has sent something, and may send more.
    Part,
    /// The caller sends nothing more.
    End,
}

impl ConnectionRefuser {
    pub(crate) fn new(connections: Connections, tasks: Tasks) -> Self {
        Self {
            connections,
            lingering: Connections::default(),
            tasks,
        }
    }

    /// Ends a connection that has waited for `max_wait` at most, if that is known. If it may have waited for long, the
    /// request that it holds is answered with 503.
    pub(crate) fn refuse(&self, accepted: AcceptedConnection) {
        let max_wait = accepted.max_wait();
        let is_new = max_wait.is_some_and(|wait| wait <= MAX_UNREAD_WAIT);
        let received = if is_new {
            Received::Nothing
        } else {
            read_available(&accepted.stream)
        };
        match received {
            Received::Nothing => self.connections.record_closed_unread(max_wait),
            Received::End => {
                self.connections.record_refused(max_wait);
                answer(&accepted.stream);
            }
            Received::Part => {
                self.connections.record_refused(max_wait);
                if answer(&accepted.stream) {
                    self.linger(accepted.stream);
                }
            }
        }
    }

    /// Reads what the caller still sends, unless many connections are read in this way.
    fn linger(&self, stream: TcpStream) {
        if self.lingering.open() >= MAX_LINGERING {
            return;
        }
        let Ok(mut stream) = Async::new(stream) else {
            return;
        };
        let guard = self.lingering.register();
        self.tasks.spawn(async move {
            // A caller that sends for longer loses its connection.
            let _elapsed = with_timeout(LINGER_TIME, read_rest(&mut stream)).await;
            drop(guard);
        });
    }
}

/// Reads what the caller has sent so far, without waiting for more.
fn read_available(mut stream: &TcpStream) -> Received {
    let mut buf = [0; BUFFER_BYTES];
    let mut len = 0;
    while len < MAX_READ_BYTES {
        match stream.read(&mut buf) {
            Ok(0) => return Received::End,
            Ok(read) => len += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() != ErrorKind::WouldBlock => return Received::End,
            Err(_) if len == 0 => return Received::Nothing,
            Err(_) => break,
        }
    }
    Received::Part
}

/// Writes the answer and ends the sending side. Returns whether that succeeded.
fn answer(mut stream: &TcpStream) -> bool {
    // The answer fits into the system's buffer of a new connection, so the write doesn't block.
    let is_written = stream.write_all(ANSWER).is_ok();
    is_written && stream.shutdown(Shutdown::Write).is_ok()
}

/// Reads until the caller closes the connection, up to a maximum size.
async fn read_rest(stream: &mut Async<TcpStream>) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut len = 0;
    while len < MAX_READ_BYTES {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(read) => len += read,
        }
    }
}

#[cfg(test)]
mod tests;
