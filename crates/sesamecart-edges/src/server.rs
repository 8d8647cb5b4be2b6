//! The HTTP server for callers and operators, with limits for its connections.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt as _, future};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use sesamecart_runtime::{AcceptQueue, AcceptedConnection, Signal, Tasks, sleep, with_timeout};
use smol_hyper::rt::FuturesIo;

use crate::body::{CallerBody, whole};
use crate::connections::{Connections, OpeningGuard, ShedCause};
use crate::idle_timer::IdleTimer;
use crate::refused_connection::ConnectionRefuser;
use crate::shedding::ConnectionShedder;
use crate::tls::TlsServer;

/// Limits for the connections of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
    /// The maximum number of new connections whose first request may still come: those for which there is room.
    pub max_opening: usize,
    /// The number of requests under way, beside which new ones are served.
    pub under_way: usize,
    /// Whether connections beyond a maximum, and those that the thread has no time for, are closed unread or refused,
    /// so that their callers try another server. Otherwise they wait. Not for servers with TLS, as the refusal is
    /// written in plain text.
    pub closes_excess: bool,
    /// The timeout for receiving a request head, counted from the end of the previous request.
    pub head_timeout: Duration,
    /// The maximum size of a request head.
    pub max_head_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            max_opening: usize::MAX,
            under_way: 0,
            closes_excess: false,
            head_timeout: Duration::from_secs(30),
            max_head_bytes: 64 * 1024,
        }
    }
}

/// How long the server waits at the connection limit before it accepts again.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// How long a new connection counts as one whose first request may still come. A caller that sends nothing must not take up
/// room for good.
const OPENING_TIME: Duration = Duration::from_secs(1);

/// The number of new connections that are accepted before it is decided which ones are served: at least this many, and more
/// as far as other connections leave file descriptors.
const MIN_BATCH: usize = 128;
const MAX_BATCH: usize = 1_024;

/// The timeout of a TLS handshake, without which a peer that sends nothing would hold a connection forever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether the thread of a server has time for new connections, measured while they are accepted.
#[derive(Clone, Debug, Default)]
struct Overload(Arc<Mutex<ConnectionShedder>>);

impl Overload {
    fn shedder(&self) -> MutexGuard<'_, ConnectionShedder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Measures how long the thread takes to get round its ready tasks, if that is due.
    fn probe(&self, tasks: &Tasks, connections: &Connections) {
        if !self.shedder().begin_probe(Instant::now()) {
            return;
        }
        let (overload, connections) = (self.clone(), connections.clone());
        tasks.spawn(async move {
            let resumed_at = Instant::now();
            future::yield_now().await;
            let now = Instant::now();
            connections.record_round(now.duration_since(resumed_at));
            overload.shedder().end_probe(resumed_at, now);
        });
    }
}

/// Accepts connections and passes their requests to `handle` until `shutdown` is signalled.
///
/// Open connections then close after their current request, so that a graceful shutdown interrupts no
/// request. `limits` is called for each connection, and when one has been idle for long, so that a new
/// configuration takes effect without a restart.
///
/// # Errors
///
/// Returns the I/O error if the listener can't be registered with the event loop.
pub async fn serve<H, F>(
    listener: TcpListener,
    tls: Option<TlsServer>,
    limits: impl Fn() -> ServerLimits + Clone + Send + Sync + 'static,
    tasks: Tasks,
    connections: Connections,
    shutdown: Signal,
    handle: H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let mut queue = AcceptQueue::new(listener)?;
    let overload = Overload::default();
    let refuser = ConnectionRefuser::new(connections.clone(), tasks.clone());
    loop {
        let is_full = |limits: &ServerLimits| connections.open() >= limits.max_connections;
        let limits_before = limits();
        if is_full(&limits_before) && !limits_before.closes_excess {
            future::or(sleep(ACCEPT_BACKOFF), shutdown.wait()).await;
        }
        let max_batch = max_batch(&limits_before, connections.open());
        let accepted = future::or(async { Some(queue.accept(max_batch).await) }, async {
            shutdown.wait().await;
            None
        })
        .await;
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let accepting = limits();
        if accepting.closes_excess {
            overload.probe(&tasks, &connections);
            if let Some(cause) = shed_cause(&accepting, &connections, &overload) {
                connections.record_cause(cause);
                refuser.refuse(accepted);
                continue;
            }
        }
        let guard = connections.register();
        let opening = Opening::new(connections.register_opening());
        let shutdown = shutdown.clone();
        let handle = handle.clone();
        let tls = tls.clone();
        let limits = limits.clone();
        let overload = overload.clone();
        tasks.spawn(async move {
            if accepting.closes_excess {
                overload.shedder().record_begun();
            }
            let first = opening.clone();
            let handle = move |req, peer| {
                first.end();
                handle(req, peer)
            };
            let served = serve_connection(accepted, tls, limits, shutdown, handle);
            future::or(served, opening.expire()).await;
            drop(guard);
        });
    }
}

/// Returns how many new connections may be accepted before it is decided which ones are served.
fn max_batch(limits: &ServerLimits, open: usize) -> usize {
    if limits.closes_excess {
        let free = limits.max_connections.saturating_sub(open);
        free.clamp(MIN_BATCH, MAX_BATCH)
    } else {
        1
    }
}

/// Returns why a new connection isn't served, if it isn't.
fn shed_cause(
    limits: &ServerLimits,
    connections: &Connections,
    overload: &Overload,
) -> Option<ShedCause> {
    let opening = connections.opening();
    if connections.open() >= limits.max_connections {
        Some(ShedCause::Connections)
    } else if opening >= limits.max_opening {
        Some(ShedCause::Requests)
    } else if !overload
        .shedder()
        .admit(Instant::now(), limits.under_way + opening)
    {
        Some(ShedCause::Overload)
    } else {
        None
    }
}

/// A new connection, until its first request comes.
#[derive(Clone, Debug)]
struct Opening(Arc<Mutex<Option<OpeningGuard>>>);

impl Opening {
    fn new(guard: OpeningGuard) -> Self {
        Self(Arc::new(Mutex::new(Some(guard))))
    }

    fn end(&self) {
        let mut guard = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(guard.take());
    }

    /// Ends it if no request comes in time, and never completes.
    async fn expire(&self) {
        sleep(OPENING_TIME).await;
        self.end();
        future::pending().await
    }
}

/// Serves a connection, after a TLS handshake if `tls` is set.
async fn serve_connection<H, F>(
    accepted: AcceptedConnection,
    tls: Option<TlsServer>,
    limits: impl Fn() -> ServerLimits + Send + Sync + 'static,
    shutdown: Signal,
    handle: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let peer = accepted.peer;
    let stream = match Async::new(accepted.stream) {
        Ok(stream) => stream,
        Err(error) => return log::warn!("server: {peer}: {error}."),
    };
    let Some(tls) = tls else {
        return serve_http(stream, peer, limits, shutdown, handle).await;
    };
    match with_timeout(HANDSHAKE_TIMEOUT, tls.acceptor().accept(stream)).await {
        Ok(Ok(stream)) => serve_http(stream, peer, limits, shutdown, handle).await,
        Ok(Err(error)) => log::debug!("server: TLS handshake with {peer} failed: {error}."),
        Err(_) => log::debug!("server: TLS handshake with {peer} timed out."),
    }
}

async fn serve_http<S, H, F>(
    stream: S,
    peer: SocketAddr,
    limits: impl Fn() -> ServerLimits + Send + Sync + 'static,
    shutdown: Signal,
    handle: H,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<CallerBody>> + Send + 'static,
{
    let service = service_fn(move |req| {
        // Boxed, so that a connection has the memory for it only while a request is handled.
        let response = AssertUnwindSafe(Box::pin(handle(req, peer))).catch_unwind();
        async move { Ok::<_, Infallible>(response.await.unwrap_or_else(|_| after_panic())) }
    });
    let accepting = limits();
    let connection = Builder::new()
        .timer(IdleTimer::new(move || limits().head_timeout))
        .header_read_timeout(accepting.head_timeout)
        .max_buf_size(accepting.max_head_bytes)
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

/// Creates the response to a request whose handling has panicked. It may have run.
fn after_panic() -> Response<CallerBody> {
    log::error!("server: the handling of a request panicked.");
    let mut response = Response::new(whole("the request failed in the node\n"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

#[cfg(test)]
mod tests;
