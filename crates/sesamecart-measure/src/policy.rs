//! `measure -- policy`: the decisions under load against simpler ones, in virtual time.
//!
//! The code that is measured is that of `sesamecart-decisions`; the endpoints are a small model, and
//! the only network is the delay of messages. docs/policy.md reads the figures.

mod baseline;
mod dispatch;
mod endpoint;
mod job;
mod ours;
mod outcome;
mod play;
mod plot;
mod report;
mod run;
mod size;
mod speed;

#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use gumdrop::Options;
use indexmap::IndexMap;
use serde_json::json;
use sesamecart_decisions::settings::DecisionSettings;

use dispatch::Policy;
use outcome::Figures;
use play::Play;
use report::PlayReport;
use run::Run;
use size::Deployment;

/// Options of `measure -- policy`.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Two seeds each and no target size.
    #[options(no_short, help = "two seeds each, without the target's size")]
    quick: bool,
    /// Draw the plays.
    #[options(no_short, meta = "FILE", help = "draw the plays into an SVG file")]
    plot: Option<PathBuf>,
    /// Play only plays or sizes whose name holds this text.
    #[options(
        no_short,
        meta = "TEXT",
        help = "only plays whose name holds this text"
    )]
    only: Option<String>,
    /// A JSON file with the decisions' settings.
    #[options(no_short, meta = "FILE", help = "settings of the decisions as JSON")]
    settings: Option<PathBuf>,
    /// The number of threads.
    #[options(no_short, meta = "N", default = "8", help = "threads (default 8)")]
    threads: usize,
}

/// One run to be done.
#[derive(Clone, Copy, Debug)]
struct Task {
    deployment: Deployment,
    play: Play,
    policy: Policy,
    seed: u64,
}

/// Runs the plays and prints the report.
///
/// # Errors
///
/// Returns an error if settings can't be used or the drawing can't be written.
pub fn run(options: &Arguments) -> anyhow::Result<()> {
    let cfg = settings(options)?;
    let tasks = tasks(options);
    let figures = run_all(&tasks, cfg, options.threads.max(1));
    let reports = gather(&tasks, &figures);
    for report in &reports {
        report.print();
    }
    let speed = speed::measure();
    println!(
        "\ndecision time a request at 660 endpoints: {:.2} us with free permits, {:.2} us with a \
         full queue, {:.2} us without subsets",
        speed.subset_us, speed.queue_us, speed.all_us
    );
    let missed: usize = reports
        .iter()
        .flat_map(|report| &report.goals)
        .filter(|goal| !goal.met)
        .count();
    println!("goals missed: {missed}");
    if let Some(path) = &options.plot {
        plot::draw(path, &reports)?;
    }
    let plays: IndexMap<String, &PlayReport> = reports
        .iter()
        .map(|report| (report.name(), report))
        .collect();
    println!(
        "{}",
        json!({"plays": plays, "decision_time": speed, "goals_missed": missed})
    );
    Ok(())
}

fn settings(options: &Arguments) -> anyhow::Result<DecisionSettings> {
    let Some(path) = &options.settings else {
        return Ok(DecisionSettings::default());
    };
    let cfg: DecisionSettings = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    cfg.check()?;
    Ok(cfg)
}

fn tasks(options: &Arguments) -> Vec<Task> {
    let mut tasks = Vec::new();
    for deployment in Deployment::ALL {
        if options.quick && deployment == Deployment::Target {
            continue;
        }
        let seeds = if options.quick {
            2
        } else {
            deployment.size().seeds
        };
        for play in Play::ALL {
            let name = format!("{deployment}.{play}");
            if options
                .only
                .as_ref()
                .is_some_and(|only| !name.contains(only))
            {
                continue;
            }
            for policy in Policy::ALL {
                tasks.extend((0..seeds).map(|seed| Task {
                    deployment,
                    play,
                    policy,
                    seed,
                }));
            }
        }
    }
    tasks
}

fn run_all(tasks: &[Task], cfg: DecisionSettings, threads: usize) -> Vec<Figures> {
    // The largest first, so that no thread is left with a long one at the end.
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![Figures::new(); tasks.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(index) = tasks
                    .len()
                    .checked_sub(next.fetch_add(1, Ordering::Relaxed) + 1)
                {
                    let task = tasks[index];
                    let size = task.deployment.size();
                    let run = Run::new(task.play, &size, task.policy, cfg, 1_000 + task.seed);
                    let figures = outcome::figures(&run.finish(), &size);
                    done.lock().expect("no run panics")[index] = figures;
                }
            });
        }
    });
    done.into_inner().expect("no run panics")
}

fn gather(tasks: &[Task], figures: &[Figures]) -> Vec<PlayReport> {
    let mut by_play: IndexMap<String, Vec<usize>> = IndexMap::new();
    for (index, task) in tasks.iter().enumerate() {
        let name = format!("{}.{}", task.deployment, task.play);
        by_play.entry(name).or_default().push(index);
    }
    let report = |indices: Vec<usize>| {
        let mut runs: IndexMap<String, Vec<Figures>> = IndexMap::new();
        for index in &indices {
            let policy = tasks[*index].policy.to_string();
            runs.entry(policy)
                .or_default()
                .push(figures[*index].clone());
        }
        let seeds = runs.values().map(Vec::len).max().unwrap_or(0) as u64;
        let spreads = runs
            .into_iter()
            .map(|(policy, runs)| (policy, outcome::spreads(&runs)));
        let task = tasks[indices[0]];
        PlayReport::new(task.deployment, task.play, seeds, spreads.collect())
    };
    by_play.into_values().map(report).collect()
}
