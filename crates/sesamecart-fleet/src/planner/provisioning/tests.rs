//! Tests how much the loss of a group counts when a group of another model is gained for it.

use super::{Provision, Provisioning};
use crate::demand::Urgency;
use crate::testkit::model;

const fn provision(groups: f64, needed_groups: f64, urgency: Urgency) -> Provision {
    Provision {
        needed_groups,
        groups,
        urgency: Some(urgency),
    }
}

macro_rules! loss_factors {
    ($($name:ident: $from:expr, $to:expr => $factor:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let urgency = Urgency::of_priority;
                let provision = |(groups, needed, priority)| {
                    provision(groups, needed, urgency(priority))
                };
                let provisions = [("from", provision($from)), ("to", provision($to))];
                let provisions = provisions.map(|(name, provision)| (model(name), provision));
                let provisioning = Provisioning(provisions.into_iter().collect());
                let factor = provisioning.loss_factor(&model("from"), &model("to"));
                assert!((factor - $factor).abs() < 1e-9, "{factor}");
            }
        )+
    };
}

loss_factors! {
    equally_urgent_models_count_alike: (6.0, 6.0, 3), (6.0, 12.0, 3) => 1.0;
    a_less_urgent_model_counts_for_less: (6.0, 6.0, 1), (6.0, 12.0, 0) => 0.25;
    a_more_urgent_model_counts_for_more: (6.0, 6.0, 0), (6.0, 12.0, 1) => 4.0;
    idle_groups_of_a_more_urgent_model_count_alike: (6.0, 5.0, 0), (6.0, 12.0, 1) => 1.0;
    a_model_that_is_served_worse_counts_in_full: (6.0, 24.0, 1), (6.0, 12.0, 0) => 1.0;
    a_model_that_would_starve_after_the_next_loss_counts_in_full:
        (2.0, 2.0, 1), (6.0, 12.0, 0) => 1.0;
    nothing_is_given_up_for_a_model_with_enough_groups: (12.0, 6.0, 1), (12.0, 12.0, 0) => 1.0;
}

/// Guards against groups that nobody uses being kept as if their callers were the most urgent.
#[test]
fn a_model_without_requests_counts_alike() {
    let unused = Provision {
        urgency: None,
        ..provision(6.0, 0.0, Urgency::MOST)
    };
    let needed = provision(6.0, 12.0, Urgency::of_priority(3));
    let provisions = [(model("from"), unused), (model("to"), needed)];
    let provisioning = Provisioning(provisions.into_iter().collect());
    let factor = provisioning.loss_factor(&model("from"), &model("to"));
    assert!((factor - 1.0).abs() < 1e-9, "{factor}");
}
