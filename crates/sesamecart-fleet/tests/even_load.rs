//! Tests how evenly a pool is loaded while nodes know its state of some time ago.
//!
//! docs/design/even-load.md compares the ways of choosing a head.

use std::time::Duration;

mod emulation;

use emulation::{Condition, Outcome, Play, Shape, Way, play};

/// The ages of news that nodes have of each other.
const AGES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

const LENGTH: Duration = Duration::from_secs(3);

const SEED: u64 = 7;

fn outcome(way: Way, shape: Shape, condition: Condition, load: f64, age: Duration) -> Outcome {
    let played = Play {
        shape,
        condition,
        length: LENGTH,
        load,
        age,
        seed: SEED,
    };
    play(played, way)
}

/// Guards against endpoints that hold 1.3 times what they have room for while another one has half of its own free.
macro_rules! no_endpoint_is_overrun {
    ($($name:ident: $way:expr, $shape:expr, $condition:expr, $load:expr, $ages:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for age in $ages {
                    let outcome = outcome($way, $shape, $condition, $load, age);
                    assert_eq!(outcome.overrun_share(), 0.0, "news of {age:?}");
                }
            }
        )*
    };
}

no_endpoint_is_overrun! {
    few_heads_at_mean_load:
        Way::Dispatcher, Shape::few_heads(), Condition::Even, 1.0, [AGES[0]];
    few_heads_at_the_peak_of_waves:
        Way::Dispatcher, Shape::few_heads(), Condition::Even, 1.2, [AGES[0]];
    few_heads_beyond_their_room:
        Way::Dispatcher, Shape::few_heads(), Condition::Even, 1.7, [AGES[0]];
    few_heads_with_busy_nodes:
        Way::Dispatcher, Shape::few_heads(), Condition::BusyNodes, 1.2, [AGES[0]];
    few_heads_of_which_some_are_slow:
        Way::Dispatcher, Shape::few_heads(), Condition::SlowHeads, 1.2, [AGES[0]];
    few_heads_with_reports_that_are_late:
        Way::LateReports, Shape::few_heads(), Condition::Even, 1.2, [AGES[0], AGES[1]];
    few_heads_with_reports_that_are_very_late:
        Way::LateReports, Shape::few_heads(), Condition::Even, 1.2, [AGES[2], AGES[3]];
    few_heads_with_a_replaced_dispatcher:
        Way::ReplacedDispatcher, Shape::few_heads(), Condition::Even, 1.2, [AGES[0]];
    many_heads_at_mean_load:
        Way::Dispatcher, Shape::many_heads(), Condition::Even, 1.0, [AGES[0]];
    many_heads_at_the_peak_of_waves:
        Way::Dispatcher, Shape::many_heads(), Condition::Even, 1.55, [AGES[0]];
    many_heads_beyond_their_room:
        Way::Dispatcher, Shape::many_heads(), Condition::Even, 2.2, [AGES[0]];
    many_heads_with_reports_that_are_late:
        Way::LateReports, Shape::many_heads(), Condition::Even, 1.55, [AGES[0], AGES[1]];
    many_heads_with_reports_that_are_very_late:
        Way::LateReports, Shape::many_heads(), Condition::Even, 1.55, [AGES[2], AGES[3]];
    many_heads_with_a_replaced_dispatcher:
        Way::ReplacedDispatcher, Shape::many_heads(), Condition::Even, 1.55, [AGES[0]];
    most_heads_at_the_peak_of_waves:
        Way::Dispatcher, Shape::largest(), Condition::Even, 1.55, [AGES[0]];
    two_dispatchers_that_know_half_each:
        Way::TwoDispatchers, Shape::many_heads(), Condition::Even, 1.55, [AGES[0]];
    two_dispatchers_beyond_the_room:
        Way::TwoDispatchers, Shape::many_heads(), Condition::Even, 2.2, [AGES[0]];
    most_heads_with_reports_that_are_late:
        Way::LateReports, Shape::largest(), Condition::Even, 1.55, [AGES[0], AGES[1]];
    most_heads_with_reports_that_are_very_late:
        Way::LateReports, Shape::largest(), Condition::Even, 1.55, [AGES[2], AGES[3]];
}

/// Guards against a dispatcher that serves fewer requests in time than the nodes do by choices of their own.
macro_rules! dispatcher_serves_more_in_time {
    ($($name:ident: $shape:expr, $condition:expr, $load:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let dispatched = outcome(Way::Dispatcher, $shape, $condition, $load, AGES[0]);
                for age in AGES {
                    let own = outcome(Way::OwnChoice, $shape, $condition, $load, age);
                    assert!(
                        dispatched.in_time_share() >= own.in_time_share(),
                        "news of {age:?}: {} to {}",
                        dispatched.in_time_share(),
                        own.in_time_share()
                    );
                    let is_recent = age == AGES[0];
                    assert!(
                        is_recent || dispatched.busiest_to_mean() <= own.busiest_to_mean(),
                        "news of {age:?}: {} to {}",
                        dispatched.busiest_to_mean(),
                        own.busiest_to_mean()
                    );
                    assert!(
                        dispatched.late_share() <= own.late_share().max(MAX_LATE_SHARE),
                        "news of {age:?}: {} to {}",
                        dispatched.late_share(),
                        own.late_share()
                    );
                }
            }
        )*
    };
}

/// The share of admitted requests that may be late.
const MAX_LATE_SHARE: f64 = 0.05;

dispatcher_serves_more_in_time! {
    than_few_nodes_at_the_peak_of_waves: Shape::few_heads(), Condition::Even, 1.2;
    than_few_nodes_beyond_their_room: Shape::few_heads(), Condition::Even, 1.7;
    than_few_nodes_of_which_some_are_busy: Shape::few_heads(), Condition::BusyNodes, 1.2;
    than_few_nodes_with_slow_heads: Shape::few_heads(), Condition::SlowHeads, 1.2;
    than_many_nodes_at_the_peak_of_waves: Shape::many_heads(), Condition::Even, 1.55;
    than_many_nodes_beyond_their_room: Shape::many_heads(), Condition::Even, 2.2;
    than_many_nodes_with_slow_heads: Shape::many_heads(), Condition::SlowHeads, 1.55;
}

/// Guards against a dispatcher that serves fewer requests in time than another way would.
macro_rules! no_other_way_serves_more_in_time {
    ($($name:ident: $condition:expr, $load:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let shape = Shape::few_heads();
                let dispatched = outcome(Way::Dispatcher, shape, $condition, $load, AGES[1]);
                for way in Way::ALL {
                    let other = outcome(way, shape, $condition, $load, AGES[1]);
                    assert!(
                        dispatched.in_time_share() >= other.in_time_share(),
                        "{way:?}: {} to {}",
                        dispatched.in_time_share(),
                        other.in_time_share()
                    );
                }
            }
        )*
    };
}

no_other_way_serves_more_in_time! {
    of_all_ways_with_even_nodes: Condition::Even, 1.2;
    of_all_ways_beyond_the_room: Condition::Even, 1.7;
    of_all_ways_with_busy_nodes: Condition::BusyNodes, 1.2;
    of_all_ways_with_slow_heads: Condition::SlowHeads, 1.2;
}
