//! `measure -- groups`: group downtime and stranded accelerators over a day of faults.
//!
//! The real controller and the real fold run in virtual time against a small fake of the platform,
//! beside two baselines under the same faults. docs/design/groups.md has the results.

mod cost;
mod day;
mod faults;
mod layout;
mod log;
mod platform;
mod policy;
mod rebuild;
mod summary;
mod tally;

use std::sync::Mutex;

use gumdrop::Options;

use day::Day;
use faults::Kind;
use layout::{SIZES, Size};
use policy::Policy;
use summary::{Run, Summary};

/// What `measure -- groups` takes.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "number of seeds", default = "10")]
    seeds: u64,
    #[options(help = "threads to use", default = "3")]
    threads: usize,
    #[options(help = "only this deployment")]
    only: Option<String>,
    #[options(help = "also each kind of fault alone, and ours with parts switched off")]
    parts: bool,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error for arguments that can't be read.
pub fn run(options: &Arguments) -> anyhow::Result<()> {
    let sizes = SIZES.iter().filter(|size| {
        let only = options.only.as_ref();
        only.is_none_or(|only| size.name == only)
    });
    let mut summary = Summary::default();
    for size in sizes {
        summary.add(
            size.name,
            "day",
            play(size, &Kind::ALL, &Policy::COMPARED, options),
        );
        if !options.parts {
            continue;
        }
        summary.add(
            size.name,
            "parts",
            play(size, &Kind::ALL, &Policy::ABLATIONS, options),
        );
        for kind in Kind::ALL {
            let name = format!("{kind:?}").to_lowercase();
            summary.add(
                size.name,
                &name,
                play(size, &[kind], &Policy::COMPARED, options),
            );
        }
    }
    summary.print();
    Ok(())
}

/// Plays all seeds under all policies on a few threads.
fn play(size: &Size, kinds: &[Kind], policies: &[Policy], options: &Arguments) -> Vec<Run> {
    let jobs: Vec<(u64, Policy)> = (1..=options.seeds)
        .flat_map(|seed| policies.iter().map(move |policy| (seed, *policy)))
        .collect();
    let layout = size.lay_out();
    let open = Mutex::new(jobs.into_iter());
    let runs = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let job = open.lock().expect("no thread panics with the lock").next();
                    let Some((seed, policy)) = job else {
                        return;
                    };
                    let faults = faults::day(size, &layout, kinds, seed);
                    let tally = Day::begin(&layout, policy).play(&faults);
                    let run = Run {
                        seed,
                        policy,
                        tally,
                    };
                    runs.lock()
                        .expect("no thread panics with the lock")
                        .push(run);
                }
            });
        }
    });
    let mut runs = runs.into_inner().expect("all threads have ended");
    runs.sort_by_key(|run| (run.seed, run.policy.to_string()));
    runs
}
