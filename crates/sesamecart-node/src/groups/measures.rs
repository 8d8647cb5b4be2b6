//! The users' three measures; docs/metrics.md has names and units, docs/alerts.yaml the alerts.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, MeterProvider as _};
use sesamecart_vocabulary::{FailureDomainId, ModelId};

use crate::metrics::Metrics;

/// Counters of seconds, kept by the one node that owns an endpoint's allowance.
///
/// They are counters and not gauges, so that what is lost between two scrapes isn't lost to the
/// measure, and that the sum over all nodes is right whoever owns an endpoint meanwhile.
#[derive(Debug)]
pub(super) struct Measures {
    downtime: Counter<f64>,
    stranded: Counter<f64>,
    serving: Counter<f64>,
    wanted: Counter<f64>,
}

impl Measures {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.provider().meter("sesamecart");
        let counter = |name, text| meter.f64_counter(name).with_description(text).build();
        Self {
            downtime: counter(
                "sesamecart.group.downtime.seconds",
                "Seconds in which a group that should serve wasn't routable.",
            ),
            stranded: counter(
                "sesamecart.vm.stranded.seconds",
                "Seconds in which a VM worked but its group wasn't routable.",
            ),
            serving: counter(
                "sesamecart.group.serving.seconds",
                "Seconds in which a group was routable and not drained.",
            ),
            wanted: counter(
                "sesamecart.group.wanted.seconds",
                "Seconds in which a group was configured, drained or not.",
            ),
        }
    }

    /// Counts the time since a group was looked at last.
    pub(super) fn count(
        &self,
        model: &ModelId,
        domain: &FailureDomainId,
        routable: bool,
        drained: bool,
        working_vms: usize,
        seconds: f64,
    ) {
        let labels = [
            KeyValue::new("model", model.to_string()),
            KeyValue::new("failure_domain", domain.to_string()),
        ];
        self.wanted.add(seconds, &labels);
        if routable && !drained {
            self.serving.add(seconds, &labels);
        }
        if !routable && !drained {
            self.downtime.add(seconds, &labels);
        }
        if !routable {
            let vms = f64::from(u32::try_from(working_vms).unwrap_or(u32::MAX));
            self.stranded.add(seconds * vms, &labels);
        }
    }
}
