//! Tests of the lease state machines.

mod placement;
mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};

use crate::settings::Mutant;
use sesamecart_property::check_property;
use simulation::{Simulation, Violation};

/// The number of input bytes in one run; two bytes encode one event.
const BYTES: usize = 1_024;

/// The number of runs within which each mutant must be detected.
const MUTANT_RUNS: u64 = 20_000;

fn run(mutant: Option<Mutant>, bytes: &[u8]) -> (Simulation, Result<(), Violation>) {
    let mut simulation = Simulation::new(mutant);
    for event in bytes.chunks_exact(2) {
        if let Err(violation) = simulation.step(event[0], event[1]) {
            return (simulation, Err(violation));
        }
    }
    (simulation, Ok(()))
}

/// Nodes pause, restart, leave and suspect each other, the log becomes unavailable, appends take effect late,
/// and votes are lost. Guards against two nodes that act for one shard at once: a caller's action could then
/// run twice, and an endpoint would receive requests from both nodes.
#[test]
fn at_most_one_node_acts() {
    let totals: [AtomicU64; 4] = Default::default();
    check_property(bolero::produce::<[u8; BYTES]>(), |bytes| {
        let (simulation, outcome) = run(None, bytes);
        assert_eq!(outcome, Ok(()));
        for (total, count) in totals.iter().zip(simulation.coverage.counts()) {
            total.fetch_add(count, Ordering::Relaxed);
        }
    });
    let [events, acquired, changes, in_outage] = totals.map(|total| total.load(Ordering::Relaxed));
    println!(
        "{events} events, {acquired} leases acquired, {changes} checks after a change of holder,"
    );
    println!("{in_outage} checks of a holder during an outage");
    assert!(acquired > 0 && changes > 0 && in_outage > 0);
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident;)*) => {
        $(#[test]
        fn $name() {
            assert_detected(Mutant::$mutant);
        })*
    };
}

mutants! {
    claimant_without_takeover_wait_is_detected: NoWait;
    claimant_without_voter_majority_is_detected: NoMajority;
    voter_that_votes_before_reading_the_log_is_detected: VotesBeforeLogRead;
    holder_that_extends_by_old_voters_is_detected: ExtendsByOldVoters;
    claimant_that_replaces_the_voters_is_detected: ReplacesVoters;
}

/// Checks that random events detect the omission of a rule; otherwise the test above would prove nothing.
fn assert_detected(mutant: Mutant) {
    let mut rng = fastrand::Rng::with_seed(20_261_202);
    for count in 0..MUTANT_RUNS {
        let mut bytes = [0; BYTES];
        rng.fill(&mut bytes);
        if let (_, Err(violation)) = run(Some(mutant), &bytes) {
            println!("{mutant:?} detected in run {count}: {}", violation.0);
            return;
        }
    }
    panic!("{mutant:?} was not detected in {MUTANT_RUNS} runs");
}
