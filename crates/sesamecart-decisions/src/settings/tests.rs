use super::*;

macro_rules! refuses {
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
fn defaults_lie_in_their_ranges() {
    assert_eq!(DecisionSettings::default().check(), Ok(()));
}

refuses! {
    no_queue: "admission.max_waiting", |cfg| cfg.admission.max_waiting = 0;
    nan_stretch: "admission.stretch", |cfg| cfg.admission.stretch = f64::NAN;
    slow_renewal: "allowance.renew_ms", |cfg| cfg.allowance.renew_ms = 600;
    long_timeout: "allowance.borrow_timeout_ms", |cfg| cfg.allowance.borrow_timeout_ms = 501;
    steep_growth: "allowance.growth", |cfg| cfg.allowance.growth = 10.0;
    large_ejection: "routing.max_ejected", |cfg| cfg.routing.max_ejected = 0.9;
    crossed_subset: "routing.min_subset", |cfg| cfg.routing.min_subset = 65;
    large_budget: "retry.budget", |cfg| cfg.retry.budget = 2.0;
    reversed_retry_after: "admission.min_retry_after_ms", |cfg| cfg.admission.min_retry_after_ms = 60_000;
}

#[test]
fn one_subset_rule_fits_both_sizes() {
    let cfg = RoutingSettings::default();
    assert_eq!(cfg.subset(50, 8), 19);
    assert_eq!(cfg.subset(3, 8), 3);
    assert_eq!(cfg.subset(660, 380), 8);
}
