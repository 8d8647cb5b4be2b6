//! Requests that crash the endpoints that run them: what this node observes, tells the other nodes and
//! decides.
//!
//! The rules are in [`sesamecart_fleet::CrashTracker`]; docs/design/crashing-requests.md describes them.

mod monitor;
mod probe;
mod suspect_client;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use event_listener::{Event as Notifier, EventListener};
use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::{
    CRASH_LIMIT, CrashTracker, CrashedRun, EndpointCrash, RequestOrigin, SuspectStarts, Suspicion,
};
use sesamecart_vocabulary::Fingerprint;

pub(crate) use crate::crashes::monitor::CrashMonitor;
pub(crate) use crate::crashes::suspect_client::{SuspectClient, encode_decision};

/// The maximum number of interrupted runs that wait for a check. Further ones leave no evidence.
const MAX_WAITING_RUNS: usize = 1_024;

/// A run that ended because its endpoint closed the connection.
#[derive(Debug)]
pub(crate) struct InterruptedRun {
    pub(crate) request: Fingerprint,
    pub(crate) crash: EndpointCrash,
    pub(crate) context: SendContext,
    /// The time since the first sign of the response.
    pub(crate) ran: Duration,
    pub(crate) origin: RequestOrigin,
    pub(crate) address: SocketAddr,
    /// Set when the request ends without a complete response.
    pub(crate) has_failed: Arc<AtomicBool>,
    /// Closed once it is known whether the endpoint has crashed.
    pub(crate) checked: Sender<()>,
}

/// What a node knows about a request when it sends it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendContext {
    pub(crate) suspicion: Suspicion,
    /// The end of the last run of the request, if it is still being checked whether it was a crash.
    pub(crate) unchecked: Option<EndpointCrash>,
}

impl SendContext {
    /// Returns whether the next crash may be the last one before the request is blocked.
    pub(crate) const fn is_last_chance(&self) -> bool {
        self.suspicion.crashes + self.unchecked.is_some() as u32 + 1 >= CRASH_LIMIT
    }
}

/// The only run of a suspected request on this node. It ends when this value is dropped.
#[derive(Debug)]
pub(crate) struct SuspectRun {
    crashes: Arc<Crashes>,
    request: Fingerprint,
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.crashes.running_suspects().swap_remove(&self.request);
    }
}

/// What a node knows about crashes, shared by its threads.
#[derive(Debug)]
pub(crate) struct Crashes {
    tracker: Mutex<CrashTracker>,
    /// The last interrupted run of each request, while it is being checked whether it was a crash.
    unchecked: Mutex<IndexMap<Fingerprint, EndpointCrash>>,
    /// The suspected requests that this node is running.
    running_suspects: Mutex<IndexSet<Fingerprint>>,
    /// Of all nodes, for the suspected requests that this node decides about.
    suspect_starts: Mutex<SuspectStarts>,
    changed: Notifier,
    interrupted: Sender<InterruptedRun>,
    to_check: Receiver<InterruptedRun>,
}

impl Crashes {
    pub(crate) fn new() -> Self {
        let (interrupted, to_check) = async_channel::bounded(MAX_WAITING_RUNS);
        Self {
            tracker: Mutex::default(),
            unchecked: Mutex::default(),
            running_suspects: Mutex::default(),
            suspect_starts: Mutex::default(),
            changed: Notifier::new(),
            interrupted,
            to_check,
        }
    }

    pub(crate) fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn suspect_starts(&self) -> MutexGuard<'_, SuspectStarts> {
        self.suspect_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn unchecked(&self) -> MutexGuard<'_, IndexMap<Fingerprint, EndpointCrash>> {
        self.unchecked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known about a request, whose fingerprint is computed only if anything is known about
    /// any request.
    pub(crate) fn send_context(&self, fingerprint: impl FnOnce() -> Fingerprint) -> SendContext {
        let unchecked = self.unchecked();
        let tracker = self.tracker();
        if tracker.is_empty() && unchecked.is_empty() {
            return SendContext::default();
        }
        let fingerprint = fingerprint();
        SendContext {
            suspicion: tracker.suspicion(&fingerprint),
            unchecked: unchecked.get(&fingerprint).cloned(),
        }
    }

    /// Starts a run of a suspected request, unless this node is already running one.
    pub(crate) fn start_suspect(self: &Arc<Self>, request: Fingerprint) -> Option<SuspectRun> {
        self.running_suspects().insert(request).then(|| SuspectRun {
            crashes: Arc::clone(self),
            request,
        })
    }

    fn running_suspects(&self) -> MutexGuard<'_, IndexSet<Fingerprint>> {
        self.running_suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues the check whether the endpoint of an interrupted run has crashed.
    pub(crate) fn check(&self, run: InterruptedRun) {
        let (request, crash) = (run.request, run.crash.clone());
        self.unchecked().insert(request, crash.clone());
        if self.interrupted.try_send(run).is_err() {
            self.end_check(&request, &crash);
            log::debug!("crashes: too many interrupted runs wait for a check.");
        }
    }

    /// Records that the check of an interrupted run has ended.
    fn end_check(&self, request: &Fingerprint, crash: &EndpointCrash) {
        let mut unchecked = self.unchecked();
        if unchecked.get(request) == Some(crash) {
            unchecked.swap_remove(request);
        }
    }

    /// Wakes the monitor after a change of the evidence.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

impl InterruptedRun {
    fn crashed_run(&self) -> CrashedRun {
        CrashedRun {
            request: self.request,
            crash: self.crash.clone(),
            suspicion: self.context.suspicion,
            ran_ms: u32::try_from(self.ran.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Acquire)
    }
}
