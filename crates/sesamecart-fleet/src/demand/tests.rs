//! Simulates requests at some nodes and checks the estimated demand of all nodes.

use std::time::Duration;

use sesamecart_vocabulary::{ModelId, NodeId, Timestamp};

use super::{Demand, DemandTracker, ModelDemand, Urgency};
use crate::step_model::TokenCounts;

const START: Timestamp = Timestamp(1_000_000);

const TOKENS: TokenCounts = TokenCounts {
    prompt: 700.0,
    answer: 150.0,
};

fn model(name: &str) -> ModelId {
    name.parse().expect("valid name")
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

/// Records `per_s` requests per second that take `group_time` each, for `time` from `from` on.
fn record_requests(
    tracker: &mut DemandTracker,
    from: Timestamp,
    time: Duration,
    name: &str,
    per_s: u32,
    group_time: Duration,
) {
    let interval = Duration::from_secs(1) / per_s;
    let mut now = from;
    while now < from + time {
        tracker.note(now, &model(name), group_time, TOKENS, Urgency::MOST);
        now = now + interval;
    }
}

fn assert_close(value: f64, expected: f64) {
    let error = (value - expected).abs();
    assert!(
        error < expected * 0.1,
        "expected about {expected}, got {value}"
    );
}

#[test]
fn demand_is_request_rate_times_group_time() {
    let mut tracker = DemandTracker::default();
    let time = Duration::from_secs(10);
    record_requests(
        &mut tracker,
        START,
        time,
        "m",
        50,
        Duration::from_millis(40),
    );
    assert_close(tracker.own(START + time).groups(&model("m")), 2.0);
}

/// In the first seconds of traffic, the sum covers less than the full time constant. Divided by the latter,
/// it would give too low a rate.
#[test]
fn demand_is_not_underestimated_when_traffic_has_just_started() {
    let mut tracker = DemandTracker::default();
    let time = Duration::from_secs(2);
    record_requests(
        &mut tracker,
        START,
        time,
        "m",
        50,
        Duration::from_millis(40),
    );
    assert_close(tracker.own(START + time).groups(&model("m")), 2.0);
}

#[test]
fn demand_decays_when_requests_stop() {
    let mut tracker = DemandTracker::default();
    let time = Duration::from_secs(10);
    record_requests(
        &mut tracker,
        START,
        time,
        "m",
        50,
        Duration::from_millis(40),
    );
    let later = START + time + Duration::from_secs(9);
    assert!(tracker.own(later).groups(&model("m")) < 0.2);
}

#[test]
fn fleet_demand_is_extrapolated_from_reporting_nodes() {
    let mut tracker = DemandTracker::default();
    let time = Duration::from_secs(10);
    record_requests(
        &mut tracker,
        START,
        time,
        "m",
        50,
        Duration::from_millis(10),
    );
    for peer in ["n2", "n3"] {
        let demand: Demand = [(model("m"), 0.5), (model("other"), 0.25)]
            .into_iter()
            .collect();
        tracker.apply_peer_demand(START, &node(peer), demand);
    }
    let all = tracker.estimate(START + time, 60).expect("demand is known");
    assert_close(all.groups(&model("m")), 30.0);
    assert_close(all.groups(&model("other")), 10.0);
    tracker.drop_peer(&node("n2"));
    let all = tracker.estimate(START + time, 60).expect("demand is known");
    assert_close(all.groups(&model("other")), 7.5);
}

/// Groups that are moved because of the first request alone would be moved back a second later.
#[test]
fn demand_is_unknown_before_the_minimum_observation_time() {
    let mut tracker = DemandTracker::default();
    assert_eq!(tracker.estimate(START, 3), None);
    tracker.note(
        START,
        &model("m"),
        Duration::from_millis(40),
        TOKENS,
        Urgency::MOST,
    );
    assert_eq!(
        tracker.estimate(START + Duration::from_millis(500), 3),
        None
    );
    assert!(
        tracker
            .estimate(START + Duration::from_secs(2), 3)
            .is_some()
    );
}

#[test]
fn mean_tokens_are_known_after_the_minimum_number_of_requests() {
    let mut tracker = DemandTracker::default();
    let time = Duration::from_millis(40);
    tracker.note(START, &model("m"), time, TOKENS, Urgency::MOST);
    assert_eq!(tracker.mean_tokens(START, &model("m")), None);
    for prompt in [100.0, 400.0, 1_600.0] {
        let tokens = TokenCounts {
            prompt,
            answer: 150.0,
        };
        tracker.note(START, &model("m"), time, tokens, Urgency::MOST);
    }
    let mean = tracker
        .mean_tokens(START, &model("m"))
        .expect("mean is known");
    assert_close(mean.prompt, 700.0);
    assert_close(mean.answer, 150.0);
}

#[test]
fn the_urgency_of_a_model_is_that_of_its_mean_group_time() {
    let mut tracker = DemandTracker::default();
    for (priority, time_ms) in [(0, 30), (1, 90)] {
        let time = Duration::from_millis(time_ms);
        let urgency = Urgency::of_priority(priority);
        tracker.note(START, &model("m"), time, TOKENS, urgency);
    }
    let demand = tracker.own(START);
    let mean = (30.0 + 90.0 * Urgency::of_priority(1).relative_to(Urgency::MOST)) / 120.0;
    let urgency = demand.urgency(&model("m")).expect("requests are known");
    assert_close(urgency.relative_to(Urgency::MOST), mean);
}

/// Guards against the urgency of a sample getting lost when the demand is scaled to all nodes.
#[test]
fn fleet_demand_keeps_the_urgency_of_the_reporting_nodes() {
    let mut tracker = DemandTracker::default();
    let less_urgent = ModelDemand {
        groups: 0.5,
        urgent_groups: 0.125,
    };
    let demand: Demand = [(model("m"), less_urgent)].into_iter().collect();
    tracker.apply_peer_demand(START, &node("n2"), demand);
    let all = tracker.estimate(START + Duration::from_secs(2), 60);
    let urgency = all.expect("demand is known").urgency(&model("m"));
    assert_eq!(urgency, Some(Urgency::of_priority(1)));
}
