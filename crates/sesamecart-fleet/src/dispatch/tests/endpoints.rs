//! Slow, grey, flapping and cold endpoints under load.

use std::time::Duration;

use indexmap::IndexMap;

use super::load::{Caller, Play, Route, fraction};
use super::{at, head};
use crate::dispatch::PoolHead;
use crate::step_model::TokenCounts;

const HEADS: usize = 6;

/// Returns callers that ask for `factor` times the room.
fn route(factor: f64) -> Vec<Route> {
    let mean = TokenCounts {
        prompt: 714.0,
        answer: 150.0,
    };
    vec![Route::new(
        0,
        300,
        714.0,
        factor * Play::room_per_s(HEADS, mean),
    )]
}

/// Returns how many of the callers of a span of time each endpoint got.
fn sent(play: &Play, from: u64, to: u64) -> Vec<usize> {
    let mut counts = vec![0; HEADS];
    for index in play.asked(from, to).filter_map(|caller| caller.endpoint) {
        counts[index] += 1;
    }
    counts
}

/// Guards against an endpoint that turns slow and keeps its share, and against one that never gets it back.
#[test]
fn slow_endpoint_gets_what_it_can_do_and_its_share_back() {
    let routes = route(0.6);
    let mut play = Play::new(5, (0..HEADS).map(head));
    play.run(at(4_000), &routes);
    play.paces[0] = 4.0;
    play.run(at(9_000), &routes);
    play.paces[0] = 1.0;
    play.run(at(16_000), &routes);
    play.finish(&routes);
    let in_time = |from, to| fraction(play.asked(from, to), |caller| caller.is_in_time(&routes[0]));
    assert!(
        in_time(5_000, 9_000) >= 0.95,
        "{} in time beside it",
        in_time(5_000, 9_000)
    );
    let recovered = sent(&play, 12_000, 16_000);
    let mean = recovered.iter().sum::<usize>() / HEADS;
    assert!(
        recovered[0] * 2 >= mean,
        "{recovered:?} after it has recovered"
    );
}

/// Guards against endpoints that fail each request at once and therefore look idle.
#[test]
fn grey_endpoint_loses_its_share_and_gets_it_back() {
    let routes = route(0.6);
    let mut play = Play::new(6, (0..HEADS).map(head));
    play.run(at(3_000), &routes);
    play.failing = Some(0);
    play.run(at(8_000), &routes);
    play.failing = None;
    play.run(at(15_000), &routes);
    play.finish(&routes);
    let in_time = fraction(play.asked(4_000, 8_000), |caller| {
        caller.is_in_time(&routes[0])
    });
    assert!(in_time >= 0.95, "{in_time} in time beside it");
    let recovered = sent(&play, 11_000, 15_000);
    let mean = recovered.iter().sum::<usize>() / HEADS;
    assert!(
        recovered[0] * 2 >= mean,
        "{recovered:?} after it has recovered"
    );
}

/// Guards against requests that are late because an endpoint comes and goes.
#[test]
fn flapping_endpoint_costs_no_time() {
    let routes = route(0.6);
    let mut play = Play::new(7, (0..HEADS).map(head));
    for round in 0..8 {
        let there = if round % 2 == 0 { 0 } else { 1 };
        let heads: Vec<PoolHead> = (there..HEADS).map(head).collect();
        play.dispatcher.set_heads(play.now(), heads);
        play.run(at((round + 1) * 1_000), &routes);
    }
    play.finish(&routes);
    let in_time = fraction(play.asked(0, 8_000), |caller| caller.is_in_time(&routes[0]));
    assert!(in_time >= 0.95, "{in_time}");
}

/// Guards against a failure domain that comes back cold and fails again under the load of all nodes.
#[test]
fn cold_endpoints_get_their_allowance_and_no_more() {
    const COLD_PER_S: f64 = 17.0;
    let routes = route(1.5);
    let mut play = Play::new(8, (0..HEADS).map(head));
    play.run(at(3_000), &routes);
    let cold = (0..HEADS).map(|index| PoolHead {
        cold_per_s: (index % 3 == 0).then_some(COLD_PER_S),
        ..head(index)
    });
    play.dispatcher
        .set_heads(play.now(), cold.collect::<Vec<_>>());
    play.run(at(9_000), &routes);
    let mut sends: IndexMap<usize, Vec<Duration>> = IndexMap::new();
    for caller in play.asked(0, 9_000) {
        if let Some(index) = caller.endpoint.filter(|index| index % 3 == 0) {
            sends
                .entry(index)
                .or_default()
                .push(caller.sent_at().since(at(0)));
        }
    }
    for sends in sends.values_mut() {
        sends.sort_unstable();
        sends.retain(|sent_at| *sent_at >= Duration::from_secs(3));
        let in_window = |start: &Duration| {
            sends
                .iter()
                .filter(|at| **at >= *start && **at - *start <= Duration::from_secs(1))
                .count()
        };
        let most = sends.iter().map(in_window).max().unwrap_or(0);
        assert!(most <= (0.7 * COLD_PER_S) as usize, "{most} in one second");
        let settled = sends
            .iter()
            .filter(|at| **at >= Duration::from_secs(4))
            .count();
        assert!(
            settled as f64 >= 0.9 * 5.0 * (0.7 * COLD_PER_S).floor(),
            "{settled} in 5 s"
        );
    }
    assert_eq!(sends.len(), 2);
}

#[test]
fn work_is_even_over_endpoints() {
    let routes = route(0.8);
    let mut play = Play::new(9, (0..HEADS).map(head));
    play.run(at(8_000), &routes);
    let sent = sent(&play, 2_000, 8_000);
    let mean = sent.iter().sum::<usize>() as f64 / HEADS as f64;
    assert!(
        sent.iter().all(|count| *count as f64 <= 1.3 * mean),
        "{sent:?}"
    );
    let served = fraction(play.asked(2_000, 6_000), Caller::is_served);
    assert!(served >= 0.95, "{served}");
}
