//! Simulates customers that share a service and checks how many requests of each are served.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use super::FairShare;
use crate::testkit::Slots;

const NODES: usize = 10;

/// Usual request rate of each customer.
const BASELINE_PER_S: f64 = 12.0;

const CUSTOMERS: usize = 12;

/// The fraction of requests that must be served in time.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// A simulated service with a capacity of 200 requests per second; the usual rate of all customers is 144.
struct Simulation {
    nodes: Vec<FairShare>,
    service: Slots,
    rng: fastrand::Rng,
    now: Timestamp,
    is_fair: bool,
}

/// The numbers of placed and of all requests of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    placed: u32,
    sent: u32,
}

impl Served {
    fn fraction(self) -> f64 {
        f64::from(self.placed) / f64::from(self.sent.max(1))
    }
}

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().expect("valid name")
}

impl Simulation {
    fn new(is_fair: bool) -> Self {
        Self {
            nodes: vec![FairShare::default(); NODES],
            service: Slots::new(100, Duration::from_millis(500)),
            rng: fastrand::Rng::with_seed(1),
            now: Timestamp(1_000_000),
            is_fair,
        }
    }

    /// Has each customer send the given multiple of its usual rate for `time`. Returns what each was
    /// served.
    fn send(
        &mut self,
        time: Duration,
        baseline_factor: impl Fn(usize) -> f64,
    ) -> IndexMap<usize, Served> {
        const STEP: Duration = Duration::from_millis(1);
        let mut served: IndexMap<usize, Served> = IndexMap::new();
        let until = self.now + time;
        while self.now < until {
            for index in 0..CUSTOMERS {
                let expected = BASELINE_PER_S * baseline_factor(index) * STEP.as_secs_f64();
                if self.rng.f64() < expected {
                    let placed = self.send_one(index);
                    let served = served.entry(index).or_default();
                    served.sent += 1;
                    served.placed += u32::from(placed);
                }
            }
            self.now = self.now + STEP;
        }
        served
    }

    fn send_one(&mut self, index: usize) -> bool {
        let node = self.rng.usize(..NODES);
        let load = self.service.load(self.now);
        let share = &mut self.nodes[node];
        let is_refused = self.is_fair && share.is_over_share(self.now, &customer(index), load);
        if is_refused || !self.service.take(self.now) {
            return false;
        }
        share.record_placed(self.now, &customer(index));
        true
    }
}

fn min_fraction_of_others(served: &IndexMap<usize, Served>) -> f64 {
    let others = served.iter().filter(|(index, _)| **index != 0);
    let fractions = others.map(|(_, served)| served.fraction());
    fractions.fold(f64::INFINITY, f64::min)
}

fn one_customer_at_ten_times_its_baseline(is_fair: bool) -> IndexMap<usize, Served> {
    let mut simulation = Simulation::new(is_fair);
    simulation.send(Duration::from_secs(30), |_| 1.0);
    simulation.send(
        Duration::from_secs(20),
        |index| {
            if index == 0 { 10.0 } else { 1.0 }
        },
    )
}

/// Without fair sharing, a customer at ten times its usual rate fills the service, and the callers of all
/// others are refused.
#[test]
fn a_surge_of_one_customer_does_not_affect_the_others() {
    let unfair = one_customer_at_ten_times_its_baseline(false);
    assert!(
        min_fraction_of_others(&unfair) < MIN_SERVED_FRACTION,
        "{unfair:?}"
    );
    let fair = one_customer_at_ten_times_its_baseline(true);
    assert!(
        min_fraction_of_others(&fair) >= MIN_SERVED_FRACTION,
        "{fair:?}"
    );
    // It still gets more than its usual rate.
    assert!(fair[&0].fraction() > 0.15, "{fair:?}");
}

/// A customer that grows while there is free capacity must be served, or slots stay unused.
#[test]
fn a_customer_may_use_free_capacity() {
    let mut simulation = Simulation::new(true);
    simulation.send(
        Duration::from_secs(30),
        |index| if index < 4 { 1.0 } else { 0.0 },
    );
    let served = simulation.send(Duration::from_secs(20), |index| match index {
        0 => 5.0,
        1..4 => 1.0,
        _ => 0.0,
    });
    assert!(served[&0].fraction() >= MIN_SERVED_FRACTION, "{served:?}");
}

/// The only active customer grows. Nobody else needs the capacity that it would be refused.
#[test]
fn the_only_active_customer_may_fill_the_service() {
    let mut simulation = Simulation::new(true);
    simulation.send(
        Duration::from_secs(30),
        |index| if index == 0 { 3.0 } else { 0.0 },
    );
    let served = simulation.send(
        Duration::from_secs(20),
        |index| if index == 0 { 15.0 } else { 0.0 },
    );
    assert!(served[&0].fraction() >= MIN_SERVED_FRACTION, "{served:?}");
}

/// A large customer grows beside a small one. Only the usual rate of the small one is kept free.
#[test]
fn a_large_customer_is_limited_only_by_the_baseline_of_a_small_one() {
    let mut simulation = Simulation::new(true);
    let baseline_factor = |index| match index {
        0 => 5.0,
        1 => 0.25,
        _ => 0.0,
    };
    simulation.send(Duration::from_secs(30), baseline_factor);
    let served = simulation.send(Duration::from_secs(20), |index| match index {
        0 => 14.0,
        _ => baseline_factor(index),
    });
    assert!(served[&0].fraction() >= 0.9, "{served:?}");
    assert!(served[&1].fraction() >= MIN_SERVED_FRACTION, "{served:?}");
}

/// If all customers burst at once, none of them may be singled out, and no slots may stay unused.
#[test]
fn a_burst_of_all_customers_fills_the_service() {
    let burst = |is_fair| {
        let mut simulation = Simulation::new(is_fair);
        simulation.send(Duration::from_secs(30), |_| 1.0);
        let served = simulation.send(Duration::from_secs(20), |_| 3.0);
        served.values().map(|served| served.placed).sum::<u32>()
    };
    assert!(f64::from(burst(true)) >= 0.98 * f64::from(burst(false)));
}

/// A node that has just started has no baselines and must not refuse anybody by them.
#[test]
fn no_customer_is_limited_before_baselines_are_known() {
    let mut share = FairShare::default();
    let start = Timestamp(1_000_000);
    for index in 0..200 {
        share.record_placed(start + Duration::from_millis(10 * index), &customer(0));
    }
    assert!(!share.is_over_share(start + Duration::from_secs(2), &customer(0), 1.0));
    assert!(!share.is_over_share(start + Duration::from_secs(2), &customer(1), 1.0));
}

/// Inactive customers must not be kept forever, because their names come and go with configurations.
#[test]
fn inactive_customers_are_removed() {
    let mut share = FairShare::default();
    let start = Timestamp(1_000_000);
    share.record_placed(start, &customer(0));
    share.prune(start + Duration::from_secs(60));
    assert_eq!(share.customers.len(), 1);
    share.prune(start + Duration::from_secs(600));
    assert!(share.customers.is_empty());
}
