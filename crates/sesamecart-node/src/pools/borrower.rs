//! The borrower's side: this node asks the endpoints' owners for slices.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_decisions::allowance::Slice;
use sesamecart_decisions::pool::EndpointDemand as Wanted;
use sesamecart_links::Links;
use sesamecart_links::message::{
    BorrowPermitsReply, BorrowPermitsRequest, EndpointDemand, EndpointSlice,
};
use sesamecart_runtime::{Tasks, with_timeout};
use sesamecart_vocabulary::{EndpointId, NodeId, Permits, Timestamp};

use super::cell::PoolCell;
use super::lender::Lender;
use super::owners::Owners;
use super::registry::Pools;
use crate::control::Peers;
use crate::shared::Shared;

/// How often it is looked whether slices are to be renewed and waiting requests have expired.
const TICK: Duration = Duration::from_millis(50);

/// Borrows for all pools of this node.
#[derive(Debug)]
pub(crate) struct Borrower {
    shared: Arc<Shared>,
    pools: Arc<Pools>,
    lender: Arc<Lender>,
    owners: Owners,
    peers: Peers,
    links: Links,
    tasks: Tasks,
}

/// One pool's demands to one owner.
#[derive(Debug)]
struct Errand {
    cell: Arc<PoolCell>,
    owner: NodeId,
    asked: Timestamp,
    request: BorrowPermitsRequest,
}

impl Borrower {
    pub(crate) fn new(
        shared: Arc<Shared>,
        lender: Arc<Lender>,
        owners: Owners,
        peers: Peers,
        tasks: Tasks,
    ) -> Arc<Self> {
        Arc::new(Self {
            pools: Arc::clone(&shared.pools),
            links: peers.links().clone(),
            shared,
            lender,
            owners,
            peers,
            tasks,
        })
    }

    /// Borrows until the thread stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut applied = self.shared.snapshot.load_full();
        loop {
            self.pools.woken(TICK).await;
            let snapshot = self.shared.snapshot.load_full();
            self.lender.look(&snapshot);
            if !Arc::ptr_eq(&applied, &snapshot) {
                self.pools.apply(&snapshot, self.nodes());
                applied = snapshot;
            }
            for cell in self.pools.all() {
                self.borrow_for(&cell);
            }
        }
    }

    fn nodes(&self) -> Vec<NodeId> {
        let others = self.peers.all().into_iter().map(|peer| peer.node);
        others.chain([self.owners.me().clone()]).collect()
    }

    fn borrow_for(self: &Arc<Self>, cell: &Arc<PoolCell>) {
        let now = self.pools.now();
        let by_owner = {
            let mut inner = cell.lock();
            inner.settle(now);
            let mut by_owner: IndexMap<NodeId, Vec<EndpointDemand>> = IndexMap::new();
            for wanted in inner.pool.due_demands(now) {
                let id = inner.pool.endpoints()[wanted.endpoint].id.clone();
                let owner = self.owners.of(&id, now);
                by_owner
                    .entry(owner)
                    .or_default()
                    .push(message(&id, &wanted));
            }
            by_owner
        };
        for (owner, demands) in by_owner {
            let errand = Errand {
                cell: Arc::clone(cell),
                owner,
                asked: now,
                request: BorrowPermitsRequest {
                    node: cell.borrower.to_string(),
                    incarnation: self.shared.identity.incarnation.0,
                    demands,
                    asked_us: now.0,
                },
            };
            if errand.owner == *self.owners.me() {
                let reply = self.lender.lend(&errand.request);
                self.take(&errand, reply.unwrap_or_default());
            } else {
                let borrower = Arc::clone(self);
                self.tasks.spawn(async move { borrower.ask(errand).await });
            }
        }
    }

    async fn ask(&self, errand: Errand) {
        let Some(address) = self.owners.address(&errand.owner) else {
            return;
        };
        let mut link = self.links.to(address);
        let limit = self.pools.cfg().allowance.borrow_timeout();
        let reply = with_timeout(limit, link.borrow_permits(errand.request.clone())).await;
        let reply = reply.ok().and_then(Result::ok);
        self.owners
            .note(&errand.owner, reply.is_some(), self.pools.now());
        match reply {
            Some(reply) => self.take(&errand, reply.into_inner()),
            None => log::debug!("borrower: {} does not answer.", errand.owner),
        }
    }

    fn take(&self, errand: &Errand, reply: BorrowPermitsReply) {
        let mut inner = errand.cell.lock();
        for slice in reply.slices {
            let id = slice.endpoint.parse::<EndpointId>().ok();
            let endpoint = id.and_then(|id| inner.pool.endpoint_index(&id));
            if let (Some(endpoint), None) = (endpoint, &slice.owner) {
                inner
                    .pool
                    .apply_slice(errand.asked, endpoint, read_slice(&slice));
            }
        }
        inner.settle(self.pools.now());
    }
}

fn message(id: &EndpointId, wanted: &Wanted) -> EndpointDemand {
    let demand = &wanted.demand;
    let micros = u64::try_from(demand.sample.latency_sum.as_micros()).unwrap_or(u64::MAX);
    EndpointDemand {
        endpoint: id.to_string(),
        wanted: demand.wanted.0,
        in_flight: demand.in_flight.0,
        finished: demand.sample.finished,
        failed: demand.sample.failed,
        latency_sum_us: micros,
        tokens: demand.sample.tokens.0,
    }
}

fn read_slice(slice: &EndpointSlice) -> Slice {
    Slice {
        permits: Permits(slice.permits),
        valid_for: Duration::from_millis(slice.valid_ms),
    }
}
