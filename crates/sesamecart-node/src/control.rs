//! The control thread: it follows the log, keeps links to other nodes and publishes pictures of the
//! state to the traffic threads.

mod cell;
mod follower;
mod link;

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{HttpClient, HttpLog, HttpVmList, Log};
use sesamecart_links::Links;
use sesamecart_runtime::{Signal, Worker};

use crate::actions::Desk;
use crate::control::follower::Follower;
use crate::control::link::LinkSide;
use crate::node::Listeners;
use crate::shared::Shared;

/// How long one call of the log may take before the log counts as out.
const LOG_CALL_LIMIT: Duration = Duration::from_secs(2);

/// How long opening a connection to the platform may take.
const PLATFORM_CONNECT_LIMIT: Duration = Duration::from_secs(1);

pub(crate) use cell::FoldCell;

/// Starts the control thread.
pub(crate) fn start(
    shared: &Arc<Shared>,
    listeners: &Listeners,
    leaving: &Signal,
) -> anyhow::Result<(Worker, Arc<Desk>)> {
    let worker = Worker::start(format!("control-{}", shared.identity.node))?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), PLATFORM_CONNECT_LIMIT);
    let fold = FoldCell::default();
    let log: Arc<dyn Log> = Arc::new(HttpLog::new(
        client.clone(),
        shared.settings.log.address,
        LOG_CALL_LIMIT,
    ));
    let follower = Follower::new(Arc::clone(shared), Arc::clone(&log), fold.clone());
    tasks.spawn(follower.run());
    let links = listeners.links.try_clone()?;
    let link_clients = Links::new(tasks.clone(), shared.link_bytes.clone());
    let desk = Desk::new(Arc::clone(shared), fold, log, link_clients, tasks.clone());
    tasks.spawn(Arc::clone(&desk).run());
    if let Some(address) = shared.settings.vm_list {
        let list = HttpVmList::new(client, address, LOG_CALL_LIMIT);
        tasks.spawn(Arc::clone(&desk).follow_list(list));
    }
    let side = LinkSide::new(Arc::clone(shared), Arc::clone(&desk));
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
    Ok((worker, desk))
}
