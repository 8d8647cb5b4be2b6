//! Plays requests that come to some nodes, and checks what is taken for the demand of all.

use std::time::Duration;

use sesamecart_vocabulary::{ModelId, NodeId, Timestamp};

use super::{Demand, DemandBook};
use crate::step_model::TokenCounts;

const START: Timestamp = Timestamp(1_000_000);

const TOKENS: TokenCounts = TokenCounts {
    prompt: 700.0,
    answer: 150.0,
};

fn model(name: &str) -> ModelId {
    name.parse().expect("a name")
}

fn node(name: &str) -> NodeId {
    name.parse().expect("a name")
}

/// Notes `per_s` requests a second that take `group_time` each, for `time` from `from` on.
fn ask(
    book: &mut DemandBook,
    from: Timestamp,
    time: Duration,
    name: &str,
    per_s: u32,
    group_time: Duration,
) {
    let every = Duration::from_secs(1) / per_s;
    let mut now = from;
    while now < from + time {
        book.note(now, &model(name), group_time, TOKENS);
        now = now + every;
    }
}

fn assert_close(value: f64, expected: f64) {
    let error = (value - expected).abs();
    assert!(
        error < expected * 0.1,
        "{value} where {expected} is expected"
    );
}

#[test]
fn demand_is_the_rate_of_requests_times_what_each_takes() {
    let mut book = DemandBook::default();
    let time = Duration::from_secs(10);
    ask(&mut book, START, time, "m", 50, Duration::from_millis(40));
    assert_close(book.own(START + time).groups(&model("m")), 2.0);
}

/// The first seconds of traffic show too little if the sum is taken for a full window's.
#[test]
fn demand_is_not_underestimated_when_requests_have_just_begun() {
    let mut book = DemandBook::default();
    let time = Duration::from_secs(2);
    ask(&mut book, START, time, "m", 50, Duration::from_millis(40));
    assert_close(book.own(START + time).groups(&model("m")), 2.0);
}

#[test]
fn demand_that_has_ended_fades() {
    let mut book = DemandBook::default();
    let time = Duration::from_secs(10);
    ask(&mut book, START, time, "m", 50, Duration::from_millis(40));
    let later = START + time + Duration::from_secs(9);
    assert!(book.own(later).groups(&model("m")) < 0.2);
}

#[test]
fn the_demand_of_all_nodes_is_worked_out_from_those_that_are_heard() {
    let mut book = DemandBook::default();
    let time = Duration::from_secs(10);
    ask(&mut book, START, time, "m", 50, Duration::from_millis(10));
    for peer in ["n2", "n3"] {
        let demand: Demand = [(model("m"), 0.5), (model("other"), 0.25)]
            .into_iter()
            .collect();
        book.apply_peer_demand(START, &node(peer), demand);
    }
    let all = book.estimate(START + time, 60).expect("it is known");
    assert_close(all.groups(&model("m")), 30.0);
    assert_close(all.groups(&model("other")), 10.0);
    book.drop_peer(&node("n2"));
    let all = book.estimate(START + time, 60).expect("it is known");
    assert_close(all.groups(&model("other")), 7.5);
}

/// Groups moved for the first request's sake would be moved back a second later.
#[test]
fn nothing_is_said_before_requests_have_come_for_a_while() {
    let mut book = DemandBook::default();
    assert_eq!(book.estimate(START, 3), None);
    book.note(START, &model("m"), Duration::from_millis(40), TOKENS);
    assert_eq!(book.estimate(START + Duration::from_millis(500), 3), None);
    assert!(book.estimate(START + Duration::from_secs(2), 3).is_some());
}

#[test]
fn the_mean_request_of_a_model_is_known_once_a_few_have_come() {
    let mut book = DemandBook::default();
    let time = Duration::from_millis(40);
    book.note(START, &model("m"), time, TOKENS);
    assert_eq!(book.mean_tokens(START, &model("m")), None);
    for prompt in [100.0, 400.0, 1_600.0] {
        let tokens = TokenCounts {
            prompt,
            answer: 150.0,
        };
        book.note(START, &model("m"), time, tokens);
    }
    let mean = book.mean_tokens(START, &model("m")).expect("it is known");
    assert_close(mean.prompt, 700.0);
    assert_close(mean.answer, 150.0);
}
