use super::dispatch::Policy;
use super::job::Job;
use super::outcome;
use super::play::Play;
use super::run::Run;
use super::size::{Deployment, Size};
use sesamecart_decisions::settings::DecisionSettings;

/// A small deployment, so that a play takes a moment.
fn small() -> Size {
    Size {
        nodes: 3,
        engines: 6,
        seconds: 24,
        ..Deployment::Barka.size()
    }
}

fn play(play: Play, policy: Policy) -> outcome::Figures {
    let size = small();
    let run = Run::new(play, &size, policy, DecisionSettings::default(), 7);
    outcome::figures(&run.finish(), &size)
}

#[test]
fn every_request_has_a_fate() {
    let size = small();
    for policy in Policy::ALL {
        let run = Run::new(Play::Burst, &size, policy, DecisionSettings::default(), 7);
        let open = |job: &&Job| job.fate == super::job::Fate::Open;
        let finished = run.finish();
        assert_eq!(finished.jobs.iter().filter(open).count(), 0, "{policy}");
    }
}

#[test]
fn a_run_is_the_same_each_time() {
    let first = play(Play::SuddenCold, Policy::Ours);
    assert_eq!(first, play(Play::SuddenCold, Policy::Ours));
}

/// Without faults and within what the pool can do, nearly every caller is answered in time.
#[test]
fn steady_load_is_served() {
    let figures = play(Play::Steady, Policy::Ours);
    assert!(figures["good_share"] > 0.99, "{figures:?}");
}
