//! What callers got out of a run, and its spread over seeds.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use sesamecart_vocabulary::{RequestClass, Timestamp};

use super::job::{Fate, Job};
use super::ours::cost;
use super::run::{Finished, LEAD_IN};
use super::size::Size;
use crate::quantile;

/// The figures of one run, or their means over seeds.
pub(super) type Figures = IndexMap<&'static str, f64>;

/// A figure's spread over seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Spread {
    pub(super) mean: f64,
    sd: f64,
    min: f64,
    max: f64,
}

impl Spread {
    pub(super) const fn sd(&self) -> f64 {
        self.sd
    }

    pub(super) const fn min(&self) -> f64 {
        self.min
    }

    pub(super) const fn max(&self) -> f64 {
        self.max
    }

    fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let variance = values
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>();
        Self {
            mean: round(mean),
            sd: round((variance / (count - 1.0).max(1.0)).sqrt()),
            min: round(values.iter().copied().fold(f64::INFINITY, f64::min)),
            max: round(values.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
        }
    }
}

/// Returns the spread of each figure over runs.
pub(super) fn spreads(runs: &[Figures]) -> IndexMap<&'static str, Spread> {
    let names = runs.first().into_iter().flat_map(|run| run.keys().copied());
    let spread = |name: &'static str| {
        let values: Vec<_> = runs.iter().map(|run| run[name]).collect();
        (name, Spread::of(&values))
    };
    names.map(spread).collect()
}

/// Counts one run.
pub(super) fn figures(finished: &Finished, size: &Size) -> Figures {
    let jobs = &finished.jobs;
    let good = jobs.iter().filter(|job| job.is_good()).count() as f64;
    let actions: Vec<&Job> = jobs.iter().filter(|job| job.is_action()).collect();
    let good_actions = actions.iter().filter(|job| job.is_good()).count() as f64;
    let fate = |fate: Fate| jobs.iter().filter(|job| job.fate == fate).count() as f64;
    let mut first: Vec<f64> = jobs.iter().filter_map(first_token_s).collect();
    let mut gaps: Vec<f64> = jobs.iter().filter_map(gap_ms).collect();
    let beyond: u64 = finished
        .endpoints
        .iter()
        .map(|endpoint| endpoint.beyond)
        .sum();
    let hits: u64 = finished
        .endpoints
        .iter()
        .map(|endpoint| endpoint.hits)
        .sum();
    let lookups: u64 = finished
        .endpoints
        .iter()
        .map(|endpoint| endpoint.lookups)
        .sum();
    let shares = Shares::of(jobs, size.customers);
    IndexMap::from([
        ("goodput_per_s", good / size.seconds as f64),
        ("good_share", good / jobs.len() as f64),
        ("trouble_goodput_per_s", trouble_goodput(jobs, size)),
        (
            "good_interactive_share",
            good_share(jobs, |job| is_short(job, RequestClass::Interactive)),
        ),
        (
            "good_long_share",
            good_share(jobs, |job| job.answer >= LONG_ANSWER && !is_batch(job)),
        ),
        ("good_batch_share", good_share(jobs, is_batch)),
        ("ttft_p50_s", quantile(&mut first, 0.5)),
        ("ttft_p95_s", quantile(&mut first, 0.95)),
        ("ttft_p99_s", quantile(&mut first, 0.99)),
        ("gap_p50_ms", quantile(&mut gaps, 0.5)),
        ("gap_p95_ms", quantile(&mut gaps, 0.95)),
        ("gap_p99_ms", quantile(&mut gaps, 0.99)),
        (
            "actions_good_share",
            good_actions / actions.len().max(1) as f64,
        ),
        ("jain", shares.jain()),
        ("small_customer_share", shares.smallest()),
        ("beyond_cold", beyond as f64),
        ("refused", fate(Fate::Refused)),
        ("abandoned", fate(Fate::Abandoned)),
        ("failed", fate(Fate::Failed)),
        ("prefix_hit_rate", hits as f64 / lookups.max(1) as f64),
    ])
}

/// Answers from this many tokens on are long.
const LONG_ANSWER: u64 = 300;

fn is_short(job: &Job, class: RequestClass) -> bool {
    job.class == class && job.answer < LONG_ANSWER
}

fn is_batch(job: &Job) -> bool {
    job.class == RequestClass::Batch
}

fn good_share(jobs: &[Job], counts: impl Fn(&Job) -> bool) -> f64 {
    let all = jobs.iter().filter(|job| counts(job));
    let (mut good, mut count) = (0_u64, 0_u64);
    for job in all {
        count += 1;
        good += u64::from(job.is_good());
    }
    if count == 0 {
        1.0
    } else {
        good as f64 / count as f64
    }
}

/// Counts only requests that arrive while a play's trouble lasts and for a sixth of the run after
/// it, so that the calm before and after doesn't hide what the trouble does.
fn trouble_goodput(jobs: &[Job], size: &Size) -> f64 {
    let begin = Timestamp::from_millis(size.begin_s() * 1_000) + LEAD_IN;
    let length = Duration::from_secs(size.end_s() - size.begin_s() + size.seconds / 6);
    let inside = |job: &&Job| job.arrived >= begin && job.arrived < begin + length;
    let good = jobs.iter().filter(inside).filter(|job| job.is_good());
    good.count() as f64 / length.as_secs_f64()
}

/// Interactive requests only: nobody waits for the first token of the others.
fn first_token_s(job: &Job) -> Option<f64> {
    let interactive = job.class == RequestClass::Interactive;
    let first = job.first_token.filter(|_| interactive)?;
    Some((first - job.arrived).as_secs_f64())
}

/// The mean time between two tokens of one answer.
fn gap_ms(job: &Job) -> Option<f64> {
    let Fate::Answered(ended) = job.fate else {
        return None;
    };
    let first = job.first_token.filter(|_| job.answer > 1)?;
    Some((ended - first).as_secs_f64() * 1e3 / (job.answer - 1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// What each customer got of what it should have: of the work done in time, the max-min fair share.
struct Shares {
    got: Vec<f64>,
    fair: Vec<f64>,
    asked: Vec<f64>,
}

impl Shares {
    fn of(jobs: &[Job], customers: usize) -> Self {
        let mut got = vec![0.0; customers];
        let mut asked = vec![0.0; customers];
        for job in jobs.iter().filter(|job| !job.is_action()) {
            asked[job.customer] += cost(job) as f64;
            if job.is_good() {
                got[job.customer] += cost(job) as f64;
            }
        }
        let fair = max_min(&asked, got.iter().sum());
        Self { got, fair, asked }
    }

    fn ratios(&self) -> impl Iterator<Item = f64> {
        let both = self.got.iter().zip(&self.fair);
        both.map(|(got, fair)| if *fair > 0.0 { got / fair } else { 1.0 })
    }

    fn jain(&self) -> f64 {
        let count = self.got.len() as f64;
        let sum: f64 = self.ratios().sum();
        let squares: f64 = self.ratios().map(|ratio| ratio * ratio).sum();
        sum * sum / (count * squares).max(f64::MIN_POSITIVE)
    }

    /// Returns the least that a customer which asked for less than an even part got of its share.
    fn smallest(&self) -> f64 {
        let even = self.got.iter().sum::<f64>() / self.got.len() as f64;
        let small = self.ratios().zip(&self.asked);
        let small = small.filter(|(_, asked)| **asked < even);
        small.map(|(ratio, _)| ratio).fold(1.0, f64::min)
    }
}

/// Divides `total` so that nobody gets more than asked for and the least gets as much as possible.
fn max_min(asked: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut fair = vec![0.0; asked.len()];
    let mut left = total;
    for (index, customer) in order.iter().enumerate() {
        let even = left / (asked.len() - index) as f64;
        fair[*customer] = asked[*customer].min(even);
        left -= fair[*customer];
    }
    fair
}
