//! Property-based testing with random cases that are reproducible.
//!
//! `bolero::check!` derives only its first case from `BOLERO_RANDOM_SEED` and takes the seeds of all others from
//! the operating system, so the same commit could pass one run and fail the next. Here every case is derived
//! from the seed.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::str::FromStr;

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_xoshiro::Xoroshiro128PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

#[cfg(test)]
mod tests;

/// The seed if `BOLERO_RANDOM_SEED` isn't set.
const DEFAULT_SEED: u64 = 1;

/// The number of cases if `BOLERO_RANDOM_ITERATIONS` isn't set.
const DEFAULT_CASES: u64 = 200;

/// Checks a property on the cases of a generator.
///
/// The seed comes from `BOLERO_RANDOM_SEED` and the number of cases from `BOLERO_RANDOM_ITERATIONS`.
///
/// # Panics
///
/// Panics with the property's own message after printing the failing case and its seed. Also panics if the
/// generator produces no case at all.
pub fn check_property<G>(generator: G, property: impl Fn(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let seed = parse_env("BOLERO_RANDOM_SEED").unwrap_or(DEFAULT_SEED);
    let cases = parse_env("BOLERO_RANDOM_ITERATIONS").unwrap_or(DEFAULT_CASES);
    let checked =
        (0..cases).filter(|index| check_case(&generator, seed.wrapping_add(*index), &property));
    assert!(checked.count() > 0, "the generator produced no case");
}

/// Checks the case of one seed. Returns whether the generator produced a case.
fn check_case<G>(generator: &G, seed: u64, property: &impl Fn(&G::Output)) -> bool
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let mut driver = Rng::new(rng, &Options::default());
    let Some(case) = generator.generate(&mut driver) else {
        return false;
    };
    if let Err(panic) = catch_unwind(AssertUnwindSafe(|| property(&case))) {
        eprintln!("failing case with BOLERO_RANDOM_SEED={seed}: {case:?}");
        resume_unwind(panic);
    }
    true
}

/// Reads a number from an environment variable; returns `None` if it is unset or invalid.
fn parse_env<T: FromStr>(name: &str) -> Option<T> {
    let value = std::env::var(name).ok()?;
    value.parse().ok()
}
