//! Tests of the lease state machines.
