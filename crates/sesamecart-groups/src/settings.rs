//! Timeouts and rates of group control.

use std::time::Duration;

use sesamecart_vocabulary::Bytes;

/// Settings of group control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSettings {
    /// How long a group's report is valid, counted from when the request for it was sent. It bounds how
    /// long work is sent to a group whose member failed silently. It must cover three polls, so that one
    /// lost response doesn't make a group unroutable.
    pub report_validity: Duration,
    /// How long a member must be missing from reports before it is replaced. Waiting out a pause shorter
    /// than this costs less than loading the weights on another VM.
    pub grace_period: Duration,
    /// The longest time between sending an order and its taking effect. A new owner waits this long for
    /// orders of the previous owner that may still be in flight.
    pub max_order_latency: Duration,
    /// How long to wait for the outcome of an append before the change is planned again.
    pub append_timeout: Duration,
    /// How long an engine may take to start before the start order is sent again.
    pub start_timeout: Duration,
    /// How long a VM counts as lost, and isn't selected again, after its load failed or it was missing from
    /// reports.
    pub suspect_duration: Duration,
    /// Bytes per second that all groups controlled by this node may load from the weight store.
    pub store_rate: Bytes,
    /// Bytes per second that one VM can load.
    pub vm_rate: Bytes,
    /// How groups are repaired.
    pub repair: RepairSettings,
}

/// How groups are repaired. Each method can be disabled to measure its effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepairSettings {
    /// Replace a lost member with a free VM of the same fabric domain.
    pub use_spares: bool,
    /// Complete a group with the remaining VMs of another incomplete group.
    pub merge_incomplete: bool,
    /// Preempt a serving group to complete a group of a model that has at most one other serving replica
    /// and a much higher marginal value.
    pub preempt_serving: bool,
    /// Replace a VM that the VM list shows as leaving before it is gone.
    pub replace_leaving: bool,
    /// The lowest ratio between a group's marginal value and that of a serving group that it may preempt.
    /// Below 2, two groups could preempt each other in turn.
    pub preemption_factor: u32,
    /// How long a lost VM is usually absent. VMs of another incomplete group are only used if loading the
    /// weights and starting the engine takes less time.
    pub expected_vm_absence: Duration,
    /// How long an engine usually takes to start once the weights are loaded.
    pub expected_engine_start: Duration,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            report_validity: Duration::from_secs(3),
            grace_period: Duration::from_secs(5),
            max_order_latency: Duration::from_secs(10),
            append_timeout: Duration::from_secs(10),
            start_timeout: Duration::from_secs(120),
            suspect_duration: Duration::from_secs(60),
            store_rate: Bytes(20_000_000_000),
            vm_rate: Bytes(2_000_000_000),
            repair: RepairSettings::default(),
        }
    }
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            use_spares: true,
            merge_incomplete: true,
            preempt_serving: true,
            replace_leaving: true,
            preemption_factor: 2,
            expected_vm_absence: Duration::from_secs(600),
            expected_engine_start: Duration::from_secs(30),
        }
    }
}
