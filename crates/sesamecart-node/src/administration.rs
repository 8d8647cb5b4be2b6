//! The administration API's server, on the control thread.
//!
//! docs/openapi.json describes it; `sesamecart-administration` holds its messages and rules.

mod change;
mod handler;
mod views;

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{Connections, Log, ServerLimits};
use sesamecart_runtime::{Signal, Tasks};

use crate::administration::change::Changes;
use crate::administration::handler::Handler;
use crate::control::Peers;
use crate::node::Listeners;
use crate::shared::Shared;

/// Bounds on operators' connections; there are few operators, so they are tight.
const LIMITS: ServerLimits = ServerLimits {
    closes_excess: false,
    max_connections: 128,
    max_opening: usize::MAX,
    under_way: 0,
    head_timeout: Duration::from_secs(10),
    max_head_bytes: 32 * 1024,
};

/// Starts to take operators' requests.
pub(crate) fn start(
    shared: &Arc<Shared>,
    listeners: &Listeners,
    leaving: &Signal,
    tasks: &Tasks,
    log: Arc<dyn Log>,
    peers: Peers,
) -> std::io::Result<()> {
    if shared.settings.access.operators.is_empty() {
        log::warn!("administration: settings name no operators, so every request is refused.");
    }
    let listener = listeners.administration.try_clone()?;
    let tls = listeners.administration_tls.clone();
    let changes = Changes::new(Arc::clone(shared), log, peers.clone());
    let handler = Handler::new(Arc::clone(shared), changes, peers);
    let leaving = leaving.clone();
    tasks.spawn({
        let tasks = tasks.clone();
        async move {
            let handle = move |req, peer| {
                let handler = handler.clone();
                async move { handler.answer(req, peer).await }
            };
            let connections = Connections::default();
            let served = sesamecart_edges::serve(
                listener,
                tls,
                || LIMITS,
                tasks,
                connections,
                leaving,
                handle,
            );
            if let Err(error) = served.await {
                log::error!("administration: can't take operators: {error}.");
            }
        }
    });
    Ok(())
}
