//! Bounds on sums over all nodes, kept by shares.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{ColdAllowance, RetryAllowance, RetryShare};

const SHARE: RetryShare = RetryShare {
    ratio: 0.2,
    burst: 132.0,
};

/// When every attempt of a service fails, each node sends all it may. The sum must keep to the bound
/// though no node hears of another.
#[test]
fn retries_of_all_nodes_keep_to_the_common_bound() {
    for nodes in [1, 7, 12, 71, 380] {
        let mut retried = 0;
        let mut requests = 0;
        for _ in 0..nodes {
            let mut allowance = RetryAllowance::new(SHARE, nodes);
            for index in 0..50 {
                let now = Timestamp::from_millis(index * 200);
                requests += 1;
                allowance.deposit(now);
                while allowance.try_withdraw(now) {
                    retried += 1;
                }
            }
        }
        let bound = SHARE.ratio * f64::from(requests) + SHARE.burst;
        assert!(
            f64::from(retried) <= bound,
            "{nodes} nodes: {retried} of {bound}"
        );
    }
}

/// Streams break all at once, when their group is lost. All nodes save up what they may and then spend
/// it within one moment, again and again; in any ten seconds the sum still keeps to the bound.
#[test]
fn retries_saved_up_and_spent_at_once_keep_to_the_common_bound() {
    const NODES: usize = 7;
    const WINDOW_MS: u64 = 10_000;
    let mut nodes = vec![RetryAllowance::new(SHARE, NODES); NODES];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..60_000).step_by(10) {
        let now = Timestamp::from_millis(ms);
        for node in &mut nodes {
            // The load halves in every other ten seconds, so that what was earned before counts most.
            if ms % 20 == 0 || (ms / WINDOW_MS).is_multiple_of(2) {
                node.deposit(now);
                requests.push(ms);
            }
            let spends = ms % 3_700 < 10;
            while spends && node.try_withdraw(now) {
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
        let bound = SHARE.ratio * most.into_iter().fold(0.0, f64::max) + SHARE.burst;
        let retried = within(&retries, from);
        assert!(retried <= bound, "{retried} of {bound} from {from} ms");
    }
}

/// A group that is lost ends more of a node's streams at once than its share of the burst, which is 3
/// at 71 nodes. Callers would see their streams break though the node has hardly retried anything.
#[test]
fn what_was_earned_lately_can_be_spent_at_once() {
    let share = RetryShare {
        ratio: 0.2,
        burst: 272.0,
    };
    let mut allowance = RetryAllowance::new(share, 71);
    let start = Timestamp::from_millis(5_000);
    for index in 0..15 {
        allowance.deposit(start + Duration::from_millis(index * 150));
    }
    let now = start + Duration::from_millis(2_300);
    let taken = (0..100).filter(|_| allowance.try_withdraw(now)).count();
    assert_eq!(taken, 5, "3 of the share and 2 of 2.4 that were earned");
    let later = now + Duration::from_secs(60);
    assert!(!allowance.try_withdraw(later), "nothing was earned since");
}

/// A cold endpoint falls over when all nodes at once send it what it bears when warm.
#[test]
fn requests_of_all_nodes_to_a_cold_endpoint_keep_to_its_rate() {
    let per_s = 38.0;
    for nodes in [1, 4, 7, 71] {
        let mut shares: Vec<ColdAllowance> = (0..nodes)
            .map(|rank| ColdAllowance::new(Timestamp::ZERO, per_s, rank, nodes))
            .collect();
        let mut taken = Vec::new();
        for ms in 0..3_000_u64 {
            let now = Timestamp::from_millis(ms);
            taken.extend(
                shares
                    .iter_mut()
                    .filter_map(|share| share.take(now).then_some(ms)),
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
            "{nodes} nodes sent {most} in a second"
        );
        assert!(most as f64 >= per_s * 0.5, "{nodes} nodes sent only {most}");
    }
}

/// A node that was idle for long must not save up what it didn't use.
#[test]
fn an_idle_share_of_a_cold_endpoint_is_not_saved_up() {
    let mut share = ColdAllowance::new(Timestamp::ZERO, 38.0, 0, 7);
    let later = Timestamp::ZERO + Duration::from_secs(60);
    assert!(share.take(later));
    assert!(!share.take(later));
}
