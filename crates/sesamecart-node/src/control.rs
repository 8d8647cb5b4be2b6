//! The control thread: it follows the log, keeps links to other nodes and publishes pictures of the
//! state to the traffic threads.

mod follower;
mod link;

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{HttpClient, HttpLog, Log};
use sesamecart_runtime::{Signal, Worker};

use crate::control::follower::Follower;
use crate::control::link::LinkSide;
use crate::node::Listeners;
use crate::shared::Shared;

/// How long one call of the log may take before the log counts as out.
const LOG_CALL_LIMIT: Duration = Duration::from_secs(2);

/// How long opening a connection to the platform may take.
const PLATFORM_CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Starts the control thread.
pub(crate) fn start(
    shared: &Arc<Shared>,
    listeners: &Listeners,
    leaving: &Signal,
) -> anyhow::Result<Worker> {
    let worker = Worker::start(format!("control-{}", shared.identity.node))?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), PLATFORM_CONNECT_LIMIT);
    let log: Arc<dyn Log> = Arc::new(HttpLog::new(
        client,
        shared.settings.log.address,
        LOG_CALL_LIMIT,
    ));
    let follower = Follower::new(Arc::clone(shared), log);
    tasks.spawn(follower.run());
    let links = listeners.links.try_clone()?;
    let side = LinkSide::new(Arc::clone(shared));
    let count = shared.link_bytes.clone();
    tasks.spawn({
        let tasks = tasks.clone();
        async move {
            if let Err(error) = sesamecart_links::serve(links, side, tasks, count).await {
                log::error!("link: can't take links: {error}.");
            }
        }
    });
    let _used_on_leave = leaving;
    Ok(worker)
}
