//! Checks properties on random cases that are the same in every run.
//!
//! `bolero::check!` takes only its first case from `BOLERO_RANDOM_SEED` and draws the seeds of all others from
//! the system, so one commit could pass a run and fail the next one. Here every case follows from the seed.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::str::FromStr;

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_xoshiro::Xoroshiro128PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;

#[cfg(test)]
mod tests;

/// The seed where `BOLERO_RANDOM_SEED` names none.
const DEFAULT_SEED: u64 = 1;

/// The number of cases where `BOLERO_RANDOM_ITERATIONS` names none.
const DEFAULT_CASES: u64 = 200;

/// Checks a property on the cases that a generator makes.
///
/// The seed comes from `BOLERO_RANDOM_SEED` and the number of cases from `BOLERO_RANDOM_ITERATIONS`.
///
/// # Panics
///
/// Panics with the property's own message, after the case and its seed were printed, and where the generator
/// makes no case at all.
pub fn check_property<G>(generator: G, property: impl Fn(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let seed = from_env("BOLERO_RANDOM_SEED").unwrap_or(DEFAULT_SEED);
    let cases = from_env("BOLERO_RANDOM_ITERATIONS").unwrap_or(DEFAULT_CASES);
    let checked =
        (0..cases).filter(|index| check_case(&generator, seed.wrapping_add(*index), &property));
    assert!(checked.count() > 0, "no case was made");
}

/// Checks the case of one seed; returns whether the generator makes one of it.
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
        eprintln!("the case of BOLERO_RANDOM_SEED={seed}: {case:?}");
        resume_unwind(panic);
    }
    true
}

fn from_env<T: FromStr>(name: &str) -> Option<T> {
    let value = std::env::var(name).ok()?;
    value.parse().ok()
}
