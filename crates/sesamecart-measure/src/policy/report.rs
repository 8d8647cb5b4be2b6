//! The report of `measure -- policy`: a table for people and a last line of JSON.

use indexmap::IndexMap;
use serde::Serialize;

use super::dispatch::Policy;
use super::outcome::Spread;
use super::play::Play;
use super::size::Deployment;

/// The figures of one policy in one play.
pub(super) type PolicyFigures = IndexMap<&'static str, Spread>;

/// One play at one size, under all policies.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PlayReport {
    #[serde(skip)]
    pub(super) deployment: Deployment,
    #[serde(skip)]
    pub(super) play: Play,
    pub(super) seeds: u64,
    pub(super) ours: PolicyFigures,
    pub(super) baselines: IndexMap<String, PolicyFigures>,
    pub(super) goals: Vec<Goal>,
}

/// A goal, and whether it was met.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Goal {
    pub(super) name: &'static str,
    pub(super) value: f64,
    pub(super) wanted: f64,
    pub(super) met: bool,
}

impl Goal {
    fn at_least(name: &'static str, value: f64, wanted: f64) -> Self {
        let met = value >= wanted;
        Self {
            name,
            value,
            wanted,
            met,
        }
    }

    fn at_most(name: &'static str, value: f64, wanted: f64) -> Self {
        let met = value <= wanted;
        Self {
            name,
            value,
            wanted,
            met,
        }
    }
}

/// The figures that are printed for people; the last line has all.
const COLUMNS: [(&str, &str); 18] = [
    ("goodput_per_s", "good/s"),
    ("trouble_goodput_per_s", "trouble/s"),
    ("good_share", "good"),
    ("good_interactive_share", "short"),
    ("good_long_share", "long"),
    ("good_batch_share", "batch"),
    ("ttft_p50_s", "ttft50"),
    ("ttft_p95_s", "ttft95"),
    ("ttft_p99_s", "ttft99"),
    ("gap_p95_ms", "gap95"),
    ("gap_p99_ms", "gap99"),
    ("actions_good_share", "actions"),
    ("jain", "jain"),
    ("small_customer_share", "small"),
    ("beyond_cold", "beyond"),
    ("refused", "refused"),
    ("failed", "failed"),
    ("prefix_hit_rate", "hits"),
];

impl PlayReport {
    pub(super) fn new(
        deployment: Deployment,
        play: Play,
        seeds: u64,
        mut by_policy: IndexMap<String, PolicyFigures>,
    ) -> Self {
        let ours = by_policy
            .shift_remove(&Policy::Ours.to_string())
            .expect("our policy is always run");
        let goals = goals(play, &ours, &by_policy);
        Self {
            deployment,
            play,
            seeds,
            ours,
            baselines: by_policy,
            goals,
        }
    }

    pub(super) fn name(&self) -> String {
        format!("{}.{}", self.deployment, self.play)
    }

    pub(super) fn print(&self) {
        println!(
            "\n{} ({} seeds, means +- standard deviation of good/s)",
            self.name(),
            self.seeds
        );
        print!("{:18}", "");
        for (_, title) in COLUMNS {
            print!("{title:>9}");
        }
        println!();
        print_row("ours", &self.ours);
        for (name, figures) in &self.baselines {
            print_row(name, figures);
        }
        for goal in &self.goals {
            let verdict = if goal.met { "met" } else { "MISSED" };
            println!(
                "  {verdict}: {} {:.4}, wanted {}",
                goal.name, goal.value, goal.wanted
            );
        }
    }
}

fn print_row(name: &str, figures: &PolicyFigures) {
    print!("{name:18}");
    for (figure, _) in COLUMNS {
        print!("{:9.3}", figures[figure].mean);
    }
    println!("  +-{:.2}", figures["goodput_per_s"].sd());
}

fn goals(
    play: Play,
    ours: &PolicyFigures,
    baselines: &IndexMap<String, PolicyFigures>,
) -> Vec<Goal> {
    let best = baselines
        .values()
        .map(|figures| figures["goodput_per_s"].mean);
    let best = best.fold(0.0, f64::max);
    let ratio = ours["goodput_per_s"].mean / best;
    let wanted = match play {
        Play::DomainMove
        | Play::DomainMoveAtPeak
        | Play::DomainInBurst
        | Play::SuddenCold
        | Play::SuddenColdAtPeak
        | Play::Saturation => 1.2,
        _ => 1.0,
    };
    let mut goals = vec![
        Goal::at_least("goodput against the best baseline", ratio, wanted),
        Goal::at_least(
            "actions within deadline",
            ours["actions_good_share"].mean,
            0.999,
        ),
        Goal::at_most(
            "work beyond what cold endpoints bear",
            ours["beyond_cold"].max(),
            0.0,
        ),
    ];
    if play == Play::TwoCustomers {
        let small = ours["small_customer_share"].min();
        goals.push(Goal::at_least("small customers' share", small, 0.95));
    }
    if play == Play::Steady {
        goals.push(Goal::at_most(
            "p95 time to first token",
            ours["ttft_p95_s"].mean,
            0.58,
        ));
        goals.push(Goal::at_most(
            "p95 time between tokens",
            ours["gap_p95_ms"].mean,
            32.0,
        ));
    }
    goals
}
