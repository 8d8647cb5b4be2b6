//! Quickstart and measurements of the whole system against stand-ins.

pub mod groups;
