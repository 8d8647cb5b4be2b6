//! Tables for reading, and one JSON line of ratios with their spread.

use serde_json::{Map, Value, json};

use super::policy::Policy;
use super::tally::Tally;

/// One day's cost under one policy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) seed: u64,
    pub(super) policy: Policy,
    pub(super) tally: Tally,
}

/// All results.
#[derive(Debug, Default)]
pub(super) struct Summary {
    results: Map<String, Value>,
}

/// A measure of a tally.
type Measure = fn(&Tally) -> f64;

const MEASURES: [(&str, Measure); 5] = [
    ("group_downtime", |tally| tally.group_downtime_s),
    ("avoidable_downtime", |tally| {
        tally.group_downtime_s - tally.floor_s
    }),
    ("weighted_downtime", |tally| tally.weighted_downtime_s),
    ("stranded", |tally| tally.stranded_accelerator_s),
    ("model_out", |tally| tally.model_out_s),
];

impl Summary {
    /// Prints one deployment's table and keeps its ratios.
    pub(super) fn add(&mut self, size: &str, faults: &str, runs: Vec<Run>) {
        println!("\n{size}, {faults}");
        println!(
            "seed policy               down_s  floor_s  weighted_s  stranded_acc_s  model_out_s  exposed_s  records"
        );
        for run in &runs {
            let tally = &run.tally;
            println!(
                "{:4} {:20} {:8.0} {:8.0} {:11.0} {:15.0} {:12.0} {:10.0} {:8.0}",
                run.seed,
                run.policy.to_string(),
                tally.group_downtime_s,
                tally.floor_s,
                tally.weighted_downtime_s,
                tally.stranded_accelerator_s,
                tally.model_out_s,
                tally.exposed_s,
                tally.records,
            );
        }
        let mut result = Map::new();
        for (name, measure) in MEASURES {
            for baseline in [Policy::Wait, Policy::Rebuild] {
                if let Some(ratio) = ratio(&runs, baseline, measure) {
                    println!("{name} ours/{baseline}: {ratio}");
                    result.insert(format!("{name}_vs_{baseline}"), ratio);
                }
            }
        }
        for policy in Policy::COMPARED.into_iter().chain(Policy::ABLATIONS) {
            if let Some(mean) = means(&runs, policy) {
                result.insert(policy.to_string(), mean);
            }
        }
        self.results
            .insert(format!("{size}.{faults}"), Value::Object(result));
    }

    /// Prints the last line.
    pub(super) fn print(self) {
        println!("{}", Value::Object(self.results));
    }
}

/// Returns ours over the baseline's as the ratio of sums, with the least, middle and greatest ratio
/// of single seeds.
fn ratio(runs: &[Run], baseline: Policy, measure: Measure) -> Option<Value> {
    let of = |policy: Policy| -> Vec<f64> {
        let runs = runs.iter().filter(|run| run.policy == policy);
        runs.map(|run| measure(&run.tally)).collect()
    };
    let (ours, theirs) = (of(Policy::Ours), of(baseline));
    let total: f64 = theirs.iter().sum();
    if ours.is_empty() || total == 0.0 {
        return None;
    }
    let pairs = ours
        .iter()
        .zip(&theirs)
        .filter(|(_, theirs)| **theirs > 0.0);
    let mut ratios: Vec<f64> = pairs.map(|(ours, theirs)| ours / theirs).collect();
    ratios.sort_by(f64::total_cmp);
    Some(json!({
        "ratio": rounded(ours.iter().sum::<f64>() / total),
        "min": rounded(*ratios.first()?),
        "median": rounded(ratios[ratios.len() / 2]),
        "max": rounded(*ratios.last()?),
        "seeds": ratios.len(),
    }))
}

fn means(runs: &[Run], policy: Policy) -> Option<Value> {
    let runs: Vec<&Run> = runs.iter().filter(|run| run.policy == policy).collect();
    let count = runs.len() as f64;
    let mean = |measure: Measure| {
        let sum: f64 = runs.iter().map(|run| measure(&run.tally)).sum();
        (sum / count).round()
    };
    (!runs.is_empty()).then(|| {
        json!({
            "group_downtime_s": mean(|tally| tally.group_downtime_s),
            "floor_s": mean(|tally| tally.floor_s),
            "weighted_downtime_s": mean(|tally| tally.weighted_downtime_s),
            "stranded_accelerator_s": mean(|tally| tally.stranded_accelerator_s),
            "model_out_s": mean(|tally| tally.model_out_s),
            "exposed_s": mean(|tally| tally.exposed_s),
            "records": mean(|tally| tally.records),
        })
    })
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
