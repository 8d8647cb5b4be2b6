//! Formats demand for peers and parses it again.

use sesamecart_fleet::{Demand, ModelDemand};
use sesamecart_links::feed;

use super::{format_demand, parse_demand};

fn model_demand(groups: f64, urgent_groups: f64) -> Demand {
    let demand = ModelDemand {
        groups,
        urgent_groups,
    };
    [("m".parse().expect("valid name"), demand)]
        .into_iter()
        .collect()
}

macro_rules! round_trips {
    ($($name:ident: $groups:expr, $urgent:expr => $sent:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let demand = model_demand($groups, $urgent);
                let sent = format_demand(&demand);
                assert_eq!(sent[0].milli_urgent_groups, $sent);
                assert_eq!(parse_demand(&sent), demand);
            }
        )*
    };
}

round_trips! {
    demand_of_less_urgent_requests_is_sent_with_its_urgency: 4.0, 1.0 => Some(1_000);
    demand_of_the_most_urgent_requests_is_sent_without_it: 4.0, 4.0 => None;
}

/// Guards against nodes of an earlier release, which send no urgency, making a model seem worthless.
#[test]
fn demand_without_an_urgency_counts_as_most_urgent() {
    let sent = feed::ModelDemand {
        model: "m".to_owned(),
        milli_groups: 2_500,
        milli_urgent_groups: None,
    };
    assert_eq!(parse_demand(&[sent]), model_demand(2.5, 2.5));
}
