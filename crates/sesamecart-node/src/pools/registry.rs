//! All pools of this node, and the way into them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use indexmap::IndexMap;
use sesamecart_config::Settings;
use sesamecart_decisions::admission::{RefusalReason, Request, Ticket};
use sesamecart_decisions::pool::{NodeTopology, Placement, StartedRequest};
use sesamecart_decisions::routing::EndpointState;
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_runtime::{Clock, sleep};
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::cell::{PoolCell, PoolKey, Verdict};
use super::turn::Turn;
use crate::snapshot::Snapshot;
use crate::traffic::Refusal;

/// A request that asks for a turn.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The endpoints among which it may be sent.
    pub(crate) key: PoolKey,
    /// What admission knows of it; the ticket is given here.
    pub(crate) request: Request,
    /// Whether it had a turn before, whose attempt failed.
    pub(crate) again: bool,
}

/// All pools of this node; traffic threads and the control thread share it.
#[derive(Debug)]
pub(crate) struct Pools {
    cfg: DecisionSettings,
    clock: Clock,
    place: Mutex<NodeTopology>,
    tickets: AtomicU64,
    remakes: AtomicU64,
    cells: Mutex<Cells>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

#[derive(Debug, Default)]
struct Cells {
    current: IndexMap<PoolKey, Arc<PoolCell>>,
    /// Pools whose endpoints have changed and whose last requests still run.
    retired: Vec<Arc<PoolCell>>,
}

impl Pools {
    pub(crate) fn new(settings: &Settings, clock: Clock) -> Arc<Self> {
        let (wake, woken) = async_channel::bounded(1);
        let place = NodeTopology {
            node: settings.node.clone(),
            domain: settings.failure_domain.clone(),
            nodes: vec![settings.node.clone()],
        };
        Arc::new(Self {
            cfg: settings.decisions,
            clock,
            place: Mutex::new(place),
            tickets: AtomicU64::new(1),
            remakes: AtomicU64::new(0),
            cells: Mutex::default(),
            wake,
            woken,
        })
    }

    pub(crate) const fn cfg(&self) -> &DecisionSettings {
        &self.cfg
    }

    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Asks the borrowing task to look at once whether permits are wanted.
    pub(super) fn wake(&self) {
        let _already = self.wake.try_send(());
    }

    /// Waits until permits may be wanted, or for `limit`.
    pub(super) async fn woken(&self, limit: Duration) {
        let woken = async {
            let _woken = self.woken.recv().await;
        };
        future::or(woken, sleep(limit)).await;
    }

    fn cells(&self) -> MutexGuard<'_, Cells> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all pools that hold or want permits.
    pub(super) fn all(&self) -> Vec<Arc<PoolCell>> {
        let cells = self.cells();
        let current = cells.current.values();
        current.chain(&cells.retired).cloned().collect()
    }

    /// Takes over a new picture of the control state, and which nodes there are.
    pub(super) fn apply(&self, snapshot: &Snapshot, nodes: Vec<NodeId>) {
        self.place
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .nodes = nodes;
        let now = self.now();
        let mut cells = self.cells();
        let stale: Vec<PoolKey> = cells
            .current
            .iter()
            .filter(|(key, cell)| !cell.is_current(key, snapshot))
            .map(|(key, _)| key.clone())
            .collect();
        for key in stale {
            let retired = cells.current.swap_remove(&key);
            cells.retired.extend(retired);
        }
        cells.retired.retain(|cell| !cell.is_idle());
        for cell in cells.current.values().chain(&cells.retired) {
            cell.apply(now, snapshot);
            cell.lock().settle(now);
        }
    }

    fn cell(&self, key: &PoolKey, snapshot: &Snapshot) -> Arc<PoolCell> {
        let mut cells = self.cells();
        if let Some(cell) = cells.current.get(key) {
            return Arc::clone(cell);
        }
        let remake = self.remakes.fetch_add(1, Ordering::Relaxed);
        let place = self.place.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = PoolCell::new(key, snapshot, &place, remake, self.cfg);
        cell.apply(self.now(), snapshot);
        cells.current.insert(key.clone(), Arc::clone(&cell));
        cell
    }

    /// Waits for a turn of a request, or for its refusal, which is final.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        snapshot: &Snapshot,
        entry: Entry,
    ) -> Result<Turn, Refusal> {
        let cell = self.cell(&entry.key, snapshot);
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let kv = entry.request.kv;
        let (tell, told) = async_channel::bounded(1);
        let placement = {
            let now = self.now();
            let mut inner = cell.lock();
            let is_active = |state| state == EndpointState::Active;
            if !inner
                .pool
                .endpoints()
                .iter()
                .any(|known| is_active(known.state))
            {
                return Err(Refusal::NoEndpoint);
            }
            let request = Request {
                ticket,
                ..entry.request
            };
            let placement = if entry.again {
                inner.pool.offer_retry(now, request)
            } else {
                inner.pool.offer(now, request)
            };
            match placement {
                Placement::Run(_) => inner.turns += 1,
                Placement::Wait => {
                    inner.waiters.insert(ticket, tell);
                }
                Placement::Refuse(_) => {}
            }
            placement
        };
        let start = match placement {
            Placement::Run(start) => start,
            Placement::Refuse(refusal) => return Err(refused(&refusal)),
            Placement::Wait => self.wait(&cell, ticket, kv, told).await?,
        };
        Ok(Turn::new(Arc::clone(self), cell, start, kv))
    }

    async fn wait(
        self: &Arc<Self>,
        cell: &Arc<PoolCell>,
        ticket: Ticket,
        kv: sesamecart_vocabulary::Tokens,
        told: Receiver<Verdict>,
    ) -> Result<StartedRequest, Refusal> {
        self.wake();
        let mut waiting = Waiting {
            pools: self,
            cell,
            ticket,
            kv,
            told: &told,
            done: false,
        };
        let verdict = told.recv().await;
        waiting.done = true;
        match verdict {
            Ok(Verdict::Start(start)) => Ok(start),
            Ok(Verdict::Refuse(refusal)) => Err(refused(&refusal)),
            Err(_) => Err(Refusal::NoEndpoint),
        }
    }
}

/// A request that waits; when its caller leaves, it is dropped and takes no turn.
struct Waiting<'a> {
    pools: &'a Arc<Pools>,
    cell: &'a Arc<PoolCell>,
    ticket: Ticket,
    kv: sesamecart_vocabulary::Tokens,
    told: &'a Receiver<Verdict>,
    done: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut inner = self.cell.lock();
        inner.waiters.swap_remove(&self.ticket);
        inner.pool.cancel(self.ticket);
        drop(inner);
        // The turn may have been given in the moment in which the caller left. Without giving it
        // back its permit would be lost until the node restarts.
        if let Ok(Verdict::Start(start)) = self.told.try_recv() {
            let cell = Arc::clone(self.cell);
            drop(Turn::new(Arc::clone(self.pools), cell, start, self.kv));
        }
    }
}

fn refused(refusal: &sesamecart_decisions::admission::Refusal) -> Refusal {
    match refusal.reason {
        RefusalReason::TooLarge => Refusal::TooLarge(refusal.reason.to_string()),
        RefusalReason::Deadline | RefusalReason::QueueFull | RefusalReason::Displaced => {
            Refusal::Overloaded {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            }
        }
    }
}
