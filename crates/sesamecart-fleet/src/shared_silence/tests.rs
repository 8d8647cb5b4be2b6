//! Plays the silence of heads at several nodes.

use std::time::Duration;

use sesamecart_vocabulary::{NodeId, Timestamp};

use super::{HeadSilence, SilenceFinding, SilenceReports, silence_limit};
use crate::directory::GroupKey;
use crate::stall_detector::{StallDetector, StallLimits};
use crate::testkit::steps;

/// The time of the last event of the head.
const LAST_EVENT: Timestamp = Timestamp(5_000_000);

const STEP: Duration = Duration::from_millis(5);

/// The time within which streams go on at another group.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// The time from the decision to the first event of the next group: a probe of the members that are gone, which is
/// refused or runs out, and the prompt and a pass there.
const MOVE_TIME: Duration = Duration::from_millis(170);

fn key() -> GroupKey {
    GroupKey {
        group: "g1".parse().expect("valid name"),
        epoch: "1@1".parse().or_else(|_| "1".parse()).expect("valid epoch"),
    }
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("valid name")
}

/// The longest pass of a head with 20 streams.
fn pass() -> Duration {
    steps().longest_pass(20, 1.0)
}

/// Lets nodes with one stream each report a silent head to the nodes that they follow, of which there are
/// `readers`. Returns when each reader probes.
fn probe_times(streams: usize, readers: usize, lasts: Duration) -> Vec<Vec<Duration>> {
    let mut reports = vec![SilenceReports::default(); readers];
    let mut probes = vec![Vec::new(); readers];
    let mut silent_for = pass();
    while silent_for < lasts {
        let now = LAST_EVENT + silent_for;
        for index in 0..streams {
            let silence = HeadSilence {
                streams: 1,
                last_event_at: LAST_EVENT,
            };
            let reader = index % readers;
            let finding = reports[reader].record(now, &key(), &node(index), silence, Some(pass()));
            if finding == SilenceFinding::Probe {
                probes[reader].push(silent_for);
            }
        }
        silent_for += STEP;
    }
    probes
}

macro_rules! lost_member_tests {
    ($($(#[$doc:meta])* $name:ident: $streams:expr, $readers:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let probes = probe_times($streams, $readers, Duration::from_secs(1));
                for times in probes {
                    let first = times[0];
                    assert!(first + MOVE_TIME <= MAX_PAUSE, "{first:?}");
                }
            }
        )*
    };
}

lost_member_tests! {
    /// Guards against streams of a lost group that pause for as long as one node needs to be sure.
    a_lost_member_is_noticed_at_9_nodes: 20, 3;
    /// Guards against the same where each node that is followed hears of few streams.
    a_lost_member_is_noticed_at_105_nodes: 20, 3;
    /// Guards against the same where the streams are spread over five failure domains.
    a_lost_member_is_noticed_at_380_nodes: 20, 5;
}

/// Guards against more probes of a sound head that is silent for a second than one node sends today.
#[test]
fn a_sound_head_that_is_silent_for_a_second_is_probed_no_more_often_than_by_one_node() {
    let mut alone = StallDetector::default();
    for _ in 0..20 {
        alone.record_sent(LAST_EVENT);
        alone.record_first_event(LAST_EVENT);
    }
    let mut probes_alone = 0;
    let mut silent_for = Duration::ZERO;
    while silent_for < Duration::from_secs(1) {
        let now = LAST_EVENT + silent_for;
        probes_alone += usize::from(alone.start_due_probe(now, StallLimits::default()));
        silent_for += STEP;
    }
    for times in probe_times(20, 3, Duration::from_secs(1)) {
        assert!(
            times.len() <= probes_alone,
            "{times:?}, {probes_alone} alone"
        );
    }
}

/// Guards against a node with a bad link that has the members of a sound group probed early.
#[test]
fn a_single_silent_stream_is_no_early_evidence() {
    let times = probe_times(1, 1, Duration::from_secs(1));
    assert!(times[0][0] >= pass() * 2, "{times:?}");
}

/// Guards against counting the silence of nodes to which the head has sent since.
#[test]
fn an_event_at_one_node_ends_the_silence_for_all() {
    let mut reports = SilenceReports::default();
    let silence = |last_event_at| HeadSilence {
        streams: 4,
        last_event_at,
    };
    let now = LAST_EVENT + pass();
    for index in 0..5 {
        let finding = reports.record(now, &key(), &node(index), silence(LAST_EVENT), Some(pass()));
        assert_ne!(finding, SilenceFinding::Probe);
    }
    let later = now + pass();
    let finding = reports.record(later, &key(), &node(9), silence(now), Some(pass()));
    let missing = silence_limit(4, Some(pass())).saturating_sub(pass());
    assert_eq!(finding, SilenceFinding::Wait(missing));
}

/// Guards against a wait beyond that of one node where the times of steps are long or aren't configured.
#[test]
fn the_limit_is_never_longer_than_that_of_one_node() {
    for streams in [1, 2, 20] {
        let alone = StallLimits::default()
            .streaming
            .mul_f64(1.0 + 1.0 / f64::from(streams));
        assert_eq!(silence_limit(streams, None), alone);
        assert_eq!(silence_limit(streams, Some(Duration::from_secs(9))), alone);
        assert!(silence_limit(streams, Some(pass())) <= alone);
    }
}
