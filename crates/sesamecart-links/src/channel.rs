//! One HTTP/2 connection to another node, opened when first needed and again after a loss.

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
use sesamecart_runtime::{ByteCount, Counted, Tasks, connect, within};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use tonic::body::Body;
use tonic::codegen::Service;

use crate::error::{LinkError, LinkStep};

#[cfg(test)]
mod tests;

/// How long opening a connection may take before the other node counts as out of reach.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The largest gap that a call's answer may keep the caller waiting.
///
/// A frozen node's kernel still accepts connections and data, so without this limit a call to it
/// would wait for ever.
pub(crate) const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A connection to one other node.
#[derive(Clone)]
pub struct Channel {
    peer: SocketAddr,
    tasks: Tasks,
    count: ByteCount,
    open: Arc<Mutex<Option<Connection>>>,
    /// How many connections were opened.
    opened: Arc<AtomicU64>,
}

/// An open connection.
#[derive(Clone)]
struct Connection {
    /// Tells it from those before it.
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
    pub(crate) fn new(peer: SocketAddr, tasks: Tasks, count: ByteCount) -> Self {
        Self {
            peer,
            tasks,
            count,
            open: Arc::default(),
            opened: Arc::default(),
        }
    }

    fn error(&self, step: LinkStep, source: impl Into<tonic::codegen::StdError>) -> LinkError {
        LinkError::new(step, self.peer, source.into())
    }

    fn open(&self) -> MutexGuard<'_, Option<Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn usable(&self) -> Option<Connection> {
        let open = self.open();
        let usable = open.as_ref();
        usable.filter(|open| !open.sender.is_closed()).cloned()
    }

    /// Makes the next call open a new connection, unless one was opened since.
    fn forget(&self, number: u64) {
        let mut open = self.open();
        if open.as_ref().is_some_and(|open| open.number == number) {
            *open = None;
        }
    }

    async fn connection(&self) -> Result<Connection, LinkError> {
        if let Some(connection) = self.usable() {
            return Ok(connection);
        }
        let stream = connect(self.peer, CONNECT_LIMIT)
            .await
            .map_err(|error| self.error(LinkStep::Connect, error))?;
        let io = FuturesIo::new(Counted::new(stream, self.count.clone()));
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
            number: self.opened.fetch_add(1, Ordering::Relaxed),
            sender,
        };
        *self.open() = Some(connection.clone());
        Ok(connection)
    }

    async fn send(self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let Connection { number, mut sender } = self.connection().await?;
        let req = self.with_authority(req)?;
        let unanswered = Unanswered {
            channel: &self,
            number,
        };
        let answer = async {
            sender.ready().await?;
            sender.send_request(req).await
        };
        match within(CALL_LIMIT, answer).await {
            Ok(Ok(response)) => {
                unanswered.answered();
                Ok(response)
            }
            Ok(Err(error)) => Err(self.error(LinkStep::Call, error)),
            Err(elapsed) => Err(self.error(LinkStep::Call, elapsed)),
        }
    }

    /// Completes the path that tonic sets to the absolute address that HTTP/2 demands.
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

/// A call without an answer; dropped as one, it makes the next call open a new connection.
///
/// Most callers wait for less than [`CALL_LIMIT`] and drop the call. An open connection may have fallen silent for
/// good while new ones work, and nothing else would show it.
struct Unanswered<'a> {
    channel: &'a Channel,
    /// The connection that it was sent on.
    number: u64,
}

impl Unanswered<'_> {
    fn answered(self) {
        std::mem::forget(self);
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.channel.forget(self.number);
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
