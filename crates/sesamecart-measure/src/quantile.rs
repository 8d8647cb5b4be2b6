//! Quantiles of measured values.

/// Returns the value at a quantile from 0 to 1 by the nearest rank; 0 when there are none.
///
/// # Examples
///
/// ```
/// use sesamecart_measure::quantile;
///
/// assert_eq!(quantile(&mut [3.0, 1.0, 2.0], 0.5), 2.0);
/// ```
pub fn quantile(values: &mut [f64], at: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a rank is a small positive whole number"
    )]
    let rank = (at * values.len() as f64).ceil().max(1.0) as usize;
    values.get(rank - 1).copied().unwrap_or(0.0)
}
