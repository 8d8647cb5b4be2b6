//! The valid ranges of the thresholds.

use std::ops::RangeInclusive;

use super::{DecisionSettings, ThresholdError};

impl DecisionSettings {
    /// Checks that each threshold is in its valid range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first threshold out of range.
    pub fn check(&self) -> Result<(), ThresholdError> {
        self.check_admission()?;
        self.check_allowance()?;
        self.check_routing()?;
        check_range("retry.budget", self.retry.budget, 0.0..=1.0)?;
        check_range("retry.max_saved", self.retry.max_saved, 1.0..=10_000.0)?;
        check_range("retry.max_attempts", self.retry.max_attempts, 1.0..=10.0)
    }

    fn check_admission(&self) -> Result<(), ThresholdError> {
        let cfg = &self.admission;
        check_range("admission.max_waiting", cfg.max_waiting as f64, 1.0..=1e6)?;
        check_range(
            "admission.max_waiting_bytes",
            cfg.max_waiting_bytes as f64,
            1.0..=1e12,
        )?;
        check_range("admission.stretch", cfg.stretch, 0.0..=100.0)?;
        check_range("admission.lookahead", cfg.lookahead as f64, 1.0..=1_000.0)?;
        check_range("admission.max_bypasses", cfg.max_bypasses, 1.0..=1e6)?;
        check_range(
            "admission.drain_window_ms",
            cfg.drain_window_ms as f64,
            10.0..=10_000.0,
        )?;
        let max_retry_after = cfg.max_retry_after_ms as f64;
        check_range(
            "admission.max_retry_after_ms",
            max_retry_after,
            1.0..=3_600_000.0,
        )?;
        check_range(
            "admission.min_retry_after_ms",
            cfg.min_retry_after_ms as f64,
            1.0..=max_retry_after,
        )
    }

    fn check_allowance(&self) -> Result<(), ThresholdError> {
        let cfg = &self.allowance;
        check_range("allowance.slice_ms", cfg.slice_ms as f64, 100.0..=10_000.0)?;
        let half_slice = cfg.slice_ms as f64 / 2.0;
        check_range("allowance.renew_ms", cfg.renew_ms as f64, 10.0..=half_slice)?;
        check_range(
            "allowance.borrow_gap_ms",
            cfg.borrow_gap_ms as f64,
            1.0..=half_slice,
        )?;
        check_range(
            "allowance.linger_ms",
            cfg.linger_ms as f64,
            0.0..=3_600_000.0,
        )?;
        check_range(
            "allowance.suspect_ms",
            cfg.suspect_ms as f64,
            0.0..=half_slice,
        )?;
        check_range("allowance.sign_ms", cfg.sign_ms as f64, 1.0..=600_000.0)?;
        let timeout = cfg.borrow_timeout_ms as f64;
        check_range("allowance.borrow_timeout_ms", timeout, 1.0..=half_slice)?;
        check_range("allowance.drift", cfg.drift, 0.0..=1.0)?;
        check_range("allowance.step_ms", cfg.step_ms as f64, 10.0..=60_000.0)?;
        check_range("allowance.growth", cfg.growth, 1.01..=4.0)?;
        check_range("allowance.decrease", cfg.decrease, 0.1..=0.99)?;
        check_range("allowance.tolerance", cfg.tolerance, 1.0..=100.0)?;
        check_range(
            "allowance.token_gap_ms",
            cfg.token_gap_ms as f64,
            1.0..=10_000.0,
        )?;
        let latency = cfg.service_latency_ms as f64;
        check_range("allowance.service_latency_ms", latency, 1.0..=600_000.0)?;
        check_range("allowance.cold_latency", cfg.cold_latency, 1.0..=1_000.0)?;
        check_range("allowance.growth_use", cfg.growth_use, 0.0..=1.0)
    }

    fn check_routing(&self) -> Result<(), ThresholdError> {
        let cfg = &self.routing;
        check_range(
            "routing.nodes_per_endpoint",
            cfg.nodes_per_endpoint as f64,
            1.0..=1_000.0,
        )?;
        check_range("routing.max_subset", cfg.max_subset as f64, 1.0..=1_000.0)?;
        check_range(
            "routing.min_subset",
            cfg.min_subset as f64,
            1.0..=cfg.max_subset as f64,
        )?;
        check_range("routing.max_prefixes", cfg.max_prefixes as f64, 1.0..=1e6)?;
        check_range("routing.affinity_bound", cfg.affinity_bound, 1.0..=100.0)?;
        check_range("routing.spill_below", cfg.spill_below, 0.0..=1.0)?;
        check_range("routing.eject_latency", cfg.eject_latency, 1.1..=1_000.0)?;
        check_range("routing.eject_failures", cfg.eject_failures, 1.0..=1_000.0)?;
        check_range("routing.eject_ms", cfg.eject_ms as f64, 1.0..=600_000.0)?;
        check_range("routing.max_ejected", cfg.max_ejected, 0.0..=0.5)
    }
}

fn check_range(
    field: &'static str,
    value: impl Into<f64>,
    range: RangeInclusive<f64>,
) -> Result<(), ThresholdError> {
    let value = value.into();
    if range.contains(&value) {
        return Ok(());
    }
    Err(ThresholdError {
        field,
        value,
        low: *range.start(),
        high: *range.end(),
    })
}
