//! The HTTP server for callers and operators, with limits for its connections.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, future};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use sesamecart_runtime::{AcceptedConnection, Signal, Tasks, accept, sleep, with_timeout};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::CallerBody;
use crate::tls::TlsServer;

/// Limits for the connections of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
    /// The timeout for receiving a request head, counted from the end of the previous request.
    pub head_timeout: Duration,
    /// The maximum size of a request head.
    pub max_head_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            head_timeout: Duration::from_secs(30),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// How long the server waits at the connection limit before it accepts again.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// A shared counter of a server's open connections.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<AtomicUsize>);

impl Connections {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts one more connection until the guard is dropped.
    fn register(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(Arc::clone(&self.0))
    }
}

struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The timeout of a TLS handshake, without which a peer that sends nothing would hold a connection forever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections and passes their requests to `handle` until `shutdown` is signalled.
///
/// Open connections then close after their current request, so that a graceful shutdown interrupts no
/// request. `limits` is called for each connection, so that a new configuration takes effect without a
/// restart.
///
/// # Errors
///
/// Returns the I/O error if the listener can't be registered with the event loop.
pub async fn serve<H, F>(
    listener: TcpListener,
    tls: Option<TlsServer>,
    limits: impl Fn() -> ServerLimits,
    tasks: Tasks,
    connections: Connections,
    shutdown: Signal,
    handle: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let listener = Async::new(listener)?;
    loop {
        if connections.open() >= limits().max_connections {
            future::or(sleep(ACCEPT_BACKOFF), shutdown.wait()).await;
        }
        let accepted = future::or(async { Some(accept(&listener).await) }, async {
            shutdown.wait().await;
            None
        })
        .await;
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let guard = connections.register();
        let shutdown = shutdown.clone();
        let handle = handle.clone();
        let tls = tls.clone();
        let limits = limits();
        tasks.spawn(async move {
            serve_connection(accepted, tls, limits, shutdown, handle).await;
            drop(guard);
        });
    }
}

/// Serves a connection, after a TLS handshake if `tls` is set.
async fn serve_connection<H, F>(
    accepted: AcceptedConnection,
    tls: Option<TlsServer>,
    limits: ServerLimits,
    shutdown: Signal,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let peer = accepted.peer;
    let Some(tls) = tls else {
        return serve_http(accepted.stream, peer, limits, shutdown, handle).await;
    };
    match with_timeout(HANDSHAKE_TIMEOUT, tls.acceptor().accept(accepted.stream)).await {
        Ok(Ok(stream)) => serve_http(stream, peer, limits, shutdown, handle).await,
        Ok(Err(error)) => log::debug!("server: TLS handshake with {peer} failed: {error}."),
        Err(_) => log::debug!("server: TLS handshake with {peer} timed out."),
    }
}

async fn serve_http<S, H, F>(
    stream: S,
    peer: SocketAddr,
    limits: ServerLimits,
    shutdown: Signal,
    handle: H,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let service = service_fn(move |req| {
        let response = handle(req, peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = future::or(async { Some(connection.as_mut().await) }, async {
        shutdown.wait().await;
        None
    })
    .await;
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = result {
        log::debug!("server: connection from {peer} ended: {error}.");
    }
}
