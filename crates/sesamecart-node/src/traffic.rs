//! The traffic threads: they take callers' requests, choose endpoints and pass on answers.

mod answer;
mod call;
mod caller;
mod completion;
mod forward;
mod handler;
mod keyed;
mod model;
mod relay;
mod service;
mod settle;
mod sse;
mod weigh;

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{HttpClient, ServerLimits};
use sesamecart_runtime::{Signal, Worker};

use crate::actions::Desk;
use crate::node::Listeners;
use crate::shared::Shared;
pub(crate) use crate::traffic::answer::Refusal;
use crate::traffic::handler::Handler;

/// Starts the traffic threads.
pub(crate) fn start(
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    listeners: &Listeners,
    leaving: &Signal,
) -> anyhow::Result<Vec<Worker>> {
    (0..shared.settings.traffic_threads)
        .map(|index| start_one(index, shared, desk, listeners, leaving))
        .collect()
}

fn start_one(
    index: usize,
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    listeners: &Listeners,
    leaving: &Signal,
) -> anyhow::Result<Worker> {
    let worker = Worker::start(format!("traffic{index}-{}", shared.identity.node))?;
    let tasks = worker.tasks().clone();
    let bounds = shared.settings.bounds;
    let client = HttpClient::new(
        tasks.clone(),
        Duration::from_millis(bounds.connect_limit_ms),
    );
    let handler = Handler::new(Arc::clone(shared), Arc::clone(desk), client, tasks.clone());
    let limits = ServerLimits {
        max_connections: bounds.max_connections,
        ..ServerLimits::default()
    };
    // Every thread takes connections from a handle of the same listening socket.
    let listener = listeners.callers.try_clone()?;
    let tls = listeners.callers_tls.clone();
    let connections = shared.connections.clone();
    let leaving = leaving.clone();
    tasks.spawn({
        let tasks = tasks.clone();
        async move {
            let handle = move |req, _peer| {
                let handler = handler.clone();
                async move { handler.answer(req).await }
            };
            let served = sesamecart_edges::serve(
                listener,
                tls,
                move || limits,
                tasks,
                connections,
                leaving,
                handle,
            );
            if let Err(error) = served.await {
                log::error!("traffic: can't take callers: {error}.");
            }
        }
    });
    Ok(worker)
}
