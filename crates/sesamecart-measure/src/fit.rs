//! Straight lines through measured points, from which figures at the target's size follow.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::roles::Point;

/// The line of least squares through some points.
///
/// # Examples
///
/// ```
/// use sesamecart_measure::{Fit, Point};
///
/// let points = [Point { size: 1.0, value: 3.0 }, Point { size: 2.0, value: 5.0 }];
/// assert!((Fit::of(&points).at(10.0) - 21.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Display, Serialize, Deserialize)]
#[display("{base:.4} + {slope:.6} * size, at most {spread:.4} off")]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The largest distance of a point from the line.
    pub spread: f64,
}

impl Fit {
    /// Fits a line; through less than two sizes it is flat.
    #[must_use]
    pub fn of(points: &[Point]) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread_of_sizes: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = if spread_of_sizes > 0.0 {
            together / spread_of_sizes
        } else {
            0.0
        };
        let line = Self {
            base: mean_value - slope * mean_size,
            slope,
            spread: 0.0,
        };
        let spread = points
            .iter()
            .map(|point| (point.value - line.at(point.size)).abs())
            .fold(0.0, f64::max);
        Self { spread, ..line }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
