//! Finds requests that crash the endpoints that run them, and parts of prompts that do, and blocks them.
//!
//! A caller that gets no response sends its request again, to any node. Each node would treat it as a new
//! request and send it to one endpoint after another, and each of them would crash, with all other requests
//! that it is running. The same happens if different requests share a part of their prompts that crashes
//! endpoints. Nodes therefore tell each other which requests were in flight at a crash. Most of these only
//! shared the endpoint; they are cleared as soon as they complete elsewhere.
//!
//! A suspect is whatever a crash may be attributed to: a whole request, or a part of its prompt.
//! docs/design/crashing-requests.md describes the rules.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, EndpointId, Fingerprint, NodeId, Timestamp};

mod admission;
mod assessment;
mod harmless_parts;
mod own_evidence;
#[cfg(test)]
mod part_tests;
mod report;
mod sharing;
#[cfg(test)]
mod simulation_tests;
mod suspect_starts;
mod suspects;
#[cfg(test)]
mod tests;

pub use admission::{
    AdmittedSuspect, BlockChange, BlockEnd, CrashAdmission, NeighborCheck, suspect_endpoint,
};
use assessment::Assessment;
use harmless_parts::HarmlessParts;
use own_evidence::{OwnBlock, OwnClearance, OwnRun, probation};
pub use report::{
    BlockedRequest, Clearance, ClearanceCause, CrashReport, CrashedRun, EndpointCrash,
    RequestOrigin, SuspectedPart, Suspicion,
};
use sharing::Published;
pub use suspect_starts::SuspectStarts;
pub use suspects::{SharedPart, SuspectKind, Suspects};

/// How long a run has to last to show that the parts of its prompt are harmless, though it was interrupted then. A
/// part that crashes endpoints does so when the response begins.
const HARMLESS_RUN_TIME: Duration = Duration::from_millis(500);

/// How long a request stays blocked, and how long evidence about it is kept.
///
/// After that the request gets one more chance: the next crash blocks it again.
pub const BLOCK_TTL: Duration = Duration::from_secs(600);

/// The time from a crash to the decision whether to block a request.
///
/// Meanwhile the other nodes report which of their requests were in flight at the crash, and most of these
/// complete elsewhere or crash another endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The maximum time between the crashes of endpoints that were lost for the same reason.
const SIMULTANEITY: Duration = Duration::from_secs(1);

/// How long a request is refused after each crash from which on it may be blocked. If it isn't blocked by
/// then, because other requests come into question or the node that decides has stopped, it is sent again.
const DECISION_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a node keeps the evidence about a request that is still running elsewhere to itself. Almost all
/// complete in that time. Otherwise a crash of many endpoints would have all nodes report to all others at once.
const SHARE_DELAY: Duration = Duration::from_secs(5);

/// How long a clearance is kept at least, because requests that were sent before it may still be running.
const CLEARANCE_TTL: Duration = Duration::from_secs(30);

/// How long it is remembered that an endpoint was lost together with others, or can't be reached. The registry shows a
/// loss earlier.
const EXCUSED_CRASH_TTL: Duration = Duration::from_secs(30);

/// How long the report of a node is kept without a change. A running node withdraws its evidence earlier.
const PEER_REPORT_TTL: Duration = Duration::from_secs(1_500);

/// The maximum number of requests in flight at crashes that a node keeps.
const MAX_OWN_RUNS: usize = 128;

/// The maximum number of clearances that a node keeps. The oldest one is forgotten first.
const MAX_OWN_CLEARANCES: usize = 1_024;

/// The maximum number of requests that a node blocks.
const MAX_OWN_BLOCKS: usize = 64;

/// A crash that is enough to block a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueDecision {
    /// The request, or the part of its prompt.
    pub suspect: Fingerprint,
    /// The crash.
    pub crash: EndpointCrash,
}

/// The end of the last run of a suspect when a request with it was sent, before it was known whether that was a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UncheckedCrash {
    /// The suspect.
    pub suspect: Fingerprint,
    /// The end of its endpoint.
    pub crash: EndpointCrash,
}

#[derive(Clone, Debug)]
struct PeerReport {
    report: CrashReport,
    received_at: Timestamp,
}

/// A request whose last crash is being examined.
#[derive(Clone, Copy, Debug)]
struct Undecided {
    strikes: u32,
    since: Timestamp,
}

#[derive(Clone, Debug)]
struct KnownBlock {
    block: BlockedRequest,
    since: Timestamp,
}

/// The evidence about crashes that this node and its peers have observed.
#[derive(Debug, Default)]
pub struct CrashTracker {
    runs: Vec<OwnRun>,
    blocks: IndexMap<Fingerprint, OwnBlock>,
    clearances: IndexMap<Fingerprint, OwnClearance>,
    peers: IndexMap<NodeId, PeerReport>,
    published: Published,
    assessments: IndexMap<Fingerprint, Assessment>,
    blocked: IndexMap<Fingerprint, KnownBlock>,
    /// The requests that have crashed enough endpoints to be blocked, but may not be the cause.
    undecided: IndexMap<Fingerprint, Undecided>,
    /// Since when each crash has been known.
    known_crashes: IndexMap<EndpointCrash, Timestamp>,
    /// Crashes that no request has caused.
    excused_crashes: IndexMap<EndpointCrash, Timestamp>,
    /// Since when endpoints that were chosen for suspected requests can't be reached.
    unreachable: IndexMap<EndpointCrash, Timestamp>,
    /// The parts of prompts with which requests of this node have completed.
    harmless: HarmlessParts,
    changes: Vec<BlockChange>,
}

impl CrashTracker {
    /// Returns whether there is no evidence about any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.assessments.is_empty() && self.published.report.is_empty() && self.peers.is_empty()
    }

    /// Returns whether there may be something to share or to decide soon.
    #[must_use]
    pub fn has_pending_work(&self) -> bool {
        !self.runs.is_empty()
            || !self.clearances.is_empty()
            || self.report(usize::MAX, Timestamp::NEVER) != self.published.report
    }

    /// Returns what is known about a request.
    #[must_use]
    pub fn suspicion(&self, suspect: &Fingerprint) -> Suspicion {
        let assessment = self.assessments.get(suspect);
        assessment.map_or_else(Suspicion::default, |assessment| assessment.suspicion)
    }

    /// Returns the number of requests to which at least one crash is attributed.
    #[must_use]
    pub fn suspected_count(&self) -> usize {
        let assessments = self.assessments.values();
        assessments
            .filter(|assessment| assessment.suspicion.crashes > 0)
            .count()
    }

    /// Returns the largest number of crashes that are attributed to one request.
    #[must_use]
    pub fn most_crashes(&self) -> u32 {
        let assessments = self.assessments.values();
        let crashes = assessments.map(|assessment| assessment.suspicion.crashes);
        crashes.max().unwrap_or(0)
    }

    /// Returns the blocked requests.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedRequest> {
        self.blocked.values().map(|known| &known.block)
    }

    /// Returns whether a request may be sent to an endpoint.
    #[must_use]
    pub fn admission(&self, now: Timestamp, suspect: &Fingerprint) -> CrashAdmission {
        if let Some(known) = self.blocked.get(suspect) {
            return CrashAdmission::Blocked(BLOCK_TTL.saturating_sub(now.since(known.since)));
        }
        if let Some(undecided) = self.undecided.get(suspect) {
            let remaining = DECISION_TIMEOUT.saturating_sub(now.since(undecided.since));
            if !remaining.is_zero() {
                return CrashAdmission::Undecided(remaining);
            }
        }
        let assessment = self.assessments.get(suspect);
        if assessment.is_some_and(Assessment::is_one_strike_away) {
            return CrashAdmission::Restricted;
        }
        CrashAdmission::Allowed
    }

    /// Returns whether a request may be sent to an endpoint, and the suspect that decides about it.
    ///
    /// Requests of customers without a crash of their own aren't blocked for a part of their prompts. One at a time is
    /// run, which shows whether the part is harmless for them.
    #[must_use]
    pub fn admission_of(&self, now: Timestamp, suspects: &Suspects) -> AdmittedSuspect {
        let verdicts = suspects.fingerprints().map(|suspect| {
            let mut admission = self.admission(now, &suspect);
            let is_part = suspect != suspects.request;
            if is_part && !self.is_accused(&suspect, &suspects.customer) {
                admission = admission.without_evidence();
            }
            AdmittedSuspect { suspect, admission }
        });
        let strikes =
            |suspect: &Fingerprint| self.assessments.get(suspect).map_or(0, |a| a.strikes);
        let verdict = verdicts
            .max_by_key(|verdict| (verdict.admission.severity(), strikes(&verdict.suspect)));
        verdict.unwrap_or(AdmittedSuspect {
            suspect: suspects.request,
            admission: CrashAdmission::Allowed,
        })
    }

    /// Returns whether requests of a customer were interrupted with a part in their prompts.
    fn is_accused(&self, part: &Fingerprint, customer: &Option<CustomerId>) -> bool {
        let assessment = self.assessments.get(part);
        let blocked = self.blocked.get(part);
        assessment.is_some_and(|assessment| assessment.customers.contains(customer))
            || blocked.is_some_and(|known| known.block.origin.customer == *customer)
    }

    /// Records that a request of this node was in flight at a crash.
    ///
    /// If it was sent after one of the `unchecked` ends of endpoints, but before it was known that this was a crash,
    /// it counts as the next crash after that one.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        mut run: CrashedRun,
        unchecked: &[UncheckedCrash],
        origin: RequestOrigin,
    ) {
        let ran = Duration::from_millis(u64::from(run.ran_ms));
        if ran >= HARMLESS_RUN_TIME {
            let parts = run.parts.iter().map(|part| part.part);
            self.record_harmless_parts(now, parts);
        }
        self.count_unchecked(&mut run, unchecked);
        run.parts.retain(|part| {
            part.suspicion.clearances >= self.suspicion(&part.part).clearances
                && !self.harmless.contains(now, &part.part)
        });
        let is_known = self.runs.iter().any(|own| own.run == run);
        if is_known || run.suspicion.clearances < self.suspicion(&run.request).clearances {
            return;
        }
        let request = run.request;
        let is_repeated = run.most_crashes() > 0;
        self.runs.push(OwnRun {
            run,
            origin,
            observed_at: now,
            share_at: now + SHARE_DELAY,
        });
        if is_repeated {
            self.record_failure(now, &request);
        }
        if self.runs.len() > MAX_OWN_RUNS {
            self.remove_weakest_run();
        }
        self.reassess(now);
    }

    /// Counts the crashes that were being checked when a run was sent.
    fn count_unchecked(&self, run: &mut CrashedRun, unchecked: &[UncheckedCrash]) {
        let crashes_of = |suspect: &Fingerprint| {
            let earlier = unchecked
                .iter()
                .find(|earlier| earlier.suspect == *suspect)?;
            let mut runs = self.runs.iter().map(|own| &own.run);
            let earlier = runs.find(|own| own.crash == earlier.crash && own.concerns(suspect))?;
            Some(earlier.suspicion_of(suspect)?.crashes + 1)
        };
        if let Some(crashes) = crashes_of(&run.request) {
            run.suspicion.crashes = run.suspicion.crashes.max(crashes);
        }
        for part in &mut run.parts {
            if let Some(crashes) = crashes_of(&part.part) {
                part.suspicion.crashes = part.suspicion.crashes.max(crashes);
            }
        }
    }

    /// Records that a crash wasn't caused by a request. Its endpoint isn't used again.
    pub fn record_excused_crash(&mut self, now: Timestamp, crash: EndpointCrash) {
        self.excused_crashes.insert(crash, now);
    }

    /// Records that the endpoint that was chosen for a suspected request can't be reached.
    pub fn record_unreachable(&mut self, now: Timestamp, endpoint: EndpointCrash) {
        self.unreachable.entry(endpoint).or_insert(now);
    }

    /// Removes the run that says least: the oldest one of those to which fewest crashes were attributed.
    fn remove_weakest_run(&mut self) {
        let runs = self.runs.iter().enumerate();
        let weakest = runs.min_by_key(|(index, own)| (own.run.most_crashes(), *index));
        if let Some((index, _)) = weakest {
            self.runs.remove(index);
        }
    }

    /// Records that a request ended without a complete response. Its evidence is shared at once, because its
    /// caller may send it again to another node.
    pub fn record_failure(&mut self, now: Timestamp, request: &Fingerprint) {
        for own in self
            .runs
            .iter_mut()
            .filter(|own| own.run.request == *request)
        {
            own.share_at = own.share_at.min(now);
        }
    }

    /// Records that an endpoint ran a request to the end. Returns whether this cleared the request.
    pub fn record_completion(&mut self, now: Timestamp, suspect: &Fingerprint) -> bool {
        let is_suspected =
            self.suspicion(suspect).crashes > 0 || self.blocked.contains_key(suspect);
        if is_suspected {
            self.clear(now, suspect, ClearanceCause::Completed);
        }
        is_suspected
    }

    /// Records that parts of prompts are harmless, as a request with them has run for some time. Returns whether this
    /// cleared one of them.
    pub fn record_harmless_parts(
        &mut self,
        now: Timestamp,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let mut has_cleared = false;
        for part in parts {
            self.harmless.insert(now, part);
            has_cleared |= self.record_completion(now, &part);
        }
        has_cleared
    }

    /// Lifts the block of a request. Returns whether it was blocked.
    pub fn lift(&mut self, now: Timestamp, suspect: &Fingerprint) -> bool {
        let is_blocked = self.blocked.contains_key(suspect);
        if is_blocked {
            self.clear(now, suspect, ClearanceCause::Lifted);
        }
        is_blocked
    }

    fn clear(&mut self, now: Timestamp, suspect: &Fingerprint, cause: ClearanceCause) {
        let clearance = Clearance {
            request: *suspect,
            number: self.suspicion(suspect).clearances + 1,
            cause,
        };
        let own = OwnClearance {
            clearance,
            cleared_at: now,
            is_shared: self.published.report.concerns(suspect),
        };
        self.clearances.insert(*suspect, own);
        if self.clearances.len() > MAX_OWN_CLEARANCES {
            self.clearances.shift_remove_index(0);
        }
        self.reassess(now);
    }

    /// Returns the crashes observed by this node whose cause has to be decided now.
    #[must_use]
    pub fn due_decisions(&self, now: Timestamp) -> Vec<DueDecision> {
        let runs = self
            .runs
            .iter()
            .filter(|own| (SETTLE_TIME..DECISION_TIMEOUT).contains(&now.since(own.observed_at)));
        let suspected = runs.flat_map(|own| {
            let suspects = own.run.suspects();
            suspects.map(|suspect| (suspect, &own.run.crash))
        });
        let due = suspected.filter(|(suspect, crash)| {
            self.is_decisive(suspect, crash) && !self.blocked.contains_key(suspect)
        });
        let due = due.map(|(suspect, crash)| DueDecision {
            suspect,
            crash: crash.clone(),
        });
        due.collect()
    }

    fn is_decisive(&self, suspect: &Fingerprint, crash: &EndpointCrash) -> bool {
        let assessment = self.assessments.get(suspect);
        assessment.is_some_and(|assessment| assessment.decisive.contains(crash))
    }

    /// Blocks a request, unless it has been cleared or has come into less question since its decision was
    /// due. Returns whether it is blocked now.
    pub fn block(&mut self, now: Timestamp, unix_ms: u64, due: &DueDecision) -> bool {
        let is_due = self.due_decisions(now).contains(due);
        let own = self.runs.iter().find(|own| own.is_of(due));
        let Some(own) = own.filter(|_| is_due) else {
            return false;
        };
        let parts = own.origin.parts.iter().copied().map(SharedPart::from);
        let mut parts = parts.filter(|part| part.fingerprint == due.suspect);
        let block = BlockedRequest {
            request: due.suspect,
            part: parts.next().map(|part| part.id.to_string()),
            clearances: self.suspicion(&due.suspect).clearances,
            origin: own.origin.clone(),
            endpoints: self.crashed_endpoints(&due.suspect),
            ran_ms: own.run.ran_ms,
            since_unix_ms: unix_ms,
        };
        if self.blocks.len() >= MAX_OWN_BLOCKS {
            self.blocks.shift_remove_index(0);
        }
        let expires_at = now + BLOCK_TTL;
        self.blocks
            .insert(due.suspect, OwnBlock { block, expires_at });
        self.reassess(now);
        true
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed.
    #[must_use]
    pub fn has_crashed(&self, crash: &EndpointCrash) -> bool {
        self.known_crashes.contains_key(crash) || self.excused_crashes.contains_key(crash)
    }

    /// Returns whether an endpoint is left out of the choice for suspected requests.
    ///
    /// One that can't be reached may just have been crashed by a copy of the request at another node. That node has
    /// reported it by the end of [`DECISION_TIMEOUT`].
    #[must_use]
    pub fn is_left_out(&self, now: Timestamp, endpoint: &EndpointCrash) -> bool {
        let since = self.unreachable.get(endpoint);
        let age = since.map(|since| now.since(*since));
        let is_unreachable =
            age.is_some_and(|age| (DECISION_TIMEOUT..EXCUSED_CRASH_TTL).contains(&age));
        is_unreachable || self.has_crashed(endpoint)
    }

    /// Returns whether a crash has another cause than a crash of an endpoint nearby that has just happened:
    /// it was known before, or the same request or one with the same part in its prompt was running there.
    #[must_use]
    pub fn is_separate_crash(
        &self,
        now: Timestamp,
        suspects: &[Fingerprint],
        crash: &EndpointCrash,
    ) -> bool {
        let known = self.known_crashes.get(crash);
        let is_old = known.is_some_and(|since| now.since(*since) >= SIMULTANEITY);
        let mut runs = self.all_runs();
        let is_same = |run: &CrashedRun| {
            let mut suspects = suspects.iter();
            run.crash == *crash && suspects.any(|suspect| run.concerns(suspect))
        };
        is_old || runs.any(is_same)
    }

    fn crashed_endpoints(&self, suspect: &Fingerprint) -> Vec<EndpointId> {
        let mut endpoints: Vec<EndpointId> = self
            .all_runs()
            .filter(|run| run.concerns(suspect))
            .map(|run| run.crash.endpoint.clone())
            .collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        endpoints
    }

    fn all_runs(&self) -> impl Iterator<Item = &CrashedRun> {
        let peers = self.peers.values().flat_map(|peer| &peer.report.runs);
        self.runs.iter().map(|own| &own.run).chain(peers)
    }

    /// Applies the reports of other nodes; a node without a report has withdrawn its last one.
    pub fn apply_peers(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = (NodeId, Option<CrashReport>)>,
    ) {
        for (node, report) in reports {
            let Some(mut report) = report else {
                self.peers.shift_remove(&node);
                continue;
            };
            report.truncate(MAX_OWN_RUNS);
            let received_at = now;
            self.peers.insert(
                node,
                PeerReport {
                    report,
                    received_at,
                },
            );
        }
        self.reassess(now);
    }

    /// Removes the reports of all nodes for which `is_known` is false.
    pub fn retain_peers(&mut self, now: Timestamp, is_known: impl Fn(&NodeId) -> bool) {
        self.peers.retain(|node, _| is_known(node));
        self.reassess(now);
    }

    /// Continues with the evidence that this node had published before it was restarted. A node that has
    /// published something since knows better.
    pub fn restore(&mut self, now: Timestamp, report: CrashReport) {
        let is_fresh = self.runs.is_empty() && self.blocks.is_empty();
        if !is_fresh || self.published.at != Timestamp::ZERO {
            return;
        }
        let runs = report.runs.iter().cloned();
        self.runs = runs
            .map(|run| OwnRun {
                run,
                origin: RequestOrigin::default(),
                observed_at: now,
                share_at: now,
            })
            .collect();
        let blocks = report.blocks.iter().cloned();
        let expires_at = now + BLOCK_TTL;
        self.blocks = blocks
            .map(|block| (block.request, OwnBlock { block, expires_at }))
            .collect();
        self.published = Published { report, at: now };
        self.reassess(now);
    }

    /// Removes evidence that is too old. Returns the nodes that have stopped without withdrawing theirs.
    pub fn expire(&mut self, now: Timestamp) -> Vec<NodeId> {
        for endpoints in [&mut self.excused_crashes, &mut self.unreachable] {
            endpoints.retain(|_, since| now.since(*since) < EXCUSED_CRASH_TTL);
        }
        let before = (self.runs.len(), self.blocks.len(), self.clearances.len());
        self.runs
            .retain(|own| now.since(own.observed_at) < BLOCK_TTL);
        let expired = self.blocks.extract_if(.., |_, own| own.expires_at <= now);
        let expired: Vec<OwnBlock> = expired.map(|(_, own)| own).collect();
        for own in &expired {
            self.runs.extend(probation(now, &own.block));
        }
        let peers = &self.peers;
        self.clearances.retain(|request, own| {
            let has_evidence = peers.values().any(|peer| peer.report.concerns(request));
            let age = now.since(own.cleared_at);
            age < CLEARANCE_TTL || (has_evidence && age < BLOCK_TTL)
        });
        let stopped = self
            .peers
            .extract_if(.., |_, peer| now.since(peer.received_at) >= PEER_REPORT_TTL);
        let stopped: Vec<NodeId> = stopped.map(|(node, _)| node).collect();
        let after = (self.runs.len(), self.blocks.len(), self.clearances.len());
        if before != after || !stopped.is_empty() {
            self.reassess(now);
        }
        stopped
    }

    /// Returns the changes of the set of blocked requests since the last call.
    pub fn take_changes(&mut self) -> Vec<BlockChange> {
        std::mem::take(&mut self.changes)
    }

    /// Derives the state of all requests from the evidence.
    fn reassess(&mut self, now: Timestamp) {
        let own = self.report(usize::MAX, Timestamp::NEVER);
        let local_clearances = self.clearances.values();
        let local = CrashReport {
            clearances: local_clearances.map(|own| own.clearance.clone()).collect(),
            ..CrashReport::default()
        };
        let peers = self.peers.values().map(|peer| &peer.report);
        let reports = peers.chain([&own, &local]);
        self.assessments = assessment::assess(reports.clone());
        let is_valid =
            |block: &&BlockedRequest| block.clearances >= self.suspicion(&block.request).clearances;
        let blocks = reports.flat_map(|report| &report.blocks).filter(is_valid);
        let blocks: IndexMap<Fingerprint, BlockedRequest> =
            blocks.map(|block| (block.request, block.clone())).collect();
        self.update_blocked(now, blocks);
        self.remove_void_evidence();
        self.update_undecided(now);
        self.update_known_crashes(now);
    }

    fn update_blocked(
        &mut self,
        now: Timestamp,
        mut blocks: IndexMap<Fingerprint, BlockedRequest>,
    ) {
        let ended = self
            .blocked
            .extract_if(.., |request, _| !blocks.contains_key(request));
        let ended: Vec<KnownBlock> = ended.map(|(_, known)| known).collect();
        for known in ended {
            let request = known.block.request;
            self.changes.push(BlockChange::Ended {
                request,
                cause: self.block_end(&request),
                duration: now.since(known.since),
            });
        }
        blocks.retain(|request, _| !self.blocked.contains_key(request));
        for (request, block) in blocks {
            self.changes.push(BlockChange::Started(block.clone()));
            self.blocked
                .insert(request, KnownBlock { block, since: now });
        }
    }

    /// Returns why a request isn't blocked any more.
    fn block_end(&self, suspect: &Fingerprint) -> BlockEnd {
        let own = self.clearances.values().map(|own| &own.clearance);
        let peers = self.peers.values().flat_map(|peer| &peer.report.clearances);
        let clearances = own.chain(peers);
        let of_request = clearances.filter(|clearance| clearance.request == *suspect);
        let last = of_request.max_by_key(|clearance| clearance.number);
        last.map_or(BlockEnd::Expired, |last| BlockEnd::Cleared(last.cause))
    }

    /// Removes this node's evidence from before the last clearance of each request.
    fn remove_void_evidence(&mut self) {
        let assessments = &self.assessments;
        let is_void = |request: &Fingerprint, number: u32| {
            let assessment = assessments.get(request);
            assessment.is_some_and(|assessment| number < assessment.suspicion.clearances)
        };
        self.runs
            .retain(|own| !is_void(&own.run.request, own.run.suspicion.clearances));
        for own in &mut self.runs {
            own.run
                .parts
                .retain(|part| !is_void(&part.part, part.suspicion.clearances));
        }
        self.blocks
            .retain(|request, own| !is_void(request, own.block.clearances));
    }

    fn update_known_crashes(&mut self, now: Timestamp) {
        let known = self.all_runs().map(|run| {
            let since = self.known_crashes.get(&run.crash);
            (run.crash.clone(), since.copied().unwrap_or(now))
        });
        self.known_crashes = known.collect();
    }

    fn update_undecided(&mut self, now: Timestamp) {
        let undecided = self.assessments.iter().filter(|(request, assessment)| {
            assessment.is_undecided() && !self.blocked.contains_key(*request)
        });
        let undecided = undecided.map(|(request, assessment)| {
            let strikes = assessment.undecided_strikes;
            let known = self.undecided.get(request);
            let known = known.filter(|known| known.strikes >= strikes);
            let since = known.map_or(now, |known| known.since);
            (*request, Undecided { strikes, since })
        });
        self.undecided = undecided.collect();
    }
}
