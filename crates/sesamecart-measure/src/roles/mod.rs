//! `measure -- roles`: what each role's pure code costs at growing sizes, up to the target's.
//!
//! The code of a role reads no clock and no network, so it runs here at the target's real size on one
//! machine. Links and sockets are measured by `measure -- control` and `measure -- path`; together
//! they make docs/CAPACITY.md.

mod actions;
mod allowance;
mod fleet;
mod follower;
mod leases;

use std::hint::black_box;
use std::time::{Duration, Instant};

use gumdrop::Options;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::fit::Fit;

/// How long one point is measured for.
const POINT: Duration = Duration::from_millis(60);

/// What `measure -- roles` takes.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// One size and what was measured there.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A cost over growing sizes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// What the sizes count.
    pub over: String,
    /// The unit of the values.
    pub unit: String,
    /// The points.
    pub points: Vec<Point>,
    /// The line through the points.
    pub fit: Fit,
}

impl Series {
    fn new(over: &str, unit: &str, points: Vec<Point>) -> Self {
        let fit = Fit::of(&points);
        Self {
            over: over.to_owned(),
            unit: unit.to_owned(),
            points,
            fit,
        }
    }

    /// Measures the microseconds of one call of what `prepare` makes, at each size.
    fn time<C>(over: &str, sizes: &[usize], mut prepare: impl FnMut(usize) -> C) -> Self
    where
        C: FnMut(),
    {
        let points = sizes.iter().map(|size| {
            let mut call = prepare(*size);
            Point {
                size: to_f64(*size),
                value: micros_per_call(&mut call),
            }
        });
        Self::new(over, "us", points.collect())
    }
}

/// Returns the microseconds of one call, the least of three rounds so that another process's turn on
/// the core doesn't count.
fn micros_per_call(call: &mut impl FnMut()) -> f64 {
    call();
    (0..3).map(|_| round(call)).fold(f64::INFINITY, f64::min)
}

fn round(call: &mut impl FnMut()) -> f64 {
    let begun = Instant::now();
    let mut calls = 0_u32;
    while begun.elapsed() < POINT {
        call();
        calls += 1;
    }
    black_box(begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls))
}

/// Measures and prints all roles.
///
/// # Errors
///
/// Returns an error when the result can't be written as JSON.
pub fn run(_arguments: &Arguments) -> anyhow::Result<()> {
    let mut series = IndexMap::new();
    follower::measure(&mut series);
    leases::measure(&mut series);
    allowance::measure(&mut series);
    actions::measure(&mut series);
    for (name, series) in &series {
        println!("{name} ({} over {})", series.unit, series.over);
        for point in &series.points {
            println!("  {:>8} {:>14.3}", point.size, point.value);
        }
        println!("  {}", series.fit);
    }
    println!("{}", serde_json::to_string(&series)?);
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^53")]
fn to_f64(size: usize) -> f64 {
    size as f64
}
