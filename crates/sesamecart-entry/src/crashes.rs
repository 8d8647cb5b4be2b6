//! Requests that crash the endpoints that run them: what this node observes, tells the other nodes and
//! decides.
//!
//! The rules are in [`sesamecart_fleet::CrashTracker`]; docs/design/crashing-requests.md describes them.

mod monitor;
mod probe;
mod suspect_client;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use event_listener::{Event as Notifier, EventListener};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_fleet::{
    CrashReport, CrashTracker, CrashedRun, EndpointCrash, RequestOrigin, SuspectStarts,
    SuspectedPart, Suspects, Suspicion, UncheckedCrash,
};
use sesamecart_vocabulary::Fingerprint;

pub(crate) use crate::crashes::monitor::CrashMonitor;
pub(crate) use crate::crashes::probe::{Liveness, probe};
pub(crate) use crate::crashes::suspect_client::{SuspectClient, encode_decision};

/// The maximum number of interrupted runs that wait for a check. Further ones leave no evidence.
const MAX_WAITING_RUNS: usize = 1_024;

/// A report as a node publishes it.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PublishedReport {
    /// Rises with each report of the node.
    #[serde(default)]
    pub(crate) revision: u64,
    #[serde(flatten)]
    pub(crate) report: CrashReport,
}

/// A run that ended because its endpoint closed the connection.
#[derive(Debug)]
pub(crate) struct InterruptedRun {
    pub(crate) suspects: Arc<Suspects>,
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
    /// What is known about the request and the parts of its prompt, unless nothing is.
    pub(crate) suspicions: IndexMap<Fingerprint, Suspicion>,
    /// The ends of their last runs, if it is still being checked whether these were crashes.
    pub(crate) unchecked: Vec<UncheckedCrash>,
    /// Whether the next crash may be the last one before the request, or one with a part of its prompt, is blocked.
    pub(crate) is_last_chance: bool,
}

impl SendContext {
    fn new(
        suspects: &Suspects,
        suspicions: IndexMap<Fingerprint, Suspicion>,
        unchecked: Vec<UncheckedCrash>,
    ) -> Self {
        let is_last_chance = suspicions.iter().any(|(suspect, suspicion)| {
            let is_unchecked = unchecked.iter().any(|end| end.suspect == *suspect);
            let crashes = suspicion.crashes + u32::from(is_unchecked);
            crashes + 1 >= suspects.kind_of(suspect).crash_limit(suspicion.clearances)
        });
        Self {
            suspicions,
            unchecked,
            is_last_chance,
        }
    }

    fn suspicion(&self, suspect: &Fingerprint) -> Suspicion {
        self.suspicions.get(suspect).copied().unwrap_or_default()
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
    /// The end of the last interrupted run of each suspect, while it is being checked whether it was a crash.
    unchecked: Mutex<IndexMap<Fingerprint, EndpointCrash>>,
    /// The suspected requests that this node is running.
    running_suspects: Mutex<IndexSet<Fingerprint>>,
    /// Of all nodes, for the suspected requests that this node decides about.
    suspect_starts: Mutex<SuspectStarts>,
    /// The revision of this node's last report.
    revision: AtomicU64,
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
            revision: AtomicU64::new(0),
            changed: Notifier::new(),
            interrupted,
            to_check,
        }
    }

    /// Returns the next report to publish.
    fn next_published(&self, report: CrashReport) -> PublishedReport {
        PublishedReport {
            revision: 1 + self.revision.fetch_add(1, Ordering::AcqRel),
            report,
        }
    }

    /// Continues after the last revision that the topic has of this node.
    pub(crate) fn continue_revisions(&self, last: u64) {
        self.revision.fetch_max(last, Ordering::AcqRel);
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

    /// Returns what is known about a request, whose fingerprints are computed only if anything is known about
    /// any request.
    pub(crate) fn send_context(&self, suspects: impl FnOnce() -> Arc<Suspects>) -> SendContext {
        let unchecked = self.unchecked();
        let tracker = self.tracker();
        if tracker.is_empty() && unchecked.is_empty() {
            return SendContext::default();
        }
        let suspects = suspects();
        let suspicions = suspects.fingerprints();
        let suspicions = suspicions.map(|suspect| (suspect, tracker.suspicion(&suspect)));
        let ends = suspects.fingerprints().filter_map(|suspect| {
            let crash = unchecked.get(&suspect).cloned()?;
            Some(UncheckedCrash { suspect, crash })
        });
        SendContext::new(&suspects, suspicions.collect(), ends.collect())
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
        let (suspects, crash) = (Arc::clone(&run.suspects), run.crash.clone());
        let ends = suspects
            .fingerprints()
            .map(|suspect| (suspect, crash.clone()));
        self.unchecked().extend(ends);
        if self.interrupted.try_send(run).is_err() {
            self.end_check(&suspects, &crash);
            log::debug!("crashes: too many interrupted runs wait for a check.");
        }
    }

    /// Records that the check of an interrupted run has ended.
    fn end_check(&self, suspects: &Suspects, crash: &EndpointCrash) {
        let mut unchecked = self.unchecked();
        for suspect in suspects.fingerprints() {
            if unchecked.get(&suspect) == Some(crash) {
                unchecked.swap_remove(&suspect);
            }
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
        let request = self.suspects.request;
        let parts = self.suspects.parts.iter().map(|part| SuspectedPart {
            part: part.fingerprint,
            suspicion: self.context.suspicion(&part.fingerprint),
        });
        let parts: Vec<SuspectedPart> = parts.collect();
        CrashedRun {
            request,
            crash: self.crash.clone(),
            suspicion: self.context.suspicion(&request),
            ran_ms: u32::try_from(self.ran.as_millis()).unwrap_or(u32::MAX),
            customer: self.suspects.customer.clone().filter(|_| !parts.is_empty()),
            parts,
        }
    }

    fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Acquire)
    }
}
