//! Tests of the lease state machines.

mod choice;
mod world;

use std::sync::atomic::{AtomicU64, Ordering};

use crate::settings::Mutant;
use sesamecart_property::check_property;
use world::{Violation, World};

/// Two bytes are one event.
const BYTES: usize = 1_024;

/// How many runs of the same length a mutant may survive.
const MUTANT_RUNS: u64 = 20_000;

fn run(mutant: Option<Mutant>, bytes: &[u8]) -> (World, Result<(), Violation>) {
    let mut world = World::new(mutant);
    for event in bytes.chunks_exact(2) {
        if let Err(violation) = world.step(event[0], event[1]) {
            return (world, Err(violation));
        }
    }
    (world, Ok(()))
}

/// Nodes pause, restart, leave and suspect each other while the log is up and down, appends land
/// late and votes get lost. Were two nodes to act for one shard at once, a caller's booking could
/// run twice, and an endpoint would get orders from both.
#[test]
fn no_two_nodes_act_at_once() {
    let totals: [AtomicU64; 4] = Default::default();
    check_property(bolero::produce::<[u8; BYTES]>(), |bytes| {
        let (world, outcome) = run(None, bytes);
        assert_eq!(outcome, Ok(()));
        for (total, count) in totals.iter().zip(world.seen.counts()) {
            total.fetch_add(count, Ordering::Relaxed);
        }
    });
    let [events, acquired, changes, in_outage] = totals.map(|total| total.load(Ordering::Relaxed));
    println!("{events} events, {acquired} leases, {changes} looks at a changed holder,");
    println!("{in_outage} looks at a holder in an outage");
    assert!(acquired > 0 && changes > 0 && in_outage > 0);
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident;)*) => {
        $(#[test]
        fn $name() {
            assert_caught(Mutant::$mutant);
        })*
    };
}

mutants! {
    a_claimant_that_does_not_wait_is_caught: NoWait;
    a_claimant_that_asks_no_majority_is_caught: NoMajority;
    a_voter_that_forgets_is_caught: ForgetfulVoter;
    a_holder_that_extends_by_old_voters_is_caught: OldVoters;
    a_claimant_that_brings_its_own_voters_is_caught: NewVoters;
}

/// A rule is left out on purpose. If the events above didn't notice, they would prove nothing.
fn assert_caught(mutant: Mutant) {
    let mut rng = fastrand::Rng::with_seed(20_261_202);
    for count in 0..MUTANT_RUNS {
        let mut bytes = [0; BYTES];
        rng.fill(&mut bytes);
        if let (_, Err(violation)) = run(Some(mutant), &bytes) {
            println!("{mutant:?} caught in run {count}: {}", violation.0);
            return;
        }
    }
    panic!("{mutant:?} was not caught in {MUTANT_RUNS} runs");
}
