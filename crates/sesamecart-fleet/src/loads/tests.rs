//! Where requests go, by what a node knows of loads and failures.

use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::{Candidate, LoadBook, LoadReport, NodeLoad, Unavailable};
use crate::silence::SilenceLimits;
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

/// Nodes don't see each other's requests. One that went by its own alone would send to an endpoint
/// that the others have filled.
#[test]
fn what_an_endpoint_reports_counts_besides_own_requests() {
    let (full, free) = (id("full"), id("free"));
    let mut loads = LoadBook::default();
    loads.reported(NOW, &full, report(4, 0));
    loads.reported(NOW, &free, report(1, 0));
    let candidates = [candidate(&full, true), candidate(&free, false)];
    let choice = loads.choose(NOW, &candidates, || 0.5).expect("one is free");
    assert_eq!(choice.index, 1);
}

/// Reports come with answers only. All that arrives between two of them would go to the endpoint that
/// looked free at the last one.
#[test]
fn requests_sent_since_a_report_count() {
    let (first, second) = (id("first"), id("second"));
    let mut loads = LoadBook::default();
    loads.reported(NOW, &first, report(0, 0));
    loads.reported(NOW, &second, report(1, 0));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut sent = [0, 0];
    for _ in 0..5 {
        let choice = loads
            .choose(NOW, &candidates, || 0.5)
            .expect("there is room");
        sent[choice.index] += 1;
        loads.sent(NOW, candidates[choice.index].id);
    }
    assert_eq!(sent, [3, 2]);
}

/// With many nodes each hears of an endpoint only with its own answers from there. One that reported
/// itself full would never be sent to again, since nothing would come from it that says otherwise:
/// its slots stay empty while callers wait at the others.
#[test]
fn an_endpoint_that_was_full_a_while_ago_is_tried_again() {
    let only = id("only");
    let mut loads = LoadBook::default();
    loads.reported(NOW, &only, report(4, 3));
    let candidates = [candidate(&only, true)];
    let refused = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    let later = NOW + Duration::from_secs(3);
    let choice = loads.choose(later, &candidates, || 0.5);
    assert!(choice.is_ok(), "{choice:?}");
}

/// A group that has just opened has told nobody of its load. Were it taken for empty, all nodes would
/// send it all that comes in the same moment, and the callers would wait there in a queue.
#[test]
fn an_endpoint_that_has_reported_nothing_counts_as_the_mean() {
    let (known, new) = (id("known"), id("new"));
    let mut loads = LoadBook::default();
    loads.reported(NOW, &known, report(2, 0));
    let candidates = [candidate(&known, true), candidate(&new, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("both are free");
    assert_eq!(choice.index, 1);
    assert!((choice.load - 0.25).abs() < 1e-9, "{}", choice.load);
}

/// When everything is full a caller is told so at once; a request that only waited in a queue until
/// its caller had given up would have been of use to nobody.
#[test]
fn full_endpoints_refuse_at_once() {
    let only = id("only");
    let mut loads = LoadBook::default();
    loads.reported(NOW, &only, report(4, 3));
    let refused = loads.choose(NOW, &[candidate(&only, true)], || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    assert_eq!(loads.choose(NOW, &[], || 0.5), Err(Unavailable::NoEndpoint));
}

/// An endpoint that fails what it gets answers fastest of all, so it would get ever more. It rests
/// after two failures in a row, longer each time, and one success ends that.
#[test]
fn an_endpoint_that_fails_rests_for_a_while() {
    let only = id("only");
    let mut loads = LoadBook::default();
    assert_eq!(loads.failed(NOW, &only), None);
    let rest = loads.failed(NOW, &only).expect("it rests");
    let candidates = [candidate(&only, true)];
    assert!(loads.choose(NOW, &candidates, || 0.5).is_err());
    assert!(loads.choose(NOW + rest, &candidates, || 0.5).is_ok());
    assert!(loads.failed(NOW, &only).expect("it rests") > rest);
    loads.succeeded(&only);
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
}

/// Bytes between failure domains cost, so equal loads stay local; a full local endpoint doesn't hold
/// its callers back.
#[test]
fn equal_loads_stay_in_the_failure_domain() {
    let (local, remote) = (id("local"), id("remote"));
    let mut loads = LoadBook::default();
    let candidates = [candidate(&remote, false), candidate(&local, true)];
    let choice = loads
        .choose(NOW, &candidates, || 0.5)
        .expect("both are free");
    assert_eq!(choice.index, 1);
    loads.reported(NOW, &local, report(3, 0));
    let choice = loads.choose(NOW, &candidates, || 0.5).expect("one is free");
    assert_eq!(choice.index, 0);
}

/// A group that lost a member goes on taking requests while nothing moves. Callers see their streams
/// stop; the registry shows it only after three heartbeats.
#[test]
fn a_head_whose_streams_fall_silent_is_asked_about() {
    let head = id("head");
    let mut loads = LoadBook::default();
    let limits = SilenceLimits::default();
    loads.sent(NOW, &head);
    loads.begun(NOW, &head);
    let moving = NOW + Duration::from_millis(100);
    assert!(loads.silent(moving, limits).is_empty());
    loads.heard(moving, &head);
    assert!(
        loads.silent(moving + limits.flowing, limits).is_empty(),
        "one stream says little"
    );
    let silent = moving + limits.flowing * 2;
    assert_eq!(loads.silent(silent, limits), std::slice::from_ref(&head));
    assert!(
        loads.silent(silent, limits).is_empty(),
        "it was just asked about"
    );
    loads.ended(&head, true);
    let idle = silent + Duration::from_secs(5);
    assert!(
        loads.silent(idle, limits).is_empty(),
        "nothing is expected of it"
    );
}

/// A head that reads many long prompts is silent for a second and quite sound. Were its members asked
/// four times a second by every node meanwhile, they would answer questions instead of callers.
#[test]
fn a_head_that_was_found_sound_is_asked_about_less_and_less() {
    let head = id("head");
    let mut loads = LoadBook::default();
    let limits = SilenceLimits::default();
    loads.sent(NOW, &head);
    loads.begun(NOW, &head);
    let asked_within = |loads: &mut LoadBook, from: Timestamp, ms: u64| {
        let moments = (0..ms)
            .step_by(10)
            .map(|ms| from + Duration::from_millis(ms));
        moments
            .filter(|now| !loads.silent(*now, limits).is_empty())
            .count()
    };
    assert_eq!(asked_within(&mut loads, NOW, 2_000), 3);
    let moving = NOW + Duration::from_millis(2_000);
    loads.heard(moving, &head);
    assert_eq!(
        asked_within(&mut loads, moving, 400),
        1,
        "it is as if it had never been asked"
    );
}

/// An engine reads prompts one after the other. A prompt sent to the head that writes least, where two
/// others wait to be read, begins two passes later than one at a head that writes more and reads nothing.
#[test]
fn a_head_with_nothing_to_read_goes_before_one_that_writes_less() {
    let (reads, writes) = (id("reads"), id("writes"));
    let mut loads = LoadBook::default();
    for _ in 0..2 {
        loads.sent(NOW, &reads);
    }
    for _ in 0..3 {
        loads.sent(NOW, &writes);
        loads.begun(NOW, &writes);
    }
    let candidates = [candidate(&reads, true), candidate(&writes, true)];
    let choice = loads.choose(NOW, &candidates, || 0.5).expect("one is free");
    assert_eq!(choice.index, 1);
}

/// Another node has just sent prompts to a head. Nobody hears of them from the head before it has read
/// them; without the other node's own word the next prompt would join them.
#[test]
fn what_other_nodes_say_they_sent_counts_at_once() {
    let (busy, free) = (id("busy"), id("free"));
    let other = "other".parse().expect("a name");
    let mut loads = LoadBook::default();
    loads.set_others(1);
    let there = NodeLoad {
        in_flight: 2,
        waiting: 2,
    };
    loads.apply_peer_load(&other, &busy, there);
    let candidates = [candidate(&busy, true), candidate(&free, false)];
    let choice = loads.choose(NOW, &candidates, || 0.5).expect("one is free");
    assert_eq!(choice.index, 1);
}

/// A node dies with requests at a head. What it said must not keep callers away from there.
#[test]
fn what_a_node_said_that_is_gone_counts_no_more() {
    let (once_busy, free) = (id("busy"), id("free"));
    let other = "other".parse().expect("a name");
    let mut loads = LoadBook::default();
    loads.set_others(1);
    let there = NodeLoad {
        in_flight: 7,
        waiting: 7,
    };
    loads.apply_peer_load(&other, &once_busy, there);
    loads.apply_peer_load(&other, &free, there);
    let candidates = [candidate(&once_busy, true), candidate(&free, true)];
    let refused = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(refused, Err(Unavailable::Full));
    loads.drop_peer(&other);
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
}

/// Two of seven other nodes tell what they have. That little is no picture of a head: the report that it
/// gave a moment ago, with the requests of all, decides.
#[test]
fn reports_decide_where_few_nodes_tell_their_loads() {
    let (full, free) = (id("full"), id("free"));
    let other = "other".parse().expect("a name");
    let mut loads = LoadBook::default();
    loads.set_others(7);
    loads.mark_reporting(&other);
    loads.reported(NOW, &full, report(4, 0));
    loads.reported(NOW, &free, report(0, 0));
    let candidates = [candidate(&full, true), candidate(&free, true)];
    let choice = loads.choose(NOW, &candidates, || 0.5).expect("one is free");
    assert_eq!(choice.index, 1);
}

/// Some nodes can't be heard. Taken for idle, they would have the others fill heads that are full.
#[test]
fn nodes_that_cannot_be_heard_count_like_those_that_can() {
    let head = id("head");
    let mut loads = LoadBook::default();
    loads.set_others(4);
    for name in ["n1", "n2"] {
        let there = NodeLoad {
            in_flight: 2,
            waiting: 0,
        };
        loads.apply_peer_load(&name.parse().expect("a name"), &head, there);
    }
    let choice = loads.choose(NOW, &[candidate(&head, true)], || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}

/// Among many nodes each hears from a head every few seconds only, and those that go by such old reports send
/// to heads that others have filled meanwhile.
#[test]
fn a_newer_report_to_a_peer_counts() {
    let (first, second) = (id("first"), id("second"));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut loads = LoadBook::default();
    loads.reported(NOW, &first, report(0, 0));
    loads.reported(NOW, &second, report(2, 0));
    let later = NOW + Duration::from_millis(300);
    loads.apply_peer_report(&first, report(4, 0), later);
    loads.apply_peer_report(&second, report(4, 2), NOW - Duration::from_millis(1));
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice.expect("one is free").index, 1);
}

/// A report that went round by other nodes would come back to the one that it came from, again and again.
#[test]
fn only_a_nodes_own_reports_are_passed_on() {
    let (first, second) = (id("first"), id("second"));
    let mut loads = LoadBook::default();
    loads.reported(NOW, &first, report(1, 0));
    loads.apply_peer_report(&second, report(2, 0), NOW);
    let own: Vec<_> = loads.own_reports().collect();
    assert_eq!(own, [(&first, report(1, 0), NOW)]);
}

/// Sixty nodes send a burst to two heads between two reports. A node that goes by the reports alone lets all
/// its callers in, as do the others, and each of them is served late.
#[test]
fn a_burst_that_no_report_shows_yet_is_refused() {
    let (first, second) = (id("first"), id("second"));
    let candidates = [candidate(&first, true), candidate(&second, true)];
    let mut loads = LoadBook::default();
    loads.set_others(59);
    let peer: NodeId = "n2".parse().expect("a name");
    loads.mark_reporting(&peer);
    loads.reported(NOW, &first, report(2, 0));
    loads.reported(NOW, &second, report(2, 0));
    assert!(loads.choose(NOW, &candidates, || 0.5).is_ok());
    let there = NodeLoad {
        in_flight: 1,
        waiting: 1,
    };
    loads.apply_peer_load(&peer, &first, there);
    let choice = loads.choose(NOW, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
    let later = NOW + Duration::from_millis(200);
    loads.reported(later, &first, report(3, 0));
    assert!(loads.choose(later, &candidates, || 0.5).is_ok());
}

/// A failure domain goes dark while its heads still stand in the registry. Counted as room, they have the
/// nodes fill the heads that are left, and every caller there is served late.
#[test]
fn dark_heads_are_no_room() {
    let (sound, dark) = (id("sound"), id("dark"));
    let candidates = [candidate(&sound, true), candidate(&dark, true)];
    let mut loads = LoadBook::default();
    loads.set_others(59);
    loads.mark_reporting(&"n2".parse().expect("a name"));
    loads.reported(NOW, &dark, report(4, 0));
    let later = NOW + Duration::from_secs(2);
    loads.reported(later, &sound, report(4, 3));
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}

/// Reports fade into the mean of all heads where one is chosen. Faded in the sum as well, idle or dark heads
/// would make full ones look as if they had room.
#[test]
fn the_sum_over_heads_takes_reports_as_they_are() {
    let (sound, dark) = (id("sound"), id("dark"));
    let candidates = [candidate(&sound, true), candidate(&dark, true)];
    let mut loads = LoadBook::default();
    loads.set_others(59);
    loads.mark_reporting(&"n2".parse().expect("a name"));
    loads.reported(NOW, &sound, report(4, 3));
    let later = NOW + Duration::from_millis(800);
    let choice = loads.choose(later, &candidates, || 0.5);
    assert_eq!(choice, Err(Unavailable::Full));
}
