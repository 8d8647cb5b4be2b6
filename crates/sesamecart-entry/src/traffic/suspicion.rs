//! Treats requests according to the crashes that are attributed to them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use sesamecart_fleet::{
    AdmittedSuspect, CrashAdmission, Endpoint, EndpointCrash, RequestOrigin, suspect_endpoint,
};
use sesamecart_runtime::with_timeout;

use crate::clock;
use crate::crashes::{InterruptedRun, SendContext, SuspectRun};
use crate::traffic::call::{Attempts, Call};
use crate::traffic::in_flight::InFlightRequest;
use crate::traffic::refusal::{CrashRefusal, Refusal};

/// How long a suspected request waits for the check whether its endpoint has crashed, before it is sent on.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// When the caller of a suspected request may try again while this node is running another copy of it.
const OTHER_COPY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Call {
    /// Returns what is known about the request now.
    pub(super) fn send_context(&self) -> SendContext {
        self.state.crashes.send_context(|| self.suspects())
    }

    /// Returns whether the request may be sent to an endpoint.
    ///
    /// Returns `None` if it isn't suspected, like all others.
    fn crash_admission(&self) -> Option<AdmittedSuspect> {
        let tracker = self.state.crashes.tracker();
        if tracker.is_empty() {
            return None;
        }
        let admitted = tracker.admission_of(clock::now(), &self.suspects());
        (admitted.admission != CrashAdmission::Allowed).then_some(admitted)
    }

    /// Allows the request to be sent to an endpoint, with a guard if it is suspected.
    ///
    /// # Errors
    ///
    /// Refuses a request that may crash its endpoint, or of which a node is already running a copy.
    pub(super) async fn admit_to_endpoint(&self) -> Result<Option<SuspectRun>, Refusal> {
        let Some(AdmittedSuspect { suspect, admission }) = self.crash_admission() else {
            return Ok(None);
        };
        let refused = |is_blocked, retry_after| {
            Err(Refusal::Crashing(CrashRefusal {
                fingerprint: suspect,
                kind: self.suspects().kind_of(&suspect),
                is_blocked,
                retry_after,
            }))
        };
        match admission {
            CrashAdmission::Allowed => Ok(None),
            CrashAdmission::Undecided(remaining) => refused(false, remaining),
            CrashAdmission::Blocked(remaining) => refused(true, remaining),
            CrashAdmission::Restricted => {
                let run = self.state.crashes.start_suspect(suspect);
                let Some(run) = run else {
                    return refused(false, OTHER_COPY_RETRY_AFTER);
                };
                // The node that has sent the request to this one has asked.
                if self.hop.is_none()
                    && let Err(retry_after) = self.suspect_starts.try_start(suspect).await
                {
                    return refused(false, retry_after);
                }
                Ok(Some(run))
            }
        }
    }

    /// Reduces the endpoints to the one of all `candidates` that a suspected request may be sent to.
    ///
    /// Endpoints that are known to have crashed are left out. If the remaining one can't be reached, a copy of the
    /// request from another node may just have crashed it, and the request isn't sent to another endpoint until that
    /// node would have reported it.
    pub(super) fn restrict(
        &self,
        attempts: &Attempts,
        candidates: &[&Arc<Endpoint>],
        endpoints: &mut Vec<&Arc<Endpoint>>,
    ) {
        let admitted = self.crash_admission();
        let restricted =
            admitted.filter(|admitted| admitted.admission == CrashAdmission::Restricted);
        let Some(AdmittedSuspect { suspect, .. }) = restricted else {
            return;
        };
        let has_run =
            |endpoint: &Endpoint| attempts.may_have_run() && attempts.tried.contains(&endpoint.id);
        let now = clock::now();
        let tracker = self.state.crashes.tracker();
        let candidates = candidates.iter().filter(|endpoint| {
            !has_run(endpoint) && !tracker.is_left_out(now, &EndpointCrash::of(endpoint))
        });
        let candidates: Vec<_> = candidates.collect();
        drop(tracker);
        let ids = candidates.iter().map(|endpoint| &endpoint.id);
        let chosen = suspect_endpoint(&suspect, ids).map(|index| &candidates[index].id);
        endpoints.retain(|endpoint| Some(&endpoint.id) == chosen);
    }

    /// Starts the check whether the endpoint that closed the connection has crashed. Returns a channel that
    /// is closed after the check.
    pub(super) fn check_for_crash(&self, interrupted: &InFlightRequest) -> Receiver<()> {
        let (checked, closed) = async_channel::bounded(1);
        let endpoint = &interrupted.endpoint;
        let suspects = self.suspects();
        self.state.crashes.check(InterruptedRun {
            crash: EndpointCrash::of(endpoint),
            context: interrupted.context.clone(),
            ran: interrupted.ran(),
            origin: RequestOrigin::new(&self.route.name, &suspects),
            suspects,
            address: endpoint.address,
            has_failed: Arc::clone(&self.has_failed),
            checked,
        });
        closed
    }

    /// Waits for the check of an interrupted run if the run may decide whether the request is blocked.
    pub(super) async fn wait_for_check(&self, context: &SendContext, closed: Receiver<()>) {
        if !context.is_last_chance {
            return;
        }
        if with_timeout(CHECK_TIMEOUT, closed.recv()).await.is_err() {
            log::debug!("traffic: {}: the check takes too long.", self.metadata.id);
        }
    }

    /// Records that the request ended without a complete response.
    pub(crate) fn record_failure(&self) {
        self.has_failed.store(true, Ordering::Release);
        let mut tracker = self.state.crashes.tracker();
        if !tracker.is_empty() {
            tracker.record_failure(clock::now(), &self.fingerprint());
        }
    }

    /// Records that an endpoint ran the request to the end.
    pub(crate) fn record_completion(&self) {
        let mut tracker = self.state.crashes.tracker();
        if tracker.is_empty() {
            return;
        }
        let now = clock::now();
        let suspects = self.suspects();
        let is_cleared = tracker.record_completion(now, &suspects.request);
        let parts = suspects.parts.iter().map(|part| part.fingerprint);
        let has_cleared_parts = tracker.record_harmless_parts(now, parts);
        drop(tracker);
        if is_cleared || has_cleared_parts {
            self.state.crashes.notify();
        }
    }
}
