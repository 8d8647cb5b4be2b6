//! The HTTP client for endpoints and the platform, which reports whether a request may have reached the peer.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use futures_lite::future;
use http::header::HOST;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Builder, SendRequest};
use indexmap::IndexMap;
use sesamecart_runtime::{Elapsed, SharedExecutor, Tasks, lateness, with_timeout};
use sesamecart_vocabulary::Bytes as ByteSize;
use smol_hyper::rt::FuturesIo;

use crate::body::{BoxError, read_body};
use crate::bounded_connection::{BoundedConnection, UnparsedBytes};
use crate::dialer::{Dialer, TcpDialer};

/// The maximum number of idle connections that are kept for one peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// How long a connection may be idle and still be reused.
///
/// Servers close idle connections. If a request is written to a connection while the server closes it, the
/// client can't know whether the server read the request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum size of a response head, and of each read. Up to three reads of a body are kept for each connection: the
/// HTTP library reads one ahead and passes one on while another one is used.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Whether any part of a request may have reached the peer.
///
/// A response may say that a request was not run only after [`SendStatus::Nothing`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SendStatus {
    /// No byte of the request was written to a socket.
    #[display("nothing was sent")]
    Nothing,
    /// The peer may have read the request.
    #[display("it may have been read")]
    PossiblySent,
}

/// The step of an exchange at which it failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Step {
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Sending the request or waiting for the response head.
    #[display("request")]
    Request,
}

/// The error of a failed exchange.
#[derive(Debug, Display, Error)]
#[display("{peer}: {step}: {source} ({sent})")]
pub struct ClientError {
    /// The step at which it failed.
    pub step: Step,
    /// The peer.
    pub peer: SocketAddr,
    /// Whether any part of the request may have reached the peer.
    pub sent: SendStatus,
    #[error(not(source))]
    source: BoxError,
}

/// Whether a request may be sent on a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Use an idle connection if there is one.
    Allowed,
    /// Open a new connection.
    ///
    /// A peer may close an idle connection while a request is written to it, which leaves the request's
    /// outcome unknown. Requests that must not be repeated are therefore never sent on a pooled connection.
    Never,
}

impl ClientError {
    /// Returns whether the peer refused the connection.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let cause = self.source.downcast_ref::<io::Error>();
        cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the connection to the peer failed, rather than the peer taking too long.
    #[must_use]
    pub fn is_connection_failure(&self) -> bool {
        !self.source.is::<Elapsed>()
    }
}

/// An open connection, on which one request is sent at a time. Dropping it closes the connection.
struct Sender {
    /// Ends the task of the connection. By itself, that would first write the rest of the request, which the peer may
    /// never read.
    closer: async_channel::Sender<Option<Instant>>,
    requests: SendRequest<Full<Bytes>>,
    unparsed: UnparsedBytes,
}

/// The body of a response. Reading it shows that the peer makes progress.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Incoming,
    unparsed: UnparsedBytes,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        if frame.is_ready() {
            self.unparsed.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConnection {
    #[debug(skip)]
    sender: Sender,
    since: Instant,
}

/// A connection to one peer, with its generation.
struct Connection {
    sender: Sender,
    generation: u64,
}

/// The idle connections to one peer.
#[derive(Debug, Default)]
struct PeerPool {
    idle: Vec<IdleConnection>,
    /// How often all connections of the peer were retired. Those of earlier generations aren't used again.
    generation: u64,
}

type Pool = Arc<Mutex<IndexMap<SocketAddr, PeerPool>>>;

/// An HTTP/1.1 client with a pool of connections for each peer.
#[derive(Clone, Debug)]
pub struct HttpClient {
    tasks: Tasks,
    idle: Pool,
    connect_timeout: Duration,
    dialer: Arc<dyn Dialer>,
    /// Whether timeouts are longer while the thread is late.
    is_patient: bool,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response<ResponseBody>,
    /// The connection, which can be returned to the pool once the body has been read to its end.
    pub lease: PooledConnection,
    /// Whether the connection was opened for this exchange.
    pub is_new_connection: bool,
}

/// Exclusive use of a connection while a response body is read.
///
/// Dropping it without [`PooledConnection::return_to_pool`] closes the connection, which makes an engine cancel
/// the request.
#[derive(Debug)]
pub struct PooledConnection {
    #[debug(skip)]
    sender: Sender,
    origin: Box<Origin>,
}

/// The pool that a connection belongs to.
#[derive(Debug)]
struct Origin {
    peer: SocketAddr,
    generation: u64,
    pool: Pool,
}

impl PooledConnection {
    /// Closes the connection at `deadline`, unless it has been returned to the pool by then.
    ///
    /// A body that is passed on is read only while its receiver takes more, so its reader may miss a deadline.
    pub fn close_at(&self, deadline: Instant) {
        self.set_deadline(Some(deadline));
    }

    fn set_deadline(&self, deadline: Option<Instant>) {
        // Fails only if the connection is closed already.
        let _sent = self.sender.closer.try_send(deadline);
    }

    /// Returns the connection to the pool. Call it only after the body was read to its end without an error.
    pub fn return_to_pool(self) {
        self.return_to_pool_up_to(MAX_IDLE_PER_PEER);
    }

    /// Returns the connection to the pool unless the pool already has `max_idle` connections to this peer.
    ///
    /// A peer that limits the total number of connections of all its clients resets those beyond the limit,
    /// with the requests on them, so a client must not keep an unlimited number of idle connections.
    pub fn return_to_pool_up_to(self, max_idle: usize) {
        self.set_deadline(None);
        let origin = *self.origin;
        let mut pools = origin.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(origin.peer).or_default();
        let is_current = origin.generation == pool.generation;
        if is_current && pool.idle.len() < max_idle.min(MAX_IDLE_PER_PEER) {
            pool.idle.push(IdleConnection {
                sender: self.sender,
                since: Instant::now(),
            });
        }
    }
}

impl HttpClient {
    /// Creates a client whose connections run on `tasks`.
    #[must_use]
    pub fn new(tasks: Tasks, connect_timeout: Duration) -> Self {
        Self::with_dialer(tasks, connect_timeout, Arc::new(TcpDialer))
    }

    /// Creates a client that opens its connections with `dialer`.
    #[must_use]
    pub fn with_dialer(tasks: Tasks, connect_timeout: Duration, dialer: Arc<dyn Dialer>) -> Self {
        Self {
            tasks,
            idle: Arc::default(),
            connect_timeout,
            dialer,
            is_patient: false,
        }
    }

    /// Returns the client with timeouts that are longer while its thread is late. For exchanges that nobody waits for
    /// beside the thread itself.
    #[must_use]
    pub fn patient(self) -> Self {
        Self {
            is_patient: true,
            ..self
        }
    }

    fn patience(&self) -> Duration {
        match self.is_patient {
            true => lateness().patience(),
            false => Duration::ZERO,
        }
    }

    /// Returns the executor on which its connections run.
    #[must_use]
    pub fn executor(&self) -> &SharedExecutor {
        self.tasks.executor()
    }

    /// Closes the idle connections to `peer`, and those in use now once their exchanges have ended.
    pub fn retire_connections(&self, peer: SocketAddr) {
        let mut pools = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(peer).or_default();
        pool.generation += 1;
        pool.idle.clear();
    }

    /// Opens a connection to `peer` and closes it again, to check whether the peer accepts connections.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt; `TimedOut` after `limit`.
    pub async fn check_connection(&self, peer: SocketAddr, limit: Duration) -> io::Result<()> {
        self.dialer.dial(peer, limit).await.map(drop)
    }

    /// Sends a request and waits up to `timeout` for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error whose `sent` field says whether the peer may have read the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Exchange, ClientError> {
        let deadline = Instant::now() + timeout + self.patience();
        let mut req = req;
        while let Some(connection) = self.take_idle(peer, reuse) {
            match self.exchange(peer, connection, req, deadline).await {
                Ok(exchange) => return Ok(exchange),
                // The connection was closed before anything was written: try the next one.
                Err(ExchangeFailure {
                    unsent: Some(unsent),
                    ..
                }) => req = *unsent,
                Err(failed) => return Err(failed.error),
            }
        }
        let connection = self.open(peer, deadline).await?;
        match self.exchange(peer, connection, req, deadline).await {
            Ok(exchange) => Ok(Exchange {
                is_new_connection: true,
                ..exchange
            }),
            Err(failed) => Err(failed.error),
        }
    }

    /// Sends a GET request and reads the whole response, whatever its status.
    ///
    /// The body may have up to `max` bytes. `timeout` applies to the response head and again to the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is invalid, the exchange fails or the body can't be read.
    pub async fn get(
        &self,
        peer: SocketAddr,
        path: &str,
        max: ByteSize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, BoxError> {
        let req = Request::get(path)
            .header(HOST, peer.to_string())
            .body(Full::new(Bytes::new()))?;
        let exchange = self.send(peer, req, Reuse::Allowed, timeout).await?;
        let (head, body) = exchange.response.into_parts();
        let body = read_body(body, max, timeout).await?;
        exchange.lease.return_to_pool();
        Ok(Response::from_parts(head, body))
    }

    fn take_idle(&self, peer: SocketAddr, reuse: Reuse) -> Option<Connection> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut pools = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.get_mut(&peer)?;
        let generation = pool.generation;
        while let Some(IdleConnection { sender, since }) = pool.idle.pop() {
            if !sender.requests.is_closed() && since.elapsed() < IDLE_TIMEOUT {
                return Some(Connection { sender, generation });
            }
        }
        None
    }

    fn generation(&self, peer: SocketAddr) -> u64 {
        let pools = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pools.get(&peer).map_or(0, |pool| pool.generation)
    }

    async fn open(&self, peer: SocketAddr, deadline: Instant) -> Result<Connection, ClientError> {
        let generation = self.generation(peer);
        let error = |source: BoxError| ClientError {
            step: Step::Connect,
            peer,
            sent: SendStatus::Nothing,
            source,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let limit = (self.connect_timeout + self.patience()).min(remaining);
        let stream = self.dialer.dial(peer, limit).await;
        let stream = stream.map_err(|cause| error(cause.into()))?;
        let unparsed = UnparsedBytes::default();
        let stream = BoundedConnection::new(stream, unparsed.clone());
        let (requests, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|cause| error(cause.into()))?;
        let (closer, deadlines) = async_channel::unbounded();
        self.tasks.spawn(async move {
            let closed = async {
                wait_for_close(&deadlines).await;
                Ok(())
            };
            if let Err(cause) = future::or(closed, connection).await {
                log::debug!("client: connection to {peer} ended: {cause}.");
            }
        });
        let sender = Sender {
            closer,
            requests,
            unparsed,
        };
        Ok(Connection { sender, generation })
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        connection: Connection,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, ExchangeFailure> {
        let Connection {
            mut sender,
            generation,
        } = connection;
        let error = |sent, source| ClientError {
            step: Step::Request,
            peer,
            sent,
            source,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        match with_timeout(remaining, sender.requests.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(cause)) => {
                let error = error(SendStatus::Nothing, cause.into());
                return Err(ExchangeFailure {
                    unsent: Some(Box::new(req)),
                    error,
                });
            }
            Err(cause) => {
                return Err(ExchangeFailure {
                    unsent: None,
                    error: error(SendStatus::Nothing, cause.into()),
                });
            }
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        sender.unparsed.reset();
        match with_timeout(remaining, sender.requests.try_send_request(req)).await {
            Ok(Ok(response)) => {
                sender.unparsed.reset();
                let response = response.map(|inner| ResponseBody {
                    inner,
                    unparsed: sender.unparsed.clone(),
                });
                let lease = PooledConnection {
                    sender,
                    origin: Box::new(Origin {
                        peer,
                        generation,
                        pool: Arc::clone(&self.idle),
                    }),
                };
                Ok(Exchange {
                    response,
                    lease,
                    is_new_connection: false,
                })
            }
            Ok(Err(mut failed)) => {
                // hyper returns the request only if no part of it was written.
                let unsent = failed.take_message().map(Box::new);
                let sent = if unsent.is_some() {
                    SendStatus::Nothing
                } else {
                    SendStatus::PossiblySent
                };
                Err(ExchangeFailure {
                    unsent,
                    error: error(sent, failed.into_error().into()),
                })
            }
            Err(cause) => Err(ExchangeFailure {
                unsent: None,
                error: error(SendStatus::PossiblySent, cause.into()),
            }),
        }
    }
}

/// Waits until a connection is dropped by its user, or until the latest deadline that its user has set.
async fn wait_for_close(deadlines: &async_channel::Receiver<Option<Instant>>) {
    let mut deadline = None;
    loop {
        let changed = async { deadlines.recv().await.ok() };
        let expired = async {
            match deadline {
                Some(deadline) => Timer::at(deadline).await,
                None => future::pending().await,
            };
            None
        };
        match future::or(changed, expired).await {
            Some(changed) => deadline = changed,
            None => return,
        }
    }
}

/// A failed exchange, with the request if it can be sent again on another connection.
struct ExchangeFailure {
    unsent: Option<Box<Request<Full<Bytes>>>>,
    error: ClientError,
}

#[cfg(test)]
mod dropped_response_tests;
#[cfg(test)]
mod tests;
