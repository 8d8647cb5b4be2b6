//! Simulates demand that differs from the configured shares, and checks which groups callers can reach.

use std::time::Duration;

use sesamecart_vocabulary::ModelId;

use super::domains::Fleet;
use crate::demand::Demand;

const MODELS: [(&str, usize, f64); 2] = [("large", 12, 0.5), ("small", 6, 0.5)];

const DOMAINS: [(&str, usize); 6] = [
    ("a-0", 27),
    ("a-1", 27),
    ("b-0", 27),
    ("b-1", 27),
    ("c-0", 27),
    ("c-1", 27),
];

fn demand(large: f64, small: f64) -> Option<Demand> {
    let model = |name: &str| name.parse::<ModelId>().expect("valid name");
    let demand = [(model("large"), large), (model("small"), small)];
    Some(demand.into_iter().collect())
}

pub(super) fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new(&MODELS, &DOMAINS);
    fleet.spec.loads_at_once = 20;
    fleet.spec.loads_per_s = 14.0;
    fleet.advance(Duration::from_secs(12));
    fleet.has_traffic = true;
    fleet
}

pub(super) fn open_counts(fleet: &Fleet) -> (usize, usize) {
    (fleet.open_groups("large"), fleet.open_groups("small"))
}

/// Demand for the small model is far above its share. Without conversions, its groups are full and its
/// callers are refused while the groups of the large model are almost idle.
#[test]
fn groups_are_converted_to_the_model_in_demand() {
    let mut fleet = started_fleet();
    assert_eq!(open_counts(&fleet), (6, 12));
    fleet.demand = demand(2.0, 16.0);
    fleet.advance(Duration::from_secs(60));
    let (large, small) = open_counts(&fleet);
    assert!(small >= 16, "{small} groups of the small model");
    assert!(large >= 4, "{large} groups of the large model");
}

/// If groups are converted for a burst that ends before a load would, each engine is loaded twice for
/// nothing.
#[test]
fn a_burst_shorter_than_a_load_converts_no_group() {
    let mut fleet = started_fleet();
    for _ in 0..3 {
        fleet.demand = demand(2.0, 20.0);
        fleet.advance(Duration::from_secs(10));
        fleet.demand = demand(2.0, 6.0);
        fleet.advance(Duration::from_secs(4));
    }
    assert_eq!(open_counts(&fleet), (6, 12));
}

/// An evacuation usually ends sooner than a load. Converted groups would be missing for the callers of their
/// own model, and would serve the other model when nobody needs them any more.
#[test]
fn a_short_evacuation_converts_no_group() {
    let mut fleet = started_fleet();
    fleet.demand = demand(2.0, 6.0);
    fleet.evacuated.insert("a".parse().expect("valid name"));
    fleet.advance(Duration::from_secs(10));
    fleet.evacuated.clear();
    fleet.advance(Duration::from_secs(5));
    assert_eq!(open_counts(&fleet), (6, 12));
}

#[test]
fn no_group_is_converted_while_all_models_have_enough() {
    let mut fleet = started_fleet();
    fleet.demand = demand(3.0, 6.0);
    fleet.advance(Duration::from_secs(30));
    assert_eq!(open_counts(&fleet), (6, 12));
}

/// If the last groups of the model that gives groups up were closed, or those in all failure domains but one,
/// its callers would be refused.
#[test]
fn a_model_with_low_demand_keeps_groups_in_two_failure_domains() {
    let mut fleet = started_fleet();
    fleet.demand = demand(0.0, 60.0);
    fleet.advance(Duration::from_secs(120));
    let remaining = ["a", "b", "c"].map(|lost| fleet.groups_without("large", lost));
    assert!(remaining.iter().all(|groups| *groups >= 1), "{remaining:?}");
}

/// The weight store serves few loads at once. If conversions took that capacity, empty replacements for lost
/// engines would wait, and the fleet would shrink during a conversion.
#[test]
fn no_group_is_converted_while_the_weight_store_is_busy() {
    let mut fleet = started_fleet();
    fleet.spec.loads_at_once = 6;
    fleet.demand = demand(2.5, 12.0);
    fleet.advance(Duration::from_secs(30));
    assert_eq!(open_counts(&fleet), (6, 12));
}

/// A fabric domain of the large model has lost so many engines that eleven are left over. Without a
/// conversion, they are idle for the rest of the day while callers of the small model are refused.
#[test]
fn leftover_engines_serve_the_model_in_demand() {
    let mut fleet = started_fleet();
    let large = DOMAINS
        .iter()
        .find(|(domain, _)| fleet.count_holding(domain, "large") > 0);
    let (domain, _) = *large.expect("a domain holds the large model");
    fleet.remove(domain, 7);
    fleet.demand = demand(3.0, 12.0);
    fleet.spec.loads_at_once = 8;
    let before = open_counts(&fleet).1;
    fleet.advance(Duration::from_secs(10));
    assert_eq!(open_counts(&fleet).1, before + 1);
    assert_eq!(fleet.count_holding(domain, "small"), 6);
}

/// Groups of an evacuated failure domain take no requests. If they were counted, the model with most of its
/// groups there would seem to have enough while its callers are refused.
#[test]
fn groups_in_an_evacuated_failure_domain_are_not_counted() {
    let mut fleet = started_fleet();
    fleet.demand = demand(1.0, 6.0);
    fleet.advance(Duration::from_secs(10));
    assert_eq!(
        open_counts(&fleet),
        (6, 12),
        "both models have enough groups"
    );
    fleet.evacuated.insert("a".parse().expect("valid name"));
    fleet.advance(Duration::from_secs(30));
    assert!(fleet.groups_without("small", "a") > 8);
}

/// The heads of a model limit their requests. If their groups counted in full, callers of the model would be
/// refused while the groups of the other model are almost idle.
#[test]
fn groups_are_converted_to_a_model_whose_heads_are_limited() {
    let open_small_groups = |limited_model| {
        let mut fleet = started_fleet();
        fleet.demand = demand(1.0, 6.0);
        fleet.limited_model = limited_model;
        fleet.advance(Duration::from_secs(60));
        fleet.open_groups("small")
    };
    let without_limits = open_small_groups(None);
    let with_limits = open_small_groups(Some("small".parse().expect("valid name")));
    assert!(
        with_limits > without_limits,
        "{with_limits} groups with limits, {without_limits} without"
    );
}

/// Guards against groups that are closed or dissolved because their heads want no requests for a while.
#[test]
fn a_short_backoff_of_all_heads_of_a_model_moves_no_group() {
    for model in ["large", "small"] {
        let mut fleet = started_fleet();
        fleet.demand = demand(3.0, 6.0);
        let before = open_counts(&fleet);
        fleet.model_backing_off = Some(model.parse().expect("valid name"));
        fleet.advance(Duration::from_secs(8));
        assert_eq!(open_counts(&fleet), before, "{model}");
        fleet.model_backing_off = None;
        fleet.advance(Duration::from_secs(20));
        assert_eq!(open_counts(&fleet), before, "{model}");
    }
}
