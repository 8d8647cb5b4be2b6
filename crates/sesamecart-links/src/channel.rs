//! One HTTP/2 connection to another node, opened when first needed and again after a loss.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
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
    open: Arc<Mutex<Option<SendRequest<Body>>>>,
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
        }
    }

    fn error(&self, step: LinkStep, source: impl Into<tonic::codegen::StdError>) -> LinkError {
        LinkError::new(step, self.peer, source.into())
    }

    fn usable(&self) -> Option<SendRequest<Body>> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.as_ref().filter(|sender| !sender.is_closed()).cloned()
    }

    fn forget(&self) {
        *self.open.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn sender(&self) -> Result<SendRequest<Body>, LinkError> {
        if let Some(sender) = self.usable() {
            return Ok(sender);
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
        *self.open.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender.clone());
        Ok(sender)
    }

    async fn send(self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let mut sender = self.sender().await?;
        let req = self.with_authority(req)?;
        let answer = async {
            sender.ready().await?;
            sender.send_request(req).await
        };
        match within(CALL_LIMIT, answer).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                self.forget();
                Err(self.error(LinkStep::Call, error))
            }
            Err(elapsed) => {
                self.forget();
                Err(self.error(LinkStep::Call, elapsed))
            }
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
