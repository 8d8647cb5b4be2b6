//! Tests of the limits that endpoints name.

mod authority;
mod known;
mod ranking;
mod simulation;
