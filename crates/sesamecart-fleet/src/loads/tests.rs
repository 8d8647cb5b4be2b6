//! Tests endpoint selection by known loads and failures.

use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::{Candidate, LoadReport, LoadTracker, NodeLoad, Unavailable};
use crate::stall_detector::StallLimits;
use crate::testkit::id;

const NOW: Timestamp = Timestamp(10_000_000);

fn candidate(id: &EndpointId, is_local: bool) -> Candidate<'_> {
    Candidate {
        id,
        slots: 4,
        is_local,
    }
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 4,
    }
}

/// Nodes don't see each other's requests. A node that counted only its own would send to an endpoint that
/// other nodes have filled.
#[test]
fn reported_load_counts_in_addition_to_own_requests() {
    let (full, free) = (id("full"), id("free"));
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &full, report(4, 0));
    loads.record_report(NOW, &free, report(1, 0));
    let candidates = [candidate(&full, true), candidate(&free, false)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("an endpoint has capacity");
    assert_eq!(choice.index, 1);
}

/// Reports arrive only with answers. Everything that is sent between two reports would go to the endpoint
/// that was least loaded at the last one.
#[test]
fn requests_sent_since_the_last_report_count() {
    let (first, second) = (id("first"), id("second"));
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &first, report(0, 0));
    loads.record_report(NOW, &second, report(1, 0));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut sent = [0, 0];
    for _ in 0..5 {
        let choice = loads
            .choose(NOW, &candidates, || 0.5)
            .expect("an endpoint has capacity");
        sent[choice.index] += 1;
        loads.record_sent(NOW, candidates[choice.index].id);
    }
    assert_eq!(sent, [3, 2]);
}

/// A node gets reports only with its own answers from an endpoint. If a full report never decayed, the node
/// would never send to that endpoint again and so never get a newer report. The slots would stay empty
/// while callers wait at other endpoints.
#[test]
fn a_full_report_decays_until_the_endpoint_is_tried_again() {
    let only = id("only");
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &only, report(4, 3));
    let candidates = [candidate(&only, true)];
    let refused = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    let later = NOW + Duration::from_secs(3);
    let choice = loads.choose(later, &candidates, || 0.5);
    assert!(choice.is_ok(), "{choice:?}");
}

/// A group that has just opened has not reported any load yet. If it counted as empty, all nodes would send
/// their requests to it at the same moment, and the callers would wait in its queue.
#[test]
fn an_endpoint_without_report_counts_with_the_mean_load() {
    let (known, new) = (id("known"), id("new"));
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &known, report(2, 0));
    let candidates = [candidate(&known, true), candidate(&new, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("both endpoints have capacity");
    assert_eq!(choice.index, 1);
    assert!((choice.load - 0.25).abs() < 1e-9, "{}", choice.load);
}

/// If all endpoints are full, the caller is refused at once. A queued request whose caller gives up before
/// it starts would be wasted work.
#[test]
fn requests_are_refused_at_once_when_all_endpoints_are_full() {
    let only = id("only");
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &only, report(4, 3));
    let refused = loads.choose(NOW, &[candidate(&only, true)], || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    assert_eq!(loads.choose(NOW, &[], || 0.5), Err(Unavailable::NoEndpoint));
}

/// An endpoint that fails its requests answers fastest, so it would attract ever more of them. It is
/// ejected after two consecutive failures, longer each time, and one success ends the ejection.
#[test]
fn an_endpoint_is_ejected_after_consecutive_failures() {
    let only = id("only");
    let mut loads = LoadTracker::default();
    assert_eq!(loads.record_failure(NOW, &only), None);
    let ejection_time = loads.record_failure(NOW, &only).expect("ejected");
    let candidates = [candidate(&only, true)];
    assert!(loads.choose(NOW, &candidates, || 0.5).is_err());
    assert!(
        loads
            .choose(NOW + ejection_time, &candidates, || 0.5)
            .is_ok()
    );
    assert!(loads.record_failure(NOW, &only).expect("ejected") > ejection_time);
    loads.record_success(&only);
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
}

/// Traffic between failure domains is expensive, so requests stay local at equal loads. A full local
/// endpoint must not hold its callers back.
#[test]
fn requests_stay_in_the_failure_domain_at_equal_loads() {
    let (local, remote) = (id("local"), id("remote"));
    let mut loads = LoadTracker::default();
    let candidates = [candidate(&remote, false), candidate(&local, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("both endpoints have capacity");
    assert_eq!(choice.index, 1);
    loads.record_report(NOW, &local, report(3, 0));
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("an endpoint has capacity");
    assert_eq!(choice.index, 0);
}

/// A group that lost a member still accepts requests but makes no progress, so callers see their streams
/// stall. The registry shows the loss only after three heartbeats.
#[test]
fn a_head_with_stalled_streams_is_probed() {
    let head = id("head");
    let mut loads = LoadTracker::default();
    let limits = StallLimits::default();
    loads.record_sent(NOW, &head);
    loads.record_first_event(NOW, &head);
    let moving = NOW + Duration::from_millis(100);
    assert!(loads.start_due_probes(moving, limits).is_empty());
    loads.record_event(moving, &head);
    assert!(
        loads
            .start_due_probes(moving + limits.streaming, limits)
            .is_empty(),
        "a single stream gets twice the limit"
    );
    let stalled = moving + limits.streaming * 2;
    assert_eq!(
        loads.start_due_probes(stalled, limits),
        std::slice::from_ref(&head)
    );
    assert!(
        loads.start_due_probes(stalled, limits).is_empty(),
        "it was just probed"
    );
    loads.record_end(&head, true);
    let idle = stalled + Duration::from_secs(5);
    assert!(
        loads.start_due_probes(idle, limits).is_empty(),
        "it has no requests"
    );
}

/// A healthy head that reads many long prompts sends no events for a second. If every node probed its
/// members four times a second meanwhile, they would be busy answering probes instead of callers.
#[test]
fn probes_of_a_head_without_events_back_off() {
    let head = id("head");
    let mut loads = LoadTracker::default();
    let limits = StallLimits::default();
    loads.record_sent(NOW, &head);
    loads.record_first_event(NOW, &head);
    let count_probes = |loads: &mut LoadTracker, from: Timestamp, ms: u64| {
        let times = (0..ms)
            .step_by(10)
            .map(|ms| from + Duration::from_millis(ms));
        times
            .filter(|now| !loads.start_due_probes(*now, limits).is_empty())
            .count()
    };
    assert_eq!(count_probes(&mut loads, NOW, 2_000), 3);
    let moving = NOW + Duration::from_millis(2_000);
    loads.record_event(moving, &head);
    assert_eq!(
        count_probes(&mut loads, moving, 400),
        1,
        "an event resets the backoff"
    );
}

/// An engine reads prompts one after the other. A prompt sent to the head with the fewest requests, where
/// two prompts wait, starts two passes later than at a head with more running answers and no waiting
/// prompt.
#[test]
fn a_head_without_waiting_prompts_is_preferred_over_one_with_fewer_requests() {
    let (reading, decoding) = (id("reading"), id("decoding"));
    let mut loads = LoadTracker::default();
    for _ in 0..2 {
        loads.record_sent(NOW, &reading);
    }
    for _ in 0..3 {
        loads.record_sent(NOW, &decoding);
        loads.record_first_event(NOW, &decoding);
    }
    let candidates = [candidate(&reading, true), candidate(&decoding, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("an endpoint has capacity");
    assert_eq!(choice.index, 1);
}

/// Another node has just sent prompts to a head. The head's reports don't show them before it has read
/// them, so without the node's own report the next prompt would be sent there too.
#[test]
fn loads_reported_by_other_nodes_count_at_once() {
    let (busy, free) = (id("busy"), id("free"));
    let other = "other".parse().expect("valid name");
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(1);
    let node_load = NodeLoad {
        in_flight: 2,
        waiting: 2,
    };
    loads.apply_peer_load(&other, &busy, node_load);
    let candidates = [candidate(&busy, true), candidate(&free, false)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("an endpoint has capacity");
    assert_eq!(choice.index, 1);
}

/// A node fails while it has requests at a head. The load that it reported must not keep callers away from
/// that head.
#[test]
fn loads_of_a_removed_node_no_longer_count() {
    let (formerly_busy, free) = (id("busy"), id("free"));
    let other = "other".parse().expect("valid name");
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(1);
    let node_load = NodeLoad {
        in_flight: 7,
        waiting: 7,
    };
    loads.apply_peer_load(&other, &formerly_busy, node_load);
    loads.apply_peer_load(&other, &free, node_load);
    let candidates = [candidate(&formerly_busy, true), candidate(&free, true)];
    let refused = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    loads.drop_peer(&other);
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
}

/// One of seven other nodes reports its loads. That isn't enough to estimate a head's load, so the head's
/// own recent report, which includes the requests of all nodes, decides.
#[test]
fn endpoint_reports_decide_if_few_nodes_report_their_loads() {
    let (full, free) = (id("full"), id("free"));
    let other = "other".parse().expect("valid name");
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(7);
    loads.mark_reporting(&other);
    loads.record_report(NOW, &full, report(4, 0));
    loads.record_report(NOW, &free, report(0, 0));
    let candidates = [candidate(&full, true), candidate(&free, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("an endpoint has capacity");
    assert_eq!(choice.index, 1);
}

/// Some nodes can't be reached. If they counted as idle, the other nodes would overload heads that are
/// already full.
#[test]
fn unreachable_nodes_count_with_the_mean_load_of_reachable_ones() {
    let head = id("head");
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(4);
    for name in ["n1", "n2"] {
        let node_load = NodeLoad {
            in_flight: 2,
            waiting: 0,
        };
        loads.apply_peer_load(&name.parse().expect("valid name"), &head, node_load);
    }
    let choice = loads.choose(NOW, &[candidate(&head, true)], || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}

/// With many nodes, each receives a report from a head only every few seconds. A node that relied on its
/// own old reports would send to heads that others have filled meanwhile.
#[test]
fn a_newer_report_from_a_peer_replaces_the_own_one() {
    let (first, second) = (id("first"), id("second"));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &first, report(0, 0));
    loads.record_report(NOW, &second, report(2, 0));
    let later = NOW + Duration::from_millis(300);
    loads.apply_peer_report(&first, report(4, 0), later);
    loads.apply_peer_report(&second, report(4, 2), NOW - Duration::from_millis(1));
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice.expect("an endpoint has capacity").index, 1);
}

/// A report that nodes forwarded from each other would return to its origin again and again.
#[test]
fn only_reports_received_directly_are_forwarded() {
    let (first, second) = (id("first"), id("second"));
    let mut loads = LoadTracker::default();
    loads.record_report(NOW, &first, report(1, 0));
    loads.apply_peer_report(&second, report(2, 0), NOW);
    let own: Vec<_> = loads.own_reports().collect();
    assert_eq!(own, [(&first, report(1, 0), NOW)]);
}

/// Sixty nodes send a burst to two heads between two reports. Nodes that relied on the reports alone would
/// admit all of their callers, and each of them would be served late.
#[test]
fn a_burst_between_reports_is_refused() {
    let (first, second) = (id("first"), id("second"));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(59);
    let peer: NodeId = "n2".parse().expect("valid name");
    loads.mark_reporting(&peer);
    loads.record_report(NOW, &first, report(2, 0));
    loads.record_report(NOW, &second, report(2, 0));
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
    let node_load = NodeLoad {
        in_flight: 1,
        waiting: 1,
    };
    loads.apply_peer_load(&peer, &first, node_load);
    let choice = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
    let later = NOW + Duration::from_millis(200);
    loads.record_report(later, &first, report(3, 0));
    assert!(loads.choose(later, &candidates, || 0.5).is_ok());
}

/// A failure domain becomes unreachable while its heads are still in the registry. If they counted as
/// capacity, the nodes would overload the remaining heads, and every caller there would be served late.
#[test]
fn unreachable_heads_do_not_count_as_capacity() {
    let (reachable, unreachable) = (id("reachable"), id("unreachable"));
    let candidates = [candidate(&reachable, true), candidate(&unreachable, true)];
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(59);
    loads.mark_reporting(&"n2".parse().expect("valid name"));
    loads.record_report(NOW, &unreachable, report(4, 0));
    let later = NOW + Duration::from_secs(2);
    loads.record_report(later, &reachable, report(4, 3));
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}

/// For the choice of an endpoint, old reports decay towards the mean of all heads. If they decayed in the
/// total too, idle or unreachable heads would make full ones look as if they had free capacity.
#[test]
fn reports_do_not_decay_in_the_total_over_heads() {
    let (reachable, unreachable) = (id("reachable"), id("unreachable"));
    let candidates = [candidate(&reachable, true), candidate(&unreachable, true)];
    let mut loads = LoadTracker::default();
    loads.set_other_nodes(59);
    loads.mark_reporting(&"n2".parse().expect("valid name"));
    loads.record_report(NOW, &reachable, report(4, 3));
    let later = NOW + Duration::from_millis(800);
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}
