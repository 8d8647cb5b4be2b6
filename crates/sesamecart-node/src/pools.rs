//! Admission, allowances and routing at this node: the decisions of `sesamecart-decisions` with the
//! clock, the links and the waiting requests.
//!
//! Traffic threads ask [`Pools`] for a [`Turn`] before they send anything. The control thread
//! borrows permits from the endpoints' owners and lends those of the endpoints that this node owns.
//! docs/policy.md has the decisions themselves.

mod borrower;
mod cell;
mod lender;
mod owners;
mod registry;
mod turn;

pub(crate) use borrower::Borrower;
pub(crate) use cell::PoolKey;
pub(crate) use lender::Lender;
pub(crate) use owners::Owners;
pub(crate) use registry::{Entry, Pools};
pub(crate) use turn::Turn;
