//! Serving groups: completeness, repair, fenced orders and weight loads.
//!
//! Everything here is pure: events and the time go in, effects come out, so that the same code runs
//! in the node, in tests and in `measure -- groups`. See docs/design/groups.md.

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
pub use fleet::{Fleet, GroupPlan, ModelPlan, VmPlace};
pub use order::{FencedOrder, OrderAnswer, OrderDesk, OrderKind};
pub use repair::{Adoption, GroupHealth, Repair, RepairView, plan_repairs, plan_replacements};
pub use rollout::{Replica, next_to_update};
pub use settings::{GroupSettings, RepairSettings};
pub use state::{GroupReport, MemberReport, NotRoutable, Routability, assess};
pub use weights::{LoadRequest, RateGrant, allot};
