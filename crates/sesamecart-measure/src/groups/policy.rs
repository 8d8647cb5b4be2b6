//! The ways of repair that are compared.

use std::time::Duration;

use derive_more::Display;
use sesamecart_groups::{GroupSettings, RepairSettings};

/// A way to repair groups.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum Policy {
    /// The controller as it is.
    #[display("ours")]
    Ours,
    /// Baseline: a group waits until its lost VM is back.
    #[display("wait")]
    Wait,
    /// Baseline: all groups of the fabric domain are laid out anew. Laying out the whole deployment
    /// anew would be worse still; this is the kinder reading.
    #[display("rebuild")]
    Rebuild,
    /// Ours without replacing VMs before they leave.
    #[display("ours_no_replacement")]
    NoReplacement,
    /// Ours without completing a group by another's survivors.
    #[display("ours_no_merge")]
    NoMerge,
    /// Ours without taking a serving group apart.
    #[display("ours_no_take_apart")]
    NoTakeApart,
}

impl Policy {
    pub(super) const COMPARED: [Self; 3] = [Self::Ours, Self::Wait, Self::Rebuild];
    pub(super) const ABLATIONS: [Self; 3] = [Self::NoReplacement, Self::NoMerge, Self::NoTakeApart];

    /// Returns the controller's settings; all policies detect losses and share the store alike.
    pub(super) fn settings(self, validity: Duration) -> GroupSettings {
        let mut repair = RepairSettings::default();
        match self {
            Self::Ours => {}
            Self::Wait | Self::Rebuild => {
                repair.use_spares = false;
                repair.merge_incomplete = false;
                repair.preempt_serving = false;
                repair.replace_leaving = false;
            }
            Self::NoReplacement => repair.replace_leaving = false,
            Self::NoMerge => repair.merge_incomplete = false,
            Self::NoTakeApart => repair.preempt_serving = false,
        }
        GroupSettings {
            repair,
            report_validity: validity,
            ..GroupSettings::default()
        }
    }
}
