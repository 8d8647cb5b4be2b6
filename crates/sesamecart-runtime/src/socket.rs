//! TCP sockets with the options that all connections of a process use.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Async;

use crate::time::{sleep, with_timeout};

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

/// Opens a connection with `TCP_NODELAY`.
///
/// # Errors
///
/// Returns the error of the operating system, or `TimedOut` after `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<Async<TcpStream>> {
    let stream = with_timeout(limit, Async::<TcpStream>::connect(peer))
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

/// Accepts the next connection. After an error it waits and retries.
pub async fn accept(listener: &Async<TcpListener>) -> AcceptedConnection {
    loop {
        match listener.accept().await {
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

#[cfg(test)]
mod tests;
