mod lending;

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Incarnation, NodeId, Permits, Timestamp, Tokens};

use super::*;
use crate::settings::AllowanceSettings;

const LIMITS: EndpointLimits = EndpointLimits {
    cold: Concurrency(4),
    warm: Concurrency(32),
    kv_tokens: Tokens(64_000),
    work: EndpointWork::Engine,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn wants(permits: u32) -> Demand {
    Demand {
        wanted: Permits(permits),
        ..Demand::default()
    }
}

fn gap(millis: u64, in_flight: u32) -> Demand {
    Demand {
        wanted: Permits(in_flight),
        in_flight: Permits(in_flight),
        sample: Sample {
            latency: Duration::from_millis(millis * 100),
            tokens: Tokens(100),
            ..Sample::default()
        },
        ..Demand::default()
    }
}

/// An allowance whose owner has waited its predecessor's slices out, at its warm limit.
fn warm() -> Allowance {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    allowance.limit_mut().assume_warm();
    allowance
}

const BEGIN: u64 = 10_000;

/// Books of an endpoint with 2,000 tokens of KV memory to each permit.
fn borrowed() -> Borrowed {
    Borrowed::new(LIMITS.kv_per_permit(), &AllowanceSettings::default())
}

macro_rules! fits {
    ($($name:ident: $permits:literal permits, $running:expr, then $kv:literal => $fits:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut books = borrowed();
            let slice = Slice { permits: Permits($permits), valid_for: Duration::from_secs(1) };
            books.demand(at(0), Permits(0));
            books.take(at(0), slice);
            books.finish(at(0), Tokens(0));
            for kv in $running {
                assert!(books.start(at(1), Tokens(kv)));
            }
            assert_eq!(books.fits(at(1), Tokens($kv)), $fits);
        }
    )*};
}

fits! {
    short_requests_by_number: 4 permits, [500; 3], then 500 => true;
    short_requests_up_to_their_number: 4 permits, [500; 4], then 500 => false;
    a_long_request_by_its_memory: 4 permits, [500; 2], then 7_000 => true;
    a_long_request_too_many: 4 permits, [500; 2], then 7_001 => false;
    a_short_request_beside_a_long_one: 4 permits, [7_600], then 500 => false;
    nothing_without_permits: 0 permits, [], then 0 => false;
}

#[test]
fn demand_is_met_while_there_is_enough() {
    let mut allowance = warm();
    let slice = allowance.borrow(at(BEGIN), &node(0), &wants(5));
    assert!(slice.permits >= Permits(5));
    let other = allowance.borrow(at(BEGIN), &node(1), &wants(5));
    assert!(other.permits >= Permits(5));
}

#[test]
fn scarce_permits_go_by_demand() {
    let mut allowance = warm();
    let mut lent = [Permits(0); 2];
    for round in 0..10 {
        for (index, wanted) in [(0, 60), (1, 20)] {
            let now = at(BEGIN + round * 400);
            lent[index] = allowance.borrow(now, &node(index), &wants(wanted)).permits;
        }
    }
    assert_eq!(lent, [Permits(24), Permits(8)]);
}

/// A node dies with all of an endpoint's permits. Nobody can tell whether its requests still run,
/// so they count until they must have ended, and then other nodes' callers are served again.
#[test]
fn a_dead_nodes_permits_come_back_by_time() {
    let cfg = AllowanceSettings::default();
    let mut allowance = warm();
    allowance.borrow(at(BEGIN), &node(0), &wants(32));
    let soon = at(BEGIN) + cfg.slice();
    assert_eq!(
        allowance.borrow(soon, &node(1), &wants(32)).permits,
        Permits(0)
    );
    let later = soon + cfg.linger();
    assert_eq!(
        allowance.borrow(later, &node(1), &wants(32)).permits,
        Permits(32)
    );
}

/// The same, but the death is known, so its connections are closed and only the slice counts.
#[test]
fn a_node_that_is_known_dead_gives_back_with_the_end_of_its_slice() {
    let mut allowance = warm();
    allowance.borrow(at(BEGIN), &node(0), &wants(32));
    allowance.node_gone(&node(0));
    let before = allowance.borrow(at(BEGIN + 900), &node(1), &wants(32));
    assert_eq!(before.permits, Permits(0));
    let after = allowance.borrow(at(BEGIN + 1_000), &node(1), &wants(32));
    assert_eq!(after.permits, Permits(32));
}

/// The owner dies and another takes over. Nodes go on under slices that the new owner knows nothing
/// of, so it lends nothing until they have ended, and then no more than the endpoint says is free.
#[test]
fn a_new_owner_waits_out_the_slices_of_its_predecessor() {
    let mut allowance = warm();
    assert_eq!(
        allowance.borrow(at(1_000), &node(0), &wants(8)).permits,
        Permits(0)
    );
    let report = LoadReport {
        incarnation: Incarnation(1),
        running: Concurrency(30),
        ready: true,
    };
    allowance.report(at(1_100), &report);
    assert_eq!(
        allowance.borrow(at(1_200), &node(0), &wants(8)).permits,
        Permits(2)
    );
}

fn climb(allowance: &mut Allowance, from: u64, seconds: u64, gap_ms: u64) {
    for second in 0..seconds {
        let used = allowance.limit().0;
        allowance.borrow(at(from + 1_000 * second), &node(0), &gap(gap_ms, used));
    }
}

/// A freshly started endpoint falls over under full load, and its callers lose their answers. It
/// gets its cold share first and full load only after seconds of work that it has borne.
#[test]
fn a_cold_endpoint_warms_up_by_use() {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    assert_eq!(allowance.limit(), Permits(4));
    climb(&mut allowance, BEGIN, 5, 15);
    assert!(
        (6..=12).contains(&allowance.limit().0),
        "{}",
        allowance.limit()
    );
    climb(&mut allowance, BEGIN + 5_000, 16, 15);
    assert_eq!(allowance.limit(), Permits(32));
}

/// An engine is restarted, and its nodes' requests there break at the same moment. Each node asks
/// for a new slice at once, before the owner knows that it isn't just one broken connection. If it
/// lent each of them a little, the cold engine would have to take several times what it bears.
#[test]
fn nothing_is_lent_between_the_first_sign_of_a_restart_and_the_second() {
    let mut allowance = warm();
    let sample = Sample {
        failed: 1,
        ..Sample::default()
    };
    let failed = Demand { sample, ..wants(4) };
    let first = allowance.borrow(at(BEGIN), &node(0), &failed);
    assert_eq!(first.permits, Permits(0));
    assert_eq!(
        allowance.limit(),
        Permits(32),
        "one failure may be the network's"
    );
    allowance.borrow(at(BEGIN + 10), &node(1), &failed);
    assert_eq!(allowance.limit(), Permits(4));
}

/// An endpoint bears one request while cold. The limit grows by less than one whole request at a
/// time; were its use compared with the fraction, it would never grow and callers would be refused
/// until the endpoint is replaced.
#[test]
fn an_endpoint_that_bears_one_request_when_cold_warms_up() {
    let limits = EndpointLimits {
        cold: Concurrency(1),
        ..LIMITS
    };
    let mut allowance = Allowance::new(at(0), limits, AllowanceSettings::default());
    climb(&mut allowance, BEGIN, 40, 15);
    assert_eq!(allowance.limit(), Permits(32));
}

#[test]
fn an_idle_cold_endpoint_stays_cold() {
    let mut allowance = Allowance::new(at(0), LIMITS, AllowanceSettings::default());
    for second in 0..60 {
        allowance.borrow(at(BEGIN + 1_000 * second), &node(0), &gap(15, 0));
    }
    assert_eq!(allowance.limit(), Permits(4));
}

macro_rules! turns_cold {
    ($($(#[doc = $doc:literal])* $name:ident: $sign:expr;)*) => {$(
        $(#[doc = $doc])*
        #[test]
        fn $name() {
            let mut allowance = warm();
            climb(&mut allowance, BEGIN, 5, 20);
            assert_eq!(allowance.limit(), Permits(32));
            let sign: fn(&mut Allowance, Timestamp) = $sign;
            sign(&mut allowance, at(BEGIN + 6_000));
            assert!(allowance.limit() <= Permits(4), "{}", allowance.limit());
        }
    )*};
}

turns_cold! {
    /// An engine is restarted behind the system's back and reports another life.
    after_a_restart_that_is_reported: |allowance, now| {
        for incarnation in [1, 2] {
            let report = LoadReport {
                incarnation: Incarnation(incarnation),
                running: Concurrency(0),
                ready: true,
            };
            allowance.report(now, &report);
        }
    };
    /// An engine is restarted, and nodes see their requests fail before its report arrives.
    after_failures: |allowance, now| {
        let sample = Sample { failed: 5, ..Sample::default() };
        let demand = Demand { sample, ..wants(5) };
        allowance.borrow(now, &node(0), &demand);
    };
    /// An engine lost what made it fast, and tokens come ten times slower.
    after_very_slow_tokens: |allowance, now| {
        allowance.borrow(now, &node(0), &gap(200, 20));
    };
}

/// Tokens come somewhat too slowly, so readers see the text stutter. The limit falls step by step
/// until they come in time, and doesn't drop to cold.
#[test]
fn a_limit_falls_until_latency_is_bearable() {
    let mut allowance = warm();
    climb(&mut allowance, BEGIN, 3, 15);
    climb(&mut allowance, BEGIN + 3_000, 4, 45);
    let fallen = allowance.limit().0;
    assert!((10..32).contains(&fallen), "{fallen}");
}

/// An endpoint was restarted while a node had nothing running there, so it noticed nothing and holds
/// a slice that was lent for the warm endpoint. It starts one request and waits for a first token.
#[test]
fn without_a_sign_of_life_one_request_starts() {
    let mut books = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: Duration::from_secs(1),
    };
    books.demand(at(0), Permits(0));
    books.take(at(0), slice);
    assert!(books.start(at(1), Tokens(500)));
    assert!(!books.start(at(2), Tokens(500)));
    let token = Sample {
        tokens: Tokens(1),
        ..Sample::default()
    };
    books.observe(at(3), &token);
    assert!(books.start(at(4), Tokens(500)));
}

/// A node's slice is halved, but the answer that says so is lost, and the node goes on under the
/// earlier slice. Were the other half lent at once, more would run than the endpoint bears.
#[test]
fn a_slice_counts_until_its_end_though_a_smaller_one_followed() {
    let mut allowance = warm();
    let first = allowance.borrow(at(BEGIN), &node(0), &wants(32));
    assert_eq!(first.permits, Permits(32));
    allowance.borrow(at(BEGIN + 10), &node(1), &wants(32));
    let halved = allowance.borrow(at(BEGIN + 400), &node(0), &wants(32));
    assert_eq!(halved.permits, Permits(16));
    let early = allowance.borrow(at(BEGIN + 410), &node(1), &wants(32));
    assert_eq!(early.permits, Permits(0));
    allowance.borrow(at(BEGIN + 1_300), &node(0), &wants(32));
    let late = allowance.borrow(at(BEGIN + 1_310), &node(1), &wants(32));
    assert_eq!(late.permits, Permits(16));
}

/// A demand that gave permits back was delayed, and the node has asked for them again meanwhile. Were
/// the owner to believe the old one, it would lend the same permits to another node too.
#[test]
fn an_overtaken_demand_changes_nothing() {
    let mut allowance = warm();
    let later = Demand {
        asked: at(20),
        ..wants(8)
    };
    allowance.borrow(at(BEGIN), &node(0), &later);
    let earlier = Demand {
        asked: at(10),
        ..wants(0)
    };
    let slice = allowance.borrow(at(BEGIN), &node(0), &earlier);
    assert_eq!(slice.permits, Permits(0));
    let other = allowance.borrow(at(BEGIN), &node(1), &wants(32));
    assert!(other.permits <= Permits(24), "{other:?}");
}

/// An answer comes after the node has asked again and given back what it didn't want. Were it taken,
/// the node would use permits that the owner may have lent to others.
#[test]
fn only_the_answer_to_the_last_demand_counts() {
    let mut books = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: Duration::from_secs(1),
    };
    books.demand(at(0), Permits(5));
    books.demand(at(300), Permits(0));
    books.take(at(0), slice);
    assert!(!books.fits(at(310), Tokens(0)));
    books.take(at(300), slice);
    assert!(books.fits(at(310), Tokens(0)));
}

#[test]
fn a_failure_ends_a_nodes_slice_until_the_owner_has_answered_again() {
    let cfg = AllowanceSettings::default();
    let mut borrowed = borrowed();
    let slice = Slice {
        permits: Permits(5),
        valid_for: cfg.slice(),
    };
    borrowed.demand(at(0), Permits(0));
    borrowed.take(at(0), slice);
    assert!(borrowed.start(at(10), Tokens(500)));
    borrowed.demand(at(15), Permits(0));
    borrowed.fail(at(20), Tokens(500));
    borrowed.take(at(15), slice);
    assert!(
        !borrowed.start(at(30), Tokens(500)),
        "this answer doesn't know of the failure"
    );
    borrowed.demand(at(25), Permits(0));
    borrowed.take(at(25), slice);
    assert!(borrowed.start(at(30), Tokens(500)));
}
