//! Serving groups: which of them may have work, and the controller of those that this node owns.
//!
//! The owner of an endpoint's allowance polls its endpoint anyway; it lends permits only while the
//! group is whole, so that every node's routing follows within a slice and no node has to poll all
//! endpoints. The owner of a fabric domain's shard runs the controller. docs/design/groups.md
//! weighs both.

mod carry;
mod duty;
mod fleet;
mod gate;
mod load;
mod measures;

pub(crate) use duty::Duty;
pub(crate) use gate::Gate;
pub(crate) use load::{Load, fetch_load};
