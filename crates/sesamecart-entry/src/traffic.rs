//! The traffic thread: it takes callers' requests, chooses endpoints and passes on answers.

mod answer;
mod call;
mod events;
mod flight;
mod handler;
mod placing;
mod refusal;
mod relay;
mod waiting;
mod work;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{HttpClient, ServerLimits};
use sesamecart_runtime::{Signal, Worker};

use crate::beliefs::Beliefs;
use crate::traffic::handler::Handler;

/// How long a connection to an endpoint may take to open.
///
/// An endpoint whose VM is gone answers nothing, and the caller waits meanwhile; the longest way there and
/// back takes a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(80);

/// Connections of callers at once; 200 of a VM's 4,100 descriptors are kept for files, and each
/// request needs one to an endpoint besides its caller's.
const MAX_CONNECTIONS: usize = 1_900;

/// How long a caller's connection may be idle before any configuration says so.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);

/// The largest head that is read; a configuration may set less.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Starts the traffic thread.
pub(crate) fn start(
    beliefs: &Arc<Beliefs>,
    callers: TcpListener,
    leaving: &Signal,
) -> std::io::Result<Worker> {
    let worker = Worker::start("traffic")?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), CONNECT_LIMIT);
    let handler = Handler::new(Arc::clone(beliefs), client);
    let connections = beliefs.connections.clone();
    let leaving = leaving.clone();
    let limits = {
        let beliefs = Arc::clone(beliefs);
        move || limits(&beliefs)
    };
    tasks.spawn({
        let tasks = tasks.clone();
        async move {
            let handle = move |req, _peer| {
                let handler = handler.clone();
                async move { handler.answer(req).await }
            };
            let served =
                sesamecart_edges::serve(callers, None, limits, tasks, connections, leaving, handle);
            if let Err(error) = served.await {
                log::error!("traffic: can't take callers: {error}.");
            }
        }
    });
    Ok(worker)
}

/// Returns the bounds of a connection that is taken now.
fn limits(beliefs: &Beliefs) -> ServerLimits {
    let idle = match &*beliefs.catalog.load() {
        Some(catalog) => catalog.limits.idle_time.max(catalog.limits.header_time),
        None => FIRST_IDLE_TIME,
    };
    ServerLimits {
        max_connections: MAX_CONNECTIONS,
        head_limit: idle,
        max_head_bytes: MAX_HEAD_BYTES,
    }
}
