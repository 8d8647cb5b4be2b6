//! Fault plans: which faults are in force when, and the seed that decides each chance.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use fastrand::Rng;

/// Faults that come into force some time after the stand-in's start.
#[derive(Clone, Debug)]
pub struct FaultStep<F> {
    /// The time from the start.
    pub after: Duration,
    /// The faults from then on, in place of the earlier ones.
    pub faults: F,
}

/// A seeded script of faults.
#[derive(Clone, Debug)]
pub struct FaultPlan<F> {
    /// The seed of every chance that the faults name.
    pub seed: u64,
    /// The steps in the order of their times; before the first there are no faults.
    pub steps: Vec<FaultStep<F>>,
}

impl<F> FaultPlan<F> {
    /// Makes a plan without faults.
    #[must_use]
    pub const fn none(seed: u64) -> Self {
        Self {
            seed,
            steps: Vec::new(),
        }
    }

    /// Makes a plan with the same faults all the time.
    #[must_use]
    pub fn steady(seed: u64, faults: F) -> Self {
        let after = Duration::ZERO;
        Self {
            seed,
            steps: vec![FaultStep { after, faults }],
        }
    }
}

impl<F> Default for FaultPlan<F> {
    fn default() -> Self {
        Self::none(0)
    }
}

/// A fault plan in play, shared by a stand-in's connections and the handle that changes it.
#[derive(Debug)]
pub(crate) struct Faulty<F> {
    begun: Instant,
    steps: Mutex<Vec<FaultStep<F>>>,
    rng: Mutex<Rng>,
}

impl<F: Clone + Default> Faulty<F> {
    pub(crate) fn new(plan: FaultPlan<F>) -> Self {
        Self {
            begun: Instant::now(),
            steps: Mutex::new(plan.steps),
            rng: Mutex::new(Rng::with_seed(plan.seed)),
        }
    }

    /// Returns the faults that are in force now.
    pub(crate) fn current(&self) -> F {
        let elapsed = self.begun.elapsed();
        let steps = self.steps.lock().unwrap();
        let step = steps.iter().rev().find(|step| step.after <= elapsed);
        step.map(|step| step.faults.clone()).unwrap_or_default()
    }

    /// Replaces the script by `faults` from now on.
    pub(crate) fn set(&self, faults: F) {
        let after = Duration::ZERO;
        *self.steps.lock().unwrap() = vec![FaultStep { after, faults }];
    }

    /// Draws whether something of this probability happens.
    pub(crate) fn chance(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().unwrap().f64() < probability
    }

    /// Draws a number below `end`, or 0 if `end` is 0.
    pub(crate) fn below(&self, end: u64) -> u64 {
        self.rng.lock().unwrap().u64(..end.max(1))
    }
}
