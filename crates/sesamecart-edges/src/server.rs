//! The HTTP server of callers and operators, with bounds on what one connection may hold.

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
use sesamecart_runtime::{Accepted, Signal, Tasks, accept, sleep, within};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::CallerBody;
use crate::tls::TlsServer;

/// Bounds on the connections of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The most connections at once.
    pub max_connections: usize,
    /// How long a request's head may take to arrive, counted from the end of the one before.
    pub head_limit: Duration,
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            head_limit: Duration::from_secs(30),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// How long the server rests when it has all the connections it may have.
const FULL_REST: Duration = Duration::from_millis(5);

/// The connections that a server has open.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<AtomicUsize>);

impl Connections {
    /// Returns how many are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn enter(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenConnection(Arc::clone(&self.0))
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// How long a TLS handshake may take; a peer that stays silent would hold a connection for nothing.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(10);

/// Takes connections and hands their requests to `handle` until `leave` is given.
///
/// Connections that are open then end after the request they are at, so that a graceful shutdown
/// cuts nothing off. `limits` is asked for each connection anew, so that they may follow a
/// configuration.
///
/// # Errors
///
/// Returns the system's error when the listener can't be watched.
pub async fn serve<H, F>(
    listener: TcpListener,
    tls: Option<TlsServer>,
    limits: impl Fn() -> ServerLimits,
    tasks: Tasks,
    connections: Connections,
    leave: Signal,
    handle: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let listener = Async::new(listener)?;
    loop {
        if connections.open() >= limits().max_connections {
            future::or(sleep(FULL_REST), leave.wait()).await;
        }
        let accepted = future::or(async { Some(accept(&listener).await) }, async {
            leave.wait().await;
            None
        })
        .await;
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let open = connections.enter();
        let leave = leave.clone();
        let handle = handle.clone();
        let tls = tls.clone();
        let limits = limits();
        tasks.spawn(async move {
            take_connection(accepted, tls, limits, leave, handle).await;
            drop(open);
        });
    }
}

/// Runs a connection, after a handshake where the side takes TLS.
async fn take_connection<H, F>(
    accepted: Accepted,
    tls: Option<TlsServer>,
    limits: ServerLimits,
    leave: Signal,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let peer = accepted.peer;
    let Some(tls) = tls else {
        return run_connection(accepted.stream, peer, limits, leave, handle).await;
    };
    match within(HANDSHAKE_LIMIT, tls.acceptor().accept(accepted.stream)).await {
        Ok(Ok(stream)) => run_connection(stream, peer, limits, leave, handle).await,
        Ok(Err(error)) => log::debug!("server: TLS with {peer}: {error}."),
        Err(_) => log::debug!("server: TLS with {peer}: the handshake took too long."),
    }
}

async fn run_connection<S, H, F>(
    stream: S,
    peer: SocketAddr,
    limits: ServerLimits,
    leave: Signal,
    handle: H,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let service = service_fn(move |req| {
        let answer = handle(req, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_limit)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = future::or(async { Some(connection.as_mut().await) }, async {
        leave.wait().await;
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
