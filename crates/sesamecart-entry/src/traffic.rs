//! The traffic threads: accept callers' requests, select endpoints and forward their responses.

mod admission;
mod alternative;
mod backoff;
pub(crate) mod body_memory;
mod call;
mod checks;
mod demand;
mod dispatch;
mod event_splitter;
mod flight;
mod forward;
mod forwarded;
mod handler;
mod hop;
mod in_flight;
mod pending;
mod permit;
mod placement;
mod read_ahead;
mod refusal;
mod relay;
mod response;
mod stream_start;
mod suspicion;
#[cfg(test)]
mod tests;
mod timeout;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{Dialer, HttpClient, ServerLimits};
use sesamecart_links::Links;
use sesamecart_runtime::{ByteCounters, Signal, Tasks, Worker};

use crate::crashes::SuspectClient;
use crate::dispatch::DispatchClient;
use crate::limits::LimitClient;
use crate::state::EntryState;
use crate::traffic::forwarded::ForwardedHandler;
use crate::traffic::handler::Handler;

/// How long opening a connection to an endpoint may take.
///
/// An endpoint whose VM is gone doesn't respond at all, and the caller waits meanwhile. The longest network
/// round trip takes a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// The maximum number of open connections from callers.
const MAX_CONNECTIONS: usize = 1_900;

/// The number of files and connections that a node needs beside those of callers and endpoints.
const RESERVED_FILES: usize = 300;

/// How long a caller's connection may be idle until a configuration sets the limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum size of a request head; a configuration may set a lower limit.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The threads that serve callers.
#[derive(Debug)]
pub(crate) struct TrafficThreads {
    /// Accepts connections, or closes them unread while the other thread can't keep up.
    ///
    /// On a thread of their own, connections wait only a moment to be accepted, so that a caller whose connection is
    /// closed unread can try another node at once.
    acceptor: Worker,
    /// Serves the accepted connections.
    traffic: Worker,
}

impl TrafficThreads {
    /// Cancels all requests and joins the threads.
    pub(crate) fn stop(&mut self) {
        self.acceptor.stop();
        self.traffic.stop();
    }
}

/// Starts the traffic threads.
pub(crate) fn start(
    state: &Arc<EntryState>,
    listener: TcpListener,
    forwarding: Option<TcpListener>,
    leaving: &Signal,
    dialer: Arc<dyn Dialer>,
) -> std::io::Result<TrafficThreads> {
    let traffic = Worker::start("traffic")?;
    let acceptor = Worker::start("acceptor")?;
    let tasks = traffic.tasks().clone();
    let client = HttpClient::with_dialer(tasks.clone(), CONNECT_TIMEOUT, dialer);
    let links = Links::new(tasks.clone(), ByteCounters::default());
    let limits = LimitClient::new(Arc::clone(state), links.clone(), tasks.clone());
    let suspects = SuspectClient::new(Arc::clone(state), links.clone());
    let dispatcher = DispatchClient::new(Arc::clone(state), links);
    let handler = Handler::new(Arc::clone(state), client, limits, suspects, dispatcher);
    if let Some(forwarding) = forwarding {
        serve_nodes(state, &handler, forwarding, &tasks, leaving);
    }
    let connections = state.connections.clone();
    let leaving = leaving.clone();
    let limits = limits_of(state);
    acceptor.tasks().spawn(async move {
        let handle = move |req, _peer| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        };
        let server =
            sesamecart_edges::serve(listener, None, limits, tasks, connections, leaving, handle);
        if let Err(error) = server.await {
            log::error!("traffic: can't accept connections from callers: {error}.");
        }
    });
    Ok(TrafficThreads { acceptor, traffic })
}

/// Serves the requests that other nodes send because they don't reach the endpoints.
fn serve_nodes(
    state: &Arc<EntryState>,
    handler: &Handler,
    listener: TcpListener,
    tasks: &Tasks,
    leaving: &Signal,
) {
    let handler = ForwardedHandler::new(Arc::clone(state), handler.clone(), tasks.clone());
    let handle = move |req, peer| {
        let handler = handler.clone();
        async move { handler.handle(req, peer).await }
    };
    let limits = limits_of(state);
    // A node can't tell whether its request was read, if its connection is closed.
    let limits = move || ServerLimits {
        closes_excess: false,
        ..limits()
    };
    let connections = state.connections.clone();
    let (server_tasks, leaving) = (tasks.clone(), leaving.clone());
    tasks.spawn(async move {
        let server = sesamecart_edges::serve(
            listener,
            None,
            limits,
            server_tasks,
            connections,
            leaving,
            handle,
        );
        if let Err(error) = server.await {
            log::error!("traffic: can't accept connections from nodes: {error}.");
        }
    });
}

fn limits_of(state: &Arc<EntryState>) -> impl Fn() -> ServerLimits + Clone + Send + Sync + use<> {
    let state = Arc::clone(state);
    move || server_limits(&state)
}

/// Returns the limits for a connection that is accepted now.
fn server_limits(state: &EntryState) -> ServerLimits {
    let idle_timeout = match &*state.catalog.load() {
        Some(catalog) => catalog.limits.idle_time.max(catalog.limits.header_time),
        None => DEFAULT_IDLE_TIMEOUT,
    };
    ServerLimits {
        max_connections: max_connections(state.settings.max_files),
        max_opening: state.body_memory.room_for_new(state.connections.open()),
        under_way: state.body_memory.requests(),
        closes_excess: true,
        head_timeout: idle_timeout,
        max_head_bytes: MAX_HEAD_BYTES,
    }
}

/// Returns the number of callers' connections that a node with `max_files` files can serve. Each request needs one file
/// for its caller and one for an endpoint.
fn max_connections(max_files: Option<usize>) -> usize {
    let available = max_files.map(|files| files.saturating_sub(RESERVED_FILES) / 2);
    available.map_or(MAX_CONNECTIONS, |available| available.min(MAX_CONNECTIONS))
}
