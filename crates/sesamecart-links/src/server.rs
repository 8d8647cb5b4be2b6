//! The side of a link that takes calls.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use sesamecart_runtime::{ByteCount, Counted, Tasks, accept};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use tonic::body::Body;
use tonic::codegen::Service;

use crate::feed::feed_server::{Feed, FeedServer};
use crate::message::link_server::{Link, LinkServer};

/// The largest message taken, in bytes; a state hand-over is the largest.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Takes links until the task is cancelled.
///
/// # Errors
///
/// Returns the system's error when the listener can't be watched.
pub async fn serve(
    listener: TcpListener,
    link: impl Link,
    tasks: Tasks,
    count: ByteCount,
) -> std::io::Result<()> {
    let server = LinkServer::new(link)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    serve_calls(listener, server, tasks, count).await
}

/// Passes on what this node reads of the store until the task is cancelled.
///
/// # Errors
///
/// Returns the system's error when the listener can't be watched.
pub async fn serve_feed(
    listener: TcpListener,
    feed: impl Feed,
    tasks: Tasks,
    count: ByteCount,
) -> std::io::Result<()> {
    serve_calls(listener, FeedServer::new(feed), tasks, count).await
}

async fn serve_calls<S>(
    listener: TcpListener,
    server: S,
    tasks: Tasks,
    count: ByteCount,
) -> std::io::Result<()>
where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
{
    let listener = Async::new(listener)?;
    loop {
        let accepted = accept(&listener).await;
        let server = server.clone();
        let service = service_fn(move |req: http::Request<Incoming>| {
            let mut server = server.clone();
            async move { server.call(req).await }
        });
        let executor = SmolExecutor::new(Arc::clone(tasks.executor()));
        let io = FuturesIo::new(Counted::new(accepted.stream, count.clone()));
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
