//! Compares ways of choosing a head while nodes know the state of the pool of some time ago.
//!
//! The argument selects a pool by its number. docs/design/even-load.md has the results.

use std::time::Duration;

#[path = "../tests/emulation/mod.rs"]
mod emulation;

use emulation::{Condition, Outcome, Play, Shape, Way, play};

const AGES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

const LENGTH: Duration = Duration::from_secs(9);

/// A pool with the loads that are played beside its mean load.
struct Pool {
    name: &'static str,
    shape: Shape,
    /// The load at the peak of its waves.
    peak: f64,
    /// A load beyond its room.
    overload: f64,
    seeds: u64,
}

const POOLS: [Pool; 3] = [
    Pool {
        name: "61 nodes, 13 heads",
        shape: Shape::few_heads(),
        peak: 1.2,
        overload: 1.7,
        seeds: 3,
    },
    Pool {
        name: "105 nodes, 40 heads",
        shape: Shape::many_heads(),
        peak: 1.55,
        overload: 2.2,
        seeds: 3,
    },
    Pool {
        name: "380 nodes, 165 heads",
        shape: Shape::largest(),
        peak: 1.55,
        overload: 2.2,
        seeds: 1,
    },
];

fn main() {
    let selected = std::env::args().nth(1);
    let selected = selected.and_then(|number| number.parse::<usize>().ok());
    for (index, pool) in POOLS.iter().enumerate() {
        if selected.is_none_or(|selected| selected == index) {
            print_pool(pool);
        }
    }
}

/// Returns whether the choices of a way depend on the age of news.
const fn depends_on_age(way: Way) -> bool {
    !matches!(
        way,
        Way::FixedSubsets
            | Way::DividedPlaces
            | Way::Dispatcher
            | Way::TwoDispatchers
            | Way::ReplacedDispatcher
    )
}

fn print_pool(pool: &Pool) {
    let Pool { peak, overload, .. } = *pool;
    println!("\n{}, {} seeds\n", pool.name, pool.seeds);
    println!(
        "Busiest to mean head, late in 100 admitted, not in time in 100; `!` if a head is overrun.\n"
    );
    println!(
        "| way | news | mean load | {peak} | {overload} | {peak}, busy nodes | {peak}, slow heads | \
         messages/s | bytes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for way in Way::ALL {
        let ages = if depends_on_age(way) {
            &AGES[..]
        } else {
            &AGES[..1]
        };
        for age in ages {
            print_row(pool, way, *age);
        }
    }
}

fn print_row(pool: &Pool, way: Way, age: Duration) {
    let columns = [
        (1.0, Condition::Even),
        (pool.peak, Condition::Even),
        (pool.overload, Condition::Even),
        (pool.peak, Condition::BusyNodes),
        (pool.peak, Condition::SlowHeads),
    ];
    let news = if depends_on_age(way) {
        format!("{} s", age.as_secs_f64())
    } else {
        String::new()
    };
    print!("| {way:?} | {news} |");
    let mut traffic = None;
    for (load, condition) in columns {
        let played = |seed| Play {
            shape: pool.shape,
            condition,
            length: LENGTH,
            load,
            age,
            seed,
        };
        let outcomes = (0..pool.seeds).map(|seed| play(played(seed), way));
        let outcomes: Vec<Outcome> = outcomes.collect();
        let is_overrun = outcomes.iter().any(|outcome| outcome.overrun_share() > 0.0);
        print!(
            " {:.2}, {:.1}, {:.1}{} |",
            mean(&outcomes, Outcome::busiest_to_mean),
            mean(&outcomes, Outcome::late_share) * 100.0,
            100.0 - mean(&outcomes, Outcome::in_time_share) * 100.0,
            if is_overrun { " !" } else { "" },
        );
        traffic.get_or_insert(outcomes[0].traffic_per_node_s);
    }
    let traffic = traffic.unwrap_or_default();
    println!(" {:.0} | {:.0} |", traffic.messages, traffic.bytes);
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
}
