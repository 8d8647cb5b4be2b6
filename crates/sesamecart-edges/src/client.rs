//! The HTTP client for endpoints and the platform, which knows whether a request went out.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http::header::HOST;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use indexmap::IndexMap;
use sesamecart_runtime::{Tasks, connect, within};
use sesamecart_vocabulary::Bytes as ByteSize;
use smol_hyper::rt::FuturesIo;

use crate::body::{BoxError, read_whole};

/// The most idle connections that are kept for one peer.
const MAX_IDLE: usize = 64;

/// How long a connection may be idle and still be used again.
///
/// Servers close idle connections; a request written into one that is just closing may or may not
/// have been read.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// The largest answer head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Whether any part of a request may have reached the peer.
///
/// A refusal that says "not run" is only true after [`Sent::Nothing`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Sent {
    /// Nothing of the request was handed to a socket.
    #[display("nothing was sent")]
    Nothing,
    /// The peer may have read it.
    #[display("it may have been read")]
    Maybe,
}

/// The step of an exchange at which it failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Step {
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Sending the request or waiting for the answer's head.
    #[display("request")]
    Request,
}

/// Why an exchange failed.
#[derive(Debug, Display, Error)]
#[display("{peer}: {step}: {source} ({sent})")]
pub struct ClientError {
    /// The step at which it failed.
    pub step: Step,
    /// The peer.
    pub peer: SocketAddr,
    /// Whether anything may have reached the peer.
    pub sent: Sent,
    #[error(not(source))]
    source: BoxError,
}

/// Whether a request may go out on a connection that served another one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Take an idle connection if there is one.
    Allowed,
    /// Open a new connection.
    ///
    /// A peer may close an idle connection while a request is written into it. Such a request has
    /// an unknown outcome, so one that must not be repeated never goes out on a used connection.
    Never,
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    #[debug(skip)]
    sender: Sender,
    since: Instant,
}

type Pool = Arc<Mutex<IndexMap<SocketAddr, Vec<Idle>>>>;

/// An HTTP client that pools its connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    tasks: Tasks,
    idle: Pool,
    connect_limit: Duration,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection, given back when the body has been read to its end.
    pub lease: ConnectionLease,
}

/// The hold on a connection while an answer's body is read.
///
/// Dropping it without [`ConnectionLease::give_back`] closes the connection, which cancels the
/// request at an engine.
#[derive(Debug)]
pub struct ConnectionLease {
    #[debug(skip)]
    sender: Sender,
    peer: SocketAddr,
    idle: Pool,
}

impl ConnectionLease {
    /// Returns the connection to the pool; call it only after the body's clean end.
    pub fn give_back(self) {
        self.give_back_up_to(MAX_IDLE);
    }

    /// Returns the connection to the pool unless it holds `most` of this peer already.
    ///
    /// A peer that takes a fixed number of connections from all callers together resets those beyond
    /// it, requests included, when each caller keeps as many as it likes.
    pub fn give_back_up_to(self, most: usize) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = idle.entry(self.peer).or_default();
        if pool.len() < most.min(MAX_IDLE) {
            pool.push(Idle {
                sender: self.sender,
                since: Instant::now(),
            });
        }
    }
}

impl HttpClient {
    /// Makes a client whose connections run on `tasks`.
    #[must_use]
    pub fn new(tasks: Tasks, connect_limit: Duration) -> Self {
        Self {
            tasks,
            idle: Arc::default(),
            connect_limit,
        }
    }

    /// Sends a request and waits at most `limit` for the answer's head.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the peer may have read the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Exchange, ClientError> {
        let deadline = Instant::now() + limit;
        let mut req = req;
        while let Some(sender) = self.take_idle(peer, reuse) {
            match self.exchange(peer, sender, req, deadline).await {
                Ok(exchange) => return Ok(exchange),
                // The connection had closed before anything was written: try the next one.
                Err(Failed {
                    unsent: Some(unsent),
                    ..
                }) => req = *unsent,
                Err(failed) => return Err(failed.error),
            }
        }
        let sender = self.open(peer, deadline).await?;
        self.exchange(peer, sender, req, deadline)
            .await
            .map_err(|failed| failed.error)
    }

    /// Gets a path and reads the whole answer, whatever its status, within `max` bytes and `limit`.
    ///
    /// # Errors
    ///
    /// Returns what failed: the request, the exchange or the reading of the answer.
    pub async fn get(
        &self,
        peer: SocketAddr,
        path: &str,
        max: ByteSize,
        limit: Duration,
    ) -> Result<Response<Bytes>, BoxError> {
        let req = Request::get(path)
            .header(HOST, peer.to_string())
            .body(Full::new(Bytes::new()))?;
        let exchange = self.send(peer, req, Reuse::Allowed, limit).await?;
        let (head, body) = exchange.response.into_parts();
        let body = read_whole(body, max, limit).await?;
        exchange.lease.give_back();
        Ok(Response::from_parts(head, body))
    }

    fn take_idle(&self, peer: SocketAddr, reuse: Reuse) -> Option<Sender> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = idle.get_mut(&peer)?;
        while let Some(Idle { sender, since }) = pool.pop() {
            if !sender.is_closed() && since.elapsed() < IDLE_LIMIT {
                return Some(sender);
            }
        }
        None
    }

    async fn open(&self, peer: SocketAddr, deadline: Instant) -> Result<Sender, ClientError> {
        let error = |source: BoxError| ClientError {
            step: Step::Connect,
            peer,
            sent: Sent::Nothing,
            source,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let stream = connect(peer, self.connect_limit.min(left))
            .await
            .map_err(|cause| error(cause.into()))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|cause| error(cause.into()))?;
        self.tasks.spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!("client: connection to {peer} ended: {cause}.");
            }
        });
        Ok(sender)
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, Failed> {
        let error = |sent, source| ClientError {
            step: Step::Request,
            peer,
            sent,
            source,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match within(left, sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(cause)) => {
                let error = error(Sent::Nothing, cause.into());
                return Err(Failed {
                    unsent: Some(Box::new(req)),
                    error,
                });
            }
            Err(cause) => {
                return Err(Failed {
                    unsent: None,
                    error: error(Sent::Nothing, cause.into()),
                });
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match within(left, sender.try_send_request(req)).await {
            Ok(Ok(response)) => {
                let lease = ConnectionLease {
                    sender,
                    peer,
                    idle: Arc::clone(&self.idle),
                };
                Ok(Exchange { response, lease })
            }
            Ok(Err(mut failed)) => {
                // The library hands the request back only when none of it was written.
                let unsent = failed.take_message().map(Box::new);
                let sent = if unsent.is_some() {
                    Sent::Nothing
                } else {
                    Sent::Maybe
                };
                Err(Failed {
                    unsent,
                    error: error(sent, failed.into_error().into()),
                })
            }
            Err(cause) => Err(Failed {
                unsent: None,
                error: error(Sent::Maybe, cause.into()),
            }),
        }
    }
}

struct Failed {
    unsent: Option<Box<Request<Full<Bytes>>>>,
    error: ClientError,
}
