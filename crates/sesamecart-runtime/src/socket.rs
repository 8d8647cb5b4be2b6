//! TCP sockets with the options that every link and edge uses.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Async;

use crate::time::{sleep, within};

/// How long an acceptor rests after the system refused it a socket.
///
/// When file descriptors run out, `accept` fails at once again and again; without the rest the
/// thread would spin and starve the requests whose end frees descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(20);

/// A connection that was taken.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub stream: Async<TcpStream>,
    /// The other side's address.
    pub peer: SocketAddr,
}

/// Opens a connection without delay of small writes.
///
/// # Errors
///
/// Returns the system's error, or `TimedOut` after `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<Async<TcpStream>> {
    let stream = within(limit, Async::<TcpStream>::connect(peer))
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Listens at an address.
///
/// # Errors
///
/// Returns the system's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Takes the next connection, resting after errors instead of ending.
pub async fn accept(listener: &Async<TcpListener>) -> Accepted {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Without this option small writes wait for the other side's acknowledgement.
                if stream.get_ref().set_nodelay(true).is_ok() {
                    return Accepted { stream, peer };
                }
            }
            Err(error) => {
                log::warn!("runtime: accept failed: {error}.");
                sleep(ACCEPT_REST).await;
            }
        }
    }
}
