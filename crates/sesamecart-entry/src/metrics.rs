//! The metrics of a node; docs/metrics.md lists them.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};
use sesamecart_edges::ShedConnections;
use sesamecart_platform::{StoreOperation, Topic};
use sesamecart_vocabulary::{Bytes, StoreEra};

use crate::dispatch::DispatchedRequests;

mod outcome;

pub(crate) use outcome::{BackoffOutcome, DispatchOutcome, ForwardingPart, PermitOutcome};

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Held to keep the instruments alive.
    _provider: SdkMeterProvider,
    responses: Counter<u64>,
    attempts_failed: Counter<u64>,
    resumed: Counter<u64>,
    store_calls: Counter<u64>,
    /// The calls to the store by step and topic, for the decision log.
    store_call_counts: Mutex<IndexMap<(StoreOperation, Topic), u64>>,
    store_failures: Counter<u64>,
    store_era: Gauge<u64>,
    source_searches: Counter<u64>,
    orders: Counter<u64>,
    groups_lost: Counter<u64>,
    crashed_runs: Counter<u64>,
    requests_suspected: Gauge<u64>,
    requests_blocked: Gauge<u64>,
    endpoints_backing_off: Gauge<u64>,
    backoffs: Counter<u64>,
    requests_backed_off: Counter<u64>,
    endpoints_limited: Gauge<u64>,
    permits: Counter<u64>,
    requests_limited: Counter<u64>,
    models_unservable: Gauge<u64>,
    pools_unreachable: Gauge<u64>,
    forwarded: Counter<u64>,
    dispatched: Counter<u64>,
    dispatch_wait: Histogram<f64>,
    dispatchers: Gauge<u64>,
    dispatcher_held: Gauge<u64>,
    dispatcher_waiting: Gauge<u64>,
    domains_evacuated: Gauge<u64>,
    connections_shed: Counter<u64>,
    request_memory: Gauge<u64>,
    first_response: Histogram<f64>,
}

/// Histogram buckets of the time to the first response, in seconds. Callers are promised 0.1 to 0.4.
const FIRST_RESPONSE_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.3, 0.4, 1.0, 5.0];

/// Histogram buckets of the time until a dispatcher answers, in seconds. It holds a request for 0.1 at most.
const DISPATCH_WAIT_BUCKETS_S: [f64; 7] = [0.002, 0.005, 0.01, 0.03, 0.06, 0.11, 0.16];

impl Metrics {
    /// Creates metrics that start at zero.
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
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let metrics = Self {
            responses: counter(
                "sesamecart.answers",
                "Requests that got their final answer, by who gave it and its status.",
            ),
            attempts_failed: counter(
                "sesamecart.attempts.failed",
                "Attempts at endpoints that failed, by whether they may have run.",
            ),
            resumed: counter(
                "sesamecart.streams.resumed",
                "Streams that went on at another endpoint.",
            ),
            store_calls: counter(
                "sesamecart.store.calls",
                "Calls to the store, by step and topic.",
            ),
            store_call_counts: Mutex::default(),
            store_failures: counter("sesamecart.store.failures", "Failed calls to the store."),
            store_era: meter
                .u64_gauge("sesamecart.store.era")
                .with_description("The newest era of the store that this node knows.")
                .build(),
            source_searches: counter(
                "sesamecart.source.searches",
                "Searches for a source while the store turned this node away.",
            ),
            orders: counter("sesamecart.orders", "Orders to engines, by outcome."),
            groups_lost: counter(
                "sesamecart.groups.lost",
                "Groups that this node found to have lost a member.",
            ),
            crashed_runs: counter(
                "sesamecart.crashed.runs",
                "Requests of this node that were in flight when their endpoint crashed.",
            ),
            requests_suspected: meter
                .u64_gauge("sesamecart.requests.suspected")
                .with_description("Requests to which crashes of endpoints are attributed.")
                .build(),
            requests_blocked: meter
                .u64_gauge("sesamecart.requests.blocked")
                .with_description("Requests that are refused because they crash endpoints.")
                .build(),
            permits: counter(
                "sesamecart.permits",
                "Permits that this node asked for to use limited endpoints, by outcome.",
            ),
            requests_limited: counter(
                "sesamecart.requests.limited",
                "Requests that were refused because the endpoints with room are limited.",
            ),
            endpoints_backing_off: meter
                .u64_gauge("sesamecart.endpoints.backing_off")
                .with_description("Endpoints that want no requests from this node now.")
                .build(),
            backoffs: counter(
                "sesamecart.backoffs",
                "Times that endpoints requested a backoff from this node, by outcome.",
            ),
            requests_backed_off: counter(
                "sesamecart.requests.backed_off",
                "Requests that were refused because all endpoints back off.",
            ),
            endpoints_limited: meter
                .u64_gauge("sesamecart.endpoints.limited")
                .with_description("Endpoints that limit the requests of all nodes together.")
                .build(),
            pools_unreachable: meter
                .u64_gauge("sesamecart.pools.unreachable")
                .with_description("Pools of endpoints that this node can't open connections to.")
                .build(),
            forwarded: counter(
                "sesamecart.requests.forwarded",
                "Requests that nodes forward for each other, by this node's part in it.",
            ),
            dispatched: counter(
                "sesamecart.requests.dispatched",
                "Requests for which this node asked a dispatcher, by its answer.",
            ),
            dispatch_wait: meter
                .f64_histogram("sesamecart.dispatch.wait.seconds")
                .with_description("Time from asking a dispatcher to its answer.")
                .with_boundaries(DISPATCH_WAIT_BUCKETS_S.to_vec())
                .build(),
            dispatchers: meter
                .u64_gauge("sesamecart.dispatchers")
                .with_description("Parts of pools that this node dispatches.")
                .build(),
            dispatcher_held: meter
                .u64_gauge("sesamecart.dispatcher.held")
                .with_description(
                    "Requests of all nodes at the endpoints that this node dispatches.",
                )
                .build(),
            dispatcher_waiting: meter
                .u64_gauge("sesamecart.dispatcher.waiting")
                .with_description("Requests of all nodes that wait at this node for an endpoint.")
                .build(),
            connections_shed: counter(
                "sesamecart.connections.shed",
                "New connections of callers that weren't served, by what became of them.",
            ),
            request_memory: meter
                .u64_gauge("sesamecart.request.memory.bytes")
                .with_description("The memory that requests of callers take.")
                .build(),
            models_unservable: meter
                .u64_gauge("sesamecart.models.unservable")
                .with_description("Models that no fabric domain holds, on the controlling node.")
                .build(),
            domains_evacuated: meter
                .u64_gauge("sesamecart.failure_domains.evacuated")
                .with_description(
                    "Failure domains that get no new work, as far as this node knows.",
                )
                .build(),
            first_response: meter
                .f64_histogram("sesamecart.first.seconds")
                .with_description("Time from a request's arrival to its answer's first sign.")
                .with_boundaries(FIRST_RESPONSE_BUCKETS_S.to_vec())
                .build(),
            registry,
            _provider: provider,
        };
        metrics.init();
        Ok(metrics)
    }

    /// Records a zero in each counter and gauge, so that all of them are exported from the start.
    ///
    /// A counter that only appears with the first failure can't be distinguished from one that was renamed.
    fn init(&self) {
        self.responses.add(0, &[]);
        self.attempts_failed.add(0, &[]);
        self.resumed.add(0, &[]);
        self.store_calls.add(0, &[]);
        self.store_failures.add(0, &[]);
        self.source_searches.add(0, &[]);
        self.orders.add(0, &[]);
        self.groups_lost.add(0, &[]);
        self.crashed_runs.add(0, &[]);
        self.requests_suspected.record(0, &[]);
        self.requests_blocked.record(0, &[]);
        self.endpoints_backing_off.record(0, &[]);
        for outcome in BackoffOutcome::ALL {
            self.backoffs
                .add(0, &[KeyValue::new("outcome", outcome.label())]);
        }
        self.requests_backed_off.add(0, &[]);
        self.endpoints_limited.record(0, &[]);
        self.requests_limited.add(0, &[]);
        for outcome in PermitOutcome::ALL {
            self.permits
                .add(0, &[KeyValue::new("outcome", outcome.label())]);
        }
        self.count_shed(&ShedConnections::default());
        self.models_unservable.record(0, &[]);
        self.pools_unreachable.record(0, &[]);
        for part in ForwardingPart::ALL {
            self.forwarded
                .add(0, &[KeyValue::new("part", part.label())]);
        }
        for outcome in DispatchOutcome::ALL {
            self.dispatched
                .add(0, &[KeyValue::new("outcome", outcome.label())]);
        }
        self.record_dispatchers(0, DispatchedRequests::default());
        self.domains_evacuated.record(0, &[]);
    }

    pub(crate) fn count_response(&self, by: &'static str, status: u16) {
        let labels = [
            KeyValue::new("by", by),
            KeyValue::new("status", i64::from(status)),
        ];
        self.responses.add(1, &labels);
    }

    pub(crate) fn count_failed_attempt(&self, may_have_run: bool) {
        self.attempts_failed
            .add(1, &[KeyValue::new("may_have_run", may_have_run)]);
    }

    pub(crate) fn count_resumed_stream(&self) {
        self.resumed.add(1, &[]);
    }

    pub(crate) fn record_store_era(&self, era: StoreEra) {
        self.store_era.record(era.0, &[]);
    }

    pub(crate) fn count_store_call(&self, step: StoreOperation, topic: Topic) {
        let labels = [
            KeyValue::new("step", step.to_string()),
            KeyValue::new("topic", topic.to_string()),
        ];
        self.store_calls.add(1, &labels);
        let mut counts = self
            .store_call_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *counts.entry((step, topic)).or_default() += 1;
    }

    /// Returns the calls to the store so far as text, or `None` before the first call.
    pub(crate) fn store_call_summary(&self) -> Option<String> {
        let counts = self
            .store_call_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let parts = counts
            .iter()
            .map(|((step, topic), calls)| format!("{step} {topic} {calls}"));
        let parts: Vec<String> = parts.collect();
        (!parts.is_empty()).then(|| parts.join(", "))
    }

    pub(crate) fn count_store_failure(&self) {
        self.store_failures.add(1, &[]);
    }

    pub(crate) fn count_source_search(&self) {
        self.source_searches.add(1, &[]);
    }

    pub(crate) fn count_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_group_lost(&self) {
        self.groups_lost.add(1, &[]);
    }

    pub(crate) fn count_crashed_run(&self) {
        self.crashed_runs.add(1, &[]);
    }

    pub(crate) fn record_suspected(&self, requests: usize) {
        self.requests_suspected.record(requests as u64, &[]);
    }

    pub(crate) fn record_blocked(&self, requests: usize) {
        self.requests_blocked.record(requests as u64, &[]);
    }

    pub(crate) fn count_permit(&self, outcome: PermitOutcome) {
        self.permits
            .add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    pub(crate) fn count_limited_request(&self) {
        self.requests_limited.add(1, &[]);
    }

    pub(crate) fn record_backing_off(&self, endpoints: usize) {
        self.endpoints_backing_off.record(endpoints as u64, &[]);
    }

    pub(crate) fn count_backoff(&self, outcome: BackoffOutcome) {
        self.backoffs
            .add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    pub(crate) fn count_backed_off_request(&self) {
        self.requests_backed_off.add(1, &[]);
    }

    pub(crate) fn record_limited(&self, endpoints: usize) {
        self.endpoints_limited.record(endpoints as u64, &[]);
    }

    pub(crate) fn record_unreachable_pools(&self, pools: usize) {
        self.pools_unreachable.record(pools as u64, &[]);
    }

    pub(crate) fn count_shed(&self, shed: &ShedConnections) {
        for (outcome, connections) in [
            ("closed_unread", shed.closed_unread),
            ("refused", shed.refused),
        ] {
            self.connections_shed
                .add(connections, &[KeyValue::new("outcome", outcome)]);
        }
    }

    pub(crate) fn record_request_memory(&self, used: Bytes) {
        self.request_memory.record(used.0, &[]);
    }

    pub(crate) fn count_forwarded(&self, part: ForwardingPart) {
        self.forwarded
            .add(1, &[KeyValue::new("part", part.label())]);
    }

    pub(crate) fn count_dispatched(&self, outcome: DispatchOutcome) {
        self.dispatched
            .add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    /// Records the parts of pools that this node dispatches, and the requests that it knows of there.
    pub(crate) fn record_dispatchers(&self, dispatchers: usize, requests: DispatchedRequests) {
        self.dispatchers.record(dispatchers as u64, &[]);
        self.dispatcher_held.record(requests.held as u64, &[]);
        self.dispatcher_waiting.record(requests.waiting as u64, &[]);
    }

    /// Records the time that a dispatcher took to answer.
    pub(crate) fn record_dispatch_wait(&self, waited: Duration) {
        self.dispatch_wait.record(waited.as_secs_f64(), &[]);
    }

    pub(crate) fn record_unservable(&self, models: usize) {
        self.models_unservable.record(models as u64, &[]);
    }

    pub(crate) fn record_evacuated(&self, domains: usize) {
        self.domains_evacuated.record(domains as u64, &[]);
    }

    pub(crate) fn record_first_response(&self, taken: Duration) {
        self.first_response.record(taken.as_secs_f64(), &[]);
    }

    /// Renders all metrics in the Prometheus text format.
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
