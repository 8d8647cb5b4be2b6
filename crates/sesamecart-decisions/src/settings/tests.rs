use super::*;

macro_rules! rejects {
    ($($name:ident: $field:literal, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cfg = DecisionSettings::default();
            let change: fn(&mut DecisionSettings) = $change;
            change(&mut cfg);
            let error = cfg.check().unwrap_err();
            assert!(error.to_string().starts_with($field), "{error}");
        }
    )*};
}

#[test]
fn defaults_are_in_range() {
    assert_eq!(DecisionSettings::default().check(), Ok(()));
}

rejects! {
    zero_queue_length: "admission.max_waiting", |cfg| cfg.admission.max_waiting = 0;
    nan_stretch: "admission.stretch", |cfg| cfg.admission.stretch = f64::NAN;
    renewal_over_half_a_slice: "allowance.renew_ms", |cfg| cfg.allowance.renew_ms = 600;
    timeout_over_half_a_slice: "allowance.borrow_timeout_ms", |cfg| cfg.allowance.borrow_timeout_ms = 501;
    growth_too_large: "allowance.growth", |cfg| cfg.allowance.growth = 10.0;
    ejected_share_too_large: "routing.max_ejected", |cfg| cfg.routing.max_ejected = 0.9;
    min_subset_above_max: "routing.min_subset", |cfg| cfg.routing.min_subset = 65;
    budget_above_one: "retry.budget", |cfg| cfg.retry.budget = 2.0;
    min_retry_after_above_max: "admission.min_retry_after_ms", |cfg| cfg.admission.min_retry_after_ms = 60_000;
}

#[test]
fn subset_size_scales_with_endpoints_and_nodes() {
    let cfg = RoutingSettings::default();
    assert_eq!(cfg.subset_size(50, 8), 19);
    assert_eq!(cfg.subset_size(3, 8), 3);
    assert_eq!(cfg.subset_size(660, 380), 8);
}
