//! Tests that the shares of all nodes together keep to the fleet-wide limits.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{ColdRateLimit, RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    burst: 132.0,
};

/// If every attempt at a service fails, each node sends all the retries that it may. The sum must stay
/// within the limit although the nodes don't communicate.
#[test]
fn retries_of_all_nodes_stay_within_the_fleet_limit() {
    for nodes in [1, 7, 12, 71, 380] {
        let mut retried = 0;
        let mut requests = 0;
        for _ in 0..nodes {
            let mut budget = RetryBudget::new(LIMIT, nodes);
            for index in 0..50 {
                let now = Timestamp::from_millis(index * 200);
                requests += 1;
                budget.deposit(now);
                while budget.try_withdraw(now) {
                    retried += 1;
                }
            }
        }
        let limit = LIMIT.ratio * f64::from(requests) + LIMIT.burst;
        assert!(
            f64::from(retried) <= limit,
            "{nodes} nodes: {retried} of {limit}"
        );
    }
}

/// The loss of a group breaks many streams at once. All nodes save up their budgets and use them within one
/// moment, repeatedly. The sum must stay within the limit in every window of ten seconds.
#[test]
fn bursts_of_saved_retries_stay_within_the_fleet_limit() {
    const NODES: usize = 7;
    const WINDOW_MS: u64 = 10_000;
    let mut nodes = vec![RetryBudget::new(LIMIT, NODES); NODES];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..60_000).step_by(10) {
        let now = Timestamp::from_millis(ms);
        for node in &mut nodes {
            // The load is halved in every second window, so that retries earned earlier weigh most.
            if ms % 20 == 0 || (ms / WINDOW_MS).is_multiple_of(2) {
                node.deposit(now);
                requests.push(ms);
            }
            let is_burst = ms % 3_700 < 10;
            while is_burst && node.try_withdraw(now) {
                retries.push(ms);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        let window = from..from + WINDOW_MS;
        times.iter().filter(|ms| window.contains(*ms)).count() as f64
    };
    for from in (WINDOW_MS..50_000).step_by(100) {
        let windows = [from, from - WINDOW_MS / 2, from - WINDOW_MS];
        let most = windows.map(|from| within(&requests, from));
        let limit = LIMIT.ratio * most.into_iter().fold(0.0, f64::max) + LIMIT.burst;
        let retried = within(&retries, from);
        assert!(
            retried <= limit,
            "{retried} of {limit} in the window from {from} ms"
        );
    }
}

/// The loss of a group ends more of a node's streams at once than its share of the burst, which is 3 at 71
/// nodes. With the share alone, callers would see their streams break although the node has hardly retried
/// anything.
#[test]
fn recently_earned_retries_can_be_used_at_once() {
    let limit = RetryLimit {
        ratio: 0.2,
        burst: 272.0,
    };
    let mut budget = RetryBudget::new(limit, 71);
    let start = Timestamp::from_millis(5_000);
    for index in 0..15 {
        budget.deposit(start + Duration::from_millis(index * 150));
    }
    let now = start + Duration::from_millis(2_300);
    let taken = (0..100).filter(|_| budget.try_withdraw(now)).count();
    assert_eq!(taken, 5, "3 from the share and 2 of the 2.4 earned");
    let later = now + Duration::from_secs(60);
    assert!(!budget.try_withdraw(later), "no retries were earned since");
}

/// A cold endpoint fails if all nodes at once send it the load that it can handle when warm.
#[test]
fn requests_of_all_nodes_to_a_cold_endpoint_stay_within_its_rate() {
    let per_s = 38.0;
    for nodes in [1, 4, 7, 71] {
        let mut limits: Vec<ColdRateLimit> = (0..nodes)
            .map(|rank| ColdRateLimit::new(Timestamp::ZERO, per_s, rank, nodes))
            .collect();
        let mut taken = Vec::new();
        for ms in 0..3_000_u64 {
            let now = Timestamp::from_millis(ms);
            taken.extend(
                limits
                    .iter_mut()
                    .filter_map(|limit| limit.try_take(now).then_some(ms)),
            );
        }
        let in_any_second = |from: u64| {
            taken
                .iter()
                .filter(|ms| (from..from + 1_000).contains(*ms))
                .count()
        };
        let most = (0..2_000).map(in_any_second).max().unwrap_or(0);
        assert!(
            most as f64 <= per_s * 1.5 + 5.0,
            "{nodes} nodes sent {most} requests in a second"
        );
        assert!(
            most as f64 >= per_s * 0.5,
            "{nodes} nodes sent only {most} requests in a second"
        );
    }
}

/// A node must not accumulate the unused limit of a long idle time.
#[test]
fn unused_limit_for_a_cold_endpoint_does_not_accumulate() {
    let mut limit = ColdRateLimit::new(Timestamp::ZERO, 38.0, 0, 7);
    let later = Timestamp::ZERO + Duration::from_secs(60);
    assert!(limit.try_take(later));
    assert!(!limit.try_take(later));
}

/// The number of nodes that a node counts: all, or half of them for every other node.
fn counted(node: usize, nodes: usize, knows_all: bool) -> usize {
    if knows_all || node.is_multiple_of(2) {
        nodes
    } else {
        nodes.div_ceil(2)
    }
}

/// Returns the retries that all nodes send within one window in which every attempt fails, and the limit. All
/// requests come from the callers of the first `callers` nodes.
fn retries_and_limit(nodes: usize, callers: usize, knows_all: bool) -> (f64, f64) {
    const REQUESTS: u64 = 400;
    let mut budgets: Vec<RetryBudget> = (0..nodes)
        .map(|node| RetryBudget::new(LIMIT, counted(node, nodes, knows_all)))
        .collect();
    let mut retried = 0;
    for index in 0..REQUESTS {
        let now = Timestamp::from_millis(index * 25);
        let budget = &mut budgets[index as usize % callers];
        budget.deposit(now);
        while budget.try_withdraw(now) {
            retried += 1;
        }
    }
    let limit = LIMIT.ratio * REQUESTS as f64 + LIMIT.burst;
    (f64::from(retried), limit)
}

/// Returns the largest number of requests that all nodes send to a cold endpoint in one second, and the limit.
/// Nodes without callers send nothing.
fn cold_requests_and_limit(nodes: usize, callers: usize, knows_all: bool) -> (f64, f64) {
    const PER_S: f64 = 38.0;
    let mut limits: Vec<ColdRateLimit> = (0..nodes)
        .map(|node| {
            let counted = counted(node, nodes, knows_all);
            // The node's rank among those that it knows.
            let rank = node * counted / nodes;
            ColdRateLimit::new(Timestamp::ZERO, PER_S, rank, counted)
        })
        .collect();
    let mut taken = Vec::new();
    // All callers come at once after an idle second, in which each node saves what it may.
    for ms in 1_000..4_000_u64 {
        let now = Timestamp::from_millis(ms);
        let sent = limits[..callers]
            .iter_mut()
            .filter_map(|limit| limit.try_take(now).then_some(ms));
        taken.extend(sent);
    }
    let in_second = |from: u64| {
        let window = from..from + 1_000;
        taken.iter().filter(|ms| window.contains(ms)).count()
    };
    let most = (1_000..3_000).map(in_second).max().unwrap_or(0);
    (most as f64, PER_S * 1.5 + 5.0)
}

/// What all nodes send stays within the limit for all of them, wherever the callers are.
macro_rules! sums_hold {
    ($($name:ident: $sum:ident, $nodes:literal nodes, callers at $callers:literal, $knows_all:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let (sum, limit) = $sum($nodes, $callers, $knows_all);
                assert!(sum <= limit, "{sum} of {limit}");
            }
        )*
    };
}

sums_hold! {
    retries_of_one_node: retries_and_limit, 1 nodes, callers at 1, true;
    retries_of_seven_nodes: retries_and_limit, 7 nodes, callers at 7, true;
    retries_of_seven_nodes_with_callers_at_one: retries_and_limit, 7 nodes, callers at 1, true;
    retries_of_62_nodes: retries_and_limit, 62 nodes, callers at 62, true;
    retries_of_380_nodes: retries_and_limit, 380 nodes, callers at 380, true;
    retries_of_380_nodes_with_callers_at_one: retries_and_limit, 380 nodes, callers at 1, true;
    retries_of_seven_nodes_that_count_differently: retries_and_limit, 7 nodes, callers at 7, false;
    retries_of_380_nodes_that_count_differently: retries_and_limit, 380 nodes, callers at 380, false;
    cold_requests_of_one_node: cold_requests_and_limit, 1 nodes, callers at 1, true;
    cold_requests_of_seven_nodes: cold_requests_and_limit, 7 nodes, callers at 7, true;
    cold_requests_of_seven_nodes_with_callers_at_one: cold_requests_and_limit, 7 nodes, callers at 1, true;
    cold_requests_of_62_nodes: cold_requests_and_limit, 62 nodes, callers at 62, true;
    cold_requests_of_380_nodes: cold_requests_and_limit, 380 nodes, callers at 380, true;
    cold_requests_of_380_nodes_with_callers_at_one: cold_requests_and_limit, 380 nodes, callers at 1, true;
    cold_requests_of_seven_nodes_that_count_differently: cold_requests_and_limit, 7 nodes, callers at 7, false;
    cold_requests_of_380_nodes_that_count_differently: cold_requests_and_limit, 380 nodes, callers at 380, false;
}
