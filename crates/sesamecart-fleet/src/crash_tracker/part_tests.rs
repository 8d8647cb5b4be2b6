//! Tests of single decisions about parts of prompts.

use sesamecart_vocabulary::{
    CustomerId, EndpointId, Fingerprint, NodeId, PromptPartId, RequestIdentity, Timestamp,
};

use super::{
    BLOCK_TTL, CrashAdmission, CrashReport, CrashTracker, CrashedRun, EndpointCrash, MAX_OWN_RUNS,
    RequestOrigin, SETTLE_TIME, SHARE_DELAY, SharedPart, SuspectedPart, Suspects,
};
use crate::number::Incarnation;

const START: Timestamp = Timestamp(1_000_000);

const UNIX_MS: u64 = 1_700_000_000_000;

/// The number of successive crashes after which a part is blocked, of one that never completed and of one that did.
const CRASH_LIMIT: u32 = 4;
const CLEARED_CRASH_LIMIT: u32 = 8;

const COMMON: u128 = 1;
const CRASHING: u128 = 2;
const OTHER: u128 = 3;

/// Returns a request with parts in its prompt, which differs from all with another number.
fn request(number: u32, parts: &[u128], customer: &str) -> Suspects {
    let parts = parts.iter().copied().map(PromptPartId);
    Suspects {
        request: Fingerprint::of(&RequestIdentity {
            customer: Some(customer),
            host: "shop.example",
            method: "POST",
            target: "/chat/1",
            body: number.to_string().as_bytes(),
        }),
        parts: parts.map(SharedPart::from).collect(),
        customer: Some(customer.parse().expect("a valid customer name")),
    }
}

fn part(id: u128) -> Fingerprint {
    Fingerprint::of_prompt_part(PromptPartId(id))
}

fn crash(index: u32) -> EndpointCrash {
    EndpointCrash {
        endpoint: endpoint(index),
        incarnation: Some(Incarnation(1)),
    }
}

fn endpoint(index: u32) -> EndpointId {
    format!("e{index}").parse().expect("a valid endpoint name")
}

/// Returns a run of a request that a node sent with all that `tracker` knows.
fn run(tracker: &CrashTracker, suspects: &Suspects, index: u32, ran_ms: u32) -> CrashedRun {
    let parts = suspects.parts.iter().map(|part| SuspectedPart {
        part: part.fingerprint,
        suspicion: tracker.suspicion(&part.fingerprint),
    });
    CrashedRun {
        request: suspects.request,
        crash: crash(index),
        suspicion: tracker.suspicion(&suspects.request),
        ran_ms,
        parts: parts.collect(),
        customer: suspects.customer.clone(),
    }
}

/// Records that one crash interrupted requests, all after the same run time.
fn record_crash(tracker: &mut CrashTracker, index: u32, interrupted: &[Suspects]) {
    let runs = interrupted
        .iter()
        .map(|suspects| run(tracker, suspects, index, 80));
    let runs: Vec<CrashedRun> = runs.collect();
    for (suspects, run) in interrupted.iter().zip(runs) {
        let origin = RequestOrigin::new("chat", suspects);
        tracker.record_crash(START, run, &[], origin);
    }
}

/// Crashes endpoint after endpoint under requests of which no two are alike.
fn crash_endpoints(tracker: &mut CrashTracker, count: u32, parts: &[u128]) {
    for index in 0..count {
        record_crash(tracker, index, &[request(index, parts, "customer-1")]);
    }
}

fn decide(tracker: &mut CrashTracker) -> Timestamp {
    let now = START + SETTLE_TIME;
    for due in tracker.due_decisions(now) {
        tracker.block(now, UNIX_MS, &due);
    }
    now
}

fn blocked(tracker: &CrashTracker) -> Vec<Fingerprint> {
    tracker.blocked().map(|block| block.request).collect()
}

fn admission(tracker: &CrashTracker, now: Timestamp, suspects: &Suspects) -> CrashAdmission {
    tracker.admission_of(now, suspects).admission
}

/// Returns a tracker of another node that knows only what this one reports.
fn forget_harmless_parts(tracker: &CrashTracker) -> CrashTracker {
    let clearances = tracker.clearances.values();
    let clearances = clearances.map(|own| own.clearance.clone());
    let report = CrashReport {
        clearances: clearances.collect(),
        ..CrashReport::default()
    };
    let mut later = CrashTracker::default();
    let node: NodeId = "n1".parse().expect("a valid name");
    later.apply_peers(START, [(node, Some(report))]);
    later
}

fn complete(tracker: &mut CrashTracker, parts: &[u128]) {
    let parts: Vec<Fingerprint> = parts.iter().copied().map(part).collect();
    tracker.record_harmless_parts(START, parts);
}

/// Guards against requests that crash endpoint after endpoint, because no two are alike.
#[test]
fn different_requests_with_a_part_that_crashed_endpoints_are_blocked() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let now = decide(&mut tracker);
    assert_eq!(blocked(&tracker), [part(CRASHING)]);
    let other = request(99, &[OTHER, CRASHING], "customer-1");
    assert!(matches!(
        admission(&tracker, now, &other),
        CrashAdmission::Blocked(_)
    ));
    let without = request(99, &[OTHER], "customer-1");
    assert_eq!(admission(&tracker, now, &without), CrashAdmission::Allowed);
}

/// Guards against operators who can't tell what is blocked.
#[test]
fn a_block_names_the_part_its_route_and_its_endpoints() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    decide(&mut tracker);
    let block = tracker.blocked().next().expect("it is blocked");
    assert_eq!(block.part.as_deref(), Some("2"));
    assert_eq!(block.origin.route, "chat");
    let endpoints: Vec<EndpointId> = (0..CRASH_LIMIT).map(endpoint).collect();
    assert_eq!(block.endpoints, endpoints);
}

/// Guards against blaming the part that all prompts begin with, whose requests complete elsewhere.
#[test]
fn a_part_that_completes_is_neither_held_nor_blocked() {
    let mut tracker = CrashTracker::default();
    for index in 0..CRASH_LIMIT {
        let crashing = request(index, &[COMMON, CRASHING], "customer-1");
        record_crash(&mut tracker, index, &[crashing]);
        complete(&mut tracker, &[COMMON]);
    }
    let now = decide(&mut tracker);
    assert_eq!(blocked(&tracker), [part(CRASHING)]);
    let sound = request(99, &[COMMON], "customer-1");
    assert_eq!(admission(&tracker, now, &sound), CrashAdmission::Allowed);
}

/// Guards against blaming the common part while nothing completes, as all endpoints are down.
#[test]
fn a_part_that_completed_before_explains_no_crash_of_one_that_never_did() {
    let mut tracker = CrashTracker::default();
    record_crash(
        &mut tracker,
        0,
        &[request(0, &[COMMON, CRASHING], "customer-1")],
    );
    complete(&mut tracker, &[COMMON]);
    let mut later = forget_harmless_parts(&tracker);
    for index in 1..CLEARED_CRASH_LIMIT + 4 {
        record_crash(
            &mut later,
            index,
            &[request(index, &[COMMON, CRASHING], "customer-1")],
        );
    }
    decide(&mut later);
    assert_eq!(blocked(&later), [part(CRASHING)]);
}

/// Guards against a part that completed under an earlier version of the engines and is never blamed again.
#[test]
fn a_part_that_completed_before_is_blocked_after_more_crashes() {
    let mut tracker = CrashTracker::default();
    record_crash(&mut tracker, 0, &[request(0, &[CRASHING], "customer-1")]);
    complete(&mut tracker, &[CRASHING]);
    let mut later = forget_harmless_parts(&tracker);
    crash_endpoints(&mut later, CLEARED_CRASH_LIMIT - 1, &[CRASHING]);
    decide(&mut later);
    assert!(blocked(&later).is_empty());
    record_crash(&mut later, 20, &[request(20, &[CRASHING], "customer-1")]);
    decide(&mut later);
    assert_eq!(blocked(&later), [part(CRASHING)]);
}

/// Guards against blaming a rare part whose requests were interrupted by the crashes of a crashing one.
#[test]
fn a_rare_part_that_shares_endpoints_with_a_crashing_one_is_not_blocked() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, 2, &[CRASHING]);
    for index in 2..2 + CRASH_LIMIT {
        let crashing = request(index, &[CRASHING], "customer-1");
        let rare = request(100 + index, &[OTHER], "customer-1");
        record_crash(&mut tracker, index, &[crashing, rare]);
    }
    decide(&mut tracker);
    assert_eq!(blocked(&tracker), [part(CRASHING)]);
}

/// Guards against requests that are never blocked because two parts of their prompts explain each other's crashes.
#[test]
fn requests_whose_prompts_always_hold_two_parts_are_blocked() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING, OTHER]);
    decide(&mut tracker);
    assert!(blocked(&tracker).is_empty(), "one of them may be harmless");
    for index in CRASH_LIMIT..CRASH_LIMIT + 2 {
        let both = request(index, &[CRASHING, OTHER], "customer-1");
        record_crash(&mut tracker, index, &[both]);
    }
    let now = decide(&mut tracker);
    let next = request(99, &[OTHER, CRASHING], "customer-1");
    assert!(matches!(
        admission(&tracker, now, &next),
        CrashAdmission::Blocked(_)
    ));
}

/// Guards against blaming the parts of one request that crashes endpoints.
#[test]
fn a_request_is_blocked_rather_than_the_parts_of_its_prompt() {
    let mut tracker = CrashTracker::default();
    for index in 0..3 {
        record_crash(&mut tracker, index, &[request(0, &[OTHER], "customer-1")]);
    }
    decide(&mut tracker);
    let culprit = request(0, &[OTHER], "customer-1");
    assert_eq!(blocked(&tracker), [culprit.request]);
}

/// Guards against a customer that has the requests of another one blocked by naming the same part.
#[test]
fn a_customer_without_a_crash_is_held_to_one_start_and_cleared_by_it() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let now = decide(&mut tracker);
    let other = request(99, &[CRASHING], "customer-2");
    assert_eq!(admission(&tracker, now, &other), CrashAdmission::Restricted);
    complete(&mut tracker, &[CRASHING]);
    assert_eq!(admission(&tracker, now, &other), CrashAdmission::Allowed);
}

/// Guards against a second customer whose requests go on crashing endpoints.
#[test]
fn one_crash_of_another_customer_is_enough_to_block_its_requests() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let now = decide(&mut tracker);
    let other = request(99, &[CRASHING], "customer-2");
    record_crash(&mut tracker, 30, std::slice::from_ref(&other));
    assert!(matches!(
        admission(&tracker, now, &other),
        CrashAdmission::Blocked(_)
    ));
}

/// Guards against counting crashes of each customer by itself.
#[test]
fn crashes_of_several_customers_add_up() {
    let mut tracker = CrashTracker::default();
    for index in 0..CRASH_LIMIT {
        let customer = format!("customer-{index}");
        record_crash(
            &mut tracker,
            index,
            &[request(index, &[CRASHING], &customer)],
        );
    }
    decide(&mut tracker);
    assert_eq!(blocked(&tracker), [part(CRASHING)]);
}

/// Guards against blaming the parts of requests that had been running for long when many endpoints were lost.
#[test]
fn a_part_whose_request_has_run_for_long_is_harmless() {
    let mut tracker = CrashTracker::default();
    for index in 0..2 * CRASH_LIMIT {
        let suspects = request(index, &[COMMON], "customer-1");
        let run = run(&tracker, &suspects, index, 700);
        tracker.record_crash(START, run, &[], RequestOrigin::default());
    }
    assert_eq!(tracker.suspicion(&part(COMMON)).crashes, 0);
}

/// Guards against blaming a part for the loss of many endpoints at once.
#[test]
fn endpoints_that_are_lost_at_once_are_one_crash_of_a_part() {
    let mut tracker = CrashTracker::default();
    let runs = (0..20).map(|index| {
        let suspects = request(index, &[OTHER], "customer-1");
        run(&CrashTracker::default(), &suspects, index, 80)
    });
    for run in runs {
        tracker.record_crash(START, run, &[], RequestOrigin::default());
    }
    decide(&mut tracker);
    assert!(blocked(&tracker).is_empty());
    let sound = request(99, &[OTHER], "customer-1");
    assert_eq!(admission(&tracker, START, &sound), CrashAdmission::Allowed);
}

/// Guards against a block that never ends, and against further crashes after it has expired.
#[test]
fn a_block_of_a_part_expires_and_the_next_crash_blocks_again() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let expired = decide(&mut tracker) + BLOCK_TTL;
    tracker.expire(expired);
    let next = request(99, &[CRASHING], "customer-1");
    assert_eq!(
        admission(&tracker, expired, &next),
        CrashAdmission::Restricted
    );
    let run = run(&tracker, &next, 40, 80);
    tracker.record_crash(expired, run, &[], RequestOrigin::new("chat", &next));
    let settled = expired + SETTLE_TIME;
    for due in tracker.due_decisions(settled) {
        tracker.block(settled, UNIX_MS, &due);
    }
    assert!(matches!(
        admission(&tracker, settled, &next),
        CrashAdmission::Blocked(_)
    ));
}

#[test]
fn an_operator_lifts_the_block_of_a_part() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let now = decide(&mut tracker);
    assert!(tracker.lift(now, &part(CRASHING)));
    let next = request(99, &[CRASHING], "customer-1");
    assert_eq!(admission(&tracker, now, &next), CrashAdmission::Allowed);
}

/// Guards against memory and messages that grow with the number of parts, and against losing the crashing one.
#[test]
fn thousands_of_parts_are_kept_within_bounds() {
    const NODES: usize = 380;
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, 2, &[CRASHING]);
    for index in 2..300 {
        let parts: Vec<u128> = (0..20)
            .map(|part| 1_000 * u128::from(index) + part)
            .collect();
        let bystander = request(index, &parts, "customer-1");
        record_crash(&mut tracker, 2 + index % 100, &[bystander]);
    }
    assert!(tracker.suspected_count() <= 21 * MAX_OWN_RUNS);
    assert_eq!(tracker.suspicion(&part(CRASHING)).crashes, 2);
    let report = tracker.due_report(START + SHARE_DELAY, NODES);
    let report: CrashReport = report.expect("it is urgent");
    assert!(report.runs.iter().any(|run| run.concerns(&part(CRASHING))));
    assert!(report.runs.len() <= 8, "{} runs", report.runs.len());
    let node = |index: usize| -> NodeId { format!("n{index}").parse().expect("a valid name") };
    tracker.apply_peers(
        START,
        (0..NODES).map(|index| (node(index), Some(report.clone()))),
    );
    assert!(tracker.suspected_count() <= 21 * 2 * MAX_OWN_RUNS);
}

/// Guards against a node of an older version whose reports name no parts.
#[test]
fn a_report_without_parts_is_read() {
    let text = r#"{"runs":[{"request":"000102030405060708090a0b0c0d0e0f","endpoint":"e1","incarnation":1,
        "crashes":0,"clearances":0,"ran_ms":5}]}"#;
    let report: CrashReport = serde_json::from_str(text).expect("it is valid");
    assert_eq!(
        (report.runs[0].parts.len(), &report.runs[0].customer),
        (0, &None::<CustomerId>)
    );
}

/// Guards against counting a request as suspected for ever after its block was decided.
#[test]
fn nothing_remains_of_a_part_in_the_end() {
    let mut tracker = CrashTracker::default();
    crash_endpoints(&mut tracker, CRASH_LIMIT, &[CRASHING]);
    let now = decide(&mut tracker);
    for round in 1..=3 {
        tracker.expire(now + BLOCK_TTL * round);
    }
    assert!(tracker.is_empty(), "{tracker:?}");
    assert_eq!(
        admission(&tracker, now, &request(99, &[CRASHING], "customer-1")),
        CrashAdmission::Allowed
    );
}
