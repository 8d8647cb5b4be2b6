//! How connections to peers are opened.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::Boxed;
use futures_lite::{AsyncRead, AsyncWrite};
use sesamecart_runtime::connect;

/// A connection to a peer.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// Opens connections to peers, so that tests can make links fail for one process only.
pub trait Dialer: Debug + Send + Sync {
    /// Opens a connection to `peer` within `limit`.
    fn dial(&self, peer: SocketAddr, limit: Duration) -> Boxed<io::Result<Box<dyn Connection>>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl Dialer for TcpDialer {
    fn dial(&self, peer: SocketAddr, limit: Duration) -> Boxed<io::Result<Box<dyn Connection>>> {
        Box::pin(async move {
            let stream = connect(peer, limit).await?;
            Ok(Box::new(stream) as Box<dyn Connection>)
        })
    }
}
