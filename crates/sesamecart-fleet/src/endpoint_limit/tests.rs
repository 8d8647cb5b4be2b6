//! Tests of the limits that endpoints name.

mod known;
mod simulation;
