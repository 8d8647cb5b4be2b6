//! The control thread: it follows the log, keeps links to other nodes and publishes pictures of the
//! state to the traffic threads.

mod folded;
mod follower;
mod link;
mod peer_follower;
mod peers;
mod upkeep;

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{HttpClient, HttpLog, HttpVmList, HttpWeightStore, Log, VmList};
use sesamecart_links::Links;
use sesamecart_runtime::{Signal, Tasks, Worker};

use crate::actions::{Desk, Directory};
use crate::administration;
pub(crate) use crate::control::folded::Folded;
use crate::control::follower::Follower;
use crate::control::link::LinkSide;
use crate::control::peer_follower::PeerFollower;
pub(crate) use crate::control::peers::{Peer, PeerView, Peers};
use crate::duties::Runner;
use crate::groups::Duty;
use crate::node::Listeners;
use crate::pools::{Borrower, Lender, Owners};
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
) -> anyhow::Result<(Worker, Arc<Desk>)> {
    let worker = Worker::start(format!("control-{}", shared.identity.node))?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), PLATFORM_CONNECT_LIMIT);
    let log: Arc<dyn Log> = Arc::new(HttpLog::new(
        client.clone(),
        shared.settings.log.address,
        LOG_CALL_LIMIT,
    ));
    let links = Links::new(tasks.clone(), shared.link_bytes.clone());
    let peers = Peers::new(Arc::clone(shared), links);
    if let Some(address) = shared.settings.vm_list {
        let list: Arc<dyn VmList> = Arc::new(HttpVmList::new(client, address, LOG_CALL_LIMIT));
        let shared = Arc::clone(shared);
        tasks.spawn(upkeep::read_vm_list(shared, list, peers.clone()));
    }
    let follower = Follower::new(Arc::clone(shared), Arc::clone(&log));
    tasks.spawn(follower.run());
    let peer_follower = PeerFollower::new(Arc::clone(shared), peers.clone());
    tasks.spawn(peer_follower.run());
    tasks.spawn(upkeep::write_checkpoints(
        Arc::clone(shared),
        Arc::clone(&log),
    ));
    tasks.spawn(upkeep::spread_drains(
        Arc::clone(shared),
        Arc::clone(&log),
        peers.clone(),
    ));
    let desk = Desk::new(
        Arc::clone(shared),
        Arc::clone(&log),
        peers.clone(),
        tasks.clone(),
    );
    tasks.spawn(Arc::clone(&desk).run());
    tasks.spawn(Arc::clone(&desk).watch_nodes());
    tasks.spawn(Arc::clone(&desk).renew_voters());
    let runner = Runner::new(
        Arc::clone(shared),
        Arc::clone(&log),
        peers.clone(),
        Arc::clone(&desk),
        tasks.clone(),
    );
    tasks.spawn(runner.run());
    let lender = start_lending(shared, &peers, &tasks);
    start_groups(shared, &log, &tasks);
    for tls in [&listeners.callers_tls, &listeners.administration_tls] {
        if let Some(tls) = tls.clone() {
            tasks.spawn(upkeep::reload_tls(tls));
        }
    }
    administration::start(shared, listeners, leaving, &tasks, log, peers)?;
    let links = listeners.links.try_clone()?;
    let side = LinkSide::new(Arc::clone(shared), Arc::clone(&desk), lender);
    let count = shared.link_bytes.clone();
    tasks.spawn({
        let tasks = tasks.clone();
        async move {
            if let Err(error) = sesamecart_links::serve(links, side, tasks, count).await {
                log::error!("link: can't take links: {error}.");
            }
        }
    });
    Ok((worker, desk))
}

/// Starts controlling the groups of the shards that this node holds, if settings name a weight store.
fn start_groups(shared: &Arc<Shared>, log: &Arc<dyn Log>, tasks: &Tasks) {
    let Some(address) = shared.settings.weight_store else {
        return;
    };
    let client = HttpClient::new(tasks.clone(), PLATFORM_CONNECT_LIMIT);
    let store = HttpWeightStore::new(client.clone(), address, LOG_CALL_LIMIT);
    let list = shared.settings.vm_list.map(|address| -> Arc<dyn VmList> {
        Arc::new(HttpVmList::new(client.clone(), address, LOG_CALL_LIMIT))
    });
    let duty = Duty::new(
        Arc::clone(shared),
        Arc::clone(log),
        Arc::new(store),
        list,
        client,
        tasks.clone(),
    );
    tasks.spawn(duty.run());
}

/// Starts lending the endpoints' allowances that this node owns, and borrowing the others.
fn start_lending(shared: &Arc<Shared>, peers: &Peers, tasks: &Tasks) -> Arc<Lender> {
    let directory = Directory::new(&shared.settings, peers.clone());
    let owners = Owners::new(shared.settings.node.clone(), directory);
    let cfg = shared.pools.cfg().allowance;
    let lender = Lender::new(Arc::clone(shared), owners.clone(), cfg);
    let client = HttpClient::new(tasks.clone(), PLATFORM_CONNECT_LIMIT);
    tasks.spawn(Arc::clone(&lender).read_loads(client));
    let borrower = Borrower::new(
        Arc::clone(shared),
        Arc::clone(&lender),
        owners,
        peers.clone(),
        tasks.clone(),
    );
    tasks.spawn(borrower.run());
    lender
}
