//! Tests of single decisions about suspected requests.

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{EndpointId, Fingerprint, NodeId, RequestIdentity, Timestamp};

use super::{
    BLOCK_TTL, BlockChange, BlockEnd, Clearance, ClearanceCause, CrashAdmission, CrashReport,
    CrashTracker, CrashedRun, DECISION_TIMEOUT, DueDecision, EXCUSED_CRASH_TTL, EndpointCrash,
    MAX_OWN_RUNS, NeighborCheck, RequestOrigin, SETTLE_TIME, SHARE_DELAY, SIMULTANEITY, Suspicion,
    UncheckedCrash, suspect_endpoint,
};
use crate::number::Incarnation;

/// The number of successive crashes after which a request is blocked.
const CRASH_LIMIT: u32 = 3;

const START: Timestamp = Timestamp(1_000_000);

/// The Unix time that is recorded in blocks.
const UNIX_MS: u64 = 1_700_000_000_000;

fn request(body: &str) -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        customer: Some("customer-1"),
        host: "shop.example",
        method: "POST",
        target: "/chat/1",
        body: body.as_bytes(),
    })
}

fn endpoint(index: usize) -> EndpointId {
    format!("e{index}").parse().expect("a valid endpoint name")
}

fn node(index: usize) -> NodeId {
    format!("n{index}").parse().expect("a valid node name")
}

fn crash(index: usize) -> EndpointCrash {
    EndpointCrash {
        endpoint: endpoint(index),
        incarnation: Some(Incarnation(1)),
    }
}

fn run(request: Fingerprint, index: usize, crashes: u32) -> CrashedRun {
    CrashedRun {
        request,
        crash: crash(index),
        suspicion: Suspicion {
            crashes,
            clearances: 0,
        },
        ran_ms: 80,
        parts: Vec::new(),
        customer: None,
    }
}

/// Returns a run that was interrupted at another point each time.
fn unlucky_run(request: Fingerprint, index: usize, crashes: u32) -> CrashedRun {
    CrashedRun {
        ran_ms: 700 * u32::try_from(index).unwrap_or(u32::MAX),
        ..run(request, index, crashes)
    }
}

fn record(tracker: &mut CrashTracker, now: Timestamp, run: CrashedRun) {
    tracker.record_crash(now, run, &[], RequestOrigin::default());
}

/// Records that a request crashed endpoint after endpoint, as one node sends it again and again. Returns the
/// decision that follows.
fn crash_endpoints(
    tracker: &mut CrashTracker,
    now: Timestamp,
    request: Fingerprint,
) -> DueDecision {
    for index in 0..CRASH_LIMIT {
        let suspicion = tracker.suspicion(&request);
        assert_eq!(suspicion.crashes, index);
        record(
            tracker,
            now,
            run(request, index as usize, suspicion.crashes),
        );
    }
    DueDecision {
        suspect: request,
        crash: crash(CRASH_LIMIT as usize - 1),
    }
}

/// Blocks a request and returns the time of the decision.
fn block(tracker: &mut CrashTracker, now: Timestamp, request: Fingerprint) -> Timestamp {
    let due = crash_endpoints(tracker, now, request);
    let decided_at = now + SETTLE_TIME;
    assert!(tracker.block(decided_at, UNIX_MS, &due));
    decided_at
}

fn is_blocked(tracker: &CrashTracker, now: Timestamp, request: &Fingerprint) -> bool {
    matches!(tracker.admission(now, request), CrashAdmission::Blocked(_))
}

#[test]
fn a_request_is_refused_from_its_third_crash_on_and_blocked_once_all_evidence_is_in() {
    let mut tracker = CrashTracker::default();
    let culprit = request("crash");
    let due = crash_endpoints(&mut tracker, START, culprit);
    assert_eq!(
        tracker.admission(START, &culprit),
        CrashAdmission::Undecided(DECISION_TIMEOUT)
    );
    assert!(tracker.due_decisions(START).is_empty());
    let settled = START + SETTLE_TIME;
    assert_eq!(tracker.due_decisions(settled), std::slice::from_ref(&due));
    assert!(tracker.block(settled, UNIX_MS, &due));
    assert_eq!(
        tracker.admission(settled, &culprit),
        CrashAdmission::Blocked(BLOCK_TTL)
    );
    assert!(tracker.due_decisions(settled).is_empty());
}

/// Guards against blocking one request for another one, or all requests of a customer.
#[test]
fn other_requests_of_the_same_customer_are_not_suspected() {
    let mut tracker = CrashTracker::default();
    block(&mut tracker, START, request("crash"));
    assert_eq!(
        tracker.admission(START, &request("other")),
        CrashAdmission::Allowed
    );
}

/// Guards against suspecting everything that ever shared an endpoint with a crashing request.
#[test]
fn a_request_that_completes_elsewhere_is_cleared() {
    let mut tracker = CrashTracker::default();
    let (culprit, bystander) = (request("crash"), request("other"));
    for index in 0..2 {
        for request in [culprit, bystander] {
            let crashes = tracker.suspicion(&request).crashes;
            record(&mut tracker, START, run(request, index, crashes));
        }
    }
    assert_eq!(tracker.suspicion(&bystander).crashes, 2);
    tracker.record_completion(START, &bystander);
    assert_eq!(
        tracker.suspicion(&bystander),
        Suspicion {
            crashes: 0,
            clearances: 1
        }
    );
    assert_eq!(tracker.suspicion(&culprit).crashes, 2);
    let expected = CrashAdmission::Allowed;
    assert_eq!(tracker.admission(START, &bystander), expected);
}

/// Guards against counting a run that was sent before the request completed elsewhere.
#[test]
fn a_run_from_before_a_clearance_is_not_counted() {
    let mut tracker = CrashTracker::default();
    let bystander = request("other");
    record(&mut tracker, START, run(bystander, 0, 0));
    let sent_with = tracker.suspicion(&bystander);
    tracker.record_completion(START, &bystander);
    let mut late = run(bystander, 1, 0);
    late.suspicion = sent_with;
    record(&mut tracker, START, late);
    assert_eq!(tracker.suspicion(&bystander).crashes, 0);
}

/// Guards against blocking a request that shared all endpoints with the one that crashed them.
#[test]
fn neither_of_two_requests_is_blocked_while_both_come_into_question() {
    let mut tracker = CrashTracker::default();
    let (culprit, bystander) = (request("crash"), request("other"));
    for index in 0..6 {
        let requests = [culprit, bystander];
        let suspicions = requests.map(|request| tracker.suspicion(&request).crashes);
        for (request, crashes) in requests.into_iter().zip(suspicions) {
            record(&mut tracker, START, run(request, index, crashes));
        }
    }
    assert!(tracker.due_decisions(START + SETTLE_TIME).is_empty());
    let now = START + DECISION_TIMEOUT;
    for request in [culprit, bystander] {
        let expected = CrashAdmission::Restricted;
        assert_eq!(tracker.admission(now, &request), expected);
    }
    // Apart from each other, the next crash has only one possible cause.
    record(&mut tracker, now, run(culprit, 7, 6));
    let due = tracker.due_decisions(now + SETTLE_TIME);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].suspect, culprit);
}

/// Guards against blocking a request that was unlucky before, for a new one that crashed its endpoint.
#[test]
fn a_crash_is_not_attributed_to_a_suspect_if_another_request_crashes_the_next_endpoint() {
    let mut tracker = CrashTracker::default();
    let (culprit, bystander) = (request("crash"), request("other"));
    record(&mut tracker, START, run(bystander, 0, 0));
    record(&mut tracker, START, run(bystander, 1, 1));
    record(&mut tracker, START, run(bystander, 2, 2));
    record(&mut tracker, START, run(culprit, 2, 0));
    let settled = START + SETTLE_TIME;
    assert_eq!(tracker.due_decisions(settled).len(), 1);
    record(&mut tracker, START, run(culprit, 3, 1));
    assert!(tracker.due_decisions(settled).is_empty());
    let expected = CrashAdmission::Restricted;
    let now = START + DECISION_TIMEOUT;
    assert_eq!(tracker.admission(now, &bystander), expected);
}

/// Guards against blocking the next request that shares endpoints with copies of a blocked request that were
/// sent before the block.
#[test]
fn a_crash_with_a_blocked_request_blocks_no_other() {
    let mut tracker = CrashTracker::default();
    let (culprit, bystander) = (request("crash"), request("other"));
    let now = block(&mut tracker, START, culprit);
    for index in 10..20 {
        record(&mut tracker, now, run(culprit, index, 0));
        let crashes = tracker.suspicion(&bystander).crashes;
        record(&mut tracker, now, run(bystander, index, crashes));
    }
    assert!(tracker.due_decisions(now + SETTLE_TIME).is_empty());
}

/// Guards against counting one crash only when a node sends a request on before the check of its endpoint.
#[test]
fn a_retry_that_was_sent_before_the_check_counts_as_the_next_crash() {
    let mut tracker = CrashTracker::default();
    let culprit = request("crash");
    let unchecked = |index| UncheckedCrash {
        suspect: culprit,
        crash: crash(index),
    };
    record(&mut tracker, START, run(culprit, 0, 0));
    let retry = run(culprit, 1, 0);
    tracker.record_crash(START, retry, &[unchecked(0)], RequestOrigin::default());
    assert_eq!(tracker.suspicion(&culprit).crashes, 2);
    let unrelated = run(culprit, 2, 0);
    tracker.record_crash(START, unrelated, &[unchecked(9)], RequestOrigin::default());
    assert_eq!(tracker.suspicion(&culprit).crashes, 2);
}

/// Guards against blocking a request whose copies all ran in a failure domain that was lost.
#[test]
fn endpoints_that_are_lost_at_once_count_as_one_crash() {
    let mut tracker = CrashTracker::default();
    let popular = request("popular");
    for index in 0..50 {
        record(&mut tracker, START, run(popular, index, 0));
    }
    assert_eq!(tracker.suspicion(&popular).crashes, 1);
}

/// Guards against blocking a request that was unlucky several times: it is interrupted at another point each
/// time, while a request that crashes endpoints does so at the same point.
#[test]
fn crashes_after_different_run_times_block_nothing() {
    let mut tracker = CrashTracker::default();
    let bystander = request("other");
    for index in 0..6 {
        let crashes = tracker.suspicion(&bystander).crashes;
        record(
            &mut tracker,
            START,
            unlucky_run(bystander, index as usize, crashes),
        );
    }
    assert!(tracker.due_decisions(START + SETTLE_TIME).is_empty());
    let expected = CrashAdmission::Allowed;
    assert_eq!(tracker.admission(START, &bystander), expected);
}

/// Guards against letting a crashing request pass, because others that shared its endpoints were interrupted
/// as often.
#[test]
fn a_request_is_blocked_although_unlucky_ones_shared_all_its_endpoints() {
    let mut tracker = CrashTracker::default();
    let (culprit, bystander) = (request("crash"), request("other"));
    for index in 0..CRASH_LIMIT {
        record(&mut tracker, START, run(culprit, index as usize, index));
        record(
            &mut tracker,
            START,
            unlucky_run(bystander, index as usize, index),
        );
    }
    let due = tracker.due_decisions(START + SETTLE_TIME);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].suspect, culprit);
}

/// Guards against refusing a suspected request for as long as its endpoint can't be reached, and against crashing the
/// next endpoint before the crash of this one is known.
#[test]
fn an_unreachable_endpoint_is_left_out_once_its_crash_would_be_known() {
    let mut tracker = CrashTracker::default();
    let endpoint = crash(0);
    tracker.record_unreachable(START, endpoint.clone());
    let later = START + DECISION_TIMEOUT - Duration::from_millis(1);
    tracker.record_unreachable(later, endpoint.clone());
    assert!(!tracker.is_left_out(later, &endpoint));
    assert!(tracker.is_left_out(START + DECISION_TIMEOUT, &endpoint));
    assert!(!tracker.is_left_out(START + DECISION_TIMEOUT, &crash(1)));
    tracker.expire(START + EXCUSED_CRASH_TTL);
    assert!(!tracker.is_left_out(START + EXCUSED_CRASH_TTL, &endpoint));
}

/// Guards against taking endpoints that are known to be down for a mass loss.
#[test]
fn a_crash_is_separate_if_it_was_known_before_or_had_the_same_cause() {
    let mut tracker = CrashTracker::default();
    let (culprit, other) = (request("crash"), request("other"));
    record(&mut tracker, START, run(other, 0, 0));
    assert!(!tracker.is_separate_crash(START, &[culprit], &crash(0)));
    assert!(tracker.is_separate_crash(START + SIMULTANEITY, &[culprit], &crash(0)));
    assert!(!tracker.is_separate_crash(START + SIMULTANEITY, &[culprit], &crash(1)));
    record(&mut tracker, START, run(culprit, 2, 0));
    assert!(tracker.is_separate_crash(START, &[culprit], &crash(2)));
}

macro_rules! neighbor_cases {
    ($($name:ident: $stopped:literal of $checked:literal is $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let check = NeighborCheck { checked: $checked, stopped: $stopped };
                assert_eq!(check.is_mass_loss(), $expected);
            }
        )*
    };
}

neighbor_cases! {
    a_service_with_one_endpoint_has_no_mass_loss: 0 of 0 is false;
    one_other_stopped_endpoint_is_a_coincidence: 1 of 6 is false;
    two_of_two_stopped_neighbors_are_a_mass_loss: 2 of 2 is true;
    a_third_of_the_neighbors_is_a_mass_loss: 2 of 6 is true;
    few_stopped_neighbors_among_many_are_a_coincidence: 2 of 9 is false;
}

/// Guards against a block on one node only, while the caller's next attempt arrives at another.
#[test]
fn a_node_that_receives_a_report_knows_what_its_sender_knows() {
    let mut sender = CrashTracker::default();
    let culprit = request("crash");
    let now = block(&mut sender, START, culprit);
    let report = sender.due_report(now, 7).expect("the block is urgent");
    let mut started = CrashTracker::default();
    started.apply_peers(now, [(node(1), Some(report))]);
    assert!(is_blocked(&started, now, &culprit));
    let blocked: Vec<_> = started.blocked().collect();
    assert_eq!(
        blocked[0].endpoints,
        [endpoint(0), endpoint(1), endpoint(2)]
    );
    assert_eq!(blocked[0].since_unix_ms, UNIX_MS);
}

/// Guards against counting to three on each node separately.
#[test]
fn crashes_at_different_nodes_add_up() {
    let culprit = request("crash");
    let mut nodes: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::default()).collect();
    let mut now = START;
    for sender in 0..nodes.len() {
        let crashes = nodes[sender].suspicion(&culprit).crashes;
        record(&mut nodes[sender], now, run(culprit, sender, crashes));
        nodes[sender].record_failure(now, &culprit);
        let report = nodes[sender].due_report(now, 3).expect("it is urgent");
        nodes[sender].record_published(now, report.clone());
        for (receiver, tracker) in nodes.iter_mut().enumerate() {
            if receiver != sender {
                tracker.apply_peers(now, [(node(sender), Some(report.clone()))]);
            }
        }
        now = now + Duration::from_millis(200);
    }
    for tracker in &nodes {
        assert_eq!(tracker.suspicion(&culprit).crashes, CRASH_LIMIT);
        assert!(matches!(
            tracker.admission(now, &culprit),
            CrashAdmission::Undecided(_)
        ));
    }
}

/// Guards against a request that stays refused because the node that had to decide was stopped.
#[test]
fn a_request_is_not_refused_for_long_without_a_decision() {
    let mut tracker = CrashTracker::default();
    let culprit = request("crash");
    crash_endpoints(&mut tracker, START, culprit);
    let now = START + DECISION_TIMEOUT;
    assert_eq!(tracker.admission(now, &culprit), CrashAdmission::Restricted);
    assert!(tracker.due_decisions(now).is_empty());
}

/// Guards against a report to all nodes for each request that was in flight at a crash and completes
/// elsewhere a moment later.
#[test]
fn a_run_is_reported_only_if_the_request_does_not_complete_soon() {
    let mut tracker = CrashTracker::default();
    let bystander = request("other");
    record(&mut tracker, START, run(bystander, 0, 0));
    assert_eq!(tracker.due_report(START, 7), None);
    assert!(tracker.due_report(START + SHARE_DELAY, 7).is_some());
    tracker.record_completion(START, &bystander);
    assert_eq!(tracker.due_report(START + SHARE_DELAY, 7), None);
}

/// Guards against evidence that stays with other nodes after its request has completed.
#[test]
fn a_clearance_voids_the_evidence_of_other_nodes() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let bystander = request("other");
    record(&mut there, START, run(bystander, 0, 0));
    there.record_failure(START, &bystander);
    let report = there.due_report(START, 2).expect("it is urgent");
    there.record_published(START, report.clone());
    here.apply_peers(START, [(node(1), Some(report))]);
    here.record_completion(START, &bystander);
    let cleared = here.due_report(START, 2).expect("it is urgent");
    there.apply_peers(START, [(node(0), Some(cleared))]);
    assert_eq!(there.suspicion(&bystander).crashes, 0);
    let now = START + Duration::from_secs(60);
    let withdrawn = there.due_report(now, 2).expect("the evidence is void");
    assert!(withdrawn.is_empty());
}

/// Guards against a block that nobody lifts, and against three more crashes after it has expired.
#[test]
fn a_block_expires_and_the_next_crash_blocks_again() {
    let mut tracker = CrashTracker::default();
    let culprit = request("crash");
    let decided_at = block(&mut tracker, START, culprit);
    let expired = decided_at + BLOCK_TTL;
    tracker.expire(expired);
    assert_eq!(
        tracker.admission(expired, &culprit),
        CrashAdmission::Restricted
    );
    let changes = tracker.take_changes();
    let [BlockChange::Started(_), ended] = changes.as_slice() else {
        panic!("{changes:?}");
    };
    assert_eq!(
        *ended,
        BlockChange::Ended {
            request: culprit,
            cause: BlockEnd::Expired,
            duration: BLOCK_TTL,
        }
    );
    let crashes = tracker.suspicion(&culprit).crashes;
    record(&mut tracker, expired, run(culprit, 20, crashes));
    let settled = expired + SETTLE_TIME;
    let due = tracker.due_decisions(settled);
    assert!(tracker.block(settled, UNIX_MS, &due[0]));
    assert!(is_blocked(&tracker, settled, &culprit));
}

/// Guards against evidence that is kept after its request has not come again for a long time.
#[test]
fn all_evidence_expires() {
    let mut tracker = CrashTracker::default();
    let now = block(&mut tracker, START, request("crash"));
    for round in 1..=3 {
        tracker.expire(now + BLOCK_TTL * round);
    }
    assert!(tracker.is_empty(), "{tracker:?}");
}

macro_rules! clearance_cases {
    ($($name:ident: $clear:expr => $cause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut tracker = CrashTracker::default();
                let culprit = request("crash");
                let now = block(&mut tracker, START, culprit);
                tracker.take_changes();
                let clear: fn(&mut CrashTracker, Timestamp, &Fingerprint) = $clear;
                clear(&mut tracker, now, &culprit);
                assert_eq!(tracker.admission(now, &culprit), CrashAdmission::Allowed);
                assert_eq!(
                    tracker.take_changes(),
                    [BlockChange::Ended {
                        request: culprit,
                        cause: BlockEnd::Cleared($cause),
                        duration: Duration::ZERO,
                    }]
                );
            }
        )*
    };
}

clearance_cases! {
    an_operator_lifts_a_block: |tracker, now, request| {
        assert!(tracker.lift(now, request));
    } => ClearanceCause::Lifted;
    a_run_that_completes_ends_a_block: |tracker, now, request| {
        tracker.record_completion(now, request);
    } => ClearanceCause::Completed;
    another_node_lifts_a_block: |tracker, now, request| {
        let clearance = Clearance { request: *request, number: 1, cause: ClearanceCause::Lifted };
        let report = CrashReport { clearances: vec![clearance], ..CrashReport::default() };
        tracker.apply_peers(now, [(node(1), Some(report))]);
    } => ClearanceCause::Lifted;
}

#[test]
fn a_request_that_is_not_blocked_is_not_lifted() {
    let mut tracker = CrashTracker::default();
    assert!(!tracker.lift(START, &request("other")));
    assert!(tracker.is_empty());
}

/// Guards against losing a block when the node that decided it is restarted.
#[test]
fn a_restarted_node_continues_with_its_published_evidence() {
    let mut before = CrashTracker::default();
    let culprit = request("crash");
    let now = block(&mut before, START, culprit);
    let report = before.due_report(now, 7).expect("the block is urgent");
    let mut restarted = CrashTracker::default();
    restarted.restore(START, report.clone());
    assert!(is_blocked(&restarted, START, &culprit));
    assert_eq!(restarted.due_report(START, 7), None);
    // Its own earlier record may still arrive after it has withdrawn everything.
    let mut running = CrashTracker::default();
    running.record_published(START, CrashReport::default());
    running.restore(START, report);
    assert!(running.is_empty());
}

/// Guards against the evidence of nodes that were stopped for good.
#[test]
fn the_report_of_a_stopped_node_is_dropped_in_the_end() {
    let mut tracker = CrashTracker::default();
    let report = CrashReport {
        runs: vec![run(request("crash"), 0, 0)],
        ..CrashReport::default()
    };
    tracker.apply_peers(START, [(node(1), Some(report))]);
    assert!(tracker.expire(START + BLOCK_TTL).is_empty());
    assert_eq!(tracker.expire(START + BLOCK_TTL * 3), [node(1)]);
    assert!(tracker.is_empty());
}

/// Guards against memory and messages that grow with the number of suspected requests, and against losing
/// the evidence about a crashing request among them.
#[test]
fn thousands_of_suspected_requests_are_bounded() {
    const NODES: usize = 380;
    let mut tracker = CrashTracker::default();
    let culprit = request("crash");
    record(&mut tracker, START, run(culprit, 0, 0));
    record(&mut tracker, START, run(culprit, 1, 1));
    for index in 0..5_000 {
        let body = format!("other {index}");
        record(&mut tracker, START, run(request(&body), 2 + index % 40, 0));
    }
    assert!(tracker.suspected_count() <= MAX_OWN_RUNS);
    assert_eq!(tracker.suspicion(&culprit).crashes, 2);
    let report = tracker.due_report(START + SHARE_DELAY, NODES);
    let report = report.expect("it is urgent");
    assert!(report.runs.iter().any(|run| run.request == culprit));
    assert!(report.runs.len() <= 8, "{} runs", report.runs.len());
    let peers = (0..NODES).map(|index| (node(index), Some(report.clone())));
    tracker.apply_peers(START, peers);
    assert!(tracker.suspected_count() <= 2 * MAX_OWN_RUNS);
}

/// Returns the reports that one of `nodes` nodes sends within ten seconds in which it learns something urgent all
/// the time.
fn reports_in_ten_seconds(nodes: usize) -> usize {
    let mut tracker = CrashTracker::default();
    let mut reports = 0;
    for ms in 0..10_000 {
        let now = START + Duration::from_millis(ms);
        if ms % 20 == 0 {
            let body = format!("request {ms}");
            record(&mut tracker, now, run(request(&body), ms as usize, 0));
        }
        if let Some(report) = tracker.due_report(now, nodes) {
            tracker.record_published(now, report);
            reports += 1;
        }
    }
    reports
}

/// Guards against reports that take the writing calls of all nodes to the store.
macro_rules! report_rates {
    ($($name:ident: $nodes:literal nodes;)*) => {
        $(
            #[test]
            fn $name() {
                let reports = reports_in_ten_seconds($nodes) * $nodes;
                assert!(reports <= 200 * 10 + $nodes, "{reports} in ten seconds");
            }
        )*
    };
}

report_rates! {
    reports_of_seven_nodes_are_few: 7 nodes;
    reports_of_62_nodes_are_few: 62 nodes;
    reports_of_380_nodes_are_few: 380 nodes;
}

/// Guards against a peer whose report exceeds the limits.
#[test]
fn a_report_of_any_size_is_cut_to_the_limits() {
    let runs = (0..1_000).map(|index| run(request(&index.to_string()), index, 0));
    let report = CrashReport {
        runs: runs.collect(),
        ..CrashReport::default()
    };
    let mut tracker = CrashTracker::default();
    tracker.apply_peers(START, [(node(1), Some(report))]);
    assert_eq!(tracker.suspected_count(), MAX_OWN_RUNS);
}

/// Guards against copies that two nodes send at once and that crash two endpoints instead of one.
#[test]
fn nodes_send_a_suspected_request_to_the_same_endpoint() {
    let endpoints: Vec<EndpointId> = (0..10).map(endpoint).collect();
    let chosen = |request: Fingerprint| {
        let here = suspect_endpoint(&request, endpoints.iter()).map(|index| &endpoints[index]);
        let reversed = suspect_endpoint(&request, endpoints.iter().rev());
        let there = reversed.map(|index| &endpoints[endpoints.len() - 1 - index]);
        assert_eq!(here, there);
        here
    };
    let requests = (0..20).map(|index| chosen(request(&index.to_string())));
    let used: IndexSet<_> = requests.collect();
    assert!(used.len() > 5, "suspected requests are spread: {used:?}");
    assert_eq!(suspect_endpoint(&request("crash"), [].iter()), None);
}
