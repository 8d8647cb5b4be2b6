//! TCP sockets with the options that all connections of a process use.

use std::collections::VecDeque;
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

/// An accepted connection, which isn't registered with the event loop.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The time since the machine booted after which it was opened, if that is known.
    opened_after: Option<Duration>,
}

impl AcceptedConnection {
    /// Returns an upper bound of the time since it was opened, or `None` if there is none.
    #[must_use]
    pub fn max_wait(&self) -> Option<Duration> {
        let opened_after = self.opened_after?;
        Some(uptime().saturating_sub(opened_after))
    }
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
///
/// It accepts all that wait, up to a maximum, before the first one is looked at. Otherwise connections that come as fast as
/// they are looked at would leave no moment at which none waits, and no bound.
#[derive(Debug)]
pub struct AcceptQueue {
    listener: Async<TcpListener>,
    accepted: VecDeque<AcceptedConnection>,
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
            accepted: VecDeque::new(),
            emptied_at: None,
        })
    }

    /// Accepts the next connection. After an error it waits and retries.
    ///
    /// Up to `max_batch` connections, each of which takes a file descriptor, are accepted before the first one is returned.
    pub async fn accept(&mut self, max_batch: usize) -> AcceptedConnection {
        loop {
            if let Some(next) = self.accepted.pop_front() {
                // Without this option, Nagle's algorithm delays small writes until the peer's acknowledgement.
                let is_set = next.stream.set_nodelay(true).is_ok();
                if is_set && next.stream.set_nonblocking(true).is_ok() {
                    return next;
                }
            } else if let Err(error) = self.accept_waiting(max_batch).await {
                log::warn!("runtime: accept failed: {error}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Accepts the connections that wait, once there is one.
    async fn accept_waiting(&mut self, max_batch: usize) -> io::Result<()> {
        while self.accepted.len() < max_batch {
            // Before the call, because a connection may come right after it.
            let now = uptime();
            match self.listener.get_ref().accept() {
                Ok((stream, peer)) => self.accepted.push_back(AcceptedConnection {
                    stream,
                    peer,
                    opened_after: self.emptied_at,
                }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.emptied_at = Some(now);
                    if !self.accepted.is_empty() {
                        return Ok(());
                    }
                    // A connection that is accepted next came after this moment.
                    self.listener.readable().await?;
                }
                Err(error) if self.accepted.is_empty() => return Err(error),
                // The ones that were accepted come first.
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }
}

/// Returns the time since the machine booted. The monotonic clock stops while a VM is suspended, and callers wait.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

#[cfg(test)]
mod tests;
