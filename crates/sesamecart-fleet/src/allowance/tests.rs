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
            for _ in 0..50 {
                requests += 1;
                allowance.earn();
                while allowance.take() {
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
