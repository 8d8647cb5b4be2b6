//! A lazily opened HTTP/2 connection to another node, which reconnects after a failure.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::future::Boxed;
use http::uri::{Authority, Parts, Scheme};
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use sesamecart_runtime::{ByteCounters, CountingStream, Tasks, connect, lateness, with_patience};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use tonic::body::Body;
use tonic::codegen::Service;

use crate::error::{LinkError, LinkStep};

#[cfg(test)]
mod tests;

/// How long opening a connection may take before the peer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call waits for the head of its response.
///
/// The kernel of a frozen node still accepts connections and data, so a call to it would wait forever
/// without this timeout.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A cheaply cloned handle for calls to one peer, which share one connection.
#[derive(Clone)]
pub struct Channel {
    peer: SocketAddr,
    tasks: Tasks,
    byte_count: ByteCounters,
    connection: Arc<Mutex<Option<Connection>>>,
    /// The number of connections opened so far.
    connections_opened: Arc<AtomicU64>,
}

/// An open connection.
#[derive(Clone)]
struct Connection {
    /// The sequence number within the channel.
    number: u64,
    sender: SendRequest<Body>,
}

impl std::fmt::Debug for Channel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Channel")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

impl Channel {
    pub(crate) fn new(peer: SocketAddr, tasks: Tasks, byte_count: ByteCounters) -> Self {
        Self {
            peer,
            tasks,
            byte_count,
            connection: Arc::default(),
            connections_opened: Arc::default(),
        }
    }

    fn error(&self, step: LinkStep, source: impl Into<tonic::codegen::StdError>) -> LinkError {
        LinkError::new(step, self.peer, source.into())
    }

    fn lock_connection(&self) -> MutexGuard<'_, Option<Connection>> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current connection unless it is closed.
    fn open_connection(&self) -> Option<Connection> {
        let connection = self.lock_connection();
        let current = connection.as_ref();
        current
            .filter(|current| !current.sender.is_closed())
            .cloned()
    }

    /// Discards connection `number`, so that the next call opens a new one, unless it was already replaced.
    fn discard(&self, number: u64) {
        let mut connection = self.lock_connection();
        if connection
            .as_ref()
            .is_some_and(|current| current.number == number)
        {
            *connection = None;
        }
    }

    /// Returns the current connection, or opens one.
    async fn connect(&self) -> Result<Connection, LinkError> {
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        let stream = connect(self.peer, CONNECT_TIMEOUT + lateness().patience())
            .await
            .map_err(|error| self.error(LinkStep::Connect, error))?;
        let io = FuturesIo::new(CountingStream::new(stream, self.byte_count.clone()));
        let executor = SmolExecutor::new(Arc::clone(self.tasks.executor()));
        let (sender, connection) = Builder::new(executor)
            .handshake(io)
            .await
            .map_err(|error| self.error(LinkStep::Handshake, error))?;
        let peer = self.peer;
        self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("link: connection to {peer} ended: {error}.");
            }
        });
        let connection = Connection {
            number: self.connections_opened.fetch_add(1, Ordering::Relaxed),
            sender,
        };
        *self.lock_connection() = Some(connection.clone());
        Ok(connection)
    }

    async fn send(self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let Connection { number, mut sender } = self.connect().await?;
        let req = self.with_authority(req)?;
        let guard = DiscardOnDrop {
            channel: &self,
            number,
        };
        let response = async {
            sender.ready().await?;
            sender.send_request(req).await
        };
        match with_patience(CALL_TIMEOUT, response).await {
            Ok(Ok(response)) => {
                guard.disarm();
                Ok(response)
            }
            Ok(Err(error)) => Err(self.error(LinkStep::Call, error)),
            Err(elapsed) => Err(self.error(LinkStep::Call, elapsed)),
        }
    }

    /// Adds the scheme and the authority, which HTTP/2 requires. tonic sets only the path.
    fn with_authority(&self, req: Request<Body>) -> Result<Request<Body>, LinkError> {
        let (mut head, body) = req.into_parts();
        let mut parts = Parts::default();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = Authority::try_from(self.peer.to_string()).ok();
        parts.path_and_query = head.uri.path_and_query().cloned();
        head.uri = Uri::from_parts(parts).map_err(|error| self.error(LinkStep::Call, error))?;
        Ok(Request::from_parts(head, body))
    }
}

/// Discards the connection of a call that is dropped without a response.
///
/// An open connection can be dead while new connections to the same peer work. Nothing else would detect
/// this, since most callers use a timeout shorter than [`CALL_TIMEOUT`] and drop the call.
struct DiscardOnDrop<'a> {
    channel: &'a Channel,
    /// The connection that the call was sent on.
    number: u64,
}

impl DiscardOnDrop<'_> {
    /// Keeps the connection, because the call got its response.
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for DiscardOnDrop<'_> {
    fn drop(&mut self) {
        self.channel.discard(self.number);
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = LinkError;
    type Future = Boxed<Result<Response<Incoming>, LinkError>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), LinkError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Body>) -> Self::Future {
        Box::pin(self.clone().send(req))
    }
}
