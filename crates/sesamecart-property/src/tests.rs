use std::cell::RefCell;

use bolero::{ValueGenerator as _, produce};

use super::check_property;

fn cases() -> Vec<u64> {
    let cases = RefCell::new(Vec::new());
    check_property(produce::<u64>(), |case| cases.borrow_mut().push(*case));
    cases.into_inner()
}

/// A commit must not pass one run and fail the next one.
#[test]
fn every_run_checks_the_same_cases() {
    assert_eq!(cases(), cases());
}

/// Cases that repeat would check next to nothing.
#[test]
fn cases_differ() {
    let mut cases = cases();
    let drawn = cases.len();
    cases.sort_unstable();
    cases.dedup();
    assert_eq!(cases.len(), drawn);
}

/// A property that fails on some cases must fail the test.
#[test]
#[should_panic(expected = "odd")]
fn a_property_that_some_case_breaks_fails() {
    check_property(produce::<u64>(), |case| assert!(case % 2 == 0, "odd"));
}

/// A generator that makes nothing would let every property pass.
#[test]
#[should_panic(expected = "no case was made")]
fn a_property_without_cases_fails() {
    check_property(produce::<u64>().filter_gen(|_| false), |_| {});
}
