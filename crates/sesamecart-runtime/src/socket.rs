//! TCP sockets with the options that all connections of a process use.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Async;
use rustix::time::{ClockId, clock_gettime};

use crate::time::{sleep, with_settled_timeout};

/// The delay before `accept` is retried after an error.
///
/// While the process is out of file descriptors, `accept` fails immediately each time. Without the delay the
/// thread would spin and starve the requests that free descriptors when they end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The number of connections that wait until they are accepted. Beyond it the system drops their first packet, which
/// is sent again after a second only.
const BACKLOG: i32 = 4_096;

/// An accepted connection.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub stream: Async<TcpStream>,
    /// The address of the peer.
    pub peer: SocketAddr,
}

/// Opens a connection with `TCP_NODELAY`. It counts as open in time although its thread is late to see it.
///
/// # Errors
///
/// Returns the error of the operating system, or `TimedOut` after `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<Async<TcpStream>> {
    let stream = with_settled_timeout(limit, Async::<TcpStream>::connect(peer))
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Binds a nonblocking listener to an address.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A listener that knows how long its new connections may have waited to be accepted.
#[derive(Debug)]
pub struct AcceptQueue {
    listener: Async<TcpListener>,
    /// When no connection waited last, as time since the machine booted. `None` if that isn't known.
    emptied_at: Option<Duration>,
}

impl AcceptQueue {
    /// Registers a listener with the event loop.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self {
            listener: Async::new(listener)?,
            emptied_at: None,
        })
    }

    /// Accepts the next connection. After an error it waits and retries.
    pub async fn accept(&mut self) -> AcceptedConnection {
        loop {
            match self.try_accept().await {
                Ok((stream, peer)) => {
                    // Without this option, Nagle's algorithm delays small writes until the peer's acknowledgement.
                    if stream.get_ref().set_nodelay(true).is_ok() {
                        return AcceptedConnection { stream, peer };
                    }
                }
                Err(error) => {
                    log::warn!("runtime: accept failed: {error}.");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn try_accept(&mut self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        let emptied_at = &mut self.emptied_at;
        let accepted = self.listener.read_with(|listener| {
            // Before the call, because a connection may come right after it.
            let now = uptime();
            let accepted = listener.accept();
            if is_empty(&accepted) {
                *emptied_at = Some(now);
            }
            accepted
        });
        let (stream, peer) = accepted.await?;
        Ok((Async::new(stream)?, peer))
    }

    /// Returns an upper bound of the time for which the connection that was accepted last had waited, or `None` if
    /// there is none.
    #[must_use]
    pub fn max_wait(&self) -> Option<Duration> {
        let emptied_at = self.emptied_at?;
        Some(uptime().saturating_sub(emptied_at))
    }
}

/// Returns the time since the machine booted. The monotonic clock stops while a VM is suspended, and callers wait.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

fn is_empty<T>(accepted: &io::Result<T>) -> bool {
    let error = accepted.as_ref().err();
    error.is_some_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
