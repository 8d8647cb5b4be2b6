//! What a day costs.

use derive_more::AddAssign;

/// What a day costs its users.
#[derive(AddAssign, Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Seconds in which a group that should run gave no service, summed over groups.
    pub(super) group_downtime_s: f64,
    /// The part of it that no policy could avoid: more groups than the running VMs of a fabric domain
    /// make up.
    pub(super) floor_s: f64,
    /// The downtime, each second weighted by the value of the group's model.
    pub(super) weighted_downtime_s: f64,
    /// Seconds in which a model had no serving group at all, summed over models.
    pub(super) model_out_s: f64,
    /// Accelerators of running VMs that served nobody, times seconds, beyond the planned spares.
    pub(super) stranded_accelerator_s: f64,
    /// Seconds in which callers could be sent to a group that wasn't whole.
    pub(super) exposed_s: f64,
    /// Records appended to the log about groups.
    pub(super) records: f64,
}
