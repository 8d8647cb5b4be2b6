mod lending;

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Incarnation, NodeId, Permits, Timestamp, Tokens};

use super::*;
use crate::settings::AllowanceSettings;

const LIMITS: EndpointLimits = EndpointLimits {
    cold: Concurrency(4),
    warm: Concurrency(32),
    kv_tokens: Tokens(64_000),
    kind: EndpointWork::Engine,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn demand(permits: u32) -> Demand {
    Demand {
        wanted: Permits(permits),
        ..Demand::default()
    }
}

fn demand_with_token_gap(millis: u64, in_flight: u32) -> Demand {
    Demand {
        wanted: Permits(in_flight),
        in_flight: Permits(in_flight),
        sample: Sample {
            latency_sum: Duration::from_millis(millis * 100),
            tokens: Tokens(100),
            ..Sample::default()
        },
        ..Demand::default()
    }
}

/// An allowance at its warm limit, which lends at [`START_MS`].
fn warm_allowance() -> Allowance {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    allowance.limit_mut().assume_warm();
    allowance
}

/// A time after the takeover wait of an owner that takes over at zero.
const START_MS: u64 = 10_000;

/// A node's permits for an endpoint with 2,000 tokens of KV memory per permit.
fn borrowed() -> BorrowedPermits {
    BorrowedPermits::new(LIMITS.kv_per_permit(), &AllowanceSettings::default())
}

macro_rules! fits {
    ($($name:ident: $permits:literal permits, $running:expr, then $kv:literal => $fits:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut borrowed = borrowed();
            let slice = Slice { permits: Permits($permits), valid_for: Duration::from_secs(1) };
            borrowed.demand(at(0), Permits(0));
            borrowed.apply_slice(at(0), slice);
            borrowed.finish(at(0), Tokens(0));
            for kv in $running {
                assert!(borrowed.start(at(1), Tokens(kv)));
            }
            assert_eq!(borrowed.fits(at(1), Tokens($kv)), $fits);
        }
    )*};
}

fits! {
    short_request_within_the_permits: 4 permits, [500; 3], then 500 => true;
    short_request_over_the_permits: 4 permits, [500; 4], then 500 => false;
    long_request_within_the_memory: 4 permits, [500; 2], then 7_000 => true;
    long_request_over_the_memory: 4 permits, [500; 2], then 7_001 => false;
    short_request_beside_a_long_one_over_the_memory: 4 permits, [7_600], then 500 => false;
    no_request_without_permits: 0 permits, [], then 0 => false;
}

#[test]
fn demand_is_met_below_the_limit() {
    let mut allowance = warm_allowance();
    let slice = allowance.borrow(at(START_MS), &node(0), &demand(5));
    assert!(slice.permits >= Permits(5));
    let other = allowance.borrow(at(START_MS), &node(1), &demand(5));
    assert!(other.permits >= Permits(5));
}

#[test]
fn scarce_permits_are_shared_by_demand() {
    let mut allowance = warm_allowance();
    let mut lent = [Permits(0); 2];
    for round in 0..10 {
        for (index, wanted) in [(0, 60), (1, 20)] {
            let now = at(START_MS + round * 400);
            lent[index] = allowance.borrow(now, &node(index), &demand(wanted)).permits;
        }
    }
    assert_eq!(lent, [Permits(24), Permits(8)]);
}

/// A node that holds all permits of an endpoint stops responding. Its requests may still run, so its
/// permits count until the requests must have ended, and are then lent to other nodes.
#[test]
fn permits_of_an_unresponsive_node_expire() {
    let cfg = AllowanceSettings::default();
    let mut allowance = warm_allowance();
    allowance.borrow(at(START_MS), &node(0), &demand(32));
    let soon = at(START_MS) + cfg.slice_duration();
    assert_eq!(
        allowance.borrow(soon, &node(1), &demand(32)).permits,
        Permits(0)
    );
    let later = soon + cfg.linger_duration();
    assert_eq!(
        allowance.borrow(later, &node(1), &demand(32)).permits,
        Permits(32)
    );
}

/// The failure of a node is known and its connections are closed, so only its slice counts.
#[test]
fn permits_of_a_failed_node_expire_with_its_slice() {
    let mut allowance = warm_allowance();
    allowance.borrow(at(START_MS), &node(0), &demand(32));
    allowance.node_failed(&node(0));
    let before = allowance.borrow(at(START_MS + 900), &node(1), &demand(32));
    assert_eq!(before.permits, Permits(0));
    let after = allowance.borrow(at(START_MS + 1_000), &node(1), &demand(32));
    assert_eq!(after.permits, Permits(32));
}

/// Nodes continue under slices of the previous owner that the new owner doesn't know. It lends
/// nothing until they have expired, and then no more than the endpoint's load report leaves free.
#[test]
fn new_owner_waits_for_its_predecessors_slices_to_expire() {
    let mut allowance = warm_allowance();
    assert_eq!(
        allowance.borrow(at(1_000), &node(0), &demand(8)).permits,
        Permits(0)
    );
    let report = LoadReport {
        incarnation: Incarnation(1),
        running: Concurrency(30),
        ready: true,
    };
    allowance.report(at(1_100), &report);
    assert_eq!(
        allowance.borrow(at(1_200), &node(0), &demand(8)).permits,
        Permits(2)
    );
}

fn run_at_limit(allowance: &mut Allowance, from: u64, seconds: u64, gap_ms: u64) {
    for second in 0..seconds {
        let used = allowance.limit().0;
        allowance.borrow(
            at(from + 1_000 * second),
            &node(0),
            &demand_with_token_gap(gap_ms, used),
        );
    }
}

/// An endpoint that has just started fails under full load. Its limit starts cold and reaches the
/// warm limit only after seconds of use at an acceptable latency.
#[test]
fn limit_of_a_cold_endpoint_grows_with_use() {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    assert_eq!(allowance.limit(), Permits(4));
    run_at_limit(&mut allowance, START_MS, 5, 15);
    assert!(
        (6..=12).contains(&allowance.limit().0),
        "{}",
        allowance.limit()
    );
    run_at_limit(&mut allowance, START_MS + 5_000, 16, 15);
    assert_eq!(allowance.limit(), Permits(32));
}

/// When an engine restarts, the requests of all nodes fail at the same time and each node demands a
/// new slice, before the owner can tell a restart from one broken connection. If the owner lent each
/// of them a few permits, the cold engine would run several times its cold limit.
#[test]
fn nothing_is_lent_between_the_first_failure_and_the_second() {
    let mut allowance = warm_allowance();
    let sample = Sample {
        failed: 1,
        ..Sample::default()
    };
    let failed = Demand {
        sample,
        ..demand(4)
    };
    let first = allowance.borrow(at(START_MS), &node(0), &failed);
    assert_eq!(first.permits, Permits(0));
    assert_eq!(
        allowance.limit(),
        Permits(32),
        "one failure may be caused by the network"
    );
    allowance.borrow(at(START_MS + 10), &node(1), &failed);
    assert_eq!(allowance.limit(), Permits(4));
}

/// The limit of an endpoint with a cold limit of one grows by fractions of a request. If its use were
/// compared with the fractional value, it would never grow, and requests would be refused until the
/// endpoint is replaced.
#[test]
fn limit_grows_from_a_cold_limit_of_one() {
    let limits = EndpointLimits {
        cold: Concurrency(1),
        ..LIMITS
    };
    let mut allowance = Allowance::new(at(0), limits, AllowanceSettings::default());
    run_at_limit(&mut allowance, START_MS, 40, 15);
    assert_eq!(allowance.limit(), Permits(32));
}

#[test]
fn limit_of_an_idle_cold_endpoint_stays_cold() {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    for second in 0..60 {
        allowance.borrow(
            at(START_MS + 1_000 * second),
            &node(0),
            &demand_with_token_gap(15, 0),
        );
    }
    assert_eq!(allowance.limit(), Permits(4));
}

macro_rules! resets_to_cold {
    ($($(#[doc = $doc:literal])* $name:ident: $trigger:expr;)*) => {$(
        $(#[doc = $doc])*
        #[test]
        fn $name() {
            let mut allowance = warm_allowance();
            run_at_limit(&mut allowance, START_MS, 5, 20);
            assert_eq!(allowance.limit(), Permits(32));
            let trigger: fn(&mut Allowance, Timestamp) = $trigger;
            trigger(&mut allowance, at(START_MS + 6_000));
            assert!(allowance.limit() <= Permits(4), "{}", allowance.limit());
        }
    )*};
}

resets_to_cold! {
    /// A restart that the system didn't order shows as a new incarnation in the load report.
    after_a_new_incarnation: |allowance, now| {
        for incarnation in [1, 2] {
            let report = LoadReport {
                incarnation: Incarnation(incarnation),
                running: Concurrency(0),
                ready: true,
            };
            allowance.report(now, &report);
        }
    };
    /// Nodes see requests fail after a restart before the endpoint's load report arrives.
    after_failures: |allowance, now| {
        let sample = Sample { failed: 5, ..Sample::default() };
        let demand = Demand { sample, ..demand(5) };
        allowance.borrow(now, &node(0), &demand);
    };
    /// An engine has become cold without a restart, and tokens are ten times slower.
    after_very_high_latency: |allowance, now| {
        allowance.borrow(now, &node(0), &demand_with_token_gap(200, 20));
    };
}

/// While the inter-token time is moderately too long, the limit shrinks step by step instead of
/// dropping to the cold limit.
#[test]
fn limit_shrinks_while_latency_is_too_high() {
    let mut allowance = warm_allowance();
    run_at_limit(&mut allowance, START_MS, 3, 15);
    run_at_limit(&mut allowance, START_MS + 3_000, 4, 45);
    let limit = allowance.limit().0;
    assert!((10..32).contains(&limit), "{limit}");
}

/// An endpoint was restarted while a node had no requests there, so the node still holds a slice
/// under the warm limit. It starts one request and waits for the first token.
#[test]
fn one_request_starts_at_an_endpoint_not_known_to_be_alive() {
    let mut borrowed = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: Duration::from_secs(1),
    };
    borrowed.demand(at(0), Permits(0));
    borrowed.apply_slice(at(0), slice);
    assert!(borrowed.start(at(1), Tokens(500)));
    assert!(!borrowed.start(at(2), Tokens(500)));
    let token = Sample {
        tokens: Tokens(1),
        ..Sample::default()
    };
    borrowed.observe(at(3), &token);
    assert!(borrowed.start(at(4), Tokens(500)));
}

/// A node's slice is halved, but the answer is lost and the node continues under the earlier slice.
/// If the other half were lent at once, more requests would run than the limit allows.
#[test]
fn slice_counts_until_it_expires_after_a_smaller_one() {
    let mut allowance = warm_allowance();
    let first = allowance.borrow(at(START_MS), &node(0), &demand(32));
    assert_eq!(first.permits, Permits(32));
    allowance.borrow(at(START_MS + 10), &node(1), &demand(32));
    let halved = allowance.borrow(at(START_MS + 400), &node(0), &demand(32));
    assert_eq!(halved.permits, Permits(16));
    let early = allowance.borrow(at(START_MS + 410), &node(1), &demand(32));
    assert_eq!(early.permits, Permits(0));
    allowance.borrow(at(START_MS + 1_300), &node(0), &demand(32));
    let late = allowance.borrow(at(START_MS + 1_310), &node(1), &demand(32));
    assert_eq!(late.permits, Permits(16));
}

/// A demand that returned permits is delayed, and the node has borrowed them again meanwhile. If the
/// owner applied the old demand, it would also lend the same permits to another node.
#[test]
fn outdated_demand_is_ignored() {
    let mut allowance = warm_allowance();
    let later = Demand {
        sent_at: at(20),
        ..demand(8)
    };
    allowance.borrow(at(START_MS), &node(0), &later);
    let earlier = Demand {
        sent_at: at(10),
        ..demand(0)
    };
    let slice = allowance.borrow(at(START_MS), &node(0), &earlier);
    assert_eq!(slice.permits, Permits(0));
    let other = allowance.borrow(at(START_MS), &node(1), &demand(32));
    assert!(other.permits <= Permits(24), "{other:?}");
}

/// An answer arrives after the node has sent another demand that returned permits. If the node
/// applied it, it would use permits that the owner may have lent to other nodes.
#[test]
fn only_the_answer_to_the_last_demand_is_applied() {
    let mut borrowed = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: Duration::from_secs(1),
    };
    borrowed.demand(at(0), Permits(5));
    borrowed.demand(at(300), Permits(0));
    borrowed.apply_slice(at(0), slice);
    assert!(!borrowed.fits(at(310), Tokens(0)));
    borrowed.apply_slice(at(300), slice);
    assert!(borrowed.fits(at(310), Tokens(0)));
}

#[test]
fn failure_invalidates_a_slice_until_the_next_answer() {
    let cfg = AllowanceSettings::default();
    let mut borrowed = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: cfg.slice_duration(),
    };
    borrowed.demand(at(0), Permits(0));
    borrowed.apply_slice(at(0), slice);
    assert!(borrowed.start(at(10), Tokens(500)));
    borrowed.demand(at(15), Permits(0));
    borrowed.fail(at(20), Tokens(500));
    borrowed.apply_slice(at(15), slice);
    assert!(
        !borrowed.start(at(30), Tokens(500)),
        "this answer is from before the failure"
    );
    borrowed.demand(at(25), Permits(0));
    borrowed.apply_slice(at(25), slice);
    assert!(borrowed.start(at(30), Tokens(500)));
}
