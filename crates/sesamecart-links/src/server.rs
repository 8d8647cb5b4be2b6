//! The server side of links and feeds.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use sesamecart_runtime::{AcceptQueue, ByteCounters, CountingStream, Tasks};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tonic::body::Body;
use tonic::codegen::Service;

use crate::feed::feed_server::{Feed, FeedServer};
use crate::message::link_server::{Link, LinkServer};

/// The maximum size of a message; a transfer of the whole state is the largest.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Serves the link service until the task is cancelled.
///
/// # Errors
///
/// Returns the I/O error if the listener can't be registered with the event loop.
pub async fn serve(
    listener: TcpListener,
    link: impl Link,
    tasks: Tasks,
    byte_count: ByteCounters,
) -> std::io::Result<()> {
    let server = LinkServer::new(link)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    serve_calls(listener, server, tasks, byte_count).await
}

/// Serves the feed service, which relays what this node reads from the store, until the task is cancelled.
///
/// # Errors
///
/// Returns the I/O error if the listener can't be registered with the event loop.
pub async fn serve_feed(
    listener: TcpListener,
    feed: impl Feed,
    tasks: Tasks,
    byte_count: ByteCounters,
) -> std::io::Result<()> {
    serve_calls(listener, FeedServer::new(feed), tasks, byte_count).await
}

async fn serve_calls<S>(
    listener: TcpListener,
    server: S,
    tasks: Tasks,
    byte_count: ByteCounters,
) -> std::io::Result<()>
where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
{
    let mut queue = AcceptQueue::new(listener)?;
    loop {
        let accepted = queue.accept(1).await;
        let stream = match Async::new(accepted.stream) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!("links: connection from {}: {error}.", accepted.peer);
                continue;
            }
        };
        let server = server.clone();
        let service = service_fn(move |req: http::Request<Incoming>| {
            let mut server = server.clone();
            async move { server.call(req).await }
        });
        let executor = SmolExecutor::new(Arc::clone(tasks.executor()));
        let io = FuturesIo::new(CountingStream::new(stream, byte_count.clone()));
        let connection = Builder::new(executor)
            .timer(SmolTimer::new())
            .serve_connection(io, service);
        let peer = accepted.peer;
        tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("link: connection from {peer} ended: {error}.");
            }
        });
    }
}
