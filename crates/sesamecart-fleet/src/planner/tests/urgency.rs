//! Simulates demand for models whose routes differ in urgency, and checks which groups callers can reach.

use std::time::Duration;

use super::conversion::{open_counts, started_fleet};
use super::domains::Fleet;
use crate::demand::{Demand, ModelDemand, Urgency};

/// The groups that callers keep busy, and the priority of their requests.
#[derive(Clone, Copy)]
struct Asked {
    groups: f64,
    priority: u8,
}

const fn asked(groups: f64, priority: u8) -> Asked {
    Asked { groups, priority }
}

fn demand(large: Asked, small: Asked) -> Option<Demand> {
    let models = [("large", large), ("small", small)].map(|(name, asked)| {
        let urgency = Urgency::of_priority(asked.priority);
        let demand = ModelDemand {
            groups: asked.groups,
            urgent_groups: asked.groups * urgency.relative_to(Urgency::MOST),
        };
        (name.parse().expect("valid name"), demand)
    });
    Some(models.into_iter().collect())
}

fn fleet_after_a_minute(large: Asked, small: Asked) -> Fleet {
    let mut fleet = started_fleet();
    fleet.demand = demand(large, small);
    fleet.advance(Duration::from_secs(60));
    fleet
}

/// Checks the open groups of the large and the small model after a minute of steady demand. At first, there are 6
/// groups of the large model and 12 of the small one; a group of the large model becomes two of the small one.
macro_rules! open_after_a_minute {
    ($($(#[doc = $doc:literal])+ $name:ident: $large:expr, $small:expr => $open:expr;)+) => {
        $(
            $(#[doc = $doc])+
            #[test]
            fn $name() {
                let fleet = fleet_after_a_minute($large, $small);
                assert_eq!(open_counts(&fleet), $open);
            }
        )+
    };
}

open_after_a_minute! {
    /// Guards against urgent callers that are refused while less urgent ones are all served.
    a_less_urgent_model_gives_up_groups_until_the_urgent_one_is_served_as_often:
        asked(6.0, 1), asked(16.0, 0) => (5, 14);
    /// Guards against conversions where no route is more urgent than another.
    models_that_are_equally_urgent_keep_their_groups:
        asked(6.0, 1), asked(16.0, 1) => (6, 12);
    /// Guards against groups that are taken from the callers who are to go first.
    the_more_urgent_model_keeps_its_groups:
        asked(6.0, 0), asked(16.0, 2) => (6, 12);
    /// Guards against loads for an urgent model that serves all that is asked of it.
    an_urgent_model_with_enough_groups_gets_no_more:
        asked(7.0, 2), asked(11.0, 0) => (6, 12);
    /// Guards against less urgent callers who give up more than what makes both models served alike.
    far_too_much_urgent_demand_leaves_both_models_served_alike:
        asked(6.0, 2), asked(60.0, 0) => (2, 20);
}

/// Guards against groups that are loaded for the peak of a wave and are ready when it has passed.
#[test]
fn a_wave_converts_no_group() {
    const PERIOD_TICKS: u32 = 13;
    let mut fleet = started_fleet();
    for tick in 0..PERIOD_TICKS * 4 {
        let phase = f64::from(tick % PERIOD_TICKS) / f64::from(PERIOD_TICKS);
        let wave = 0.5 * (phase * std::f64::consts::TAU).sin();
        fleet.demand = demand(asked(5.0, 1), asked(11.0 * (1.0 + wave), 0));
        fleet.advance(Duration::from_secs(1));
    }
    assert_eq!(open_counts(&fleet), (6, 12));
}
