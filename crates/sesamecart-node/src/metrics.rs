//! What a node counts, exported for Prometheus by opentelemetry; docs/metrics.md lists it.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};
use sesamecart_vocabulary::RequestClass;

/// The counters of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
}

impl Metrics {
    /// Makes counters that start at zero.
    ///
    /// # Errors
    ///
    /// Returns the exporter's error.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sesamecart");
        let requests = meter
            .u64_counter("sesamecart.requests")
            .with_description("Requests that got their final answer, by class and status.")
            .build();
        let tokens = meter
            .u64_counter("sesamecart.stream.events")
            .with_description("Events of streamed answers that were passed on.")
            .build();
        let first_token = meter
            .f64_histogram("sesamecart.first_event.seconds")
            .with_description("Time from a request's arrival to the first event of its answer.")
            .with_boundaries(vec![
                0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.58, 1.0, 2.0, 5.0,
            ])
            .build();
        Ok(Self {
            registry,
            provider,
            requests,
            tokens,
            first_token,
        })
    }

    /// Returns the provider, with which other parts make instruments of their own.
    #[must_use]
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Counts a request that got its final answer.
    pub fn count_request(&self, class: RequestClass, status: u16) {
        let labels = [
            KeyValue::new("class", class.to_string()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts events of streamed answers.
    pub fn count_events(&self, events: u64) {
        self.tokens.add(events, &[]);
    }

    /// Records the time to the first event of an answer.
    pub fn record_first_event(&self, taken: Duration) {
        self.first_token.record(taken.as_secs_f64(), &[]);
    }

    /// Writes all counters in Prometheus's text format.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
