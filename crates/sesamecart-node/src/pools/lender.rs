//! The owner's side: this node lends the allowances of the endpoints that it owns.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_config::{Endpoint, EndpointKind};
use sesamecart_decisions::allowance::{Allowance, Demand, LoadReport, Sample};
use sesamecart_decisions::settings::AllowanceSettings;
use sesamecart_edges::HttpClient;
use sesamecart_links::message::{
    BorrowPermitsReply, BorrowPermitsRequest, EndpointDemand, EndpointSlice,
};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{Concurrency, EndpointId, NodeId, Permits, Timestamp, Tokens};

use super::cell::limits_of;
use super::owners::Owners;
use crate::groups::{Load, fetch_load};
use crate::shared::Shared;
use crate::snapshot::Snapshot;

/// How often the owner looks at its endpoints' load.
const LOAD_POLL: Duration = Duration::from_millis(500);

/// The allowances of the endpoints that this node owns.
#[derive(Debug)]
pub(crate) struct Lender {
    shared: Arc<Shared>,
    owners: Owners,
    cfg: AllowanceSettings,
    books: Mutex<Books>,
}

#[derive(Debug, Default)]
struct Books {
    allowances: IndexMap<EndpointId, Owned>,
    looked_at: Timestamp,
    /// The configuration and the owners to which the allowances were last brought up.
    seen: Option<(Arc<Snapshot>, u64)>,
}

/// An endpoint that this node owns.
#[derive(Debug)]
struct Owned {
    allowance: Allowance,
    takes_work: bool,
}

impl Lender {
    pub(crate) fn new(shared: Arc<Shared>, owners: Owners, cfg: AllowanceSettings) -> Arc<Self> {
        Arc::new(Self {
            shared,
            owners,
            cfg,
            books: Mutex::default(),
        })
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps an allowance for each endpoint that this node owns, and for no other.
    ///
    /// A process that was paused for longer than a slice may have been passed over meanwhile, and
    /// what another owner lent isn't in its books; it begins anew and waits that out.
    pub(super) fn look(&self, snapshot: &Arc<Snapshot>) {
        let now = self.shared.clock.now();
        let owners = self.owners.version(now);
        let mut books = self.books();
        let paused = now - books.looked_at > self.cfg.slice_duration();
        if paused {
            books.allowances.clear();
        }
        books.looked_at = now;
        let is_seen = |(seen, version): &(Arc<Snapshot>, u64)| {
            Arc::ptr_eq(seen, snapshot) && *version == owners
        };
        if !paused && books.seen.as_ref().is_some_and(is_seen) {
            return;
        }
        books.seen = Some((Arc::clone(snapshot), owners));
        let endpoints = &snapshot.configuration.endpoints;
        books
            .allowances
            .retain(|id, _| endpoints.contains_key(id) && self.owners.is_mine(id, now));
        for (id, endpoint) in endpoints {
            if !self.owners.is_mine(id, now) {
                continue;
            }
            let limits = limits_of(endpoint);
            let takes_work = snapshot.takes_work(id);
            let owned = books.allowances.entry(id.clone()).or_insert_with(|| Owned {
                allowance: self.begin(now, endpoint),
                takes_work,
            });
            let limit = owned.allowance.limit_mut();
            if limit.configured_limits() != limits {
                limit.set_configured_limits(limits);
            }
            // It is cold when it comes back. Nodes hear of that at different times, so it counts as
            // cold from the drain on, and again from the return, as its last work may have warmed it.
            if owned.takes_work != takes_work {
                limit.reset_to_cold(now);
            }
            owned.takes_work = takes_work;
        }
    }

    /// Begins to keep an endpoint's allowance; a group must first be seen to be whole.
    fn begin(&self, now: Timestamp, endpoint: &Endpoint) -> Allowance {
        let mut allowance = Allowance::new(now, limits_of(endpoint), self.cfg);
        if matches!(endpoint.kind, EndpointKind::Group(_)) {
            allowance.limit_mut().set_ready(false);
        }
        allowance
    }

    /// Answers another node's demands.
    pub(crate) fn lend(&self, request: &BorrowPermitsRequest) -> Option<BorrowPermitsReply> {
        // A later life of the node has another clock and other requests in flight.
        let borrower = format!("{}.{}", request.node, request.incarnation);
        let borrower: NodeId = borrower.parse().ok()?;
        let asked = Timestamp(request.asked_us);
        let slices = request
            .demands
            .iter()
            .filter_map(|demand| self.lend_one(&borrower, asked, demand));
        Some(BorrowPermitsReply {
            slices: slices.collect(),
        })
    }

    fn lend_one(
        &self,
        borrower: &NodeId,
        asked: Timestamp,
        wanted: &EndpointDemand,
    ) -> Option<EndpointSlice> {
        let id: EndpointId = wanted.endpoint.parse().ok()?;
        let now = self.shared.clock.now();
        let demand = read_demand(asked, wanted);
        let mut books = self.books();
        let Some(owned) = books.allowances.get_mut(&id) else {
            return Some(EndpointSlice {
                endpoint: wanted.endpoint.clone(),
                owner: Some(self.owners.of(&id, now).to_string()),
                ..EndpointSlice::default()
            });
        };
        let slice = owned.allowance.borrow(now, borrower, &demand);
        Some(EndpointSlice {
            endpoint: wanted.endpoint.clone(),
            permits: slice.permits.0,
            valid_ms: u64::try_from(slice.valid_for.as_millis()).unwrap_or(u64::MAX),
            epoch: 0,
            owner: None,
        })
    }

    /// Reads the load reports of the endpoints that this node owns, until the thread stops.
    pub(crate) async fn read_loads(self: Arc<Self>, client: HttpClient) {
        loop {
            sleep(LOAD_POLL).await;
            let snapshot = self.shared.snapshot.load_full();
            let mine: Vec<EndpointId> = self.books().allowances.keys().cloned().collect();
            let endpoints = &snapshot.configuration.endpoints;
            let reads = mine.into_iter().filter_map(|id| {
                let peer = endpoints.get(&id)?.address;
                Some(self.read_load(&client, id, peer))
            });
            futures_util::future::join_all(reads).await;
        }
    }

    async fn read_load(&self, client: &HttpClient, id: EndpointId, peer: std::net::SocketAddr) {
        let asked_at = self.shared.clock.now();
        let load = fetch_load(client, peer).await;
        if load.is_none() {
            log::debug!("lender: {id} reports no load.");
        }
        let now = self.shared.clock.now();
        let gate = &self.shared.gate;
        let folded = &self.shared.folded;
        let open = folded.with(|state| gate.take(state, &id, load.as_ref(), asked_at, now));
        if let Some(owned) = self.books().allowances.get_mut(&id) {
            let allowance = &mut owned.allowance;
            match load {
                Some(load) => allowance.report(now, &report_of(&load, open)),
                None => allowance.limit_mut().set_ready(open),
            }
        }
    }
}

fn report_of(load: &Load, ready: bool) -> LoadReport {
    LoadReport {
        incarnation: load.incarnation,
        running: Concurrency(load.running),
        ready,
    }
}

fn read_demand(asked: Timestamp, wanted: &EndpointDemand) -> Demand {
    Demand {
        sent_at: asked,
        wanted: Permits(wanted.wanted),
        in_flight: Permits(wanted.in_flight),
        sample: Sample {
            finished: wanted.finished,
            failed: wanted.failed,
            latency_sum: Duration::from_micros(wanted.latency_sum_us),
            tokens: Tokens(wanted.tokens),
        },
    }
}
