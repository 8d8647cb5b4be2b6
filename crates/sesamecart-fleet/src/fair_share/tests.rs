//! Plays customers that share a service, and checks what the callers of each get.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, Timestamp};

use super::FairShare;
use crate::testkit::Slots;

const NODES: usize = 10;

/// Callers of each customer a second while nothing is unusual.
const USUAL_PER_S: f64 = 12.0;

const CUSTOMERS: usize = 12;

/// The part of the callers that has to be served in time.
const PROMISED_PART: f64 = 0.95;

/// A service for 200 requests a second, before which customers ask 144.
struct Play {
    nodes: Vec<FairShare>,
    service: Slots,
    rng: fastrand::Rng,
    now: Timestamp,
    is_fair: bool,
}

/// The callers of one customer that got a place, of all.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    placed: u32,
    asked: u32,
}

impl Served {
    fn part(self) -> f64 {
        f64::from(self.placed) / f64::from(self.asked.max(1))
    }
}

fn customer(index: usize) -> CustomerId {
    format!("c{index}").parse().expect("a name")
}

impl Play {
    fn new(is_fair: bool) -> Self {
        Self {
            nodes: vec![FairShare::default(); NODES],
            service: Slots::new(100, Duration::from_millis(500)),
            rng: fastrand::Rng::with_seed(1),
            now: Timestamp(1_000_000),
            is_fair,
        }
    }

    /// Has each customer ask so many times what it usually does; returns what their callers got.
    fn ask(
        &mut self,
        time: Duration,
        times_usual: impl Fn(usize) -> f64,
    ) -> IndexMap<usize, Served> {
        const STEP: Duration = Duration::from_millis(1);
        let mut served: IndexMap<usize, Served> = IndexMap::new();
        let until = self.now + time;
        while self.now < until {
            for index in 0..CUSTOMERS {
                let expected = USUAL_PER_S * times_usual(index) * STEP.as_secs_f64();
                if self.rng.f64() < expected {
                    let placed = self.ask_once(index);
                    let served = served.entry(index).or_default();
                    served.asked += 1;
                    served.placed += u32::from(placed);
                }
            }
            self.now = self.now + STEP;
        }
        served
    }

    fn ask_once(&mut self, index: usize) -> bool {
        let node = self.rng.usize(..NODES);
        let load = self.service.load(self.now);
        let share = &mut self.nodes[node];
        let is_refused = self.is_fair && share.is_over_share(self.now, &customer(index), load);
        if is_refused || !self.service.take(self.now) {
            return false;
        }
        share.note_placed(self.now, &customer(index));
        true
    }
}

fn least_part_of_others(served: &IndexMap<usize, Served>) -> f64 {
    let others = served.iter().filter(|(index, _)| **index != 0);
    let parts = others.map(|(_, served)| served.part());
    parts.fold(f64::INFINITY, f64::min)
}

fn one_asks_ten_times(is_fair: bool) -> IndexMap<usize, Served> {
    let mut play = Play::new(is_fair);
    play.ask(Duration::from_secs(30), |_| 1.0);
    play.ask(
        Duration::from_secs(20),
        |index| {
            if index == 0 { 10.0 } else { 1.0 }
        },
    )
}

/// One customer at ten times its usual fills the service, and the callers of all others are turned away.
#[test]
fn one_customer_at_ten_times_its_usual_costs_the_others_nothing() {
    let without = one_asks_ten_times(false);
    assert!(
        least_part_of_others(&without) < PROMISED_PART,
        "{without:?}"
    );
    let with = one_asks_ten_times(true);
    assert!(least_part_of_others(&with) >= PROMISED_PART, "{with:?}");
    // It still gets more than what it usually gets.
    assert!(with[&0].part() > 0.15, "{with:?}");
}

/// A customer that grows while there is room has to be served, or places stand empty.
#[test]
fn a_customer_gets_what_nobody_else_needs() {
    let mut play = Play::new(true);
    play.ask(
        Duration::from_secs(30),
        |index| if index < 4 { 1.0 } else { 0.0 },
    );
    let served = play.ask(Duration::from_secs(20), |index| match index {
        0 => 5.0,
        1..4 => 1.0,
        _ => 0.0,
    });
    assert!(served[&0].part() >= PROMISED_PART, "{served:?}");
}

/// A customer whose callers are all there are grows: no one else needs the places that it would be refused.
#[test]
fn the_only_customer_may_fill_the_service() {
    let mut play = Play::new(true);
    play.ask(
        Duration::from_secs(30),
        |index| if index == 0 { 3.0 } else { 0.0 },
    );
    let served = play.ask(
        Duration::from_secs(20),
        |index| if index == 0 { 15.0 } else { 0.0 },
    );
    assert!(served[&0].part() >= PROMISED_PART, "{served:?}");
}

/// A large customer beside a small one grows: only what the small one usually takes is kept from it.
#[test]
fn a_large_customer_leaves_a_small_one_no_more_than_its_places() {
    let mut play = Play::new(true);
    let usual = |index| match index {
        0 => 5.0,
        1 => 0.25,
        _ => 0.0,
    };
    play.ask(Duration::from_secs(30), usual);
    let served = play.ask(Duration::from_secs(20), |index| match index {
        0 => 14.0,
        _ => usual(index),
    });
    assert!(served[&0].part() >= 0.9, "{served:?}");
    assert!(served[&1].part() >= PROMISED_PART, "{served:?}");
}

/// A burst of all customers at once is nobody's fault: none may be singled out, nor places stand empty.
#[test]
fn a_burst_of_all_customers_fills_the_service() {
    let burst = |is_fair| {
        let mut play = Play::new(is_fair);
        play.ask(Duration::from_secs(30), |_| 1.0);
        let served = play.ask(Duration::from_secs(20), |_| 3.0);
        served.values().map(|served| served.placed).sum::<u32>()
    };
    assert!(f64::from(burst(true)) >= 0.98 * f64::from(burst(false)));
}

/// A node that has just started knows nothing of what is usual, and must not refuse by it.
#[test]
fn nobody_is_limited_before_it_shows_what_is_usual() {
    let mut share = FairShare::default();
    let start = Timestamp(1_000_000);
    for index in 0..200 {
        share.note_placed(start + Duration::from_millis(10 * index), &customer(0));
    }
    assert!(!share.is_over_share(start + Duration::from_secs(2), &customer(0), 1.0));
    assert!(!share.is_over_share(start + Duration::from_secs(2), &customer(1), 1.0));
}

/// A customer that was last seen long ago isn't kept for ever: names come and go with configurations.
#[test]
fn customers_that_ask_nothing_are_forgotten() {
    let mut share = FairShare::default();
    let start = Timestamp(1_000_000);
    share.note_placed(start, &customer(0));
    share.tidy(start + Duration::from_secs(60));
    assert_eq!(share.shares.len(), 1);
    share.tidy(start + Duration::from_secs(600));
    assert!(share.shares.is_empty());
}
