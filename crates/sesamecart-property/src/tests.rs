use std::cell::RefCell;

use bolero::{ValueGenerator as _, produce};

use super::check_property;

fn generated_cases() -> Vec<u64> {
    let cases = RefCell::new(Vec::new());
    check_property(produce::<u64>(), |case| cases.borrow_mut().push(*case));
    cases.into_inner()
}

/// The same commit must not pass one run and fail the next.
#[test]
fn every_run_checks_same_cases() {
    assert_eq!(generated_cases(), generated_cases());
}

/// Repeated cases would reduce the coverage of a property to almost nothing.
#[test]
fn cases_differ() {
    let mut cases = generated_cases();
    let generated = cases.len();
    cases.sort_unstable();
    cases.dedup();
    assert_eq!(cases.len(), generated);
}

/// A property that fails for some cases must fail the test.
#[test]
#[should_panic(expected = "odd")]
fn property_violated_by_some_cases_fails() {
    check_property(produce::<u64>(), |case| assert!(case % 2 == 0, "odd"));
}

/// Without this check, every property would pass with a generator that produces nothing.
#[test]
#[should_panic(expected = "the generator produced no case")]
fn property_without_cases_fails() {
    check_property(produce::<u64>().filter_gen(|_| false), |_| {});
}
