//! Serving groups: completeness, repair, fenced orders and weight loads.
//!
//! This crate does no I/O: it takes events and the current time and returns effects, so that the same code
//! runs in the node, in tests and in `measure -- groups`. See docs/design/groups.md.

mod assignment;
mod controller;
mod fleet;
mod order;
mod repair;
mod rollout;
mod settings;
mod state;
mod weights;

pub use assignment::{AssignedGroup, AssignmentRequest, Assignments};
pub use controller::{Controller, Effect, Event, GroupPhase, VmState};
pub use fleet::{Fleet, GroupPlan, ModelPlan, VmLocation};
pub use order::{FencedOrder, OrderKind, OrderOutcome, OrderSequencer};
pub use repair::{AcquiredVm, GroupHealth, Repair, RepairView, plan_repairs, plan_replacements};
pub use rollout::{Replica, next_to_update};
pub use settings::{GroupSettings, RepairSettings};
pub use state::{GroupReport, MemberReport, NotRoutableReason, Routability, assess};
pub use weights::{LoadRequest, RateGrant, allocate_rates};
